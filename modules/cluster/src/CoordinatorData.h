#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ClusterData.h"
#include "ServicePlacer.h"
#include "rattanloft/cluster/Coordinator.h"
#include "rattanloft/quarantine/QuarantineTable.h"

namespace rattanloft::cluster {

// A command that was not applied by then is proposed again.
constexpr Duration kProposalRetryInterval = Milliseconds(500);

class Coordinator::Data
{
public:
  Data(CoordinatorOptions aOptions, const ClusterState& aState, TimePoint aNow);

  std::vector<wire::Command> OnSync(const wire::SyncRequest& aRequest,
                                    TimePoint aNow);
  TickOutcome Tick(TimePoint aNow);
  wire::SyncReply BuildReply(const std::string& aNodeId, TimePoint aNow);
  std::vector<NodeStatus> Nodes(TimePoint aNow) const;
  std::vector<wire::QuarantineEntry> Quarantine(TimePoint aNow) const;
  bool ClearQuarantine(uint64_t aFingerprint, TimePoint aNow);

private:
  using Commands = std::vector<wire::Command>;

  struct HeldCall
  {
    uint64_t m_sequence = 0;
    TimePoint m_heldSince;
    bool m_ready = false;
  };

  // What one node reported.
  struct NodeState
  {
    wire::SyncRequest m_lastRequest;
    TimePoint m_lastHeardAt;
    std::optional<HeldCall> m_heldCall;
    TimePoint m_lastReadyAt;
    // The next registration may be proposed from this time on.
    TimePoint m_nextRegistrationAt;
    // Incarnation that the node was told to be gone.
    uint64_t m_reportedGoneIncarnation = 0;
    // Session of the process before the current one.
    std::optional<uint64_t> m_previousSession;
    // Replies built since the node last confirmed a new one, and that time.
    uint32_t m_unconfirmedReplies = 0;
    bool m_hasConfirmedReply = false;
    TimePoint m_lastConfirmedAt;
  };

  // The lease of one backend, by number.
  struct Lease
  {
    // No lease was granted after this time.
    TimePoint m_grantedAt;
    // A command that takes the backend away was proposed. It may take effect
    // at any later time, so the lease is never renewed again.
    bool m_renewalEnded = false;
    // The process last proposed as holder. Only it may get the lease, since
    // proposals for others may still take effect.
    std::optional<uint64_t> m_pendingSession;
    // When SetBackendState was proposed last.
    std::optional<TimePoint> m_goneProposedAt;
    TimePoint m_coldUntil;
    bool m_wasSeenHealthy = false;
    std::optional<TimePoint> m_unhealthySince;
  };

  const CatalogueStore& Catalogue() const;
  const RouteStore& Routes() const;

  bool IsOvertaken(const NodeState& aNode,
                   const wire::SyncRequest& aRequest,
                   TimePoint aNow) const;
  void StoreReport(NodeState& aNode,
                   const wire::SyncRequest& aRequest,
                   TimePoint aNow);
  const wire::Backend* AnnouncedBackend(const NodeState& aNode) const;
  void ProposeRegistration(NodeState& aNode,
                           TimePoint aNow,
                           Commands& aCommands);
  bool MayReplaceBackend(const wire::Backend& aCurrent, TimePoint aNow) const;
  void ProposeDrainState(const NodeState& aNode, Commands& aCommands) const;
  void ProposeReleases(const NodeState& aNode, Commands& aCommands) const;

  Lease& GetOrAddLease(uint32_t aNumber, TimePoint aNow);
  bool HasLeaseEnded(uint32_t aNumber, TimePoint aNow) const;
  const NodeState* FindNode(const wire::Backend& aBackend) const;
  bool WasHeardRecently(const wire::Backend& aBackend, TimePoint aNow) const;
  bool ConfirmsReplies(const NodeState& aNode, TimePoint aNow) const;
  // Whether the lease of this backend may be renewed.
  bool MayGrantLease(const NodeState& aNode,
                     const wire::Backend& aBackend,
                     TimePoint aNow) const;
  bool IsUnhealthyTooLong(const wire::Backend& aBackend, TimePoint aNow) const;

  void RefreshLeases(TimePoint aNow);
  void UpdateHealth(TimePoint aNow);
  bool ShouldDeferLosses(TimePoint aNow);
  void ProposeGoneBackends(TimePoint aNow, Commands& aCommands);
  bool IsLost(const wire::Backend& aBackend, TimePoint aNow) const;
  void PlaceShards(TimePoint aNow, Commands& aCommands);
  std::vector<BackendView> MakeBackendViews(std::string_view aService,
                                            TimePoint aNow) const;
  void CollectReadyReplies(TimePoint aNow, std::vector<ReadyReply>& aReady);
  bool HasNewsFor(const NodeState& aNode) const;
  bool HasCurrentQuarantine(const NodeState& aNode) const;

  CoordinatorOptions m_options;
  const ClusterState& m_state;
  TimePoint m_startedAt;
  std::map<std::string, NodeState> m_nodes;
  std::map<uint32_t, Lease> m_leases;
  std::map<std::string, ServicePlacer> m_placers;
  // Backends whose reported health counts against them.
  std::set<uint32_t> m_unhealthyBackends;
  std::optional<TimePoint> m_deferringLossesSince;
  TimePoint m_nextFailureCheckAt;
  TimePoint m_nextPlacementAt;
  quarantine::QuarantineTable m_quarantine;
  uint64_t m_quarantineRevision = 0;
};

} // namespace rattanloft::cluster
