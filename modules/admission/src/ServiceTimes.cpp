#include "ServiceTimes.h"

#include <algorithm>
#include <limits>

namespace rattanloft::admission {

namespace {

constexpr double kMinWeight = 1.0 / 16;
// A single silent connection must not make all further jobs look hopeless.
constexpr double kMaxUnfinishedFactor = 4;

} // namespace

void
ServiceTimes::Add(Duration aSample)
{
  const int64_t ms =
    std::clamp<int64_t>(aSample.m_ms, 0, std::numeric_limits<uint32_t>::max());
  m_samples[m_count % kWindow] = static_cast<uint32_t>(ms);
  ++m_count;
  const double weight =
    std::max(kMinWeight, 1.0 / static_cast<double>(m_count));
  m_mean += weight * (static_cast<double>(ms) - m_mean);
  if (m_count <= kUpdateEvery || m_count % kUpdateEvery == 0) {
    UpdateUpper();
  }
}

void
ServiceTimes::AddUnfinished(Duration aElapsed)
{
  const auto ms = static_cast<double>(aElapsed.m_ms);
  // It would have taken longer than this; how much is unknown, so twice the
  // time is assumed. The plain time would never exceed the deadline.
  if (!IsKnown() || ms <= m_mean || 2 * ms <= m_upper) {
    return;
  }
  const double capped = std::min(2 * ms, kMaxUnfinishedFactor * (1 + m_upper));
  Add(Milliseconds(static_cast<int64_t>(capped)));
}

void
ServiceTimes::UpdateUpper()
{
  const size_t count = std::min<size_t>(m_count, kWindow);
  std::array<uint32_t, kWindow> sorted = m_samples;
  const auto at = sorted.begin() + static_cast<ptrdiff_t>(count * 95 / 100);
  const auto end = sorted.begin() + static_cast<ptrdiff_t>(count);
  std::nth_element(sorted.begin(), at, end);
  m_upper = static_cast<double>(*at);
}

} // namespace rattanloft::admission
