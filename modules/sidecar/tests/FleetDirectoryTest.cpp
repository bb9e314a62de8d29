#include "FleetDirectory.h"

#include <map>
#include <random>
#include <span>

#include <catch2/catch.hpp>

#include "rattanloft/fleet/ConfigurationChanges.h"
#include "rattanloft/fleet/EndpointList.h"
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

wire::FleetSyncReply
MakeEndpointsReply(const fleet::EndpointList& aList,
                   uint64_t aTerm,
                   uint64_t aBaseRevision)
{
  wire::FleetSyncReply reply;
  reply.set_term(aTerm);
  aList.AddTo(reply, aBaseRevision);
  return reply;
}

wire::Endpoint
MakeEndpoint(const std::string& aInstance, uint32_t aSlots = 1)
{
  wire::Endpoint endpoint;
  endpoint.set_instance(aInstance);
  endpoint.mutable_backend()->set_slots(aSlots);
  return endpoint;
}

std::map<std::string, uint32_t>
SlotsByInstance(std::span<const wire::Endpoint> aEndpoints)
{
  std::map<std::string, uint32_t> slots;
  for (const wire::Endpoint& endpoint : aEndpoints) {
    slots[endpoint.instance()] = endpoint.backend().slots();
  }
  CHECK(slots.size() == aEndpoints.size());
  return slots;
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

// Guards against changes that are applied to a list that lacks earlier ones.
TEST_CASE("endpoint changes are ignored without the list that they build on")
{
  fleet::EndpointList list;
  list.Set(MakeEndpoint("a"));
  const uint64_t known = list.Revision();
  list.Set(MakeEndpoint("b"));
  FleetDirectory directory;
  directory.ApplyReply(MakeEndpointsReply(list, 3, known), kNow);
  CHECK(directory.Endpoints().empty());
  CHECK(directory.EndpointsRevision() == 0);
  directory.ApplyReply(MakeEndpointsReply(list, 2, 0), kNow);
  directory.ApplyReply(MakeEndpointsReply(list, 3, known), kNow);
  CHECK(directory.EndpointsTerm() == 2);
}

// Guards against a list that differs from the leader's after replies were lost,
// delayed or applied out of order.
TEST_CASE("endpoint changes lead to the list of the leader in any order")
{
  const uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  fleet::EndpointList list;
  FleetDirectory directory;
  std::vector<wire::FleetSyncReply> delayed;
  for (int step = 0; step < 500; ++step) {
    const std::string instance = "n" + std::to_string(random() % 20);
    if (random() % 4 == 0) {
      list.Remove(instance);
    } else {
      list.Set(MakeEndpoint(instance, 1 + random() % 3));
    }
    wire::FleetSyncReply reply =
      MakeEndpointsReply(list, 1, directory.EndpointsRevision());
    switch (random() % 3) {
      case 0:
        directory.ApplyReply(reply, kNow);
        break;
      case 1:
        delayed.push_back(std::move(reply));
        break;
      default:
        break;
    }
    if (!delayed.empty() && random() % 3 == 0) {
      const size_t index = random() % delayed.size();
      directory.ApplyReply(delayed[index], kNow);
      delayed.erase(delayed.begin() + static_cast<ptrdiff_t>(index));
    }
  }
  directory.ApplyReply(
    MakeEndpointsReply(list, 1, directory.EndpointsRevision()), kNow);
  const wire::FleetSyncReply all = MakeEndpointsReply(list, 1, 0);
  const std::vector<wire::Endpoint> expected(all.endpoints().begin(),
                                             all.endpoints().end());
  CHECK(SlotsByInstance(directory.Endpoints()) == SlotsByInstance(expected));
}

// Guards against a sidecar that stays behind after changes that do not fit.
TEST_CASE("a whole configuration is requested after changes that do not fit")
{
  wire::FleetSyncReply whole;
  whole.mutable_configuration()->set_version(1);
  FleetDirectory directory;
  directory.ApplyReply(whole, kNow);
  REQUIRE(directory.Router()->Version() == 1);

  wire::FleetSyncReply reply;
  wire::Configuration next = whole.configuration();
  next.set_version(2);
  next.add_routes()->set_name("r");
  *reply.mutable_configuration_changes() =
    fleet::CompareConfigurations(whole.configuration(), next);
  wire::FleetSyncReply damaged = reply;
  damaged.mutable_configuration_changes()->clear_routes();
  directory.ApplyReply(damaged, kNow);
  CHECK(directory.Router()->Version() == 1);
  CHECK_FALSE(directory.AcceptsConfigurationChanges());

  *whole.mutable_configuration() = next;
  directory.ApplyReply(whole, kNow);
  CHECK(directory.Router()->Version() == 2);
  CHECK(directory.AcceptsConfigurationChanges());
  // A delayed reply that builds on an earlier version is no mismatch.
  directory.ApplyReply(reply, kNow);
  CHECK(directory.Router()->Version() == 2);
  CHECK(directory.AcceptsConfigurationChanges());
}

// Guards against a backend server that is served again since a late reply, or
// one of a leader of an earlier release, ends the evacuation of its zone.
TEST_CASE("evacuated zones come from the newest reply that tells them")
{
  const auto makeReply = [](uint64_t aTerm,
                            uint64_t aSequence,
                            const std::vector<std::string>& aZones) {
    wire::FleetSyncReply reply;
    reply.set_term(aTerm);
    reply.set_sequence(aSequence);
    reply.set_has_evacuated_zones(true);
    *reply.mutable_evacuated_zones() = { aZones.begin(), aZones.end() };
    return reply;
  };
  FleetDirectory directory;
  CHECK_FALSE(directory.KnowsEvacuations());
  directory.ApplyReply(makeReply(2, 7, { "a", "b" }), kNow);
  CHECK(directory.KnowsEvacuations());
  CHECK(directory.IsEvacuated("a"));
  CHECK_FALSE(directory.IsEvacuated("c"));
  directory.ApplyReply(makeReply(2, 6, {}), kNow);
  directory.ApplyReply(makeReply(1, 9, {}), kNow);
  wire::FleetSyncReply earlierRelease = makeReply(3, 9, {});
  earlierRelease.set_has_evacuated_zones(false);
  directory.ApplyReply(earlierRelease, kNow);
  CHECK(directory.EvacuatedZones() == std::set<std::string>{ "a", "b" });
  directory.ApplyReply(makeReply(4, 8, { "b" }), kNow);
  CHECK(directory.EvacuatedZones() == std::set<std::string>{ "b" });
}

// Guards against a fleet whose leader is of an earlier release and whose
// sidecars serve nothing.
TEST_CASE(
  "a configuration of a leader without evacuations means there are none")
{
  FleetDirectory directory;
  directory.ApplyReply({}, kNow);
  CHECK_FALSE(directory.KnowsEvacuations());
  wire::FleetSyncReply reply;
  reply.mutable_configuration()->set_version(1);
  directory.ApplyReply(reply, kNow);
  CHECK(directory.KnowsEvacuations());
  CHECK(directory.EvacuatedZones().empty());
}

} // namespace rattanloft::sidecar
