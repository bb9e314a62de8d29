#include "AttemptPolicy.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

constexpr TimePoint kStart{ 1000 };

AttemptLimits
KeyedLimits()
{
  AttemptLimits limits;
  limits.m_keyed = true;
  limits.m_idempotent = true;
  limits.m_maxArrivals = 2;
  limits.m_deadline = kStart + Milliseconds(1200);
  limits.m_ownerWaitEnd = kStart + Milliseconds(500);
  limits.m_moveWaitEnd = kStart + Milliseconds(800);
  return limits;
}

AttemptLimits
PlainLimits(bool aIdempotent)
{
  AttemptLimits limits = KeyedLimits();
  limits.m_keyed = false;
  limits.m_idempotent = aIdempotent;
  return limits;
}

AttemptResult
Result(Outcome aOutcome, bool aArrived, std::string_view aReason = "reason")
{
  AttemptResult result;
  result.m_outcome = aOutcome;
  result.m_arrived = aArrived;
  result.m_reason = aReason;
  return result;
}

bool
Yes()
{
  return true;
}

bool
No()
{
  return false;
}

} // namespace

TEST_CASE("waiting for an owner takes no attempt from the request")
{
  AttemptPolicy policy(KeyedLimits());
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(policy.OnNoTarget(now) == NextStep::kWaitForOwner);
    now = now + kOwnerPoll;
  }
  CHECK(policy.Hops() == 0);
  CHECK(policy.OnResult(Result(Outcome::kUnknown, true), now, Yes) ==
        NextStep::kWaitForOwner);
  CHECK(policy.Hops() == 1);
  CHECK(policy.Arrivals() == 1);
}

TEST_CASE("a keyed request is tried until its wait for an owner ends")
{
  AttemptPolicy policy(KeyedLimits());
  TimePoint now = kStart;
  uint32_t sent = 0;
  NextStep step = NextStep::kWaitForOwner;
  while (step == NextStep::kWaitForOwner) {
    step =
      policy.OnResult(Result(Outcome::kNotRun, false, "unreachable"), now, Yes);
    ++sent;
    now = now + kOwnerPoll;
  }
  CHECK(step == NextStep::kFinish);
  CHECK(now > kStart + Milliseconds(500));
  CHECK(policy.Hops() == sent);
}

// Guards against a refusal while the next owner is about to serve: a move takes
// longer than the target latency of a short request.
TEST_CASE("a keyed request waits longer for a move than for a lost owner")
{
  const TimePoint late = kStart + Milliseconds(600);
  AttemptPolicy lost(KeyedLimits());
  CHECK(lost.OnResult(Result(Outcome::kNotRun, false, "unreachable"),
                      late,
                      Yes) == NextStep::kFinish);
  AttemptPolicy moving(KeyedLimits());
  const AttemptResult moved = Result(Outcome::kNotRun, false, "not-owner");
  CHECK(moving.OnResult(moved, late, Yes) == NextStep::kWaitForOwner);
  CHECK(moving.OnResult(moved, kStart + Milliseconds(790), Yes) ==
        NextStep::kFinish);
}

TEST_CASE("a keyed request does not wait for an owner that has no room")
{
  AttemptPolicy policy(KeyedLimits());
  CHECK(policy.OnResult(Result(Outcome::kNotRun, false, kOverloadedReason),
                        kStart,
                        Yes) == NextStep::kFinish);
}

TEST_CASE("a request without keys ends after four sidecars")
{
  AttemptPolicy policy(PlainLimits(true));
  const AttemptResult refused =
    Result(Outcome::kNotRun, false, kOverloadedReason);
  for (int i = 0; i < 3; ++i) {
    CHECK(policy.OnResult(refused, kStart, No) == NextStep::kSend);
  }
  CHECK(policy.OnResult(refused, kStart, No) == NextStep::kFinish);
  CHECK(policy.OnNoTarget(kStart) == NextStep::kFinish);
}

TEST_CASE("a request that may have run is repeated only if it is idempotent")
{
  AttemptPolicy repeatable(PlainLimits(true));
  AttemptPolicy once(PlainLimits(false));
  const AttemptResult unknown = Result(Outcome::kUnknown, true);
  CHECK(repeatable.OnResult(unknown, kStart, Yes) == NextStep::kSend);
  CHECK(once.OnResult(unknown, kStart, Yes) == NextStep::kFinish);
  CHECK(once.MayHaveRun());
}

TEST_CASE("a request reaches no more backend servers than its route allows")
{
  AttemptPolicy policy(PlainLimits(true));
  const AttemptResult full = Result(Outcome::kNotRun, true, "backend-full");
  CHECK(policy.OnResult(full, kStart, Yes) == NextStep::kSend);
  CHECK(policy.OnResult(full, kStart, Yes) == NextStep::kFinish);
  CHECK(policy.Arrivals() == 2);
}

TEST_CASE("an arrived request is repeated only within the retry budget")
{
  AttemptPolicy policy(PlainLimits(true));
  CHECK(policy.OnResult(Result(Outcome::kUnknown, true), kStart, No) ==
        NextStep::kFinish);
}

TEST_CASE("nothing is sent after the deadline")
{
  AttemptPolicy policy(PlainLimits(true));
  CHECK(policy.OnResult(Result(Outcome::kNotRun, false),
                        kStart + Milliseconds(1200),
                        Yes) == NextStep::kFinish);
}

} // namespace rattanloft::sidecar
