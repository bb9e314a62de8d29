#include "AttemptPolicy.h"

namespace rattanloft::sidecar {

namespace {

// Attempts at sidecars for one request of a service without keys. With keys, the
// wait for the owner ends the attempts.
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
  // The owner has no room, and no other backend server may run the request.
  return aResult.m_reason == kOverloadedReason ? NextStep::kFinish
                                               : WaitForOwner(aNow);
}

NextStep
AttemptPolicy::WaitForOwner(TimePoint aNow) const
{
  if (aNow + kOwnerPoll > m_limits.m_ownerWaitEnd) {
    return NextStep::kFinish;
  }
  return NextStep::kWaitForOwner;
}

NextStep
AttemptPolicy::OnNoTarget(TimePoint aNow) const
{
  return m_limits.m_keyed ? WaitForOwner(aNow) : NextStep::kFinish;
}

} // namespace rattanloft::sidecar
