#pragma once

#include <cstdint>

#include "PeerHeaders.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Delay before the owner of a key is looked up again.
constexpr Duration kOwnerPollInterval = Milliseconds(40);

struct AttemptLimits
{
  // The request has a key. Only the owner of the key can serve it, so a further
  // attempt may have to wait for the next owner.
  bool m_keyed = false;
  // The request may safely run more than once.
  bool m_idempotent = false;
  // Maximum number of backend servers that one request may reach.
  uint32_t m_maxBackendAttempts = 1;
  TimePoint m_deadline;
  // End of the wait for the next owner if the current owner cannot be reached.
  TimePoint m_ownerWaitDeadline;
  // End of the wait while the keys move to another owner. The current owner has
  // reported that it gave them up, so the next owner is expected soon.
  TimePoint m_moveWaitDeadline;
  // No leader has replied for so long that another owner is not expected to
  // become known in time.
  bool m_leaderSilent = false;
};

enum class NextStep
{
  kSend,
  // Look up the owner of the key again after kOwnerPollInterval.
  kWaitForOwner,
  kFinish,
};

// Decides before and after each attempt, or if no backend server was found,
// whether a request is sent, waits or finishes. Covers keys that change their
// owner or have none for lack of a leader, and backend servers that are
// stalled, overloaded or failing. Does no I/O; one instance per request.
class AttemptPolicy
{
public:
  explicit AttemptPolicy(AttemptLimits aLimits)
    : m_limits(aLimits)
  {
  }

  // aMayRetry takes one retry from the retry budget and returns false if the
  // budget is used up. It is called only if everything else allows the retry.
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
  // Called before each attempt. aStalled is true if the instance has left
  // several requests unanswered.
  NextStep OnInstanceChosen(bool aStalled) const;
  // Called instead of an attempt if the owner of the key is known to give it
  // up.
  NextStep OnOwnerMoving(TimePoint aNow) const;
  // Called if there is no backend server to send the request to.
  NextStep OnNoEndpoint(TimePoint aNow) const;

  // Number of attempts to reach a sidecar, and how many of them reached a
  // backend server.
  uint32_t SidecarAttempts() const { return m_sidecarAttempts; }
  uint32_t BackendAttempts() const { return m_backendAttempts; }
  // True if any attempt had an unknown outcome. A later attempt that was
  // refused does not change this.
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
