#pragma once

#include <cstdint>

#include "PeerHeaders.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Pause before the owner of a key is looked up again.
constexpr Duration kOwnerPollInterval = Milliseconds(40);

struct AttemptLimits
{
  // The key has one owner, so a further attempt waits for the next owner.
  bool m_keyed = false;
  // The request may run more than once.
  bool m_idempotent = false;
  // Backend servers that one request may reach.
  uint32_t m_maxBackendAttempts = 1;
  TimePoint m_deadline;
  // End of the wait for the next owner if the present one cannot be reached.
  TimePoint m_ownerWaitDeadline;
  // The same while the keys move: the present owner says that it has given them
  // up, so the next one is soon there.
  TimePoint m_moveWaitDeadline;
};

enum class NextStep
{
  kSend,
  // Look for the owner of the key again after a pause.
  kWaitForOwner,
  kFinish,
};

// Decides whether a request goes on after an attempt, or without one when no
// backend server was found. Answers keys that move, full and failing backend
// servers. Pure; one per request.
class AttemptPolicy
{
public:
  explicit AttemptPolicy(AttemptLimits aLimits)
    : m_limits(aLimits)
  {
  }

  // aMayRetry says whether the retry budget has room; it is asked only if the
  // budget alone decides.
  template<typename MayRetry>
  NextStep OnResult(const AttemptResult& aResult,
                    TimePoint aNow,
                    MayRetry&& aMayRetry)
  {
    RecordResult(aResult);
    if (!MayContinue(aResult, aNow) ||
        (aResult.m_reachedBackend && !aMayRetry())) {
      return NextStep::kFinish;
    }
    return m_limits.m_keyed ? StepAfterKeyedAttempt(aResult, aNow)
                            : NextStep::kSend;
  }
  // No backend server is there to choose.
  NextStep OnNoEndpoint(TimePoint aNow) const;

  // Attempts at sidecars, and those of them that reached a backend server.
  uint32_t SidecarAttempts() const { return m_sidecarAttempts; }
  uint32_t BackendAttempts() const { return m_backendAttempts; }
  // A refusal of a later attempt does not take back that an earlier one may
  // have run.
  bool MayHaveRun() const { return m_mayHaveRun; }

private:
  void RecordResult(const AttemptResult& aResult);
  bool MayContinue(const AttemptResult& aResult, TimePoint aNow) const;
  NextStep StepAfterKeyedAttempt(const AttemptResult& aResult,
                                 TimePoint aNow) const;
  NextStep WaitOrFinish(TimePoint aWaitDeadline, TimePoint aNow) const;

  AttemptLimits m_limits;
  uint32_t m_sidecarAttempts = 0;
  uint32_t m_backendAttempts = 0;
  bool m_mayHaveRun = false;
};

} // namespace rattanloft::sidecar
