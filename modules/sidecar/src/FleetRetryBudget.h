#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Limits the retries that this sidecar sends to one service, so that the
// retries of the whole fleet stay within its budget: a ratio of this sidecar's
// own requests, plus an equal share of the fleet's constant slack. This keeps
// retries from multiplying the load on backend servers that reject or fail many
// requests. Does no I/O; used on the traffic thread.
class FleetRetryBudget
{
public:
  FleetRetryBudget(double aRetryRatio, uint32_t aRetrySlack)
    : m_retryRatio(aRetryRatio)
    , m_retrySlack(aRetrySlack)
  {
  }

  void OnRequest(TimePoint aNow);
  // Returns true and counts the retry if one may be sent now. aSidecarCount is
  // the number of sidecars in the fleet.
  bool TryTakeRetry(uint32_t aSidecarCount, TimePoint aNow);

private:
  struct SecondCounts
  {
    // The second on the boot-time clock; -1 if the entry is unused.
    int64_t m_second = -1;
    uint32_t m_requests = 0;
    uint32_t m_retries = 0;
  };
  static constexpr int64_t kWindowSeconds = 10;

  // Returns the counts of the current second, cleared if they are outdated.
  SecondCounts& CountsAt(TimePoint aNow);

  double m_retryRatio;
  uint32_t m_retrySlack;
  // One entry more than the window has seconds, since the current second is not
  // complete.
  std::array<SecondCounts, kWindowSeconds + 1> m_secondCounts;
};

} // namespace rattanloft::sidecar
