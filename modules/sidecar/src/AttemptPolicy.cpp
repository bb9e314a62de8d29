#include "AttemptPolicy.h"

#include "BackendAgent.h"

namespace rattanloft::sidecar {

namespace {

// Attempts at sidecars for one request of a service without keys. With keys,
// the wait for the owner ends the attempts.
constexpr uint32_t kMaxHops = 4;

} // namespace

void
AttemptPolicy::Count(const AttemptResult& aResult)
{
  ++m_hops;
  m_arrivals += aResult.m_arrived ? 1 : 0;
  m_mayHaveRun = m_mayHaveRun || aResult.m_outcome == Outcome::kUnknown;
}

bool
AttemptPolicy::MayGoOn(const AttemptResult& aResult, TimePoint aNow) const
{
  if (aResult.m_outcome == Outcome::kAnswered || aNow >= m_limits.m_deadline) {
    return false;
  }
  if (aResult.m_outcome == Outcome::kUnknown && !m_limits.m_idempotent) {
    return false;
  }
  if (aResult.m_arrived) {
    return m_arrivals < m_limits.m_maxArrivals;
  }
  return m_limits.m_keyed || m_hops < kMaxHops;
}

NextStep
AttemptPolicy::AfterKeyed(const AttemptResult& aResult, TimePoint aNow) const
{
  if (aResult.m_reason == kOverloadedReason) {
    // No other backend server may run the request.
    return NextStep::kFinish;
  }
  const bool moving = aResult.m_reason == VerdictName(ServeVerdict::kNotOwner);
  return WaitForOwner(moving ? m_limits.m_moveWaitEnd : m_limits.m_ownerWaitEnd,
                      aNow);
}

NextStep
AttemptPolicy::WaitForOwner(TimePoint aEnd, TimePoint aNow) const
{
  if (aNow + kOwnerPoll > aEnd) {
    return NextStep::kFinish;
  }
  return NextStep::kWaitForOwner;
}

NextStep
AttemptPolicy::OnNoTarget(TimePoint aNow) const
{
  return m_limits.m_keyed ? WaitForOwner(m_limits.m_ownerWaitEnd, aNow)
                          : NextStep::kFinish;
}

} // namespace rattanloft::sidecar
