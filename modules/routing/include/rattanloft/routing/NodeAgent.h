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
#include "rattanloft/routing/Catalogue.h"
#include "rattanloft/routing/RouteTable.h"

namespace rattanloft::routing {

// Age of the last confirmed Sync from which a node refuses requests, since it
// cannot know whether its catalogue is still current.
constexpr Duration kMaxConfirmationAge = Seconds(6);

// A shard of the own backend server and the epoch of its grant.
struct OwnedShard
{
  std::string m_service;
  ShardNumber m_shard = 0;
  uint64_t m_epoch = 0;

  bool operator==(const OwnedShard&) const = default;
};

// What the traffic thread needs from the control thread. Immutable.
struct RoutingView
{
  std::shared_ptr<const RouteTable> m_routes;
  std::shared_ptr<const Catalogue> m_catalogue;
  // Number of this node's own backend server, 0 while not registered.
  uint32_t m_backend = 0;
  // Grants may be used before this point only.
  TimePoint m_leaseEnd;
  // When the last confirmed Sync was sent.
  TimePoint m_confirmedAt;
  // The node or its backend server drains by itself.
  bool m_draining = false;
  // An operator drains the backend server. Not reported back as the node's own
  // drain, which would outlast the operator's.
  bool m_operatorDrain = false;
  // Shards reported as released whose routes do not show it yet, sorted by
  // service and shard.
  std::shared_ptr<const std::vector<OwnedShard>> m_released;

  bool IsStale(TimePoint aNow) const
  {
    return aNow - m_confirmedAt >= kMaxConfirmationAge;
  }
  // True if this node's backend server owns the shard, the lease holds and no
  // release is asked for.
  bool MayServe(std::string_view aService,
                ShardNumber aShard,
                TimePoint aNow) const;
};

struct NodeAgentOptions
{
  std::string m_nodeId;
  uint64_t m_session = 0;
  std::string m_zone;
  std::string m_peerAddress;
};

// The control-plane side of a node: lease, catalogue and routes. Pure; owned by
// the node's control thread.
class NodeAgent
{
public:
  explicit NodeAgent(NodeAgentOptions aOptions);

  // The latest announcement of the backend server. An older incarnation than a
  // known one that was replaced is refused: false.
  bool SetBackend(const wire::Backend& aBackend);
  void SetBackendHealthy(bool aHealthy);
  void SetDraining(bool aDraining);
  void SetLoad(wire::NodeLoad aLoad);
  // The traffic thread has stopped serving the shard under this epoch.
  void MarkReleased(std::string_view aService,
                    ShardNumber aShard,
                    uint64_t aEpoch);

  // Quarantine entries that have changed here, sent until the leader has them.
  void AddQuarantine(const std::vector<wire::QuarantineEntry>& aEntries);

  wire::SyncRequest MakeRequest();

  // aSentAt is when the request with this sequence was sent. Returns true if
  // the view changed.
  bool OnReply(const wire::SyncReply& aReply,
               TimePoint aSentAt,
               TimePoint aNow);

  using OwnedShard = routing::OwnedShard;
  // Shards of the own backend server for which a release is asked and not yet
  // reported.
  std::vector<OwnedShard> ShardsToRelease() const;
  // Shards that the own backend server owns and has not released, for the grant
  // to it.
  std::vector<OwnedShard> OwnedShards() const;
  // Whether the routes still name the own backend server for any shard, also
  // for released ones: until then a release may not have been reported.
  bool OwnsAnyShard() const;

  std::shared_ptr<const RoutingView> CurrentView() const { return m_view; }

private:
  bool ApplyCatalogue(const wire::CatalogueUpdate& aUpdate, RoutingView& aView);
  bool ApplyRoutes(const wire::RouteUpdate& aUpdate, RoutingView& aView);
  void ApplyLease(const wire::SyncReply& aReply,
                  TimePoint aSentAt,
                  TimePoint aNow,
                  RoutingView& aView);
  bool IsOwnNumber(uint32_t aNumber, const RoutingView& aView) const;
  void ApplyOperatorDrain(const wire::SyncReply& aReply,
                          TimePoint aSentAt,
                          RoutingView& aView);
  void EndLease(RoutingView& aView, TimePoint aNow, std::string_view aReason);
  // The incarnation is gone for good.
  void EndRegistration(TimePoint aSentAt, TimePoint aNow, RoutingView& aView);
  void DropConfirmedReleases(RoutingView& aView);
  void Publish(RoutingView aView);

  NodeAgentOptions m_options;
  uint64_t m_sequence = 0;
  std::optional<wire::Backend> m_backend;
  // What the cluster knows the backend server by: its announced incarnation,
  // or a later one after the cluster has declared that gone.
  uint64_t m_registeredIncarnation = 0;
  bool m_incarnationGone = false;
  // The latest 64. An announcement of one of these comes from a process that
  // was replaced.
  std::vector<uint64_t> m_replacedIncarnations;
  // Numbers up to this one belong to replaced incarnations.
  uint32_t m_lastReplacedNumber = 0;
  // When the newest request whose reply set or ended the number was sent. Older
  // replies cannot set it again.
  TimePoint m_numberRequestSentAt;
  bool m_numberWithdrawn = false;
  // When the newest request whose reply set the operator's drain was sent.
  TimePoint m_operatorDrainRequestSentAt;
  bool m_healthy = true;
  bool m_needsFullRoutes = false;
  // Sent once; the leader keeps the last one.
  std::optional<wire::NodeLoad> m_pendingLoad;
  uint64_t m_quarantineTerm = 0;
  uint64_t m_quarantineRevision = 0;
  // By fingerprint, with the sequence of the last request before it was added.
  // Bounded by the table of the traffic thread.
  std::map<uint64_t, std::pair<uint64_t, wire::QuarantineEntry>>
    m_pendingQuarantine;
  std::shared_ptr<const RoutingView> m_view;
};

} // namespace rattanloft::routing
