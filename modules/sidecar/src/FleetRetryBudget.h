#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// This sidecar's part of the retries that the whole fleet may send to one
// service: a share of its own requests, and an even part of the fixed number.
// Answers backend servers that reject or fail much: retries do not multiply the
// load. Pure; traffic thread.
class FleetRetryBudget
{
public:
  FleetRetryBudget(double aRetryRatio, uint32_t aRetrySlack)
    : m_retryRatio(aRetryRatio)
    , m_retrySlack(aRetrySlack)
  {
  }

  void OnRequest(TimePoint aNow);
  // True if a retry may be sent now; it is then counted. aSidecars is the size
  // of the fleet.
  bool TryRetry(uint32_t aSidecarCount, TimePoint aNow);

private:
  struct SecondCounts
  {
    int64_t m_second = -1;
    uint32_t m_requests = 0;
    uint32_t m_retries = 0;
  };
  static constexpr int64_t kWindowSeconds = 10;

  SecondCounts& CountsAt(TimePoint aNow);

  double m_retryRatio;
  uint32_t m_retrySlack;
  // One more than the window, since the current second is not complete.
  std::array<SecondCounts, kWindowSeconds + 1> m_secondCounts;
};

} // namespace rattanloft::sidecar
