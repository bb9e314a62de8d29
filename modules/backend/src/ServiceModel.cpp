#include "ServiceModel.h"

#include <algorithm>
#include <cmath>

namespace rattanloft::backend {

namespace {

// Gives a 99th percentile of about 2.8 times the mean.
constexpr double kSigma = 0.5;

} // namespace

double
ServiceModel::DrawMs(const std::string& aEntry, Duration aSinceStart)
{
  const auto found = m_options.m_serviceMs.find(aEntry);
  const double mean = found == m_options.m_serviceMs.end()
                        ? m_options.m_defaultServiceMs
                        : found->second;
  const double left = std::clamp(
    1 - static_cast<double>(aSinceStart.m_ms) / m_options.m_coldMs, 0.0, 1.0);
  const double factor =
    (1 + (m_options.m_coldFactor - 1) * left) / m_options.m_speed;
  if (!m_options.m_logNormal || mean <= 0) {
    return mean * factor;
  }
  std::lognormal_distribution<double> times(
    std::log(mean) - kSigma * kSigma / 2, kSigma);
  return times(m_random) * factor;
}

} // namespace rattanloft::backend
