#include "ColdEndpointShare.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Callers do not press all entries evenly, so an entry may send more than an
// even part of the bound. The backend server's sidecar refuses what is too
// much.
constexpr double kShareFactor = 2;
// An entry learns that an endpoint is warm from the leader. This trickle also
// reaches it while no leader replies.
constexpr double kMinRequestsPerSecond = 0.5;
// Endpoints that are remembered; older ones start again with a full part.
constexpr size_t kMaxTrackedEndpoints = 1024;
constexpr Duration kMinReturn = Milliseconds(50);
// A cold phase takes a few seconds, after which there is room for all.
constexpr Duration kMaxReturn = Seconds(3);

} // namespace

double
ColdEndpointShare::RateFor(double aBound, uint32_t aSidecarCount)
{
  return std::max(
    kMinRequestsPerSecond,
    std::min(aBound, kShareFactor * aBound / std::max(1U, aSidecarCount)));
}

bool
ColdEndpointShare::HasRoom(const std::string& aInstance,
                           double aRate,
                           TimePoint aNow)
{
  if (m_buckets.size() >= kMaxTrackedEndpoints &&
      !m_buckets.contains(aInstance)) {
    m_buckets.clear();
  }
  TokenBucket& bucket =
    m_buckets.try_emplace(aInstance, aRate, aNow).first->second;
  if (bucket.Rate() != aRate) {
    bucket.SetRate(aRate, aNow);
  }
  return bucket.TimeUntil(1, aNow) <= Duration{};
}

void
ColdEndpointShare::Take(const std::string& aInstance, TimePoint aNow)
{
  const auto found = m_buckets.find(aInstance);
  if (found != m_buckets.end()) {
    found->second.TryTake(aNow);
  }
}

Duration
ColdEndpointShare::NextReturn(double aRoomRate, TimePoint aNow)
{
  const auto gap = Milliseconds(
    static_cast<int64_t>(1000 / std::max(aRoomRate, kMinRequestsPerSecond)));
  const TimePoint next =
    std::max(m_lastReturnAt, aNow) + std::max(gap, Milliseconds(1));
  if (next - aNow <= kMaxReturn) {
    m_lastReturnAt = next;
    return std::max(next - aNow, kMinReturn);
  }
  // All times of the cold phase are taken: any of its second half will do.
  std::uniform_int_distribution<int64_t> spread(kMaxReturn.m_ms / 2,
                                                kMaxReturn.m_ms);
  return Milliseconds(spread(m_random));
}

} // namespace rattanloft::sidecar
