#pragma once

#include <cmath>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

// Measures events per second, with an exponentially decreasing weight of the
// past.
class RateMeter
{
public:
  void Add(TimePoint aNow)
  {
    DecayTo(aNow);
    m_decayedCount += 1;
  }

  double PerSecond(TimePoint aNow) const
  {
    return m_decayedCount * DecayFactor(aNow) / kDecaySeconds;
  }

private:
  // Time in which the weight of an event decays to 1/e. Follows a swing within
  // 2 s and is steady enough for rare requests.
  static constexpr double kDecaySeconds = 2;

  double DecayFactor(TimePoint aNow) const
  {
    const auto ms = static_cast<double>((aNow - m_updatedAt).m_ms);
    return ms <= 0 ? 1 : std::exp(-ms / (1000 * kDecaySeconds));
  }
  void DecayTo(TimePoint aNow)
  {
    m_decayedCount *= DecayFactor(aNow);
    if (aNow > m_updatedAt) {
      m_updatedAt = aNow;
    }
  }

  double m_decayedCount = 0;
  TimePoint m_updatedAt;
};

} // namespace rattanloft::admission
