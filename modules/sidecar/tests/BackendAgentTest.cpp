#include "BackendAgent.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

const TimePoint kStart{ 10'000 };

Heartbeat
Beat(uint64_t aSequence, int64_t aBorn = 500, const std::string& aId = "i-1")
{
  Heartbeat heartbeat;
  heartbeat.m_backendId = aId;
  heartbeat.m_service = "s";
  heartbeat.m_address = "10.0.0.1:80";
  heartbeat.m_slots = 4;
  heartbeat.m_sequence = aSequence;
  heartbeat.m_startedAtUnixMs = aBorn;
  return heartbeat;
}

BackendAgent
MakeAgent()
{
  return BackendAgent("n1", "10.0.0.1:80", Seconds(2), kStart);
}

wire::FleetSyncReply
Plan(uint64_t aPlan, uint32_t aFirst, uint32_t aLast, uint32_t aLeaseMs = 3000)
{
  wire::FleetSyncReply reply;
  reply.set_term(1);
  reply.set_plan(aPlan);
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
Report(const BackendAgent& aAgent, TimePoint aNow)
{
  wire::FleetSyncRequest request;
  aAgent.Report(request, aNow);
  return request;
}

} // namespace

// Guards against work for a backend server whose drain a restarted sidecar has
// not heard of.
TEST_CASE("nothing is served before the first heartbeat")
{
  BackendAgent agent = MakeAgent();
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kNoBackend);
  CHECK(agent.OnHeartbeat(Beat(1), kStart));
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kServe);
}

// Guards against a late heartbeat that undoes a drain or brings back an earlier
// lifetime.
TEST_CASE("late heartbeats change nothing")
{
  BackendAgent agent = MakeAgent();
  Heartbeat draining = Beat(5);
  draining.m_draining = true;
  CHECK(agent.OnHeartbeat(draining, kStart));
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kDraining);
  CHECK_FALSE(agent.OnHeartbeat(Beat(4), kStart));
  CHECK(agent.OnHeartbeat(Beat(6), kStart));
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kDraining);
  CHECK_FALSE(agent.OnHeartbeat(Beat(9, 400, "i-0"), kStart));
  CHECK(agent.OnHeartbeat(Beat(1, 600, "i-2"), kStart));
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kServe);
  Heartbeat other = Beat(2, 700, "i-3");
  other.m_address = "10.0.0.2:80";
  CHECK_FALSE(agent.OnHeartbeat(other, kStart));
}

TEST_CASE("a backend server that leaves gets nothing, whoever it was before")
{
  BackendAgent agent = MakeAgent();
  CHECK(agent.OnHeartbeat(Beat(1), kStart));
  agent.OnLeave("i-9", 0, kStart);
  agent.OnLeave("i-1", 499, kStart);
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kServe);
  agent.OnLeave("i-1", 500, kStart);
  CHECK(agent.MayServe({}, false, kStart) == ServeVerdict::kDraining);
}

// Guards against a hold that outlives the lease, with a clock that is 2% slow.
TEST_CASE("a hold ends before the lease that it comes from")
{
  BackendAgent agent = MakeAgent();
  agent.OnHeartbeat(Beat(1), kStart);
  CHECK_FALSE(agent.Grant(kStart).m_hasGrants);
  agent.OnPlan(Plan(1, 0, 99), kStart);
  const HeartbeatResponse answer = agent.Grant(kStart + Milliseconds(1000));
  REQUIRE(answer.m_hasGrants);
  CHECK(answer.m_grantDuration.m_ms * 102 / 100 <= 2000);
  CHECK_FALSE(agent.Grant(kStart + Milliseconds(2900)).m_hasGrants);
  CHECK(agent.MayServe(50, true, kStart + Milliseconds(1500)) ==
        ServeVerdict::kServe);
  CHECK(agent.MayServe(100, true, kStart + Milliseconds(1500)) ==
        ServeVerdict::kNotOwner);
  CHECK(agent.MayServe(50, true, kStart + Milliseconds(3000)) ==
        ServeVerdict::kNotOwner);
}

// Guards against a report that a range is free while an answer that grants it
// is still on its way.
TEST_CASE("an offered range counts as held until a later heartbeat denies it")
{
  BackendAgent agent = MakeAgent();
  agent.OnHeartbeat(Beat(1), kStart);
  agent.OnPlan(Plan(1, 0, 99), kStart);
  agent.Grant(kStart);
  agent.OnPlan(Plan(2, 1, 0), kStart);
  CHECK(Report(agent, kStart).possible_holds_size() == 1);
  Heartbeat holding = Beat(2);
  holding.m_heldRanges = { { 0, 99, 7 } };
  agent.OnHeartbeat(holding, kStart + Milliseconds(100));
  agent.Grant(kStart + Milliseconds(100));
  CHECK(Report(agent, kStart).possible_holds_size() == 1);
  Heartbeat released = Beat(3);
  agent.OnHeartbeat(released, kStart + Milliseconds(200));
  CHECK(Report(agent, kStart).possible_holds_size() == 0);
}

// Guards against a planned move that arrives cold: the release waited with the
// answer until the hold had run out.
TEST_CASE("an answer that takes ranges away does not wait for others")
{
  BackendAgent agent = MakeAgent();
  agent.OnHeartbeat(Beat(1), kStart);
  CHECK(agent.ShouldWaitForRanges(true));
  CHECK_FALSE(agent.ShouldWaitForRanges(false));
  agent.OnPlan(Plan(1, 0, 99), kStart);
  CHECK_FALSE(agent.ShouldWaitForRanges(true));
  agent.Grant(kStart);
  Heartbeat holding = Beat(2);
  holding.m_heldRanges = { { 0, 99, 7 } };
  agent.OnHeartbeat(holding, kStart);
  wire::FleetSyncReply less = Plan(2, 0, 50);
  less.set_expects_ranges(true);
  agent.OnPlan(less, kStart);
  CHECK_FALSE(agent.ShouldWaitForRanges(true));
  agent.OnPlan(Plan(3, 1, 0), kStart);
  CHECK_FALSE(agent.ShouldWaitForRanges(true));
  agent.OnHeartbeat(Beat(3), kStart);
  CHECK(agent.ShouldWaitForRanges(true));
}

// Guards against an answer without grants to the first heartbeat after a
// restart of everything: the next one comes only after a whole interval.
TEST_CASE("an answer waits for the first plan after a restart")
{
  BackendAgent agent = MakeAgent();
  Heartbeat holding = Beat(9);
  holding.m_heldRanges = { { 0, 99, 7 } };
  agent.OnHeartbeat(holding, kStart);
  CHECK(agent.ShouldWaitForRanges(std::nullopt));
  CHECK(agent.ShouldWaitForRanges(true));
  CHECK_FALSE(agent.ShouldWaitForRanges(false));
  agent.OnPlan(Plan(1, 0, 99), kStart);
  CHECK_FALSE(agent.ShouldWaitForRanges(std::nullopt));
}

// Guards against keys of a crashed backend server that stay without an owner,
// and against their release while it may still hold them.
TEST_CASE("holds of a silent backend server end with the last offer")
{
  BackendAgent agent = MakeAgent();
  agent.OnPlan(Plan(1, 0, 99), kStart);
  agent.OnHeartbeat(Beat(1), kStart);
  agent.OnPlan(Plan(1, 0, 99), kStart);
  agent.Grant(kStart);
  CHECK(Report(agent, kStart + Milliseconds(2000)).possible_holds_size() == 1);
  CHECK(Report(agent, kStart + Milliseconds(5000)).possible_holds_size() == 0);
}

// Guards against a restarted sidecar that takes a backend server for free.
TEST_CASE("holds are not known before the first heartbeat")
{
  const BackendAgent agent = MakeAgent();
  CHECK_FALSE(Report(agent, kStart + Milliseconds(1000)).holds_known());
  CHECK(Report(agent, kStart + Milliseconds(4000)).holds_known());
}

TEST_CASE("an older plan does not replace a newer one")
{
  BackendAgent agent = MakeAgent();
  agent.OnHeartbeat(Beat(1), kStart);
  agent.OnPlan(Plan(5, 0, 9), kStart);
  agent.OnPlan(Plan(4, 0, 99), kStart);
  REQUIRE(agent.Grant(kStart).m_grantedRanges.size() == 1);
  CHECK(agent.Grant(kStart).m_grantedRanges[0].last() == 9);
}

TEST_CASE("handover tokens are reported until the leader has them")
{
  BackendAgent agent = MakeAgent();
  Heartbeat beat = Beat(1);
  wire::HandedOver handover;
  handover.set_first(3);
  handover.set_last(9);
  handover.set_token("t");
  beat.m_releasedRanges = { handover };
  agent.OnHeartbeat(beat, kStart);
  const wire::FleetSyncRequest report = Report(agent, kStart);
  REQUIRE(report.handovers_size() == 1);
  agent.OnHandoversTaken(report);
  CHECK(Report(agent, kStart).handovers_size() == 0);
}

} // namespace rattanloft::sidecar
