#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/fleet/RangePlacer.h"

namespace rattanloft::fleet {

struct LeaderTimings
{
  // Lease of a backend lifetime, counted by its sidecar from the moment at
  // which it sent the request. Below the 5 s after which the keys of a lost
  // instance must be served again.
  Duration m_leaseDuration = Milliseconds(3000);
  // A sync without news is answered after this time, so that the lease is
  // renewed several times before it ends, also over a change of leader.
  Duration m_maxSyncHold = Milliseconds(500);
};

// The leader's view of the sidecars: who runs, what each backend lifetime may
// still hold, and which ranges are on their way. Lost with the leadership and
// rebuilt from the next sync of each sidecar. Pure; used on the control thread.
class FleetLeader
{
public:
  // aState outlives the leader.
  FleetLeader(const FleetState& aState,
              uint64_t aTerm,
              LeaderTimings aTimings,
              TimePoint aNow);

  // False if the request is older than one that was seen before.
  bool OnSync(const wire::FleetSyncRequest& aRequest, TimePoint aNow);
  // Commands to propose now; at most one per service is outstanding. To be
  // called after syncs and at least every 100 ms.
  std::vector<wire::AssignRanges> PlanAssignments(TimePoint aNow);
  // The outcome of a command that PlanAssignments() returned is known.
  void OnAssignmentFinished(const std::string& aService);

  // Whether the request should be answered at once.
  bool HasUpdates(const wire::FleetSyncRequest& aRequest) const;
  // To be called only after a quorum has confirmed the leadership since the
  // request arrived; the lease counts from then.
  wire::FleetSyncReply BuildReply(const wire::FleetSyncRequest& aRequest,
                                  TimePoint aNow);

  size_t CountSidecars(TimePoint aNow) const;
  Duration MaxSyncHold() const { return m_timings.m_maxSyncHold; }

private:
  struct Sidecar
  {
    wire::FleetSyncRequest m_lastRequest;
    TimePoint m_lastSeen;
    bool m_listed = false;
  };
  // One backend lifetime that owns ranges or could.
  struct Holder
  {
    std::string m_instance;
    // It may hold nothing after this time.
    TimePoint m_leaseEnd;
    // Ended for certain: a later lifetime runs at its instance.
    bool m_ended = false;
    // Counts the changes of what it is told to hold.
    uint64_t m_planNumber = 0;
    std::vector<wire::OwnedRange> m_plannedRanges;
    std::string m_serializedPlan;
    std::vector<wire::HandedOver> m_handovers;
  };
  struct PendingTransfer
  {
    RangeTransfer m_transfer;
    TimePoint m_startedAt;
  };
  struct ServiceState
  {
    KeyLoadEstimator m_keyLoad;
    std::vector<PendingTransfer> m_pendingTransfers;
    // The command that is proposed and not applied yet; empty for none.
    wire::AssignRanges m_proposedCommand;
    TimePoint m_lastTransferAt;
    TimePoint m_lastJoinAt;
    TimePoint m_firstJoinAt;
    size_t m_candidateCount = 0;
  };

  bool HasReleased(const std::string& aHolder,
                   const RangeTransfer& aTransfer,
                   TimePoint aNow) const;
  bool CanOwnKeys(const Sidecar& aSidecar, TimePoint aNow) const;
  std::vector<HolderCandidate> ListCandidates(const std::string& aService,
                                              TimePoint aNow) const;
  bool HaveHoldersReported(TimePoint aNow) const;
  void StartTransfers(const std::string& aName,
                      ServiceState& aService,
                      TimePoint aNow);
  void PlanServiceAssignments(const std::string& aName,
                              std::vector<wire::AssignRanges>& aCommands,
                              TimePoint aNow);
  bool ExpectsRanges(const std::string& aHolder) const;
  std::string FindHandoverToken(const RangeTransfer& aTransfer) const;
  std::map<std::string, std::vector<wire::OwnedRange>> ComputePlannedRanges()
    const;
  void RefreshPlans();
  void RefreshEndpoints(TimePoint aNow);
  std::vector<wire::Endpoint> ListEndpoints() const;
  void MarkEarlierLifetimesEnded(const std::string& aInstance,
                                 const wire::BackendView& aBackend);
  void RecordLoads(const wire::FleetSyncRequest& aRequest, TimePoint aNow);
  bool NeedsEndpoints(const wire::FleetSyncRequest& aRequest) const;
  void AddChangedRanges(uint64_t aKnownIndex,
                        wire::FleetSyncReply& aReply) const;
  void AddEndpoints(wire::FleetSyncReply& aReply) const;

  const FleetState& m_state;
  uint64_t m_term;
  LeaderTimings m_timings;
  TimePoint m_leadershipStart;
  TimePoint m_latestTime;
  TimePoint m_lastNewSidecarAt;
  std::map<std::string, Sidecar> m_sidecars;
  std::map<std::string, Holder> m_holders;
  std::map<std::string, ServiceState> m_services;
  uint64_t m_endpointsRevision = 1;
  std::string m_serializedEndpoints;
};

} // namespace rattanloft::fleet
