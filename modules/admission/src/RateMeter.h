#pragma once

#include <cmath>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

// Events per second, with exponentially decreasing weight of the past.
class RateMeter
{
public:
  void Add(TimePoint aNow)
  {
    Decay(aNow);
    m_weight += 1;
  }

  double PerSecond(TimePoint aNow) const
  {
    return m_weight * Factor(aNow) / kSeconds;
  }

private:
  // Follows a swing within 2 s, and is steady enough for rare requests.
  static constexpr double kSeconds = 2;

  double Factor(TimePoint aNow) const
  {
    const auto ms = static_cast<double>((aNow - m_at).m_ms);
    return ms <= 0 ? 1 : std::exp(-ms / (1000 * kSeconds));
  }
  void Decay(TimePoint aNow)
  {
    m_weight *= Factor(aNow);
    if (aNow > m_at) {
      m_at = aNow;
    }
  }

  double m_weight = 0;
  TimePoint m_at;
};

} // namespace rattanloft::admission
