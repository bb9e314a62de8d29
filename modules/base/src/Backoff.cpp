#include "rattanloft/base/Backoff.h"

#include <algorithm>

namespace rattanloft {

namespace {

// Larger shifts would overflow and are above any sensible maximum.
constexpr uint32_t kMaxDoublings = 20;

} // namespace

Duration
Backoff::Next()
{
  const uint32_t doublings = std::min(m_attempts, kMaxDoublings);
  const int64_t step = std::min(m_first.m_ms << doublings, m_max.m_ms);
  ++m_attempts;
  std::uniform_int_distribution<int64_t> jitter(step / 2, step);
  return Milliseconds(jitter(m_random));
}

} // namespace rattanloft
