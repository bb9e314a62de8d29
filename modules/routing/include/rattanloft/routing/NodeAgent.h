#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "rattanloft/base/Shard.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/quarantine/QuarantineReport.h"
#include "rattanloft/routing/Catalogue.h"
#include "rattanloft/routing/RouteTable.h"

namespace rattanloft::routing {

// Age of the last confirmed Sync at which a node starts to refuse requests,
// since it cannot know whether its catalogue is still current.
constexpr Duration kMaxConfirmationAge = Seconds(6);

// A shard that the backend server of this node owns.
struct OwnedShard
{
  std::string m_service;
  ShardNumber m_shard = 0;
  // Epoch of the backend server's grant.
  uint64_t m_epoch = 0;

  bool operator==(const OwnedShard&) const = default;
};

// Immutable state that the control thread publishes to the traffic thread.
struct RoutingView
{
  std::shared_ptr<const RouteTable> m_routes;
  std::shared_ptr<const Catalogue> m_catalogue;
  // Number of the backend server of this node, 0 while it is not registered.
  uint32_t m_backend = 0;
  // Grants may be used only before this point.
  TimePoint m_leaseEnd;
  // When the last Sync whose reply confirmed the catalogue was sent.
  TimePoint m_confirmedAt;
  // The node or its backend server has begun to drain of its own accord.
  bool m_draining = false;
  // An operator drains the backend server. It is not reported back as the
  // node's own drain, which would outlast the operator's.
  bool m_operatorDrain = false;
  // Shards that are reported as released but that the routes still assign to
  // this backend server, sorted by service and shard. Null for none.
  std::shared_ptr<const std::vector<OwnedShard>> m_released;

  bool IsStale(TimePoint aNow) const
  {
    return aNow - m_confirmedAt >= kMaxConfirmationAge;
  }
  // Returns whether this node's backend server owns the shard, the lease holds,
  // and a release has neither been requested nor reported.
  bool MayServe(std::string_view aService,
                ShardNumber aShard,
                TimePoint aNow) const;
};

struct NodeAgentOptions
{
  std::string m_nodeId;
  // Random number of this start of the node.
  uint64_t m_session = 0;
  std::string m_zone;
  // IP address and port of the listener for other nodes.
  std::string m_peerAddress;
};

// Control-plane state of a node: lease, catalogue and routes. Does no I/O and
// reads no clock; owned by the control thread of the node.
class NodeAgent
{
public:
  explicit NodeAgent(NodeAgentOptions aOptions);

  // Takes the latest announcement of the backend server. Returns false, without
  // a change, for an incarnation that was replaced by a newer one.
  bool SetBackend(const wire::Backend& aBackend);
  void SetBackendHealthy(bool aHealthy);
  void SetDraining(bool aDraining);
  void SetLoad(wire::NodeLoad aLoad);
  // Records that the traffic thread has stopped serving the shard under this
  // epoch. Calls for any other epoch than the current one are ignored.
  void MarkReleased(std::string_view aService,
                    ShardNumber aShard,
                    uint64_t aEpoch);

  // Adds quarantine entries that have changed on this node. Each request
  // carries them until the leader has confirmed them.
  void AddQuarantine(const std::vector<wire::QuarantineEntry>& aEntries);

  wire::SyncRequest MakeRequest();

  // Applies the reply to a request that was sent at aSentAt. Replies may be
  // late, repeated or out of order. Returns true if a new view was published.
  bool OnReply(const wire::SyncReply& aReply,
               TimePoint aSentAt,
               TimePoint aNow);

  using OwnedShard = routing::OwnedShard;
  // Shards of this node's backend server whose release is requested and not yet
  // reported.
  std::vector<OwnedShard> ShardsToRelease() const;
  // Shards that this node's backend server owns and has not released; the grant
  // to it lists them.
  std::vector<OwnedShard> OwnedShards() const;
  // Whether the routes still name this node's backend server as the owner of
  // any shard, released ones included: until then a release may not have been
  // reported.
  bool OwnsAnyShard() const;

  std::shared_ptr<const RoutingView> CurrentView() const { return m_view; }

private:
  bool ApplyCatalogue(const wire::CatalogueUpdate& aUpdate, RoutingView& aView);
  bool ApplyRoutes(const wire::RouteUpdate& aUpdate, RoutingView& aView);
  void ApplyLease(const wire::SyncReply& aReply,
                  TimePoint aSentAt,
                  TimePoint aNow,
                  RoutingView& aView);
  // Whether a backend number from a reply belongs to the registered incarnation
  // on this node.
  bool IsOwnNumber(uint32_t aNumber, const RoutingView& aView) const;
  void ApplyOperatorDrain(const wire::SyncReply& aReply,
                          TimePoint aSentAt,
                          RoutingView& aView);
  void EndLease(RoutingView& aView, TimePoint aNow, std::string_view aReason);
  // Ends the registration of an incarnation that the cluster has declared gone
  // for good.
  void EndRegistration(TimePoint aSentAt, TimePoint aNow, RoutingView& aView);
  // Drops released shards that the routes no longer assign to this backend
  // server under the released epoch.
  void DropConfirmedReleases(RoutingView& aView);
  void Publish(RoutingView aView);

  NodeAgentOptions m_options;
  uint64_t m_sequence = 0;
  std::optional<wire::Backend> m_backend;
  // The incarnation by which the cluster knows the backend server: the
  // announced one, or a later one after the cluster has declared that gone.
  uint64_t m_registeredIncarnation = 0;
  bool m_incarnationGone = false;
  // The latest 64. An announcement of one of these comes from a process that
  // has been replaced.
  std::vector<uint64_t> m_replacedIncarnations;
  // Backend numbers up to this one belong to replaced incarnations.
  uint32_t m_lastReplacedNumber = 0;
  // When the newest request whose reply set or withdrew the backend number was
  // sent. Replies to older requests cannot set it again.
  TimePoint m_numberRequestSentAt;
  // Whether that reply withdrew the number.
  bool m_numberWithdrawn = false;
  // When the newest request whose reply set the operator's drain was sent.
  TimePoint m_operatorDrainRequestSentAt;
  bool m_healthy = true;
  // Set when a route update was refused, until a full update arrives.
  bool m_needsFullRoutes = false;
  // Load report for the next request. Sent once, since the leader keeps the
  // last one.
  std::optional<wire::NodeLoad> m_pendingLoad;
  quarantine::QuarantineReport m_quarantineReport;
  std::shared_ptr<const RoutingView> m_view;
};

} // namespace rattanloft::routing
