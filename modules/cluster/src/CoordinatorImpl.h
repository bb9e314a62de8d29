#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ClusterStateImpl.h"
#include "ServicePlacer.h"
#include "rattanloft/cluster/Coordinator.h"
#include "rattanloft/quarantine/LeaderList.h"

namespace rattanloft::cluster {

// A command that has not been applied after this time is proposed again.
constexpr Duration kProposalRetryInterval = Milliseconds(500);

// State and decisions of the Coordinator. Lease and failure detection functions
// are in Leases.cpp, the others in Coordinator.cpp.
class Coordinator::Impl
{
public:
  Impl(CoordinatorOptions aOptions, const ClusterState& aState, TimePoint aNow);

  std::vector<wire::Command> OnSync(const wire::SyncRequest& aRequest,
                                    TimePoint aNow);
  TickOutcome Tick(TimePoint aNow);
  wire::SyncReply BuildReply(const std::string& aNodeId, TimePoint aNow);
  std::vector<NodeStatus> Nodes(TimePoint aNow) const;
  std::vector<wire::QuarantineEntry> Quarantine(TimePoint aNow) const;
  bool ClearQuarantine(uint64_t aFingerprint, TimePoint aNow);

private:
  using Commands = std::vector<wire::Command>;

  // A Sync call that has not been answered.
  struct HeldCall
  {
    uint64_t m_sequence = 0;
    // Since when the node has had an unanswered call. Kept when a later call
    // replaces this one.
    TimePoint m_heldSince;
    // Tick has named it as ready to be answered.
    bool m_ready = false;
  };

  // What one node reported, and what it has been told.
  struct NodeState
  {
    wire::SyncRequest m_lastRequest;
    TimePoint m_lastHeardAt;
    std::optional<HeldCall> m_heldCall;
    // When Tick last named a call of this node as ready.
    TimePoint m_lastReadyAt;
    // The next registration may be proposed from this time on.
    TimePoint m_nextRegistrationAt;
    // Incarnation that the node has been told is gone.
    uint64_t m_reportedGoneIncarnation = 0;
    // Session of the node process before the current one.
    std::optional<uint64_t> m_previousSession;
    // Replies built since the node last confirmed a new reply.
    uint32_t m_unconfirmedReplies = 0;
    // The current process has confirmed a reply of this leader, or it does not
    // report confirmations.
    bool m_hasConfirmedReply = false;
    TimePoint m_lastConfirmedAt;
  };

  // The lease of one backend.
  struct Lease
  {
    // No lease was granted after this time.
    TimePoint m_grantedAt;
    // A command was proposed that makes the backend gone. It may take effect at
    // any later time, so the lease is never renewed again.
    bool m_renewalEnded = false;
    // Session of the process that was last proposed as holder. Only this
    // process may get the lease, since the proposal may still take effect.
    std::optional<uint64_t> m_pendingSession;
    // When the backend was last proposed as gone.
    std::optional<TimePoint> m_goneProposedAt;
    // Until then the backend counts as cold.
    TimePoint m_coldUntil;
    // This leader has seen the backend without its health counting against it.
    bool m_wasSeenHealthy = false;
    std::optional<TimePoint> m_unhealthySince;
  };

  const CatalogueStore& Catalogue() const;
  const RouteStore& Routes() const;

  // Whether a later request of the node has already arrived.
  bool IsOvertaken(const NodeState& aNode,
                   const wire::SyncRequest& aRequest,
                   TimePoint aNow) const;
  void StoreReport(NodeState& aNode,
                   const wire::SyncRequest& aRequest,
                   TimePoint aNow);
  // The registered backend of the incarnation that the node announces, or null.
  const wire::Backend* AnnouncedBackend(const NodeState& aNode) const;
  void ProposeRegistration(NodeState& aNode,
                           TimePoint aNow,
                           Commands& aCommands);
  bool MayReplaceBackend(const wire::Backend& aCurrent, TimePoint aNow) const;
  void ProposeDrainState(const NodeState& aNode, Commands& aCommands) const;
  void ProposeReleases(const NodeState& aNode, Commands& aCommands) const;

  // aNumber is a backend number.
  Lease& GetOrAddLease(uint32_t aNumber, TimePoint aNow);
  bool HasLeaseEnded(uint32_t aNumber, TimePoint aNow) const;
  // The node that announces this incarnation, or null.
  const NodeState* FindNode(const wire::Backend& aBackend) const;
  bool WasHeardRecently(const wire::Backend& aBackend, TimePoint aNow) const;
  // False if the replies to the node seem to be lost.
  bool ConfirmsReplies(const NodeState& aNode, TimePoint aNow) const;
  // Whether the lease of this backend may be renewed.
  bool MayGrantLease(const NodeState& aNode,
                     const wire::Backend& aBackend,
                     TimePoint aNow) const;
  bool IsUnhealthyTooLong(const wire::Backend& aBackend, TimePoint aNow) const;

  // Drops the leases of gone backends, adds those of new backends, and forgets
  // silent nodes that have no backend.
  void RefreshLeases(TimePoint aNow);
  void UpdateHealth(TimePoint aNow);
  bool ShouldDeferLosses(TimePoint aNow);
  void ProposeGoneBackends(TimePoint aNow, Commands& aCommands);
  // Whether the lease of the backend has ended and the backend is to be made
  // gone.
  bool IsLost(const wire::Backend& aBackend, TimePoint aNow) const;
  void PlaceShards(TimePoint aNow, Commands& aCommands);
  // All backends of a service that are not gone.
  std::vector<BackendView> MakeBackendViews(std::string_view aService,
                                            TimePoint aNow) const;
  void CollectReadyReplies(TimePoint aNow, std::vector<ReadyReply>& aReady);
  // Whether there is something to tell the node that it does not know.
  bool HasNewsFor(const NodeState& aNode) const;

  CoordinatorOptions m_options;
  const ClusterState& m_state;
  // Time of the election.
  TimePoint m_startedAt;
  std::map<std::string, NodeState> m_nodes;
  // By backend number.
  std::map<uint32_t, Lease> m_leases;
  std::map<std::string, ServicePlacer> m_placers;
  // Numbers of the backends that count as unhealthy.
  std::set<uint32_t> m_unhealthyBackends;
  std::optional<TimePoint> m_deferringLossesSince;
  TimePoint m_nextFailureCheckAt;
  TimePoint m_nextPlacementAt;
  quarantine::LeaderList m_quarantine;
};

} // namespace rattanloft::cluster
