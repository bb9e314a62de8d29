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

// Request targets on the peer listener.
constexpr std::string_view kRecordPutTarget = "/rattanloft/records/put";
constexpr std::string_view kRecordFetchTarget = "/rattanloft/records/fetch";

// Copies at-most-once records to other nodes, and collects the records of a
// shard from the other nodes when this node takes it over. Owned by the traffic
// thread.
class RecordService
{
public:
  explicit RecordService(TrafficContext& aContext);

  // Starts the takeover of shards that this node has newly been assigned. To be
  // called after each change of the view.
  void OnViewChanged();

  // True once the takeover of the shard under this epoch has collected its
  // records.
  bool IsReady(std::string_view aService,
               ShardNumber aShard,
               uint64_t aEpoch) const;

  // True if another node has taken over the shard under a later epoch.
  bool IsFenced(std::string_view aService,
                ShardNumber aShard,
                uint64_t aEpoch) const;

  // Stores copies of the records on two other nodes, preferably in other
  // availability zones, or on one if the service has only one other. False if
  // fewer nodes have confirmed.
  boost::asio::awaitable<bool> CopyToHolders(wire::RecordPut aPut);

  // Handle the record requests of other nodes that arrive at the peer listener.
  http::Response HandleRecordPut(const http::Request& aRequest);
  http::Response HandleRecordFetch(const http::Request& aRequest);

private:
  // Service name and shard.
  using ShardKey = std::pair<std::string, ShardNumber>;
  using ShardEpochs = std::vector<std::pair<ShardNumber, uint64_t>>;

  // Own shards whose takeover under their present epoch was not started.
  ShardEpochs NewlyOwnedShards(const std::string& aService) const;
  boost::asio::awaitable<void> TakeOverShards(std::string aService,
                                              ShardEpochs aShards);
  // Imports the records that a node holds. False if they must be fetched again.
  boost::asio::awaitable<bool> FetchFrom(uint32_t aBackendNumber,
                                         wire::RecordFetch aFetch);
  // Copies all records of the shards to other nodes.
  boost::asio::awaitable<void> CopyShardRecords(std::string aService,
                                                ShardEpochs aShards);
  // Copies the records of all own shards again if a node that may have held
  // copies has left or its process was replaced, since its copies are lost.
  void CopyAfterHolderLoss(const std::string& aService);
  // Numbers of the other backend servers of the service, whose nodes may hold
  // copies of its records.
  std::vector<uint32_t> OtherHolders(std::string_view aService) const;
  // OtherHolders, with those in other zones first and in an order that depends
  // on the key.
  std::vector<uint32_t> PreferredHolders(std::string_view aService,
                                         std::string_view aKey) const;
  // False once the cluster has declared the backend server gone.
  bool IsRegistered(std::string_view aService, uint32_t aBackendNumber) const;

  TrafficContext& m_context;
  // Route revision and own backend number in the last call of OnViewChanged.
  uint64_t m_seenRouteRevision = 0;
  uint32_t m_seenBackendNumber = 0;
  // Session of the node process of each other backend server of the service, by
  // backend number.
  std::map<uint32_t, uint64_t> m_holderSessions;
  // Epoch under which the takeover of a shard was started, and under which it
  // was completed.
  std::map<ShardKey, uint64_t> m_takeoverStartedEpochs;
  std::map<ShardKey, uint64_t> m_takeoverDoneEpochs;
  // Lowest epoch of a shard under which record copies are accepted.
  std::map<ShardKey, uint64_t> m_fenceEpochs;
};

} // namespace rattanloft::node
