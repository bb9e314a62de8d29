#include "rattanloft/fleet/FleetLeader.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::fleet {

namespace {

const TimePoint kStart{ 100'000 };

// A leader with one service with keys, and a replicated log that applies each
// command at once.
class LeaderFixture
{
public:
  LeaderFixture()
  {
    ElectLeader();
    wire::FleetCommand command;
    wire::ReplaceConfiguration& change =
      *command.mutable_replace_configuration();
    change.mutable_configuration()->set_version(1);
    wire::ServiceSpec& service =
      *change.mutable_configuration()->add_services();
    service.set_name("s");
    service.set_keyed(true);
    Apply(command);
  }

  // Replaces the leader by one of the next term.
  void ElectLeader()
  {
    m_leader =
      std::make_unique<FleetLeader>(m_state, ++m_term, LeaderTimings{}, m_now);
  }

  void Apply(const wire::FleetCommand& aCommand)
  {
    m_state.Apply(++m_index, aCommand.SerializeAsString());
  }

  // Advances the time and applies the commands that the leader returns.
  void RunFor(Duration aDuration)
  {
    constexpr Duration kPlanInterval = Milliseconds(100);
    for (const TimePoint end = m_now + aDuration; m_now < end;) {
      m_now = m_now + kPlanInterval;
      for (wire::AssignRanges& assign : m_leader->PlanAssignments(m_now)) {
        const std::string service = assign.service();
        wire::FleetCommand command;
        *command.mutable_assign_ranges() = std::move(assign);
        Apply(command);
        m_leader->OnAssignmentFinished(service);
      }
      CommitDepartures();
    }
  }

  void CommitDepartures()
  {
    if (auto change = m_leader->PlanDepartures(m_now)) {
      wire::FleetCommand command;
      *command.mutable_change_departures() = *std::move(change);
      Apply(command);
      m_leader->OnDeparturesFinished();
    }
  }

  wire::FleetSyncReply SendSync(wire::FleetSyncRequest aRequest)
  {
    aRequest.set_session(1);
    aRequest.set_sequence(++m_sequence);
    REQUIRE(m_leader->OnSync(aRequest, m_now));
    CommitDepartures();
    return m_leader->BuildReply(aRequest, m_now);
  }

  // Reports a ready backend server at the instance.
  wire::FleetSyncRequest MakeRequest(const std::string& aInstance) const
  {
    wire::FleetSyncRequest request;
    request.set_instance(aInstance);
    request.set_peer_address(aInstance + ":1");
    wire::BackendView& backend = *request.mutable_backend();
    backend.set_service("s");
    backend.set_slots(4);
    backend.set_backend_id("b");
    backend.set_started_at_unix_ms(1);
    backend.set_holder(aInstance + "/b@1");
    backend.set_phase(wire::BACKEND_PHASE_READY);
    backend.set_reachable(true);
    return request;
  }

  // Assigns all keys of the service to the holder.
  void AssignAllKeys(const std::string& aHolder)
  {
    wire::FleetCommand command;
    command.mutable_assign_ranges()->set_service("s");
    wire::RangeAssignment& range =
      *command.mutable_assign_ranges()->add_ranges();
    range.set_first(0);
    range.set_last(kLastKey);
    range.set_holder(aHolder);
    Apply(command);
  }

  bool OwnsAnyKey(const std::string& aHolder) const
  {
    return std::ranges::any_of(m_state.RangesByService().at("s").ranges(),
                               [&](const wire::OwnedRange& aRange) {
                                 return aRange.holder() == aHolder;
                               });
  }

  // Returns the time until another backend server owns a key. Only the reports
  // of that one get replies.
  Duration RunUntilTakeover(
    const std::optional<wire::FleetSyncRequest>& aReport)
  {
    constexpr Duration kLimit = Seconds(10);
    const TimePoint start = m_now;
    while (!OwnsAnyKey("n2/b@1") && m_now - start < kLimit) {
      SendSync(MakeRequest("n2"));
      if (aReport) {
        wire::FleetSyncRequest request = *aReport;
        request.set_session(1);
        request.set_sequence(++m_sequence);
        m_leader->OnSync(request, m_now);
      }
      RunFor(Milliseconds(100));
    }
    return m_now - start;
  }

  FleetState m_state;
  std::unique_ptr<FleetLeader> m_leader;
  uint64_t m_term = 0;
  TimePoint m_now = kStart;
  uint64_t m_index = 0;
  uint64_t m_sequence = 0;
};

// Reports that the backend server of MakeRequest() has left.
wire::FleetSyncRequest
MakeLeavingRequest(const std::string& aInstance)
{
  wire::FleetSyncRequest request;
  request.set_instance(aInstance);
  // There is nothing else to reply to the sidecar.
  request.set_configuration_version(1);
  request.set_endpoints_term(1);
  request.set_endpoints_revision(1'000);
  wire::Departure& departure = *request.add_departures();
  departure.set_holder(aInstance + "/b@1");
  departure.set_phase(wire::BACKEND_PHASE_GONE);
  return request;
}

int
CountRanges(const wire::FleetSyncReply& aReply)
{
  int count = 0;
  for (const wire::ServiceRanges& service : aReply.services()) {
    count += service.ranges_size();
  }
  return count;
}

} // namespace

// Guards against replies that repeat all ranges after every change. With many
// ranges and sidecars, they would be most of the traffic of the coordinators.
TEST_CASE("a sync carries only the ranges that the sidecar does not know")
{
  LeaderFixture fixture;
  fixture.SendSync(fixture.MakeRequest("n1"));
  fixture.SendSync(fixture.MakeRequest("n2"));
  for (int i = 0; i < 30; ++i) {
    fixture.SendSync(fixture.MakeRequest("n1"));
    fixture.SendSync(fixture.MakeRequest("n2"));
    fixture.RunFor(Milliseconds(100));
  }
  wire::FleetSyncRequest syncRequest = fixture.MakeRequest("n1");
  const wire::FleetSyncReply fullReply = fixture.SendSync(syncRequest);
  REQUIRE(CountRanges(fullReply) > 10);
  syncRequest.set_ranges_index(fullReply.ranges_index());
  CHECK_FALSE(fixture.SendSync(syncRequest).has_ranges());

  wire::FleetCommand command;
  command.mutable_assign_ranges()->set_service("s");
  wire::RangeAssignment& moved = *command.mutable_assign_ranges()->add_ranges();
  moved.set_first(100);
  moved.set_last(200);
  moved.set_holder("n2/b@1");
  fixture.Apply(command);
  const wire::FleetSyncReply changedReply = fixture.SendSync(syncRequest);
  REQUIRE(CountRanges(changedReply) == 1);
  CHECK(changedReply.services(0).ranges(0).first() == 100);
  CHECK(changedReply.services(0).ranges(0).last() == 200);
}

// Guards against replies that repeat the planned ranges with every renewal of
// the lease.
TEST_CASE("the planned ranges are sent until the sidecar reports their plan")
{
  LeaderFixture fixture;
  for (int i = 0; i < 30; ++i) {
    fixture.SendSync(fixture.MakeRequest("n1"));
    fixture.RunFor(Milliseconds(100));
  }
  wire::FleetSyncRequest report = fixture.MakeRequest("n1");
  const wire::FleetSyncReply firstReply = fixture.SendSync(report);
  REQUIRE(firstReply.plan_ranges_size() > 0);
  report.set_plan_term(firstReply.term());
  report.set_plan(firstReply.plan());
  const wire::FleetSyncReply repeatedReply = fixture.SendSync(report);
  CHECK(repeatedReply.plan() == firstReply.plan());
  CHECK(repeatedReply.plan_ranges_size() == 0);
  CHECK(repeatedReply.lease_ms() > 0);
}

// The lease, and the drift of up to 2% of the clock that measures it.
const Duration kLongestEarlierLease =
  LeaderTimings{}.m_leaseDuration * 102 / 100;

// Guards against two owners: the earlier leader may have renewed the lease.
TEST_CASE("a new leader waits for the lease of a silent holder")
{
  LeaderFixture fixture;
  fixture.AssignAllKeys("n1/b@1");
  fixture.ElectLeader();
  const Duration wait = fixture.RunUntilTakeover({});
  CHECK(wait.m_ms >= kLongestEarlierLease.m_ms);
  CHECK(wait.m_ms < 4000);
}

// Guards against keys that get no holder for ever: the leader neither renews
// the lease of a lifetime that it takes for ended, nor gives its keys to
// another.
TEST_CASE("a lifetime that is reported again gets its lease and plan again")
{
  LeaderFixture fixture;
  fixture.AssignAllKeys("n1/b@1");
  fixture.SendSync(fixture.MakeRequest("n1"));
  wire::FleetSyncRequest later = fixture.MakeRequest("n1");
  later.mutable_backend()->set_holder("n1/odd@2");
  later.mutable_backend()->set_started_at_unix_ms(2);
  fixture.SendSync(later);
  // Soon after its start, a sidecar may report a lifetime that has ended.
  CHECK(fixture.SendSync(fixture.MakeRequest("n1")).lease_ms() == 0);
  fixture.RunFor(Seconds(10));
  const wire::FleetSyncReply reply =
    fixture.SendSync(fixture.MakeRequest("n1"));
  CHECK(reply.lease_ms() > 0);
  CHECK(reply.holder() == "n1/b@1");
}

// Guards against a restarted sidecar that takes a late heartbeat for the
// present state, and against one that waits although nothing was granted before
// it.
TEST_CASE("a leader tells what earlier processes of a sidecar have reported")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest request = fixture.MakeRequest("n1");
  const auto sendAs = [&](uint64_t aSession, uint64_t aHeartbeatSequence) {
    request.set_session(aSession);
    request.set_sequence(++fixture.m_sequence);
    request.set_heartbeat_sequence(aHeartbeatSequence);
    REQUIRE(fixture.m_leader->OnSync(request, fixture.m_now));
    return fixture.m_leader->BuildReply(request, fixture.m_now);
  };
  // An earlier leader may have given a lease.
  CHECK_FALSE(sendAs(7, 3).knows_earlier_grants());
  CHECK(sendAs(7, 4).earlier_heartbeat_sequence() == 0);
  const wire::FleetSyncReply restarted = sendAs(8, 1);
  CHECK(restarted.knows_earlier_grants());
  CHECK(restarted.earlier_heartbeat_sequence() == 4);
  CHECK(sendAs(8, 6).earlier_heartbeat_sequence() == 4);
  fixture.RunFor(Seconds(4));
  request.mutable_backend()->set_holder("n1/b@2");
  request.mutable_backend()->set_started_at_unix_ms(2);
  const wire::FleetSyncReply newLifetime = sendAs(8, 1);
  CHECK(newLifetime.knows_earlier_grants());
  CHECK(newLifetime.earlier_heartbeat_sequence() == 0);
}

// Guards against a backend server that is used again after it has left, since
// its sidecar has restarted and a late heartbeat arrives.
TEST_CASE("a departure outlives the process of the sidecar that reports it")
{
  LeaderFixture fixture;
  const wire::FleetSyncRequest leaving = MakeLeavingRequest("n1");
  CHECK_FALSE(fixture.m_leader->HasUpdates(leaving));
  const wire::FleetSyncReply recorded = fixture.SendSync(leaving);
  CHECK(fixture.m_leader->HasUpdates(leaving));
  REQUIRE(recorded.recorded_departures_size() == 1);
  CHECK(recorded.recorded_departures(0).holder() == "n1/b@1");
  const wire::FleetSyncReply reply =
    fixture.SendSync(fixture.MakeRequest("n1"));
  CHECK(reply.backend_phase() == wire::BACKEND_PHASE_GONE);
  REQUIRE(reply.endpoints_size() == 1);
  CHECK(reply.endpoints(0).backend().phase() == wire::BACKEND_PHASE_GONE);
}

// Guards against a departure that is confirmed while only this leader knows it.
TEST_CASE("a departure is confirmed once the log has committed it")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest leaving = MakeLeavingRequest("n1");
  leaving.set_session(1);
  leaving.set_sequence(1'000);
  REQUIRE(fixture.m_leader->OnSync(leaving, fixture.m_now));
  const auto command = fixture.m_leader->PlanDepartures(fixture.m_now);
  REQUIRE(command);
  REQUIRE(command->recorded_size() == 1);
  CHECK_FALSE(fixture.m_leader->PlanDepartures(fixture.m_now));
  CHECK(fixture.m_leader->BuildReply(leaving, fixture.m_now)
          .recorded_departures()
          .empty());
  // The outcome was a failure, so the next report is proposed again.
  fixture.m_leader->OnDeparturesFinished();
  leaving.set_sequence(1'001);
  REQUIRE(fixture.m_leader->OnSync(leaving, fixture.m_now));
  fixture.CommitDepartures();
  CHECK(fixture.m_leader->BuildReply(leaving, fixture.m_now)
          .recorded_departures_size() == 1);
}

// Guards against a confirmation of a departure whose removal is on its way.
TEST_CASE("a departure that is being dropped does not count as recorded")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest leaving = MakeLeavingRequest("n1");
  fixture.SendSync(leaving);
  fixture.m_now = fixture.m_now + Seconds(21);
  const auto drop = fixture.m_leader->PlanDepartures(fixture.m_now);
  REQUIRE(drop);
  REQUIRE(drop->dropped_size() == 1);
  CHECK(fixture.SendSync(leaving).recorded_departures().empty());
  wire::FleetCommand command;
  *command.mutable_change_departures() = *drop;
  fixture.Apply(command);
  fixture.m_leader->OnDeparturesFinished();
  CHECK(fixture.SendSync(leaving).recorded_departures_size() == 1);
  CHECK(fixture.m_state.Departures().size() == 1);
}

// Guards against departures that fill the state, and against one that is
// dropped while a late heartbeat may arrive or its lifetime still reports.
TEST_CASE("a departure is recorded for as long as it may matter")
{
  LeaderFixture fixture;
  fixture.SendSync(MakeLeavingRequest("n1"));
  fixture.SendSync(MakeLeavingRequest("n2"));
  const auto isRecorded = [&](const std::string& aInstance) {
    return fixture.m_state.Departures().contains(aInstance + "/b@1");
  };
  for (int second = 0; second < 40; ++second) {
    // Its responses say that it leaves, its heartbeats do not.
    fixture.SendSync(fixture.MakeRequest("n2"));
    fixture.RunFor(Seconds(1));
    const bool mayMatter = second < 19;
    CHECK((isRecorded("n1") || !mayMatter));
    CHECK(isRecorded("n2"));
  }
  CHECK_FALSE(isRecorded("n1"));

  fixture.ElectLeader();
  fixture.RunFor(Seconds(19));
  CHECK(isRecorded("n2"));
  fixture.RunFor(Seconds(3));
  CHECK(fixture.m_state.Departures().empty());
}

// Guards against a log entry for each report, and for each backend server of a
// service that is released.
TEST_CASE("departures are recorded and dropped in few commands")
{
  LeaderFixture fixture;
  constexpr int kLeavingCount = 500;
  for (int i = 0; i < kLeavingCount; ++i) {
    wire::FleetSyncRequest leaving =
      MakeLeavingRequest("n" + std::to_string(i));
    leaving.set_session(1);
    leaving.set_sequence(1);
    REQUIRE(fixture.m_leader->OnSync(leaving, fixture.m_now));
  }
  const uint64_t indexBefore = fixture.m_index;
  fixture.CommitDepartures();
  CHECK(fixture.m_state.Departures().size() == kLeavingCount);
  fixture.RunFor(Seconds(30));
  CHECK(fixture.m_state.Departures().empty());
  CHECK(fixture.m_index - indexBefore == 2);
}

// Guards against a lease that counts as ended because this leader granted none.
TEST_CASE("a new leader waits for the lease of a holder without a reply")
{
  LeaderFixture fixture;
  fixture.AssignAllKeys("n1/b@1");
  fixture.ElectLeader();
  wire::FleetSyncRequest report = fixture.MakeRequest("n1");
  report.mutable_backend()->set_reachable(false);
  const Duration wait = fixture.RunUntilTakeover(report);
  CHECK(wait.m_ms >= kLongestEarlierLease.m_ms);
  CHECK(wait.m_ms < 4000);
}

// Guards against a command of the earlier leader that takes effect later.
TEST_CASE("a new leader waits for the lease of a holder assigned before it")
{
  LeaderFixture fixture;
  fixture.ElectLeader();
  fixture.AssignAllKeys("n1/b@1");
  const Duration wait = fixture.RunUntilTakeover({});
  CHECK(wait.m_ms >= kLongestEarlierLease.m_ms);
  CHECK(wait.m_ms < 4000);
}

// Guards against traffic that grows with the square of the fleet, and against
// a sidecar of an earlier release that takes changes for the whole list.
TEST_CASE("a sync carries changed endpoints only to sidecars that accept them")
{
  LeaderFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.SendSync(fixture.MakeRequest("n" + std::to_string(i)));
  }
  wire::FleetSyncRequest request = fixture.MakeRequest("n0");
  const wire::FleetSyncReply first = fixture.SendSync(request);
  CHECK(first.endpoints_size() == 20);
  request.set_endpoints_term(first.term());
  request.set_endpoints_revision(first.endpoints_revision());
  CHECK_FALSE(fixture.SendSync(request).has_endpoints());

  wire::FleetSyncRequest stopping = fixture.MakeRequest("n5");
  stopping.set_stopping(true);
  fixture.SendSync(stopping);
  CHECK(fixture.SendSync(request).endpoints_size() == 20);
  request.set_accepts_endpoint_changes(true);
  const wire::FleetSyncReply changes = fixture.SendSync(request);
  REQUIRE(changes.endpoints_size() == 1);
  CHECK(changes.endpoints(0).instance() == "n5");
  CHECK(changes.endpoints(0).backend().phase() == wire::BACKEND_PHASE_DRAINING);
  request.set_endpoints_term(first.term() - 1);
  fixture.RunFor(Seconds(2));
  const wire::FleetSyncReply otherTerm = fixture.SendSync(request);
  CHECK(otherTerm.endpoints_base_revision() == 0);
  CHECK(otherTerm.endpoints_size() == 20);
}

// Guards against a small link that is filled by the routes that did not
// change.
TEST_CASE("a sync carries the changes of the configuration where it can")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest request = fixture.MakeRequest("n1");
  CHECK(fixture.SendSync(request).configuration().version() == 1);
  wire::FleetCommand command;
  wire::ReplaceConfiguration& change = *command.mutable_replace_configuration();
  change.set_base_version(1);
  *change.mutable_configuration() =
    fixture.m_state.CurrentChange().configuration();
  change.mutable_configuration()->set_version(2);
  fixture.Apply(command);
  request.set_configuration_version(1);
  CHECK(fixture.SendSync(request).configuration().version() == 2);
  request.set_accepts_configuration_changes(true);
  const wire::FleetSyncReply reply = fixture.SendSync(request);
  CHECK_FALSE(reply.has_configuration());
  CHECK(reply.configuration_changes().base_version() == 1);
  CHECK(reply.configuration_changes().version() == 2);
  request.set_configuration_version(0);
  CHECK(fixture.SendSync(request).configuration().version() == 2);
}

// Guards against a harmful request that crashes the backend servers of sidecars
// that have not seen it, and against held syncs of sidecars of the previous
// release that are answered again and again.
TEST_CASE("a sync carries the quarantine entries of other sidecars")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest reporter = fixture.MakeRequest("n1");
  reporter.set_accepts_quarantine(true);
  wire::QuarantineEntry& entry = *reporter.add_quarantine();
  entry.set_fingerprint(7);
  entry.set_state(wire::QUARANTINE_STATE_SUSPECT);
  entry.set_version(1);
  entry.set_left_ms(1000);
  fixture.SendSync(reporter);
  wire::FleetSyncRequest other = fixture.MakeRequest("n2");
  CHECK_FALSE(fixture.SendSync(other).has_quarantine());
  other.set_accepts_quarantine(true);
  const wire::FleetSyncReply reply = fixture.SendSync(other);
  REQUIRE(reply.quarantine().entries_size() == 1);
  CHECK(reply.quarantine().entries(0).fingerprint() == 7);
  other.set_quarantine_term(reply.quarantine().term());
  other.set_quarantine_revision(reply.quarantine().revision());
  CHECK_FALSE(fixture.SendSync(other).has_quarantine());
  // The next leader has no entries, and says so.
  fixture.ElectLeader();
  const wire::FleetSyncReply next = fixture.SendSync(other);
  REQUIRE(next.has_quarantine());
  CHECK(next.quarantine().term() == reply.quarantine().term() + 1);
  CHECK(next.quarantine().entries().empty());
}

// Guards against keys that stay unserved at a backend server that takes few
// requests, while others have room.
TEST_CASE("a backend server that names a low limit gets few keys")
{
  LeaderFixture fixture;
  const std::vector<std::string> instances = { "n1", "n2", "n3" };
  for (int round = 0; round < 8; ++round) {
    for (const std::string& instance : instances) {
      wire::FleetSyncRequest request = fixture.MakeRequest(instance);
      request.set_service_time_ms(100);
      request.set_request_limit(instance == "n1" ? 4 : 0);
      fixture.SendSync(request);
    }
    fixture.RunFor(Milliseconds(500));
  }
  std::map<std::string, uint32_t> keyCounts;
  for (const wire::OwnedRange& range :
       fixture.m_state.RangesByService().at("s").ranges()) {
    keyCounts[range.holder()] += range.last() - range.first() + 1;
  }
  CHECK(keyCounts["n2/b@1"] > 0);
  CHECK(keyCounts["n1/b@1"] < keyCounts["n2/b@1"] / 4);
}

// Guards against two owners of a key: a grant that was meant for the lifetime
// before may have reached the one that runs now.
TEST_CASE("ranges that a later lifetime may hold are not transferred")
{
  LeaderFixture fixture;
  fixture.AssignAllKeys("n1/b@1");
  fixture.SendSync(fixture.MakeRequest("n1"));
  wire::FleetSyncRequest later = fixture.MakeRequest("n1");
  later.mutable_backend()->set_started_at_unix_ms(2);
  later.mutable_backend()->set_holder("n1/b@2");
  later.mutable_backend()->set_phase(wire::BACKEND_PHASE_DRAINING);
  wire::KeyRange& held = *later.add_possible_holds();
  held.set_first(0);
  held.set_last(kLastKey);
  CHECK(fixture.RunUntilTakeover(later) >= Milliseconds(3000));
}

TEST_CASE("ranges of a lifetime that has ended are transferred at once")
{
  LeaderFixture fixture;
  fixture.AssignAllKeys("n1/b@1");
  fixture.SendSync(fixture.MakeRequest("n1"));
  wire::FleetSyncRequest later = fixture.MakeRequest("n1");
  later.mutable_backend()->set_started_at_unix_ms(2);
  later.mutable_backend()->set_holder("n1/b@2");
  later.mutable_backend()->set_phase(wire::BACKEND_PHASE_DRAINING);
  CHECK(fixture.RunUntilTakeover(later) < Milliseconds(1000));
}

// Guards against keys that are never served again because their owner refuses
// the fencing token of their assignment.
TEST_CASE("a range that its holder refuses gets a higher fencing token")
{
  LeaderFixture fixture;
  fixture.AssignAllKeys("n1/b@1");
  const uint64_t fence = fixture.m_index;
  wire::FleetSyncRequest request = fixture.MakeRequest("n1");
  wire::RefusedRange& refused = *request.add_refused_ranges();
  refused.set_first(100);
  refused.set_last(199);
  refused.set_fence(fence);
  for (int i = 0; i < 30; ++i) {
    const wire::FleetSyncReply reply = fixture.SendSync(request);
    request.set_plan_term(reply.term());
    request.set_plan(reply.plan());
    request.set_holds_known(true);
    fixture.RunFor(Milliseconds(100));
  }
  int raisedCount = 0;
  for (const wire::OwnedRange& range :
       fixture.m_state.RangesByService().at("s").ranges()) {
    CHECK(range.holder() == "n1/b@1");
    const bool isRefused = range.first() >= 100 && range.last() <= 199;
    CHECK((range.fence() > fence) == isRefused);
    raisedCount += isRefused ? 1 : 0;
  }
  CHECK(raisedCount == 1);
}

// Guards against a fleet that returns after a loss of everything and serves no
// key until its last instance is back.
TEST_CASE("restarted backend servers get their ranges before others report")
{
  LeaderFixture fixture;
  wire::FleetCommand command;
  command.mutable_assign_ranges()->set_service("s");
  for (uint32_t i = 0; i < 2; ++i) {
    wire::RangeAssignment& range =
      *command.mutable_assign_ranges()->add_ranges();
    range.set_first(i * 1000);
    range.set_last(i == 0 ? 999 : kLastKey);
    range.set_holder(i == 0 ? "n1/b@1" : "n3/b@1");
  }
  fixture.Apply(command);
  fixture.ElectLeader();
  wire::FleetSyncRequest restarted = fixture.MakeRequest("n1");
  restarted.mutable_backend()->set_started_at_unix_ms(2);
  restarted.mutable_backend()->set_holder("n1/b@2");
  fixture.SendSync(restarted);
  fixture.RunFor(Milliseconds(200));
  CHECK(fixture.OwnsAnyKey("n1/b@2"));
  // The instance of the other range has not reported, so it may still run.
  CHECK(fixture.OwnsAnyKey("n3/b@1"));
}

// Guards against a backend server that is used again because its sidecar has
// restarted and does not know that it is leaving.
TEST_CASE("a lifetime that has begun to leave does not become ready again")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest leaving = fixture.MakeRequest("n1");
  leaving.mutable_backend()->set_phase(wire::BACKEND_PHASE_DRAINING);
  CHECK(fixture.SendSync(leaving).backend_phase() ==
        wire::BACKEND_PHASE_DRAINING);
  const wire::FleetSyncReply reply =
    fixture.SendSync(fixture.MakeRequest("n1"));
  CHECK(reply.backend_phase() == wire::BACKEND_PHASE_DRAINING);
  REQUIRE(reply.endpoints_size() == 1);
  CHECK(reply.endpoints(0).backend().phase() == wire::BACKEND_PHASE_DRAINING);
  fixture.AssignAllKeys("n1/b@1");
  CHECK(fixture.RunUntilTakeover(fixture.MakeRequest("n1")) < Seconds(5));
  CHECK_FALSE(fixture.OwnsAnyKey("n1/b@1"));

  wire::FleetSyncRequest next = fixture.MakeRequest("n1");
  next.mutable_backend()->set_started_at_unix_ms(2);
  next.mutable_backend()->set_holder("n1/b@2");
  CHECK(fixture.SendSync(next).backend_phase() == wire::BACKEND_PHASE_READY);
}

// Guards against a sidecar that adopts a configuration and serves its backend
// server before it knows that its zone is evacuated, and against held syncs of
// sidecars of the previous release that are answered again and again.
TEST_CASE("a sync carries the evacuated zones to sidecars that accept them")
{
  LeaderFixture fixture;
  wire::FleetSyncRequest request = fixture.MakeRequest("n1");
  CHECK_FALSE(fixture.SendSync(request).has_evacuated_zones());
  wire::FleetCommand command;
  command.mutable_set_evacuation()->set_zone("z1");
  command.mutable_set_evacuation()->set_active(true);
  fixture.Apply(command);
  const wire::FleetSyncReply old = fixture.SendSync(request);
  CHECK_FALSE(old.has_evacuated_zones());
  request.set_accepts_evacuations(true);
  const wire::FleetSyncReply reply = fixture.SendSync(request);
  CHECK(reply.configuration().version() == 1);
  CHECK(reply.has_evacuated_zones());
  REQUIRE(reply.evacuated_zones_size() == 1);
  CHECK(reply.evacuated_zones(0) == "z1");

  request.set_configuration_version(1);
  request.set_endpoints_term(reply.term());
  request.set_endpoints_revision(reply.endpoints_revision());
  request.set_plan_term(reply.term());
  request.set_plan(reply.plan());
  request.set_ranges_index(reply.ranges_index());
  CHECK(fixture.m_leader->HasUpdates(request));
  request.add_evacuated_zones("z1");
  CHECK_FALSE(fixture.m_leader->HasUpdates(request));
  command.mutable_set_evacuation()->set_active(false);
  fixture.Apply(command);
  CHECK(fixture.m_leader->HasUpdates(request));
  request.set_accepts_evacuations(false);
  CHECK_FALSE(fixture.m_leader->HasUpdates(request));
}

} // namespace rattanloft::fleet
