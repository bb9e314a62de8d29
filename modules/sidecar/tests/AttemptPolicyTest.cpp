#include "AttemptPolicy.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

constexpr TimePoint kStart{ 1000 };

AttemptLimits
MakeKeyedLimits()
{
  AttemptLimits limits;
  limits.m_keyed = true;
  limits.m_idempotent = true;
  limits.m_maxBackendAttempts = 2;
  limits.m_deadline = kStart + Milliseconds(1200);
  limits.m_ownerWaitDeadline = kStart + Milliseconds(500);
  limits.m_moveWaitDeadline = kStart + Milliseconds(800);
  return limits;
}

AttemptLimits
MakeUnkeyedLimits(bool aIdempotent)
{
  AttemptLimits limits = MakeKeyedLimits();
  limits.m_keyed = false;
  limits.m_idempotent = aIdempotent;
  return limits;
}

AttemptResult
MakeResult(AttemptOutcome aOutcome,
           bool aReachedBackend,
           ResultKind aKind = ResultKind::kOther)
{
  AttemptResult result;
  result.m_outcome = aOutcome;
  result.m_reachedBackend = aReachedBackend;
  result.m_reason = "reason";
  result.m_kind = aKind;
  return result;
}

bool
AllowRetry()
{
  return true;
}

bool
DenyRetry()
{
  return false;
}

} // namespace

TEST_CASE("waiting for an owner does not count as an attempt")
{
  AttemptPolicy policy(MakeKeyedLimits());
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(policy.OnNoEndpoint(now) == NextStep::kWaitForOwner);
    now = now + kOwnerPollInterval;
  }
  CHECK(policy.SidecarAttempts() == 0);
  CHECK(policy.OnResult(MakeResult(AttemptOutcome::kUnknown, true),
                        now,
                        AllowRetry) == NextStep::kWaitForOwner);
  CHECK(policy.SidecarAttempts() == 1);
  CHECK(policy.BackendAttempts() == 1);
}

TEST_CASE("a keyed request is retried until its wait for an owner ends")
{
  AttemptPolicy policy(MakeKeyedLimits());
  TimePoint now = kStart;
  uint32_t sent = 0;
  NextStep step = NextStep::kWaitForOwner;
  while (step == NextStep::kWaitForOwner) {
    step = policy.OnResult(
      MakeResult(AttemptOutcome::kNotRun, false), now, AllowRetry);
    ++sent;
    now = now + kOwnerPollInterval;
  }
  CHECK(step == NextStep::kFinish);
  CHECK(now > kStart + Milliseconds(500));
  CHECK(policy.SidecarAttempts() == sent);
}

// Guards against a refusal while the next owner is about to take over: moving a
// key takes longer than the target latency of a short request.
TEST_CASE("a keyed request waits longer for a moving key than for a lost owner")
{
  const TimePoint afterOwnerWait = kStart + Milliseconds(600);
  AttemptPolicy ownerLost(MakeKeyedLimits());
  CHECK(ownerLost.OnResult(MakeResult(AttemptOutcome::kNotRun, false),
                           afterOwnerWait,
                           AllowRetry) == NextStep::kFinish);
  AttemptPolicy ownerMoving(MakeKeyedLimits());
  const AttemptResult moved =
    MakeResult(AttemptOutcome::kNotRun, false, ResultKind::kOwnerMoved);
  CHECK(ownerMoving.OnResult(moved, afterOwnerWait, AllowRetry) ==
        NextStep::kWaitForOwner);
  CHECK(ownerMoving.OnResult(moved, kStart + Milliseconds(790), AllowRetry) ==
        NextStep::kFinish);
}

// Guards against requests that wait until most of their time is over, although
// nobody can assign their key.
TEST_CASE("a keyed request waits for no other owner while the leader is silent")
{
  AttemptLimits limits = MakeKeyedLimits();
  limits.m_leaderSilent = true;
  AttemptPolicy policy(limits);
  CHECK(policy.OnNoEndpoint(kStart) == NextStep::kFinish);
  CHECK(policy.OnInstanceChosen(false) == NextStep::kSend);
  const AttemptResult leaseEnded =
    MakeResult(AttemptOutcome::kNotRun, false, ResultKind::kOwnerMoved);
  CHECK(policy.OnResult(leaseEnded, kStart, AllowRetry) == NextStep::kFinish);
  // The owner that cannot be reached for a moment needs no leader to come back.
  const AttemptResult unreachable = MakeResult(AttemptOutcome::kNotRun, false);
  CHECK(policy.OnResult(unreachable, kStart, AllowRetry) ==
        NextStep::kWaitForOwner);
}

TEST_CASE("a keyed request does not wait for an overloaded owner")
{
  AttemptPolicy policy(MakeKeyedLimits());
  CHECK(policy.OnResult(
          MakeResult(AttemptOutcome::kNotRun, false, ResultKind::kOverloaded),
          kStart,
          AllowRetry) == NextStep::kFinish);
}

// Guards against decisions that depend on the wording of a reason.
TEST_CASE("a keyed request waits by the kind of a result, not by its reason")
{
  for (const std::string_view reason : { "overloaded", "not-owner" }) {
    AttemptPolicy policy(MakeKeyedLimits());
    AttemptResult other = MakeResult(AttemptOutcome::kNotRun, false);
    other.m_reason = reason;
    CHECK(policy.OnResult(other, kStart, AllowRetry) ==
          NextStep::kWaitForOwner);
    CHECK(policy.OnResult(other, kStart + Milliseconds(600), AllowRetry) ==
          NextStep::kFinish);
  }
}

// Guards against requests that pile up at a frozen owner until their deadlines.
TEST_CASE("a keyed request ends at once if its owner is stalled")
{
  AttemptPolicy policy(MakeKeyedLimits());
  CHECK(policy.OnInstanceChosen(false) == NextStep::kSend);
  CHECK(policy.OnInstanceChosen(true) == NextStep::kFinish);
  CHECK(policy.SidecarAttempts() == 0);
  CHECK_FALSE(policy.MayHaveRun());
  const AttemptResult moved =
    MakeResult(AttemptOutcome::kNotRun, false, ResultKind::kOwnerMoved);
  REQUIRE(policy.OnResult(moved, kStart, AllowRetry) ==
          NextStep::kWaitForOwner);
  CHECK(policy.OnInstanceChosen(true) == NextStep::kFinish);
  CHECK(policy.OnInstanceChosen(false) == NextStep::kSend);
}

// Guards against a refusal while every instance that is left is slow.
TEST_CASE("an unkeyed request is sent even to a stalled instance")
{
  const AttemptPolicy policy(MakeUnkeyedLimits(true));
  CHECK(policy.OnInstanceChosen(true) == NextStep::kSend);
}

TEST_CASE("an unkeyed request finishes after four attempts")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  const AttemptResult refused =
    MakeResult(AttemptOutcome::kNotRun, false, ResultKind::kOverloaded);
  for (int i = 0; i < 3; ++i) {
    CHECK(policy.OnResult(refused, kStart, DenyRetry) == NextStep::kSend);
  }
  CHECK(policy.OnResult(refused, kStart, DenyRetry) == NextStep::kFinish);
  CHECK(policy.OnNoEndpoint(kStart) == NextStep::kFinish);
}

TEST_CASE("a request that may have run is retried only if it is idempotent")
{
  AttemptPolicy repeatable(MakeUnkeyedLimits(true));
  AttemptPolicy notRepeatable(MakeUnkeyedLimits(false));
  const AttemptResult unknown = MakeResult(AttemptOutcome::kUnknown, true);
  CHECK(repeatable.OnResult(unknown, kStart, AllowRetry) == NextStep::kSend);
  CHECK(notRepeatable.OnResult(unknown, kStart, AllowRetry) ==
        NextStep::kFinish);
  CHECK(notRepeatable.MayHaveRun());
}

TEST_CASE(
  "a request reaches at most as many backend servers as its route allows")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  const AttemptResult full = MakeResult(AttemptOutcome::kNotRun, true);
  CHECK(policy.OnResult(full, kStart, AllowRetry) == NextStep::kSend);
  CHECK(policy.OnResult(full, kStart, AllowRetry) == NextStep::kFinish);
  CHECK(policy.BackendAttempts() == 2);
}

TEST_CASE(
  "a request that reached a backend server is retried only within the budget")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  CHECK(policy.OnResult(MakeResult(AttemptOutcome::kUnknown, true),
                        kStart,
                        DenyRetry) == NextStep::kFinish);
}

TEST_CASE("a request is not sent again after its deadline")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  CHECK(policy.OnResult(MakeResult(AttemptOutcome::kNotRun, false),
                        kStart + Milliseconds(1200),
                        AllowRetry) == NextStep::kFinish);
}

// Guards against a harmful request that waits for its owner until its deadline.
TEST_CASE("a quarantined request is not sent again")
{
  const bool keyed = GENERATE(true, false);
  AttemptPolicy policy(keyed ? MakeKeyedLimits() : MakeUnkeyedLimits(true));
  CHECK(policy.OnResult(
          MakeResult(AttemptOutcome::kNotRun, false, ResultKind::kQuarantined),
          kStart,
          AllowRetry) == NextStep::kFinish);
}

// Guards against requests that give up before the keys of an evacuated zone
// have moved, and against a wait that ends only with the deadline.
TEST_CASE("a keyed request waits while its owner is evacuated")
{
  const AttemptPolicy policy(MakeKeyedLimits());
  CHECK(policy.OnOwnerMoving(kStart + Milliseconds(700)) ==
        NextStep::kWaitForOwner);
  CHECK(policy.OnOwnerMoving(kStart + Milliseconds(790)) == NextStep::kFinish);
  AttemptLimits limits = MakeKeyedLimits();
  limits.m_leaderSilent = true;
  CHECK(AttemptPolicy(limits).OnOwnerMoving(kStart) == NextStep::kFinish);
}

} // namespace rattanloft::sidecar
