#include "rattanloft/quarantine/QuarantineTable.h"

#include <catch2/catch.hpp>

namespace rattanloft::quarantine {

namespace {

constexpr TimePoint kStart{ 100'000 };
constexpr auto kSuspect = wire::QUARANTINE_STATE_SUSPECT;
constexpr auto kBlocked = wire::QUARANTINE_STATE_BLOCKED;
constexpr auto kCleared = wire::QUARANTINE_STATE_CLEARED;

} // namespace

// Guards against an old message that makes a cleared request a suspect again,
// and against tables of different nodes that do not converge.
TEST_CASE("The highest version wins in whatever order entries arrive")
{
  QuarantineTable first;
  REQUIRE(first.SetState(7, "shop", kSuspect, kStart));
  const wire::QuarantineEntry suspect = first.MakeWireEntry(7, kStart);
  REQUIRE(first.SetState(7, "shop", kCleared, kStart));
  const wire::QuarantineEntry cleared = first.MakeWireEntry(7, kStart);
  QuarantineTable second;
  REQUIRE(second.Merge(cleared, kStart));
  REQUIRE_FALSE(second.Merge(suspect, kStart));
  REQUIRE(second.Find(7, kStart) == nullptr);
  QuarantineTable third;
  REQUIRE(third.Merge(suspect, kStart));
  REQUIRE(third.Find(7, kStart)->m_state == kSuspect);
  REQUIRE(third.Merge(cleared, kStart));
  REQUIRE(third.Find(7, kStart) == nullptr);
  REQUIRE_FALSE(third.Merge(cleared, kStart));
}

// Guards against a block that never ends because each exchange extends it.
TEST_CASE("A block ends after 10 min, however often it is passed on")
{
  QuarantineTable first;
  QuarantineTable second;
  first.SetState(7, "shop", kBlocked, kStart);
  const TimePoint later = kStart + Seconds(300);
  second.Merge(first.MakeWireEntry(7, later), later);
  REQUIRE_FALSE(first.Merge(second.MakeWireEntry(7, later), later));
  REQUIRE(second.Find(7, kStart + Seconds(600) - Milliseconds(1)));
  REQUIRE(second.Find(7, kStart + Seconds(600)) == nullptr);
  REQUIRE(first.Find(7, kStart + Seconds(600)) == nullptr);
}

// Guards against a table that grows without bound, and against a table full of
// old suspects that has no room for a new suspect or a block.
TEST_CASE("A full table displaces its oldest suspect")
{
  QuarantineTable table;
  for (uint64_t i = 0; i < kMaxLiveEntries; i++) {
    const Duration age = Milliseconds(static_cast<int64_t>(i));
    REQUIRE(table.SetState(i, "shop", kSuspect, kStart + age));
  }
  const TimePoint later = kStart + Seconds(1);
  REQUIRE(table.SetState(900, "shop", kSuspect, later));
  REQUIRE(table.Find(900, later));
  REQUIRE_FALSE(table.Find(0, later));
  REQUIRE(table.Find(1, later));
  REQUIRE(table.SetState(901, "shop", kBlocked, later));
  REQUIRE_FALSE(table.Find(1, later));
  REQUIRE(table.CountLiveEntries() == kMaxLiveEntries);
  for (uint64_t i = 0; i < 3 * kMaxLiveEntries; i++) {
    table.SetState(2000 + i, "shop", kCleared, kStart);
  }
  REQUIRE(table.ListWireEntries(kStart).size() <= 2 * kMaxLiveEntries);
  REQUIRE(table.Find(901, kStart));
}

// Guards against suspects that end a block early.
TEST_CASE("Suspects displace no blocks")
{
  QuarantineTable table;
  for (uint64_t i = 0; i < kMaxLiveEntries; i++) {
    REQUIRE(table.SetState(i, "shop", kBlocked, kStart));
  }
  REQUIRE_FALSE(table.SetState(900, "shop", kSuspect, kStart));
  REQUIRE(table.CountLiveEntries() == kMaxLiveEntries);
}

} // namespace rattanloft::quarantine
