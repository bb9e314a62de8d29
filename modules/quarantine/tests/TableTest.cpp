#include "rattanloft/quarantine/Table.h"

#include <catch2/catch.hpp>

namespace rattanloft::quarantine {

namespace {

constexpr TimePoint kStart{ 100'000 };
constexpr auto kSuspect = wire::QUARANTINE_STATE_SUSPECT;
constexpr auto kBlocked = wire::QUARANTINE_STATE_BLOCKED;
constexpr auto kCleared = wire::QUARANTINE_STATE_CLEARED;

} // namespace

// Guards against a cleared request that an old message makes a suspect again,
// and against nodes that end up with different lists.
TEST_CASE("The highest version counts in whatever order entries arrive")
{
  Table one;
  REQUIRE(one.Set(7, "shop", kSuspect, kStart));
  const wire::QuarantineEntry suspect = one.Get(7, kStart);
  REQUIRE(one.Set(7, "shop", kCleared, kStart));
  const wire::QuarantineEntry cleared = one.Get(7, kStart);
  Table other;
  REQUIRE(other.Merge(cleared, kStart));
  REQUIRE_FALSE(other.Merge(suspect, kStart));
  REQUIRE(other.Find(7, kStart) == nullptr);
  Table third;
  REQUIRE(third.Merge(suspect, kStart));
  REQUIRE(third.Find(7, kStart)->m_state == kSuspect);
  REQUIRE(third.Merge(cleared, kStart));
  REQUIRE(third.Find(7, kStart) == nullptr);
  REQUIRE_FALSE(third.Merge(cleared, kStart));
}

// Guards against a block that never ends or that each exchange prolongs.
TEST_CASE("A block ends after 10 min, however often it is passed on")
{
  Table one;
  Table other;
  one.Set(7, "shop", kBlocked, kStart);
  const TimePoint later = kStart + Seconds(300);
  other.Merge(one.Get(7, later), later);
  REQUIRE_FALSE(one.Merge(other.Get(7, later), later));
  REQUIRE(other.Find(7, kStart + Seconds(600) - Milliseconds(1)));
  REQUIRE(other.Find(7, kStart + Seconds(600)) == nullptr);
  REQUIRE(one.Find(7, kStart + Seconds(600)) == nullptr);
}

// Guards against a list that grows without bound and against suspects that
// keep a block out.
TEST_CASE("A full table refuses suspects and displaces one for a block")
{
  Table table;
  for (uint64_t i = 0; i < kMaxEntries; i++) {
    REQUIRE(table.Set(i, "shop", kSuspect, kStart + Milliseconds(1)));
  }
  REQUIRE_FALSE(table.Set(900, "shop", kSuspect, kStart + Milliseconds(2)));
  REQUIRE(table.Set(901, "shop", kBlocked, kStart + Milliseconds(2)));
  REQUIRE(table.LiveSize() == kMaxEntries);
  for (uint64_t i = 0; i < 3 * kMaxEntries; i++) {
    table.Set(2000 + i, "shop", kCleared, kStart);
  }
  REQUIRE(table.ListWireEntries(kStart).size() <= 2 * kMaxEntries);
  REQUIRE(table.Find(901, kStart));
}

} // namespace rattanloft::quarantine
