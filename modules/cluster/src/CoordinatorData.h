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
constexpr Duration kProposalInterval = Milliseconds(500);

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
    TimePoint m_since;
    bool m_ready = false;
  };

  // What one node reported.
  struct Node
  {
    wire::SyncRequest m_last;
    TimePoint m_heardAt;
    std::optional<HeldCall> m_held;
    TimePoint m_readyAt;
    // The next registration may be proposed from this time on.
    TimePoint m_nextRegistration;
    // Incarnation that the node was told to be gone.
    uint64_t m_toldGone = 0;
    // Session of the process before the current one.
    std::optional<uint64_t> m_previousSession;
    // Replies built since the node last confirmed a new one, and that time.
    uint32_t m_unconfirmed = 0;
    bool m_everConfirmed = false;
    TimePoint m_confirmedAt;
  };

  // The lease of one backend, by number.
  struct Lease
  {
    // No lease was granted after this time.
    TimePoint m_grantedAt;
    // A command that takes the backend away was proposed. It may take effect
    // at any later time, so the lease is never renewed again.
    bool m_final = false;
    // The process last proposed as holder. Only it may get the lease, since
    // proposals for others may still take effect.
    std::optional<uint64_t> m_wantedSession;
    // When SetBackendState was proposed last.
    std::optional<TimePoint> m_proposedAt;
    TimePoint m_coldUntil;
    bool m_seenHealthy = false;
    std::optional<TimePoint> m_unhealthySince;
  };

  const CatalogueStore& Catalogue() const;
  const RouteStore& Routes() const;

  bool IsStale(const Node& aNode,
               const wire::SyncRequest& aRequest,
               TimePoint aNow) const;
  void TakeReport(Node& aNode,
                  const wire::SyncRequest& aRequest,
                  TimePoint aNow);
  const wire::Backend* Announced(const Node& aNode) const;
  void Register(Node& aNode, TimePoint aNow, Commands& aCommands);
  bool MayReplace(const wire::Backend& aOld, TimePoint aNow) const;
  void SetDraining(const Node& aNode, Commands& aCommands) const;
  void Release(const Node& aNode, Commands& aCommands) const;

  Lease& LeaseOf(uint32_t aNumber, TimePoint aNow);
  bool LeaseEnded(uint32_t aNumber, TimePoint aNow) const;
  const Node* NodeOf(const wire::Backend& aBackend) const;
  bool IsHeard(const wire::Backend& aBackend, TimePoint aNow) const;
  bool Confirms(const Node& aNode, TimePoint aNow) const;
  // Whether the lease of this backend may be renewed.
  bool MayGrant(const Node& aNode,
                const wire::Backend& aBackend,
                TimePoint aNow) const;
  bool IsUnhealthyTooLong(const wire::Backend& aBackend, TimePoint aNow) const;

  void SweepLeases(TimePoint aNow);
  void UpdateHealth(TimePoint aNow);
  bool DefersLosses(TimePoint aNow);
  void EndLeases(TimePoint aNow, Commands& aCommands);
  bool IsLost(const wire::Backend& aBackend, TimePoint aNow) const;
  void Place(TimePoint aNow, Commands& aCommands);
  std::vector<BackendView> ViewsOf(std::string_view aService,
                                   TimePoint aNow) const;
  void CollectReady(TimePoint aNow, std::vector<ReadyReply>& aReady);
  bool HasNews(const Node& aNode) const;
  bool HasQuarantine(const Node& aNode) const;

  CoordinatorOptions m_options;
  const ClusterState& m_state;
  TimePoint m_startedAt;
  std::map<std::string, Node> m_nodes;
  std::map<uint32_t, Lease> m_leases;
  std::map<std::string, ServicePlacer> m_placers;
  // Backends whose reported health counts against them.
  std::set<uint32_t> m_unhealthy;
  std::optional<TimePoint> m_deferringSince;
  TimePoint m_nextSweep;
  TimePoint m_nextPlacement;
  quarantine::QuarantineTable m_quarantine;
  uint64_t m_quarantineRevision = 0;
};

} // namespace rattanloft::cluster
