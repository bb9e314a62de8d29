#include "ServiceTimes.h"

#include <algorithm>
#include <limits>

namespace rattanloft::admission {

namespace {

// Lowest weight of a new sample in the mean.
constexpr double kMinSampleWeight = 1.0 / 16;
// Caps the assumed time of an unfinished job at about this multiple of the 95 %
// quantile, so that a single unresponsive connection does not make all further
// jobs look too slow.
constexpr double kMaxUnfinishedFactor = 4;

} // namespace

void
ServiceTimes::Add(Duration aSample)
{
  const int64_t ms =
    std::clamp<int64_t>(aSample.m_ms, 0, std::numeric_limits<uint32_t>::max());
  m_samplesMs[m_count % kWindowSamples] = static_cast<uint32_t>(ms);
  ++m_count;
  const double weight =
    std::max(kMinSampleWeight, 1.0 / static_cast<double>(m_count));
  m_meanMs += weight * (static_cast<double>(ms) - m_meanMs);
  if (m_count <= kSamplesPerUpdate || m_count % kSamplesPerUpdate == 0) {
    UpdateP95();
  }
}

void
ServiceTimes::AddUnfinished(Duration aElapsed)
{
  const auto ms = static_cast<double>(aElapsed.m_ms);
  // The job would have taken longer than this. How much longer is unknown, so
  // twice the time is assumed; the plain time would never exceed the deadline.
  if (!IsKnown() || ms <= m_meanMs || 2 * ms <= m_p95Ms) {
    return;
  }
  const double capped = std::min(2 * ms, kMaxUnfinishedFactor * (1 + m_p95Ms));
  Add(Milliseconds(static_cast<int64_t>(capped)));
}

void
ServiceTimes::UpdateP95()
{
  const size_t count = std::min<size_t>(m_count, kWindowSamples);
  std::array<uint32_t, kWindowSamples> sorted = m_samplesMs;
  const auto at = sorted.begin() + static_cast<ptrdiff_t>(count * 95 / 100);
  const auto end = sorted.begin() + static_cast<ptrdiff_t>(count);
  std::nth_element(sorted.begin(), at, end);
  m_p95Ms = static_cast<double>(*at);
}

} // namespace rattanloft::admission
