#include "rattanloft/fleet/FleetLeader.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::fleet {

namespace {

constexpr Duration kStep = Milliseconds(100);
constexpr Duration kHeartbeatInterval = Milliseconds(870);
constexpr Duration kSyncInterval = Milliseconds(500);
// From the confirmation on, an evacuation has to be complete after this time.
constexpr Duration kEvacuationLimit = Seconds(5);

// A backend server with its sidecar: adopts the plan of each reply, and passes
// it on in the response to the next heartbeat.
struct SimulatedHolder
{
  bool IsSyncDue(const FleetLeader& aLeader, TimePoint aNow) const
  {
    return m_changed || aNow - m_lastSyncAt >= kSyncInterval ||
           aLeader.HasUpdates(m_request);
  }

  void OnReply(const wire::FleetSyncReply& aReply, TimePoint aNow)
  {
    m_lastSyncAt = aNow;
    m_changed = false;
    m_request.clear_handovers();
    m_request.set_endpoints_term(aReply.term());
    m_request.set_endpoints_revision(
      std::max(m_request.endpoints_revision(), aReply.endpoints_revision()));
    m_request.set_ranges_index(aReply.ranges_index());
    m_request.set_configuration_version(1);
    *m_request.mutable_evacuated_zones() = aReply.evacuated_zones();
    if (m_request.plan_term() != aReply.term() ||
        m_request.plan() != aReply.plan()) {
      m_plan.assign(aReply.plan_ranges().begin(), aReply.plan_ranges().end());
      m_request.set_plan_term(aReply.term());
      m_request.set_plan(aReply.plan());
      ReportHolds();
    }
  }

  // The heartbeat names what the last response granted, and releases the rest.
  void OnHeartbeat(TimePoint aNow)
  {
    m_nextHeartbeatAt = aNow + kHeartbeatInterval;
    for (const wire::OwnedRange& range : m_heldRanges) {
      const bool isGranted =
        std::ranges::any_of(m_grantedRanges, [&](const auto& aGranted) {
          return aGranted.first() <= range.first() &&
                 range.last() <= aGranted.last();
        });
      if (!isGranted) {
        wire::HandedOver& handover = *m_request.add_handovers();
        handover.set_first(range.first());
        handover.set_last(range.last());
        handover.set_token("t");
      }
    }
    m_heldRanges = m_grantedRanges;
    m_grantedRanges = m_plan;
    m_request.set_holds_known(true);
    ReportHolds();
  }

  void ReportHolds()
  {
    m_request.clear_possible_holds();
    for (const auto* ranges : { &m_heldRanges, &m_grantedRanges }) {
      for (const wire::OwnedRange& range : *ranges) {
        wire::KeyRange& held = *m_request.add_possible_holds();
        held.set_first(range.first());
        held.set_last(range.last());
      }
    }
    m_changed = true;
  }

  wire::FleetSyncRequest m_request;
  TimePoint m_lastSyncAt;
  TimePoint m_nextHeartbeatAt;
  bool m_changed = true;
  // As planned, as granted by the last response to a heartbeat, and as held
  // before that.
  std::vector<wire::OwnedRange> m_plan;
  std::vector<wire::OwnedRange> m_grantedRanges;
  std::vector<wire::OwnedRange> m_heldRanges;
};

// A keyed service with holders in three zones, whose leader plans every 100 ms.
// A command takes effect 100 ms after it was proposed.
class SimulatedFleet
{
public:
  explicit SimulatedFleet(int aHolderCount)
  {
    wire::FleetCommand command;
    wire::ReplaceConfiguration& change =
      *command.mutable_replace_configuration();
    change.mutable_configuration()->set_version(1);
    wire::ServiceSpec& service =
      *change.mutable_configuration()->add_services();
    service.set_name("s");
    service.set_keyed(true);
    Apply(command);
    ElectLeader();
    for (int i = 0; i < aHolderCount; ++i) {
      SimulatedHolder& holder = m_holders.emplace_back();
      wire::FleetSyncRequest& request = holder.m_request;
      const std::string instance = "n" + std::to_string(i);
      request.set_instance(instance);
      request.set_zone("z" + std::to_string(i % 3));
      request.set_session(1);
      request.set_accepts_evacuations(true);
      request.set_accepts_endpoint_changes(true);
      wire::BackendView& backend = *request.mutable_backend();
      backend.set_service("s");
      backend.set_slots(4);
      backend.set_holder(instance + "/b@1");
      backend.set_started_at_unix_ms(1);
      backend.set_phase(wire::BACKEND_PHASE_READY);
      backend.set_reachable(true);
      m_zones[backend.holder()] = request.zone();
      holder.m_nextHeartbeatAt = m_now + kHeartbeatInterval * i / aHolderCount;
    }
  }

  void ElectLeader()
  {
    m_proposed.clear();
    m_leader =
      std::make_unique<FleetLeader>(m_state, ++m_term, LeaderTimings{}, m_now);
  }

  void SetEvacuation(const std::string& aZone, bool aActive)
  {
    wire::FleetCommand command;
    command.mutable_set_evacuation()->set_zone(aZone);
    command.mutable_set_evacuation()->set_active(aActive);
    Apply(command);
  }

  void RunFor(Duration aDuration)
  {
    for (const TimePoint end = m_now + aDuration; m_now < end;) {
      Step();
    }
  }

  int CountHoldersIn(const std::string& aZone) const
  {
    std::set<std::string> holders;
    for (const wire::OwnedRange& range : Ranges()) {
      const auto zone = m_zones.find(range.holder());
      if (zone != m_zones.end() && zone->second == aZone) {
        holders.insert(range.holder());
      }
    }
    return static_cast<int>(holders.size());
  }

  uint32_t CountOwnerlessKeys() const
  {
    uint32_t count = 0;
    for (const wire::OwnedRange& range : Ranges()) {
      count += range.holder().empty() ? range.last() - range.first() + 1 : 0;
    }
    return count;
  }

  void Step()
  {
    m_now = m_now + kStep;
    for (const wire::AssignRanges& assign : std::exchange(m_proposed, {})) {
      wire::FleetCommand command;
      *command.mutable_assign_ranges() = assign;
      Apply(command);
      m_leader->OnAssignmentFinished(assign.service());
      m_largestCommand = std::max(m_largestCommand, assign.ranges_size());
      for (const wire::RangeAssignment& range : assign.ranges()) {
        ++m_moveCount;
        m_coldMoveCount += range.handover().empty() ? 1 : 0;
        m_assignedZones.insert(m_zones[range.holder()]);
      }
    }
    for (SimulatedHolder& holder : m_holders) {
      if (m_now >= holder.m_nextHeartbeatAt) {
        holder.OnHeartbeat(m_now);
      }
      if (holder.IsSyncDue(*m_leader, m_now)) {
        holder.m_request.set_sequence(holder.m_request.sequence() + 1);
        REQUIRE(m_leader->OnSync(holder.m_request, m_now));
        holder.OnReply(m_leader->BuildReply(holder.m_request, m_now), m_now);
      }
    }
    m_proposed = m_leader->PlanAssignments(m_now);
  }

  void ResetCounters()
  {
    m_largestCommand = m_moveCount = m_coldMoveCount = 0;
    m_assignedZones.clear();
  }

  std::vector<wire::OwnedRange> Ranges() const
  {
    const auto& ranges = m_state.RangesByService().at("s").ranges();
    return { ranges.begin(), ranges.end() };
  }

  TimePoint m_now{ 100'000 };
  std::unique_ptr<FleetLeader> m_leader;
  // Of the commands applied since the last reset.
  int m_largestCommand = 0;
  int m_moveCount = 0;
  int m_coldMoveCount = 0;
  std::set<std::string> m_assignedZones;

private:
  void Apply(const wire::FleetCommand& aCommand)
  {
    m_state.Apply(++m_index, aCommand.SerializeAsString());
  }

  FleetState m_state;
  std::vector<SimulatedHolder> m_holders;
  // Zones by holder.
  std::map<std::string, std::string> m_zones;
  std::vector<wire::AssignRanges> m_proposed;
  uint64_t m_index = 0;
  uint64_t m_term = 0;
};

// The largest service that is expected.
constexpr int kHolderCount = 47;

} // namespace

// Guards against keys that stay in the zone after the time that an evacuation
// may take, and against caches that are lost although the holders run.
TEST_CASE("the keys of an evacuated zone move to other zones in time")
{
  SimulatedFleet fleet(kHolderCount);
  fleet.RunFor(Seconds(12));
  REQUIRE(fleet.CountOwnerlessKeys() == 0);
  REQUIRE(fleet.CountHoldersIn("z1") == 16);
  fleet.ResetCounters();
  fleet.SetEvacuation("z1", true);
  const TimePoint start = fleet.m_now;
  while (fleet.CountHoldersIn("z1") > 0 &&
         fleet.m_now - start < kEvacuationLimit * 2) {
    fleet.Step();
  }
  const Duration taken = fleet.m_now - start;
  INFO("took " << taken.m_ms << " ms for " << fleet.m_moveCount << " moves");
  CHECK(taken < kEvacuationLimit);
  CHECK(fleet.CountOwnerlessKeys() == 0);
  CHECK(fleet.m_coldMoveCount == 0);
  CHECK_FALSE(fleet.m_assignedZones.contains("z1"));
}

// Guards against a leader that gives keys to holders that are ready, but in an
// evacuated zone, also after a change of leader.
TEST_CASE("no key is assigned into an evacuated zone")
{
  SimulatedFleet fleet(kHolderCount);
  fleet.SetEvacuation("z1", true);
  fleet.RunFor(Seconds(15));
  REQUIRE(fleet.CountOwnerlessKeys() == 0);
  CHECK(fleet.CountHoldersIn("z1") == 0);
  fleet.ElectLeader();
  fleet.RunFor(Seconds(15));
  CHECK_FALSE(fleet.m_assignedZones.contains("z1"));
  // A leader that takes over in the middle of a second evacuation finishes it.
  fleet.SetEvacuation("z2", true);
  fleet.RunFor(Milliseconds(500));
  fleet.ElectLeader();
  fleet.ResetCounters();
  fleet.RunFor(Seconds(15));
  CHECK(fleet.CountHoldersIn("z1") == 0);
  CHECK(fleet.CountHoldersIn("z2") == 0);
  CHECK(fleet.m_assignedZones == std::set<std::string>{ "z0" });
}

// Guards against a fleet that loses all owners, or moves keys in circles, while
// no zone may have any.
TEST_CASE("keys stay where they are while every zone is evacuated")
{
  SimulatedFleet fleet(kHolderCount);
  fleet.RunFor(Seconds(12));
  fleet.ResetCounters();
  for (const char* zone : { "z0", "z1", "z2" }) {
    fleet.SetEvacuation(zone, true);
  }
  fleet.RunFor(Seconds(10));
  CHECK(fleet.m_moveCount == 0);
}

// Guards against the return of a zone that moves many keys at once.
TEST_CASE("after an evacuation keys return in a bounded number of moves")
{
  constexpr int kMaxMovesPerPlan = 4;
  SimulatedFleet fleet(kHolderCount);
  fleet.RunFor(Seconds(12));
  fleet.SetEvacuation("z1", true);
  fleet.RunFor(Seconds(10));
  REQUIRE(fleet.CountHoldersIn("z1") == 0);
  fleet.ResetCounters();
  fleet.SetEvacuation("z1", false);
  fleet.RunFor(Seconds(60));
  CHECK(fleet.CountHoldersIn("z1") == 16);
  CHECK(fleet.m_largestCommand <= kMaxMovesPerPlan);
  CHECK(fleet.m_moveCount <= 60 * kMaxMovesPerPlan);
}

} // namespace rattanloft::fleet
