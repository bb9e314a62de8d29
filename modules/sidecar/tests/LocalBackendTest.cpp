#include "LocalBackend.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

const TimePoint kStart{ 10'000 };

Heartbeat
MakeHeartbeat(uint64_t aSequence,
              int64_t aStartedAtUnixMs = 500,
              const std::string& aBackendId = "i-1")
{
  Heartbeat heartbeat;
  heartbeat.m_backendId = aBackendId;
  heartbeat.m_service = "s";
  heartbeat.m_address = "10.0.0.1:80";
  heartbeat.m_slots = 4;
  heartbeat.m_sequence = aSequence;
  heartbeat.m_startedAtUnixMs = aStartedAtUnixMs;
  return heartbeat;
}

Heartbeat
WithSequence(Heartbeat aHeartbeat, uint64_t aSequence)
{
  aHeartbeat.m_sequence = aSequence;
  return aHeartbeat;
}

LocalBackend
MakeBackendOfProcess(TimePoint aProcessStart)
{
  LocalBackend backend("n1", Seconds(2), aProcessStart);
  backend.SetRangeDelivery(wire::RANGE_DELIVERY_HEARTBEAT_RESPONSE);
  return backend;
}

// The sidecar has run for longer than late heartbeats may be on their way.
LocalBackend
MakeLocalBackend()
{
  return MakeBackendOfProcess(kStart - Seconds(60));
}

// The sidecar starts at kStart, beside a backend server that runs already.
LocalBackend
MakeRestartedLocalBackend()
{
  return MakeBackendOfProcess(kStart);
}

wire::FleetSyncReply
MakePlanReply(uint64_t aPlanNumber,
              uint32_t aFirst,
              uint32_t aLast,
              uint32_t aLeaseMs = 3000)
{
  wire::FleetSyncReply reply;
  reply.set_term(1);
  reply.set_plan(aPlanNumber);
  reply.set_holder("n1/i-1@500");
  reply.set_lease_ms(aLeaseMs);
  if (aFirst <= aLast) {
    wire::OwnedRange& range = *reply.add_plan_ranges();
    range.set_first(aFirst);
    range.set_last(aLast);
    range.set_fence(7);
  }
  return reply;
}

wire::FleetSyncRequest
MakeReport(const LocalBackend& aLocalBackend, TimePoint aNow)
{
  wire::FleetSyncRequest request;
  aLocalBackend.FillReport(request, aNow);
  return request;
}

// The leader receives a report and replies to it.
void
Sync(LocalBackend& aLocalBackend,
     const wire::FleetSyncReply& aReply,
     TimePoint aNow)
{
  const wire::FleetSyncRequest report = MakeReport(aLocalBackend, aNow);
  aLocalBackend.OnSyncReply(aReply, aNow);
  aLocalBackend.OnReportDelivered(report);
}

// Returns how long the grants are in force on a clock that runs 2% slow.
Duration
HoldOnSlowClock(const HeartbeatResponse& aResponse)
{
  return Milliseconds((aResponse.m_grantDuration.m_ms * 100 + 97) / 98);
}

} // namespace

// Guards against a response that the backend server does not accept because it
// is too large, so that none of its ranges is renewed.
TEST_CASE(
  "a response that has no room for all ranges keeps those that are held")
{
  // As on the wire, a handover token takes more room than the rest of a range.
  const auto fits = [](const HeartbeatResponse& aResponse) {
    size_t size = 0;
    for (const wire::OwnedRange& range : aResponse.m_grantedRanges) {
      size += range.handover().empty() ? 1 : 2;
    }
    return size <= 6;
  };
  LocalBackend backend = MakeLocalBackend();
  REQUIRE(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  wire::FleetSyncReply reply = MakePlanReply(1, 1, 0);
  for (uint32_t key = 0; key < 5; ++key) {
    wire::OwnedRange& range = *reply.add_plan_ranges();
    range.set_first(key);
    range.set_last(key);
    range.set_fence(7);
    range.set_handover("token");
  }
  Sync(backend, reply, kStart);
  CHECK(backend.MakeHeartbeatResponse(kStart, fits).m_grantedRanges.size() ==
        3);
  CHECK(backend.CheckServable(2, true, kStart) == ServeVerdict::kServe);
  CHECK(backend.CheckServable(3, true, kStart) == ServeVerdict::kNotOwner);

  // The ranges that are held come without their tokens, which makes room.
  Heartbeat heartbeat = MakeHeartbeat(2);
  heartbeat.m_heldRanges = { { 1, 1, 7 }, { 2, 2, 7 }, { 4, 4, 7 } };
  REQUIRE(backend.OnHeartbeat(heartbeat, kStart + Seconds(1)));
  backend.OnReportDelivered(MakeReport(backend, kStart + Seconds(1)));
  const HeartbeatResponse response =
    backend.MakeHeartbeatResponse(kStart + Seconds(1), fits);
  REQUIRE(response.m_grantedRanges.size() == 4);
  CHECK(response.m_grantedRanges[0].first() == 1);
  CHECK(response.m_grantedRanges[2].first() == 4);
  CHECK(response.m_grantedRanges[2].handover().empty());
  CHECK(response.m_grantedRanges[3].handover() == "token");
}

// Guards against a restarted sidecar that sends requests to a backend server
// before it learns that this backend server is draining. The first heartbeat
// that it gets may have been sent before the drain.
TEST_CASE("no request is served before the leader has told its view")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kNoBackend);
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  CHECK(backend.CheckServable({}, false, kStart) ==
        ServeVerdict::kAwaitsLeader);
  SECTION("the leader knows of no drain")
  {
    Sync(backend, MakePlanReply(1, 1, 0), kStart);
    CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kServe);
  }
  SECTION("the leader knows of a drain")
  {
    wire::FleetSyncReply reply = MakePlanReply(1, 1, 0);
    reply.set_backend_phase(wire::BACKEND_PHASE_GONE);
    Sync(backend, reply, kStart);
    CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kDraining);
  }
  SECTION("no leader replies until late heartbeats have arrived")
  {
    const TimePoint later = kStart + Milliseconds(9900);
    CHECK(backend.OnHeartbeat(MakeHeartbeat(2), later));
    CHECK(backend.CheckServable({}, false, later) ==
          ServeVerdict::kAwaitsLeader);
    CHECK(backend.CheckServable({}, false, kStart + Seconds(10)) ==
          ServeVerdict::kServe);
  }
}

// Guards against a backend server that is used again after its deregistration
// was confirmed: a sidecar that has just started knows no lifetime, and a late
// heartbeat follows.
TEST_CASE("a deregistration before the first heartbeat is remembered")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  const std::string holder = backend.OnDeregistration("i-1", 500, kStart);
  CHECK(holder == "n1/i-1@500");
  CHECK_FALSE(backend.IsDepartureRecorded(holder));
  const wire::FleetSyncRequest report = MakeReport(backend, kStart);
  REQUIRE(report.departures_size() == 1);
  CHECK(report.departures(0).holder() == holder);
  CHECK(report.departures(0).phase() == wire::BACKEND_PHASE_GONE);
  wire::FleetSyncReply reply;
  *reply.add_recorded_departures() = report.departures(0);
  Sync(backend, reply, kStart);
  CHECK(backend.IsDepartureRecorded(holder));
  CHECK(MakeReport(backend, kStart).departures_size() == 0);

  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kDraining);
  CHECK(MakeReport(backend, kStart).backend().phase() ==
        wire::BACKEND_PHASE_GONE);
  // The next lifetime serves.
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1, 600), kStart + Seconds(10)));
  CHECK(backend.CheckServable({}, false, kStart + Seconds(10)) ==
        ServeVerdict::kServe);
}

// Guards against a departure that is forgotten when the leader changes and the
// sidecar restarts after that.
TEST_CASE("a departure is reported again to the next leader")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  const std::string holder = backend.OnDeregistration("i-1", 500, kStart);
  wire::FleetSyncReply reply;
  reply.set_term(1);
  *reply.add_recorded_departures() = MakeReport(backend, kStart).departures(0);
  backend.OnSyncReply(reply, kStart);
  CHECK(backend.IsDepartureRecorded(holder));
  const uint64_t revision = backend.ReportRevision();
  wire::FleetSyncReply nextLeaderReply;
  nextLeaderReply.set_term(2);
  backend.OnSyncReply(nextLeaderReply, kStart);
  CHECK_FALSE(backend.IsDepartureRecorded(holder));
  CHECK(backend.ReportRevision() > revision);
  CHECK(MakeReport(backend, kStart).departures_size() == 1);
}

// Guards against a confirmation of what was dropped before it was recorded.
TEST_CASE("a departure that is not known counts as not recorded")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  const std::string holder = backend.OnDeregistration("i-1", 500, kStart);
  for (int i = 0; i < 16; ++i) {
    backend.OnDeregistration("i-2", 600 + i, kStart);
  }
  CHECK(MakeReport(backend, kStart).departures_size() == 16);
  CHECK_FALSE(backend.IsDepartureRecorded(holder));
}

// Guards against stray calls that make the sidecar forget a departure that was
// confirmed, so that a late heartbeat brings its lifetime back.
TEST_CASE("other departures do not displace one that was confirmed")
{
  LocalBackend backend = MakeLocalBackend();
  const auto record = [&](const std::string& aBackendId, TimePoint aNow) {
    backend.OnDeregistration(aBackendId, 500, aNow);
    const wire::FleetSyncRequest report = MakeReport(backend, aNow);
    wire::FleetSyncReply reply;
    *reply.mutable_recorded_departures() = report.departures();
    backend.OnSyncReply(reply, aNow);
  };
  record("i-1", kStart);
  for (int i = 0; i < 20; ++i) {
    record("stray-" + std::to_string(i), kStart);
  }
  CHECK_FALSE(backend.IsDepartureRecorded("n1/stray-19@500"));
  // A new leader has to record them again, but they stay confirmed.
  wire::FleetSyncReply nextLeaderReply;
  nextLeaderReply.set_term(2);
  backend.OnSyncReply(nextLeaderReply, kStart);
  backend.OnDeregistration("stray-20", 500, kStart);
  const TimePoint later = kStart + Seconds(9);
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), later));
  CHECK(backend.CheckServable({}, false, later) == ServeVerdict::kDraining);

  record("i-2", kStart + Seconds(11));
  CHECK(backend.IsDepartureRecorded("n1/i-2@500"));
}

// Guards against a confirmation that binds a lifetime which nobody knows.
TEST_CASE("a deregistration without its start needs a known lifetime")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  CHECK(backend.OnDeregistration("i-1", 0, kStart).empty());
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  CHECK(backend.OnDeregistration("i-1", 0, kStart) == "n1/i-1@500");
}

// Guards against a delayed heartbeat that reverts a drain or restores an
// earlier lifetime.
TEST_CASE("late heartbeats are ignored")
{
  LocalBackend backend = MakeLocalBackend();
  Heartbeat draining = MakeHeartbeat(5);
  draining.m_draining = true;
  CHECK(backend.OnHeartbeat(draining, kStart));
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kDraining);
  CHECK_FALSE(backend.OnHeartbeat(MakeHeartbeat(4), kStart));
  CHECK(backend.OnHeartbeat(MakeHeartbeat(6), kStart));
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kDraining);
  CHECK_FALSE(backend.OnHeartbeat(MakeHeartbeat(9, 400, "i-0"), kStart));
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1, 600, "i-2"), kStart));
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kServe);
}

// Guards against a backend server that is not used until its sidecar restarts.
TEST_CASE("a backend server that restarts after its clock was set back is used")
{
  LocalBackend backend = MakeLocalBackend();
  CHECK(backend.OnHeartbeat(MakeHeartbeat(5, 90'000), kStart));
  const Heartbeat restarted = MakeHeartbeat(1, 30'000, "i-2");
  CHECK_FALSE(backend.OnHeartbeat(restarted, kStart + Seconds(9)));
  const TimePoint later = kStart + Seconds(11);
  CHECK(backend.OnHeartbeat(restarted, later));
  CHECK(backend.View().backend_id() == "i-2");
  CHECK(backend.CheckServable({}, false, later) == ServeVerdict::kServe);
}

TEST_CASE("only a deregistration of the current lifetime starts a drain")
{
  LocalBackend backend = MakeLocalBackend();
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  backend.OnDeregistration("i-9", 0, kStart);
  backend.OnDeregistration("i-1", 499, kStart);
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kServe);
  backend.OnDeregistration("i-1", 500, kStart);
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kDraining);
}

// Guards against grants that are valid longer than the lease on a backend
// server whose clock is 2% slow.
TEST_CASE("grants expire before the lease that they depend on")
{
  LocalBackend backend = MakeLocalBackend();
  backend.OnHeartbeat(MakeHeartbeat(1), kStart);
  CHECK_FALSE(backend.MakeHeartbeatResponse(kStart).m_hasGrants);
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  const HeartbeatResponse response =
    backend.MakeHeartbeatResponse(kStart + Milliseconds(1000));
  REQUIRE(response.m_hasGrants);
  CHECK(response.m_grantDuration.m_ms * 102 / 100 <= 2000);
  CHECK_FALSE(
    backend.MakeHeartbeatResponse(kStart + Milliseconds(2900)).m_hasGrants);
  CHECK(backend.CheckServable(50, true, kStart + Milliseconds(1500)) ==
        ServeVerdict::kServe);
  CHECK(backend.CheckServable(100, true, kStart + Milliseconds(1500)) ==
        ServeVerdict::kNotOwner);
  CHECK(backend.CheckServable(50, true, kStart + Milliseconds(3000)) ==
        ServeVerdict::kNotOwner);
}

// Guards against a slow clock that uses up the margin for the clock
// granularity.
TEST_CASE("a hold on a slow clock ends 60 ms before the lease")
{
  for (const uint32_t leaseMs : { 600U, 1500U, 3000U, 3060U }) {
    LocalBackend backend = MakeLocalBackend();
    backend.OnHeartbeat(MakeHeartbeat(1), kStart);
    Sync(backend, MakePlanReply(1, 0, 99, leaseMs), kStart);
    const HeartbeatResponse response = backend.MakeHeartbeatResponse(kStart);
    REQUIRE(response.m_hasGrants);
    CHECK(HoldOnSlowClock(response).m_ms + 60 <= int64_t{ leaseMs });
  }
}

// Guards against a report that a range is free while it is still held.
TEST_CASE("a range is reported until its hold ends on a slow clock")
{
  LocalBackend backend = MakeLocalBackend();
  const TimePoint now = kStart + Seconds(4);
  backend.OnHeartbeat(MakeHeartbeat(1), now);
  Sync(backend, MakePlanReply(1, 0, 99), now);
  const HeartbeatResponse response = backend.MakeHeartbeatResponse(now);
  REQUIRE(response.m_hasGrants);
  const TimePoint holdEnd = now + HoldOnSlowClock(response);
  CHECK(MakeReport(backend, holdEnd).possible_holds_size() == 1);
  CHECK(
    MakeReport(backend, holdEnd + Milliseconds(100)).possible_holds_size() ==
    0);
}

// Guards against a report that a range is free while a response that grants it
// may still arrive.
TEST_CASE(
  "an offered range is reported until a later heartbeat shows its release")
{
  LocalBackend backend = MakeLocalBackend();
  backend.OnHeartbeat(MakeHeartbeat(1), kStart);
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  backend.MakeHeartbeatResponse(kStart);
  Sync(backend, MakePlanReply(2, 1, 0), kStart);
  CHECK(MakeReport(backend, kStart).possible_holds_size() == 1);
  Heartbeat holding = MakeHeartbeat(2);
  holding.m_heldRanges = { { 0, 99, 7 } };
  backend.OnHeartbeat(holding, kStart + Milliseconds(100));
  backend.MakeHeartbeatResponse(kStart + Milliseconds(100));
  CHECK(MakeReport(backend, kStart).possible_holds_size() == 1);
  Heartbeat notHolding = MakeHeartbeat(3);
  backend.OnHeartbeat(notHolding, kStart + Milliseconds(200));
  CHECK(MakeReport(backend, kStart).possible_holds_size() == 0);
}

// Guards against a planned move that loses its handover token: if the response
// that revokes a range is held back until the grant expires, the range is not
// released in time and the new owner starts cold.
TEST_CASE("a response that revokes ranges does not wait for new ones")
{
  LocalBackend backend = MakeLocalBackend();
  backend.OnHeartbeat(MakeHeartbeat(1), kStart);
  CHECK(backend.ShouldWaitForRanges(true));
  CHECK_FALSE(backend.ShouldWaitForRanges(false));
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  CHECK_FALSE(backend.ShouldWaitForRanges(true));
  backend.MakeHeartbeatResponse(kStart);
  Heartbeat holding = MakeHeartbeat(2);
  holding.m_heldRanges = { { 0, 99, 7 } };
  backend.OnHeartbeat(holding, kStart);
  wire::FleetSyncReply smallerPlan = MakePlanReply(2, 0, 50);
  smallerPlan.set_expects_ranges(true);
  Sync(backend, smallerPlan, kStart);
  CHECK_FALSE(backend.ShouldWaitForRanges(true));
  Sync(backend, MakePlanReply(3, 1, 0), kStart);
  CHECK_FALSE(backend.ShouldWaitForRanges(true));
  backend.OnHeartbeat(MakeHeartbeat(3), kStart);
  CHECK(backend.ShouldWaitForRanges(true));
}

// Guards against a first response without grants after a restart of the whole
// fleet: the next heartbeat comes only after a full interval.
TEST_CASE("the response waits for the first plan after a restart")
{
  LocalBackend backend = MakeLocalBackend();
  Heartbeat holding = MakeHeartbeat(9);
  holding.m_heldRanges = { { 0, 99, 7 } };
  backend.OnHeartbeat(holding, kStart);
  CHECK(backend.ShouldWaitForRanges(std::nullopt));
  CHECK(backend.ShouldWaitForRanges(true));
  CHECK_FALSE(backend.ShouldWaitForRanges(false));
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  CHECK_FALSE(backend.ShouldWaitForRanges(std::nullopt));
}

// Guards against keys of a crashed backend server that never get a new owner,
// and against a new owner while the crashed one may still hold them.
TEST_CASE(
  "ranges of a silent backend server are reported until its grants expire")
{
  LocalBackend backend = MakeLocalBackend();
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  backend.OnHeartbeat(MakeHeartbeat(1), kStart);
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  backend.MakeHeartbeatResponse(kStart);
  CHECK(
    MakeReport(backend, kStart + Milliseconds(2000)).possible_holds_size() ==
    1);
  CHECK(
    MakeReport(backend, kStart + Milliseconds(5000)).possible_holds_size() ==
    0);
}

// Guards against a restarted sidecar that reports no held ranges although a
// grant of the earlier process may still be in force.
TEST_CASE("held ranges are unknown before the first heartbeat")
{
  const LocalBackend backend = MakeRestartedLocalBackend();
  CHECK_FALSE(MakeReport(backend, kStart + Milliseconds(1000)).holds_known());
  CHECK(MakeReport(backend, kStart + Milliseconds(4000)).holds_known());
}

// Guards against ranges that the leader gives away while they are held: the
// first heartbeat that a restarted sidecar gets may have been sent before the
// ranges were granted.
TEST_CASE("a late heartbeat after a restart does not show what is held")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  const TimePoint now = kStart + Milliseconds(500);
  CHECK(backend.OnHeartbeat(MakeHeartbeat(2), now));
  CHECK_FALSE(MakeReport(backend, now).holds_known());
  CHECK(MakeReport(backend, now).heartbeat_sequence() == 2);
  wire::FleetSyncReply reply = MakePlanReply(1, 1, 0);
  reply.set_earlier_heartbeat_sequence(5);
  SECTION("the leader knows later heartbeats")
  {
    reply.set_knows_earlier_grants(true);
    Sync(backend, reply, now);
    CHECK_FALSE(MakeReport(backend, now).holds_known());
    CHECK_FALSE(backend.OnHeartbeat(MakeHeartbeat(5), now));
    Heartbeat newest = MakeHeartbeat(6);
    newest.m_heldRanges = { { 0, 99, 7 } };
    CHECK(backend.OnHeartbeat(newest, now));
    CHECK(MakeReport(backend, now).holds_known());
    CHECK(MakeReport(backend, now).possible_holds_size() == 1);
  }
  SECTION("the leader does not know what an earlier process has granted")
  {
    reply.set_earlier_heartbeat_sequence(0);
    Sync(backend, reply, now);
    CHECK_FALSE(MakeReport(backend, now).holds_known());
    CHECK(MakeReport(backend, kStart + Milliseconds(3300)).holds_known());
  }
}

// Guards against keys with two holders: another process of the sidecar could
// take an earlier heartbeat, without the new ranges, for the newest one.
TEST_CASE("new ranges are offered once the leader knows of the heartbeat")
{
  LocalBackend backend = MakeLocalBackend();
  Heartbeat heartbeat = MakeHeartbeat(1);
  heartbeat.m_heldRanges = { { 0, 49, 7 } };
  backend.OnHeartbeat(heartbeat, kStart);
  backend.OnSyncReply(MakePlanReply(1, 0, 99), kStart);
  CHECK(backend.ShouldWaitForRanges(true));
  CHECK(MakeReport(backend, kStart).awaits_confirmation());
  const HeartbeatResponse held = backend.MakeHeartbeatResponse(kStart);
  REQUIRE(held.m_grantedRanges.size() == 1);
  CHECK(held.m_grantedRanges[0].last() == 49);
  CHECK(backend.CheckServable(50, true, kStart) == ServeVerdict::kNotOwner);

  backend.OnReportDelivered(MakeReport(backend, kStart));
  CHECK_FALSE(backend.ShouldWaitForRanges(true));
  const HeartbeatResponse all = backend.MakeHeartbeatResponse(kStart);
  REQUIRE(all.m_grantedRanges.size() == 1);
  CHECK(all.m_grantedRanges[0].last() == 99);

  // Also if another range is to be released in the same response.
  wire::FleetSyncReply movedPlan = MakePlanReply(2, 20, 120);
  backend.OnSyncReply(movedPlan, kStart);
  backend.OnHeartbeat(WithSequence(heartbeat, 2), kStart);
  CHECK(backend.ShouldWaitForRanges(true));
  backend.OnReportDelivered(MakeReport(backend, kStart));
  CHECK_FALSE(backend.ShouldWaitForRanges(true));

  // The next heartbeat has to be known as well, and is reported at once.
  const uint64_t revision = backend.ReportRevision();
  backend.OnHeartbeat(WithSequence(heartbeat, 3), kStart);
  CHECK(backend.ReportRevision() > revision);
  REQUIRE(backend.MakeHeartbeatResponse(kStart).m_grantedRanges.size() == 1);
  CHECK(backend.MakeHeartbeatResponse(kStart).m_grantedRanges[0].last() == 49);
}

// Guards against ranges that count as released because a heartbeat lacks its
// list of them.
TEST_CASE("a heartbeat without a list of ranges releases none")
{
  LocalBackend backend = MakeLocalBackend();
  Heartbeat unlisted = MakeHeartbeat(1);
  unlisted.m_listsHolds = false;
  backend.OnHeartbeat(unlisted, kStart);
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  backend.MakeHeartbeatResponse(kStart);
  Sync(backend, MakePlanReply(2, 1, 0), kStart);
  unlisted.m_sequence = 2;
  backend.OnHeartbeat(unlisted, kStart);
  backend.MakeHeartbeatResponse(kStart);
  unlisted.m_sequence = 3;
  backend.OnHeartbeat(unlisted, kStart);
  CHECK(MakeReport(backend, kStart).possible_holds_size() == 1);
  backend.OnHeartbeat(MakeHeartbeat(4), kStart);
  CHECK(MakeReport(backend, kStart).possible_holds_size() == 0);
}

TEST_CASE("an older plan does not replace a newer one")
{
  LocalBackend backend = MakeLocalBackend();
  backend.OnHeartbeat(MakeHeartbeat(1), kStart);
  Sync(backend, MakePlanReply(5, 0, 9), kStart);
  Sync(backend, MakePlanReply(4, 0, 99), kStart);
  REQUIRE(backend.MakeHeartbeatResponse(kStart).m_grantedRanges.size() == 1);
  CHECK(backend.MakeHeartbeatResponse(kStart).m_grantedRanges[0].last() == 9);
}

TEST_CASE("handover tokens are reported until the leader has received them")
{
  LocalBackend backend = MakeLocalBackend();
  Heartbeat heartbeat = MakeHeartbeat(1);
  wire::HandedOver handover;
  handover.set_first(3);
  handover.set_last(9);
  handover.set_token("t");
  heartbeat.m_releasedRanges = { handover };
  backend.OnHeartbeat(heartbeat, kStart);
  const wire::FleetSyncRequest report = MakeReport(backend, kStart);
  REQUIRE(report.handovers_size() == 1);
  backend.OnReportDelivered(report);
  CHECK(MakeReport(backend, kStart).handovers_size() == 0);
}

// Guards against new work for a backend server that states its end only in its
// responses, also if a later heartbeat does not state it.
TEST_CASE("a backend server that announces its end in a response drains")
{
  LocalBackend backend = MakeLocalBackend();
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kServe);
  backend.OnLeavingAnnounced(kStart);
  CHECK(backend.OnHeartbeat(MakeHeartbeat(2), kStart));
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kDraining);
  CHECK(MakeReport(backend, kStart).backend().phase() ==
        wire::BACKEND_PHASE_DRAINING);
  // The next lifetime serves.
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1, 600, "i-2"), kStart));
  CHECK(backend.CheckServable({}, false, kStart) == ServeVerdict::kServe);
}

// Guards against requests that reach a leaving backend server because the
// sidecar beside it has restarted and counts its drain from then.
TEST_CASE("a backend server whose drain began before a restart is not used")
{
  LocalBackend backend = MakeRestartedLocalBackend();
  SECTION("a heartbeat states the drain")
  {
    Heartbeat heartbeat = MakeHeartbeat(1);
    heartbeat.m_draining = true;
    CHECK(backend.OnHeartbeat(heartbeat, kStart));
    Sync(backend, MakePlanReply(1, 0, 99), kStart);
  }
  SECTION("only the leader knows of the drain")
  {
    CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
    wire::FleetSyncReply reply = MakePlanReply(1, 0, 99);
    reply.set_backend_phase(wire::BACKEND_PHASE_DRAINING);
    Sync(backend, reply, kStart);
  }
  backend.MakeHeartbeatResponse(kStart);
  CHECK(backend.CheckServable(5, true, kStart) == ServeVerdict::kDraining);
  CHECK(MakeReport(backend, kStart).backend().phase() ==
        wire::BACKEND_PHASE_DRAINING);
}

// Guards against a drain that ends at once because the leader repeats the phase
// that this sidecar has reported.
TEST_CASE("a draining backend server serves its keys until they have moved")
{
  LocalBackend backend = MakeLocalBackend();
  CHECK(backend.OnHeartbeat(MakeHeartbeat(1), kStart));
  Sync(backend, MakePlanReply(1, 0, 99), kStart);
  backend.MakeHeartbeatResponse(kStart);
  Heartbeat heartbeat = MakeHeartbeat(2);
  heartbeat.m_draining = true;
  CHECK(backend.OnHeartbeat(heartbeat, kStart));
  wire::FleetSyncReply reply = MakePlanReply(1, 0, 99);
  reply.set_backend_phase(wire::BACKEND_PHASE_DRAINING);
  Sync(backend, reply, kStart);
  CHECK(backend.CheckServable(5, true, kStart + Seconds(1)) ==
        ServeVerdict::kServe);
  CHECK(backend.CheckServable(5, true, kStart + Milliseconds(1300)) ==
        ServeVerdict::kDraining);
}

} // namespace rattanloft::sidecar
