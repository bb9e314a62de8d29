#include "rattanloft/base/Backoff.h"

#include <algorithm>

namespace rattanloft {

namespace {

// Further doublings would overflow the shift below, and the delay is above any
// useful maximum long before.
constexpr uint32_t kMaxDoublings = 20;

} // namespace

Duration
Backoff::NextDelay()
{
  const uint32_t doublings = std::min(m_attemptCount, kMaxDoublings);
  const int64_t maxDelayMs =
    std::min(m_initialDelay.m_ms << doublings, m_maxDelay.m_ms);
  ++m_attemptCount;
  std::uniform_int_distribution<int64_t> delayMsDistribution(maxDelayMs / 2,
                                                             maxDelayMs);
  return Milliseconds(delayMsDistribution(m_randomEngine));
}

} // namespace rattanloft
