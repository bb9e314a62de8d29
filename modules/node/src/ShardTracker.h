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
    std::function<void(const routing::NodeAgent::OwnShard&)>;

  explicit ShardTracker(ReleaseCallback aCallback);

  // Asks for the release of shards. Admission of new requests must have ended
  // before. A request that was already answered by the callback is not
  // repeated.
  void RequestRelease(std::vector<routing::NodeAgent::OwnShard> aShards);

  uint32_t RunningRequests(std::string_view aService, ShardNumber aShard) const;
  // Shards with their requests since the last call, busiest first.
  std::vector<std::pair<routing::NodeAgent::OwnShard, uint64_t>>
  TakeRequestCounts(size_t aMaxShards);

private:
  struct ShardState
  {
    uint32_t m_runningRequests = 0;
    uint64_t m_recentRequests = 0;
    // 0 if no release is pending.
    uint64_t m_pendingReleaseEpoch = 0;
    uint64_t m_releasedEpoch = 0;
  };

  using ShardStates = std::unordered_map<ShardNumber, ShardState>;

  ShardState& StateOf(std::string_view aService, ShardNumber aShard);
  void ReleaseIfIdle(const std::string& aService,
                     ShardNumber aShard,
                     ShardState& aState);

  ReleaseCallback m_releaseCallback;
  std::unordered_map<std::string, ShardStates> m_states;
};

} // namespace rattanloft::node
