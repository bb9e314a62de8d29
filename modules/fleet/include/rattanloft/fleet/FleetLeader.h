#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/fleet/ConfigurationChanges.h"
#include "rattanloft/fleet/EndpointList.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/fleet/RangePlacer.h"
#include "rattanloft/quarantine/LeaderList.h"

namespace rattanloft::fleet {

// Times that the leader grants to sidecars.
struct LeaderTimings
{
  // Lease of a backend lifetime. The sidecar counts it from the moment at which
  // it sent the sync request. It is below the 5 s after which the keys of a
  // lost instance must be served again.
  Duration m_leaseDuration = Milliseconds(3000);
  // A sync request is held for at most this time while there is nothing new to
  // report. The lease is thus renewed several times before it ends, even across
  // a change of leader.
  Duration m_maxSyncHold = Milliseconds(500);
};

// The leader's volatile view of the fleet: which sidecars run, which key ranges
// each backend lifetime may still hold, and which ranges are being transferred.
// A backend lifetime is one run of a backend server, identified by a
// HolderName. The view is lost with the leadership; a new leader rebuilds it
// from the next sync request of each sidecar. Pure: it does no I/O and takes
// the time as an argument. Used on the control thread only.
class FleetLeader
{
public:
  // aState must outlive the leader. The leadership of aTerm begins at aNow.
  FleetLeader(const FleetState& aState,
              uint64_t aTerm,
              LeaderTimings aTimings,
              TimePoint aNow);

  // Records what a sidecar reports. Returns false and ignores the report unless
  // it is newer than the earlier ones of its session.
  bool OnSync(const wire::FleetSyncRequest& aRequest, TimePoint aNow);
  // Returns the commands to propose to the replicated log now. At most one
  // command per service is outstanding. Must be called after syncs and at least
  // every 100 ms.
  std::vector<wire::AssignRanges> PlanAssignments(TimePoint aNow);
  // Must be called once the outcome of a command that PlanAssignments()
  // returned is known.
  void OnAssignmentFinished(const std::string& aService);
  // Returns the command that changes the recorded departures, if one is needed
  // now; at most one is outstanding. Must be called after syncs and at least
  // every 100 ms.
  std::optional<wire::ChangeDepartures> PlanDepartures(TimePoint aNow);
  // Must be called once the outcome of a command that PlanDepartures() returned
  // is known.
  void OnDeparturesFinished();

  // Whether the reply would tell the sidecar something new, so that the request
  // should be answered at once.
  bool HasUpdates(const wire::FleetSyncRequest& aRequest) const;
  // Builds the reply and renews the lease of the backend lifetime, which the
  // leader counts from aNow. Must be called only after a quorum has confirmed
  // the leadership since the request arrived.
  wire::FleetSyncReply BuildReply(const wire::FleetSyncRequest& aRequest,
                                  TimePoint aNow);

  // Number of sidecars that have been heard from recently enough to be listed
  // as endpoints.
  size_t CountSidecars(TimePoint aNow) const;
  // Transfers that wait for the release of their range, and proposed commands
  // whose outcome is not known, of all services.
  size_t CountPendingTransfers() const;
  size_t CountOpenCommands() const;
  Duration MaxSyncHold() const { return m_timings.m_maxSyncHold; }

private:
  struct Sidecar
  {
    // Latest report of the sidecar, and when it arrived.
    wire::FleetSyncRequest m_lastRequest;
    TimePoint m_lastHeardAt;
    // When the first report of its present process arrived.
    TimePoint m_sessionStart;
  };
  // A backend lifetime that owns key ranges or may own some.
  struct Holder
  {
    std::string m_instance;
    // After this time the lifetime can hold no range.
    TimePoint m_leaseEnd;
    // Set once a later lifetime runs at the same instance, which proves that
    // this one has ended.
    bool m_ended = false;
    // Process of its sidecar that has reported it last; empty before the first
    // report.
    std::optional<uint64_t> m_session;
    // Newest heartbeat that was reported, by any process of its sidecar and by
    // those before the last one.
    uint64_t m_heartbeatSequence = 0;
    uint64_t m_earlierHeartbeatSequence = 0;
    bool m_wasReportedEarlier = false;
    // Latest phase that its sidecar has reported.
    wire::BackendPhase m_phase = wire::BACKEND_PHASE_UNKNOWN;
    // Incremented each time that the planned ranges change.
    uint64_t m_planNumber = 0;
    // Ranges that the lifetime is told to hold.
    std::vector<wire::OwnedRange> m_plannedRanges;
    // The planned ranges in serialized form, to detect changes.
    std::string m_serializedPlan;
    // Handover tokens of the ranges that it has released, oldest first.
    std::vector<wire::HandedOver> m_handovers;
    // Planned ranges that the backend server refused in the latest report.
    std::vector<wire::RefusedRange> m_refusedRanges;
  };
  // A transfer that waits until its range is released.
  struct PendingTransfer
  {
    RangeTransfer m_transfer;
    TimePoint m_startedAt;
  };
  // What the leader keeps for one service with keys.
  struct ServiceState
  {
    KeyLoadEstimator m_keyLoad;
    std::vector<PendingTransfer> m_pendingTransfers;
    // The proposed command whose outcome is not known yet; without ranges if
    // there is none.
    wire::AssignRanges m_proposedCommand;
    // When a command was last returned for the service.
    TimePoint m_lastTransferAt;
    // When long waits were last logged.
    TimePoint m_waitsLoggedAt;
    // When the number of candidates last grew, and when it last grew from zero.
    TimePoint m_lastJoinAt;
    TimePoint m_firstJoinAt;
    // Number of candidates when transfers were last planned.
    size_t m_candidateCount = 0;
  };

  bool HasReleased(const std::string& aHolder,
                   const RangeTransfer& aTransfer,
                   TimePoint aNow) const;
  void LogLongWaits(const std::string& aServiceName,
                    ServiceState& aService,
                    TimePoint aNow) const;
  bool CanOwnKeys(const Sidecar& aSidecar, TimePoint aNow) const;
  double FindColdCapacity(const std::string& aService) const;
  std::vector<HolderCandidate> ListCandidates(const std::string& aService,
                                              TimePoint aNow) const;
  bool HaveHoldersReported(TimePoint aNow) const;
  std::vector<RangeTransfer> ListRefusedRanges(
    const std::string& aService) const;
  void StartTransfers(const std::string& aServiceName,
                      ServiceState& aService,
                      TimePoint aNow);
  void PlanServiceAssignments(const std::string& aServiceName,
                              std::vector<wire::AssignRanges>& aCommands,
                              TimePoint aNow);
  bool ExpectsRanges(const std::string& aHolder) const;
  std::string FindHandoverToken(const RangeTransfer& aTransfer) const;
  std::map<std::string, std::vector<wire::OwnedRange>> ComputePlannedRanges()
    const;
  void RefreshPlans();
  void RemoveSilentEndpoints(TimePoint aNow);
  TimePoint EndOfEarlierLeases() const;
  Holder& FindOrAddHolder(const std::string& aName);
  // Adopts what the request states about the lifetime of the backend server.
  void RecordLifetime(const wire::FleetSyncRequest& aRequest,
                      TimePoint aSessionStart,
                      TimePoint aNow);
  void MarkEarlierLifetimesEnded(const std::string& aInstance,
                                 const wire::BackendView& aBackend);
  void AdoptReportedDepartures(const wire::FleetSyncRequest& aRequest,
                               TimePoint aNow);
  // Adds the departures that no longer matter to the command, to be dropped.
  void DropDepartures(wire::ChangeDepartures& aCommand, TimePoint aNow);
  void RecordLoads(const wire::FleetSyncRequest& aRequest, TimePoint aNow);
  // Whether the departure is recorded and stays so.
  bool IsRecorded(const wire::Departure& aDeparture) const;
  bool HasRecordedDeparture(const wire::FleetSyncRequest& aRequest) const;
  bool NeedsQuarantine(const wire::FleetSyncRequest& aRequest) const;
  bool NeedsEndpoints(const wire::FleetSyncRequest& aRequest) const;
  bool NeedsEvacuations(const wire::FleetSyncRequest& aRequest) const;
  void AddChangedRanges(uint64_t aKnownIndex,
                        wire::FleetSyncReply& aReply) const;
  void AddConfiguration(const wire::FleetSyncRequest& aRequest,
                        wire::FleetSyncReply& aReply);
  void AddEndpoints(const wire::FleetSyncRequest& aRequest,
                    wire::FleetSyncReply& aReply) const;

  const FleetState& m_state;
  uint64_t m_term;
  LeaderTimings m_timings;
  TimePoint m_leadershipStart;
  // Time of the latest sync or plan.
  TimePoint m_latestTime;
  // When a sidecar that was not known before last sent a sync request.
  TimePoint m_lastNewSidecarAt;
  // By instance.
  std::map<std::string, Sidecar> m_sidecars;
  // By formatted HolderName.
  std::map<std::string, Holder> m_holders;
  // By service name.
  std::map<std::string, ServiceState> m_services;
  // Phases of the lifetimes whose departures were reported since the last
  // command and are to be recorded, by formatted HolderName. Sidecars report
  // them again until they are recorded.
  std::map<std::string, wire::BackendPhase> m_reportedDepartures;
  // Reports of departures for which there is no room, since this was last
  // logged.
  size_t m_refusedDepartures = 0;
  // A command of PlanDepartures() is outstanding, and the lifetimes whose
  // departures it drops.
  bool m_departuresProposed = false;
  std::set<std::string> m_proposedDrops;
  // When recorded departures were last checked for those to drop.
  TimePoint m_departuresCheckedAt;
  // When each recorded departure was last found necessary, by formatted
  // HolderName.
  std::map<std::string, TimePoint> m_departuresNeededAt;
  EndpointList m_endpoints;
  ConfigurationHistory m_configurationHistory;
  quarantine::LeaderList m_quarantine;
};

} // namespace rattanloft::fleet
