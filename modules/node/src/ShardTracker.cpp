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
  Count& count = m_tracker.At(m_service, m_shard);
  ++count.m_running;
  ++count.m_recent;
}

ShardTracker::Hold::~Hold()
{
  Count& count = m_tracker.At(m_service, m_shard);
  RATTANLOFT_ASSERT(count.m_running > 0);
  --count.m_running;
  m_tracker.ReleaseIfIdle(m_service, m_shard, count);
}

ShardTracker::ShardTracker(ReleaseCallback aCallback)
  : m_callback(std::move(aCallback))
{
}

void
ShardTracker::Release(std::vector<OwnedShard> aShards)
{
  for (const OwnedShard& shard : aShards) {
    Count& count = At(shard.m_service, shard.m_shard);
    if (count.m_releasedEpoch == shard.m_epoch) {
      continue;
    }
    count.m_releaseEpoch = shard.m_epoch;
    ReleaseIfIdle(shard.m_service, shard.m_shard, count);
  }
}

uint32_t
ShardTracker::Running(std::string_view aService, ShardNumber aShard) const
{
  const auto service = m_counts.find(std::string(aService));
  if (service == m_counts.end()) {
    return 0;
  }
  const auto found = service->second.find(aShard);
  return found == service->second.end() ? 0 : found->second.m_running;
}

std::vector<std::pair<OwnedShard, uint64_t>>
ShardTracker::TakeLoads(size_t aMax)
{
  std::vector<std::pair<OwnedShard, uint64_t>> loads;
  for (auto& [service, shards] : m_counts) {
    for (auto& [shard, count] : shards) {
      if (count.m_recent > 0) {
        loads.push_back({ { service, shard, 0 }, count.m_recent });
        count.m_recent = 0;
      }
    }
  }
  const size_t kept = std::min(aMax, loads.size());
  std::partial_sort(loads.begin(),
                    loads.begin() + static_cast<std::ptrdiff_t>(kept),
                    loads.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.second > aRight.second;
                    });
  loads.resize(kept);
  return loads;
}

ShardTracker::Count&
ShardTracker::At(std::string_view aService, ShardNumber aShard)
{
  return m_counts[std::string(aService)][aShard];
}

void
ShardTracker::ReleaseIfIdle(const std::string& aService,
                            ShardNumber aShard,
                            Count& aCount)
{
  if (aCount.m_releaseEpoch == 0 || aCount.m_running > 0) {
    return;
  }
  aCount.m_releasedEpoch = aCount.m_releaseEpoch;
  aCount.m_releaseEpoch = 0;
  m_callback({ aService, aShard, aCount.m_releasedEpoch });
}

} // namespace rattanloft::node
