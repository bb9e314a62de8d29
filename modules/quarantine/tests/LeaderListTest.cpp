#include "rattanloft/quarantine/LeaderList.h"

#include <catch2/catch.hpp>

#include "fleet.pb.h"

namespace rattanloft::quarantine {

namespace {

constexpr TimePoint kStart{ 100'000 };
constexpr uint64_t kTerm = 3;

wire::QuarantineEntry
MakeSuspect(uint64_t aFingerprint)
{
  QuarantineTable table;
  table.SetState(aFingerprint, "shop", wire::QUARANTINE_STATE_SUSPECT, kStart);
  return table.MakeWireEntry(aFingerprint, kStart);
}

wire::FleetSyncRequest
MakeRequest(const wire::QuarantineUpdate& aKnown)
{
  wire::FleetSyncRequest request;
  request.set_quarantine_term(aKnown.term());
  request.set_quarantine_revision(aKnown.revision());
  return request;
}

} // namespace

// Guards against a whole list for each process at each crash, which fills the
// link of the leader.
TEST_CASE("An update carries only the entries that the process does not know")
{
  LeaderList list;
  for (uint64_t i = 0; i < 100; i++) {
    list.Merge(MakeSuspect(i), kStart);
  }
  const auto all = list.MakeUpdate(wire::FleetSyncRequest(), kTerm, kStart);
  REQUIRE(all.entries_size() == 100);
  list.Merge(MakeSuspect(200), kStart);
  list.Clear(7, kStart);
  const auto changes = list.MakeUpdate(MakeRequest(all), kTerm, kStart);
  REQUIRE(changes.entries_size() == 2);
  REQUIRE(changes.revision() > all.revision());
  REQUIRE(list.IsCurrent(MakeRequest(changes), kTerm));
  // The revisions of another term mean nothing.
  const auto other = list.MakeUpdate(MakeRequest(all), kTerm + 1, kStart);
  REQUIRE(other.entries_size() == 101);
}

// Guards against a revision for each entry that ever was in the list.
TEST_CASE("The list forgets the revisions of entries that it has dropped")
{
  LeaderList list;
  for (uint64_t i = 0; i < 20 * kMaxLiveEntries; i++) {
    list.Merge(MakeSuspect(i), kStart);
  }
  REQUIRE(list.RevisionCount() <= 4 * kMaxLiveEntries);
}

} // namespace rattanloft::quarantine
