#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "TrafficContext.h"
#include "rattanloft/base/Shard.h"
#include "record.pb.h"

namespace rattanloft::node {

constexpr std::string_view kRecordPutTarget = "/rattanloft/records/put";
constexpr std::string_view kRecordFetchTarget = "/rattanloft/records/fetch";

// Keeps at-most-once records on a second node and takes them over with a shard.
// Owned by the traffic thread.
class RecordService
{
public:
  explicit RecordService(TrafficContext& aContext);

  // Starts the takeover of shards that this node has newly got. To be called
  // after each change of the view.
  void OnViewChanged();

  // True once the records of the shard under this epoch were collected.
  bool IsReady(std::string_view aService,
               ShardNumber aShard,
               uint64_t aEpoch) const;

  // True if another node has taken the shard over under a later epoch.
  bool IsFenced(std::string_view aService,
                ShardNumber aShard,
                uint64_t aEpoch) const;

  // Stores copies at two other nodes, in other availability zones first, or at
  // one if the service has no more. False if fewer have confirmed.
  boost::asio::awaitable<bool> CopyToHolders(wire::RecordPut aPut);

  // Peer listener: requests of other nodes.
  http::Response HandleRecordPut(const http::Request& aRequest);
  http::Response HandleRecordFetch(const http::Request& aRequest);

private:
  using ShardKey = std::pair<std::string, ShardNumber>;
  using ShardEpochs = std::vector<std::pair<ShardNumber, uint64_t>>;

  ShardEpochs NewlyOwnedShards(const std::string& aService) const;
  boost::asio::awaitable<void> TakeOverShards(std::string aService,
                                              ShardEpochs aShards);
  boost::asio::awaitable<bool> FetchFrom(uint32_t aBackendNumber,
                                         wire::RecordFetch aFetch);
  boost::asio::awaitable<void> CopyShardRecords(std::string aService,
                                                ShardEpochs aShards);
  // Copies the records of all own shards again if a possible holder has left or
  // its process was replaced: what it held is lost.
  void CopyAfterHolderLoss(const std::string& aService);
  std::vector<uint32_t> OtherHolders(std::string_view aService) const;
  std::vector<uint32_t> PreferredHolders(std::string_view aService,
                                         std::string_view aKey) const;
  bool IsRegistered(std::string_view aService, uint32_t aBackendNumber) const;

  TrafficContext& m_context;
  uint64_t m_seenRouteRevision = 0;
  uint32_t m_seenBackendNumber = 0;
  // Session of each possible holder, by number.
  std::map<uint32_t, uint64_t> m_holderSessions;
  // Epoch under which a takeover was started, and under which it was finished.
  std::map<ShardKey, uint64_t> m_takeoverStartedEpochs;
  std::map<ShardKey, uint64_t> m_takeoverDoneEpochs;
  // Lowest epoch from which puts are accepted.
  std::map<ShardKey, uint64_t> m_fenceEpochs;
};

} // namespace rattanloft::node
