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
// only after its last request. Also counts the requests since the last load
// report. Owned by the traffic thread.
class ShardTracker
{
public:
  // Counts one request as in progress for the lifetime of the object.
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

  // Called with each shard whose release was requested, once no request of it
  // is in progress.
  using ReleaseCallback =
    std::function<void(const routing::NodeAgent::OwnedShard&)>;

  explicit ShardTracker(ReleaseCallback aCallback);

  // Requests the release of shards. New requests for them must be refused
  // already. Shards that the callback has released under the same epoch are
  // skipped.
  void RequestRelease(std::vector<routing::NodeAgent::OwnedShard> aShards);

  // Number of requests of the shard in progress.
  uint32_t RunningRequests(std::string_view aService, ShardNumber aShard) const;
  // The shards with the most requests since the last call, busiest first, with
  // the number of these requests. Their epochs are 0.
  std::vector<std::pair<routing::NodeAgent::OwnedShard, uint64_t>>
  TakeRequestCounts(size_t aMaxShards);

private:
  struct ShardState
  {
    // Requests in progress.
    uint32_t m_runningRequests = 0;
    // Requests since the last load report.
    uint64_t m_recentRequests = 0;
    // Epoch under which a release is pending, 0 if none is.
    uint64_t m_pendingReleaseEpoch = 0;
    // Epoch of the last release, 0 before the first.
    uint64_t m_releasedEpoch = 0;
  };

  using ShardStates = std::unordered_map<ShardNumber, ShardState>;

  ShardState& StateOf(std::string_view aService, ShardNumber aShard);
  void ReleaseIfIdle(const std::string& aService,
                     ShardNumber aShard,
                     ShardState& aState);

  ReleaseCallback m_releaseCallback;
  // By service name.
  std::unordered_map<std::string, ShardStates> m_states;
};

} // namespace rattanloft::node
