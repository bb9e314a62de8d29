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
           std::string_view aReason = "reason")
{
  AttemptResult result;
  result.m_outcome = aOutcome;
  result.m_reachedBackend = aReachedBackend;
  result.m_reason = aReason;
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

TEST_CASE("waiting for an owner takes no attempt from the request")
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

TEST_CASE("a keyed request is tried until its wait for an owner ends")
{
  AttemptPolicy policy(MakeKeyedLimits());
  TimePoint now = kStart;
  uint32_t sent = 0;
  NextStep step = NextStep::kWaitForOwner;
  while (step == NextStep::kWaitForOwner) {
    step =
      policy.OnResult(MakeResult(AttemptOutcome::kNotRun, false, "unreachable"),
                      now,
                      AllowRetry);
    ++sent;
    now = now + kOwnerPollInterval;
  }
  CHECK(step == NextStep::kFinish);
  CHECK(now > kStart + Milliseconds(500));
  CHECK(policy.SidecarAttempts() == sent);
}

// Guards against a refusal while the next owner is about to serve: a move takes
// longer than the target latency of a short request.
TEST_CASE("a keyed request waits longer for a move than for a lost owner")
{
  const TimePoint afterOwnerWait = kStart + Milliseconds(600);
  AttemptPolicy ownerLost(MakeKeyedLimits());
  CHECK(ownerLost.OnResult(
          MakeResult(AttemptOutcome::kNotRun, false, "unreachable"),
          afterOwnerWait,
          AllowRetry) == NextStep::kFinish);
  AttemptPolicy ownerMoving(MakeKeyedLimits());
  const AttemptResult moved =
    MakeResult(AttemptOutcome::kNotRun, false, "not-owner");
  CHECK(ownerMoving.OnResult(moved, afterOwnerWait, AllowRetry) ==
        NextStep::kWaitForOwner);
  CHECK(ownerMoving.OnResult(moved, kStart + Milliseconds(790), AllowRetry) ==
        NextStep::kFinish);
}

TEST_CASE("a keyed request does not wait for an owner that has no room")
{
  AttemptPolicy policy(MakeKeyedLimits());
  CHECK(policy.OnResult(
          MakeResult(AttemptOutcome::kNotRun, false, kOverloadedReason),
          kStart,
          AllowRetry) == NextStep::kFinish);
}

TEST_CASE("a request without keys ends after four sidecars")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  const AttemptResult refused =
    MakeResult(AttemptOutcome::kNotRun, false, kOverloadedReason);
  for (int i = 0; i < 3; ++i) {
    CHECK(policy.OnResult(refused, kStart, DenyRetry) == NextStep::kSend);
  }
  CHECK(policy.OnResult(refused, kStart, DenyRetry) == NextStep::kFinish);
  CHECK(policy.OnNoEndpoint(kStart) == NextStep::kFinish);
}

TEST_CASE("a request that may have run is repeated only if it is idempotent")
{
  AttemptPolicy repeatable(MakeUnkeyedLimits(true));
  AttemptPolicy notRepeatable(MakeUnkeyedLimits(false));
  const AttemptResult unknown = MakeResult(AttemptOutcome::kUnknown, true);
  CHECK(repeatable.OnResult(unknown, kStart, AllowRetry) == NextStep::kSend);
  CHECK(notRepeatable.OnResult(unknown, kStart, AllowRetry) ==
        NextStep::kFinish);
  CHECK(notRepeatable.MayHaveRun());
}

TEST_CASE("a request reaches no more backend servers than its route allows")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  const AttemptResult full =
    MakeResult(AttemptOutcome::kNotRun, true, "backend-full");
  CHECK(policy.OnResult(full, kStart, AllowRetry) == NextStep::kSend);
  CHECK(policy.OnResult(full, kStart, AllowRetry) == NextStep::kFinish);
  CHECK(policy.BackendAttempts() == 2);
}

TEST_CASE("an arrived request is repeated only within the retry budget")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  CHECK(policy.OnResult(MakeResult(AttemptOutcome::kUnknown, true),
                        kStart,
                        DenyRetry) == NextStep::kFinish);
}

TEST_CASE("nothing is sent after the deadline")
{
  AttemptPolicy policy(MakeUnkeyedLimits(true));
  CHECK(policy.OnResult(MakeResult(AttemptOutcome::kNotRun, false),
                        kStart + Milliseconds(1200),
                        AllowRetry) == NextStep::kFinish);
}

} // namespace rattanloft::sidecar
