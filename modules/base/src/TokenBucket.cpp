#include "rattanloft/base/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace rattanloft {

TokenBucket::TokenBucket(double aRatePerSecond, TimePoint aNow)
  : m_rate(aRatePerSecond)
  , m_tokens(std::max(1.0, aRatePerSecond))
  , m_refilledAt(aNow)
{
}

double
TokenBucket::TokensAt(TimePoint aNow) const
{
  const double seconds = static_cast<double>((aNow - m_refilledAt).m_ms) / 1000;
  return std::min(std::max(1.0, m_rate), m_tokens + seconds * m_rate);
}

bool
TokenBucket::TryTake(TimePoint aNow)
{
  m_tokens = TokensAt(aNow);
  m_refilledAt = aNow;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void
TokenBucket::SetRate(double aRatePerSecond, TimePoint aNow)
{
  m_tokens = TokensAt(aNow);
  m_refilledAt = aNow;
  m_rate = aRatePerSecond;
  m_tokens = TokensAt(aNow);
}

Duration
TokenBucket::TimeUntil(double aTokenCount, TimePoint aNow) const
{
  const double missing = std::max(0.0, aTokenCount - TokensAt(aNow));
  return Milliseconds(static_cast<int64_t>(std::ceil(missing * 1000 / m_rate)));
}

} // namespace rattanloft
