#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rattanloft/base/Shard.h"
#include "rattanloft/routing/NodeAgent.h"

namespace rattanloft::node {

// Counts the requests in progress for each shard, so that a shard is released
// only when none is left, and the requests since the last load report. Owned by
// the traffic thread.
class ShardTracker
{
public:
  // Counts one request for the lifetime of the object.
  class Hold
  {
  public:
    Hold(ShardTracker& aTracker, std::string_view aService, ShardNumber aShard);
    ~Hold();
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

  private:
    ShardTracker& m_tracker;
    std::string m_service;
    ShardNumber m_shard;
  };

  // Called with each shard that has no request left and is to be released.
  using ReleaseCallback =
    std::function<void(const routing::NodeAgent::OwnedShard&)>;

  explicit ShardTracker(ReleaseCallback aCallback);

  // Asks for the release of shards. Admission of new requests must have ended
  // before. A request that was already answered by the callback is not
  // repeated.
  void Release(std::vector<routing::NodeAgent::OwnedShard> aShards);

  uint32_t Running(std::string_view aService, ShardNumber aShard) const;
  // Shards with their requests since the last call, busiest first.
  std::vector<std::pair<routing::NodeAgent::OwnedShard, uint64_t>> TakeLoads(
    size_t aMax);

private:
  struct Count
  {
    uint32_t m_running = 0;
    uint64_t m_recent = 0;
    // 0 if no release is pending.
    uint64_t m_releaseEpoch = 0;
    uint64_t m_releasedEpoch = 0;
  };

  using ShardCounts = std::unordered_map<ShardNumber, Count>;

  Count& At(std::string_view aService, ShardNumber aShard);
  void ReleaseIfIdle(const std::string& aService,
                     ShardNumber aShard,
                     Count& aCount);

  ReleaseCallback m_callback;
  std::unordered_map<std::string, ShardCounts> m_counts;
};

} // namespace rattanloft::node
