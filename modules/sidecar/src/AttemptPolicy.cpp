#include "AttemptPolicy.h"

namespace rattanloft::sidecar {

namespace {

// Attempts to reach a sidecar for one request of an unkeyed service. The
// attempts of a keyed request are limited by the wait for the owner instead.
constexpr uint32_t kMaxSidecarAttempts = 4;

} // namespace

void
AttemptPolicy::RecordResult(const AttemptResult& aResult)
{
  ++m_sidecarAttempts;
  m_backendAttempts += aResult.m_reachedBackend ? 1 : 0;
  m_mayHaveRun = m_mayHaveRun || aResult.m_outcome == AttemptOutcome::kUnknown;
}

bool
AttemptPolicy::MayContinue(const AttemptResult& aResult, TimePoint aNow) const
{
  if (aResult.m_outcome == AttemptOutcome::kAnswered ||
      aResult.m_kind == ResultKind::kQuarantined ||
      aNow >= m_limits.m_deadline) {
    return false;
  }
  if (aResult.m_outcome == AttemptOutcome::kUnknown && !m_limits.m_idempotent) {
    return false;
  }
  if (aResult.m_reachedBackend) {
    return m_backendAttempts < m_limits.m_maxBackendAttempts;
  }
  return m_limits.m_keyed || m_sidecarAttempts < kMaxSidecarAttempts;
}

NextStep
AttemptPolicy::StepAfterKeyedAttempt(const AttemptResult& aResult,
                                     TimePoint aNow) const
{
  if (aResult.m_kind == ResultKind::kOverloaded) {
    // Only the owner of the key may run the request.
    return NextStep::kFinish;
  }
  return aResult.m_kind == ResultKind::kOwnerMoved
           ? OnOwnerMoving(aNow)
           : WaitOrFinish(m_limits.m_ownerWaitDeadline, aNow);
}

NextStep
AttemptPolicy::OnOwnerMoving(TimePoint aNow) const
{
  return m_limits.m_leaderSilent
           ? NextStep::kFinish
           : WaitOrFinish(m_limits.m_moveWaitDeadline, aNow);
}

NextStep
AttemptPolicy::WaitOrFinish(TimePoint aWaitDeadline, TimePoint aNow) const
{
  if (aNow + kOwnerPollInterval > aWaitDeadline) {
    return NextStep::kFinish;
  }
  return NextStep::kWaitForOwner;
}

NextStep
AttemptPolicy::OnInstanceChosen(bool aStalled) const
{
  // The keys of a stalled instance get another owner only after its lease has
  // expired, so waiting does not help.
  return m_limits.m_keyed && aStalled ? NextStep::kFinish : NextStep::kSend;
}

NextStep
AttemptPolicy::OnNoEndpoint(TimePoint aNow) const
{
  return m_limits.m_keyed && !m_limits.m_leaderSilent
           ? WaitOrFinish(m_limits.m_ownerWaitDeadline, aNow)
           : NextStep::kFinish;
}

} // namespace rattanloft::sidecar
