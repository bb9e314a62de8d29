#include "FleetDirectory.h"

#include <catch2/catch.hpp>

#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::sidecar {

namespace {

const TimePoint kNow{ 1000 };

wire::FleetSyncReply
MakeRangesReply(uint64_t aIndex,
                uint32_t aFirst,
                uint32_t aLast,
                const char* aHolder)
{
  wire::FleetSyncReply reply;
  reply.set_has_ranges(true);
  reply.set_ranges_index(aIndex);
  wire::ServiceRanges& service = *reply.add_services();
  service.set_service("s");
  wire::OwnedRange& range = *service.add_ranges();
  range.set_first(aFirst);
  range.set_last(aLast);
  range.set_holder(aHolder);
  range.set_fence(aIndex);
  return reply;
}

std::string
FindOwnerName(const FleetDirectory& aDirectory, uint32_t aKey)
{
  const wire::OwnedRange* const range = aDirectory.FindOwner("s", aKey);
  return range == nullptr ? std::string() : range->holder();
}

} // namespace

// Guards against keys that lose their owner when other keys move: a reply
// contains only the ranges that changed.
TEST_CASE("a reply with changed ranges keeps the owners of other ranges")
{
  FleetDirectory directory;
  directory.ApplyReply(MakeRangesReply(5, 0, 999, "a"), kNow);
  CHECK(FindOwnerName(directory, 999) == "a");
  CHECK(FindOwnerName(directory, 1000).empty());
  directory.ApplyReply(MakeRangesReply(6, 500, fleet::kLastKey, "b"), kNow);
  CHECK(FindOwnerName(directory, 499) == "a");
  CHECK(FindOwnerName(directory, 500) == "b");
  CHECK(FindOwnerName(directory, fleet::kLastKey) == "b");
}

// Guards against a delayed reply that restores a previous owner.
TEST_CASE("a reply that is older than the known ranges is ignored")
{
  FleetDirectory directory;
  directory.ApplyReply(MakeRangesReply(6, 0, fleet::kLastKey, "b"), kNow);
  directory.ApplyReply(MakeRangesReply(5, 0, fleet::kLastKey, "a"), kNow);
  CHECK(FindOwnerName(directory, 7) == "b");
  CHECK(directory.RangesIndex() == 6);
}

// Guards against routes that count as fresh because a late reply was applied.
TEST_CASE("the age of the directory counts from the newest replied request")
{
  FleetDirectory directory;
  directory.ApplyReply({}, kNow + Seconds(1));
  directory.ApplyReply({}, kNow);
  CHECK(directory.TimeSinceLastReply(kNow + Seconds(3)) == Seconds(2));
}

} // namespace rattanloft::sidecar
