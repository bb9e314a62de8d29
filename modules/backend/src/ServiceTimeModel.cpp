#include "ServiceTimeModel.h"

#include <algorithm>
#include <cmath>

namespace rattanloft::backend {

namespace {

// Standard deviation of the logarithm of the service time. With this value the
// 99th percentile is about 2.8 times the mean.
constexpr double kLogNormalSigma = 0.5;

} // namespace

double
ServiceTimeModel::DrawServiceTimeMs(const std::string& aEntry,
                                    Duration aSinceStart)
{
  const auto found = m_options.m_serviceTimesMs.find(aEntry);
  const double mean = found == m_options.m_serviceTimesMs.end()
                        ? m_options.m_defaultServiceTimeMs
                        : found->second;
  const double remainingColdShare = std::clamp(
    1 - static_cast<double>(aSinceStart.m_ms) / m_options.m_coldPeriodMs,
    0.0,
    1.0);
  const double factor =
    (1 + (m_options.m_coldFactor - 1) * remainingColdShare) /
    m_options.m_speedFactor;
  if (!m_options.m_logNormalTimes || mean <= 0) {
    return mean * factor;
  }
  std::lognormal_distribution<double> times(
    std::log(mean) - kLogNormalSigma * kLogNormalSigma / 2, kLogNormalSigma);
  return times(m_random) * factor;
}

} // namespace rattanloft::backend
