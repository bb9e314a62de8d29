#include "ShardTracker.h"

#include <algorithm>
#include <utility>

#include "rattanloft/base/Assert.h"

namespace rattanloft::node {

using OwnedShard = routing::NodeAgent::OwnedShard;

ShardTracker::Hold::Hold(ShardTracker& aTracker,
                         std::string_view aService,
                         ShardNumber aShard)
  : m_tracker(aTracker)
  , m_service(aService)
  , m_shard(aShard)
{
  ShardState& state = m_tracker.StateOf(m_service, m_shard);
  ++state.m_runningRequests;
  ++state.m_recentRequests;
}

ShardTracker::Hold::~Hold()
{
  ShardState& state = m_tracker.StateOf(m_service, m_shard);
  RATTANLOFT_ASSERT(state.m_runningRequests > 0);
  --state.m_runningRequests;
  m_tracker.ReleaseIfIdle(m_service, m_shard, state);
}

ShardTracker::ShardTracker(ReleaseCallback aCallback)
  : m_releaseCallback(std::move(aCallback))
{
}

void
ShardTracker::RequestRelease(std::vector<OwnedShard> aShards)
{
  for (const OwnedShard& shard : aShards) {
    ShardState& state = StateOf(shard.m_service, shard.m_shard);
    if (state.m_releasedEpoch == shard.m_epoch) {
      continue;
    }
    state.m_pendingReleaseEpoch = shard.m_epoch;
    ReleaseIfIdle(shard.m_service, shard.m_shard, state);
  }
}

uint32_t
ShardTracker::RunningRequests(std::string_view aService,
                              ShardNumber aShard) const
{
  const auto service = m_states.find(std::string(aService));
  if (service == m_states.end()) {
    return 0;
  }
  const auto found = service->second.find(aShard);
  return found == service->second.end() ? 0 : found->second.m_runningRequests;
}

std::vector<std::pair<OwnedShard, uint64_t>>
ShardTracker::TakeRequestCounts(size_t aMaxShards)
{
  std::vector<std::pair<OwnedShard, uint64_t>> counts;
  for (auto& [service, shards] : m_states) {
    for (auto& [shard, state] : shards) {
      if (state.m_recentRequests > 0) {
        counts.push_back({ { service, shard, 0 }, state.m_recentRequests });
        state.m_recentRequests = 0;
      }
    }
  }
  const size_t keptCount = std::min(aMaxShards, counts.size());
  std::partial_sort(counts.begin(),
                    counts.begin() + static_cast<std::ptrdiff_t>(keptCount),
                    counts.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.second > aRight.second;
                    });
  counts.resize(keptCount);
  return counts;
}

ShardTracker::ShardState&
ShardTracker::StateOf(std::string_view aService, ShardNumber aShard)
{
  return m_states[std::string(aService)][aShard];
}

void
ShardTracker::ReleaseIfIdle(const std::string& aService,
                            ShardNumber aShard,
                            ShardState& aState)
{
  if (aState.m_pendingReleaseEpoch == 0 || aState.m_runningRequests > 0) {
    return;
  }
  aState.m_releasedEpoch = aState.m_pendingReleaseEpoch;
  aState.m_pendingReleaseEpoch = 0;
  m_releaseCallback({ aService, aShard, aState.m_releasedEpoch });
}

} // namespace rattanloft::node
