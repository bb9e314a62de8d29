#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "CallDelivery.h"
#include "StartupTrust.h"
#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

// Whether the backend server may serve a request, or why not.
enum class ServeVerdict
{
  kServe,
  // No heartbeat of a running backend server was received.
  kNoBackend,
  // The leader has not yet told whether the lifetime has begun to leave.
  kAwaitsLeader,
  kDraining,
  // The backend server has no valid grant for the key.
  kNotOwner,
  // The key is planned for the backend server, which has no valid grant yet.
  kAwaitsGrant,
  // The key leaves the backend server, which may still hold it.
  kAwaitsRelease,
  kUnreachable,
};

// Whether the verdict says that the key has another owner, or will have one.
bool
IsOwnershipVerdict(ServeVerdict aVerdict);

// Name of the verdict in log lines and as the reason of a refusal.
std::string_view
ServeVerdictName(ServeVerdict aVerdict);

// Whether the backend server accepts a response of this size.
using ResponseFits = std::function<bool(const HeartbeatResponse&)>;

// State of the backend server next to this sidecar, and the key ranges that the
// sidecar grants to it under the lease from the leading coordinator. Before the
// first heartbeat the backend server counts as absent. Does no I/O; used on the
// traffic thread.
class LocalBackend
{
public:
  LocalBackend(std::string aInstance, Duration aDrainTimeout, TimePoint aNow);

  // Applies a heartbeat that CheckHeartbeat() has accepted. Returns false, and
  // ignores it, if it comes from an earlier lifetime or is older than one
  // received before. Such a heartbeat must be answered without grants.
  bool OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow);
  // Sequence number of the newest heartbeat. Older heartbeats get no grants.
  uint64_t HeartbeatSequence() const { return m_heartbeatSequence; }
  // Sets how the service of the current lifetime gets its ranges. Must be
  // called after each new lifetime and configuration; empty while it is not
  // known, which delivers nothing. Ranges that were delivered in another way
  // count as held until that has ended.
  void SetRangeDelivery(std::optional<wire::RangeDelivery> aDelivery);
  // Returns the range calls to send now; see CallDelivery::TakeCalls().
  std::vector<OutgoingRangeCall> TakeRangeCalls(TimePoint aNow);
  void OnRangeCallEnded(RangeCallId aId,
                        const RangeCallResult& aResult,
                        TimePoint aNow);
  // The backend server refused a request that was addressed to the current
  // lifetime: because it is another one, whose id it then gives, or because it
  // does not hold the key.
  void OnMisdirected(std::string_view aRespondingBackend,
                     std::optional<uint32_t> aKey);
  // A response of the current lifetime says that it is about to stop.
  void OnLeavingAnnounced(TimePoint aNow);
  // A response of the current lifetime says that it stays cold for this time.
  void OnColdAnnounced(Duration aColdRemaining, TimePoint aNow);
  // The backend server shuts down. aStartedAtUnixMs is the start of its
  // lifetime, or 0 if the call did not give it. Returns the name of the
  // lifetime; empty if it is not known which lifetime shuts down, so that the
  // call must not be confirmed.
  std::string OnDeregistration(std::string_view aBackendId,
                               int64_t aStartedAtUnixMs,
                               TimePoint aNow);
  // Whether the replicated state contains all that is known here about the end
  // of the lifetime, so that no restart makes it forgotten. Until then the end
  // must not be confirmed to the backend server.
  bool IsDepartureRecorded(std::string_view aHolder) const;

  // Applies the lease and the plan of a sync reply. aSentAt is the time at
  // which the sync request was sent; the lease counts from then.
  void OnSyncReply(const wire::FleetSyncReply& aReply, TimePoint aSentAt);
  // The leader has received this report: its handover tokens are not reported
  // again, and another process of this sidecar would learn its heartbeat.
  void OnReportDelivered(const wire::FleetSyncRequest& aRequest);

  // Records whether a connection attempt or an exchange with the backend server
  // succeeded.
  void OnContactResult(bool aSucceeded, TimePoint aNow);

  // Decides whether the backend server may serve a request now. aKey is empty
  // for an unkeyed service.
  ServeVerdict CheckServable(std::optional<uint32_t> aKey,
                             bool aKeyed,
                             TimePoint aNow) const;

  // Fills in the part of the sync request that concerns the backend server.
  void FillReport(wire::FleetSyncRequest& aRequest, TimePoint aNow) const;
  // Returns true if the response to a heartbeat should wait for ranges that are
  // on their way, or for the first ranges of a keyed service. A response that
  // revokes ranges does not wait, because their next owner waits for it. aKeyed
  // is empty until a configuration is known.
  bool ShouldWaitForRanges(std::optional<bool> aKeyed) const;
  // Increases with every plan that is adopted.
  uint64_t AdoptedPlanCount() const { return m_adoptedPlanCount; }
  // Must be called immediately before the response is written, since the grants
  // that it returns count as offered from then on. If aFits is not empty, the
  // response has only as many ranges as fit, first those that are held.
  HeartbeatResponse MakeHeartbeatResponse(TimePoint aNow,
                                          const ResponseFits& aFits = {});
  // Increases with every change that should be reported to the leader at once.
  uint64_t ReportRevision() const
  {
    return m_reportRevision + m_callDelivery.Revision();
  }
  const wire::BackendView& View() const { return m_view; }
  // Ranges of the plan, and those that the last response granted.
  size_t PlannedRangeCount() const { return m_plannedRanges.size(); }
  size_t OfferedRangeCount(TimePoint aNow) const;
  Duration ColdRemaining(TimePoint aNow) const;

private:
  struct LocalDeparture
  {
    wire::Departure m_departure;
    TimePoint m_addedAt;
    bool m_isRecorded = false;
  };

  // Leaves out ranges at the end of the response until it fits.
  void LimitRanges(HeartbeatResponse& aResponse,
                   const ResponseFits& aFits) const;
  void StartLifetime(const Heartbeat& aHeartbeat,
                     std::string aHolder,
                     TimePoint aNow);
  bool DeliversInHeartbeats() const;
  // The planned ranges if they are delivered by calls, otherwise none.
  std::span<const wire::OwnedRange> RangesToCallFor() const;
  void KeepOfferedRanges();
  std::vector<wire::OwnedRange> RangesToOffer() const;
  // Appends the parts of the planned range that the backend server holds.
  void AppendHeldParts(const wire::OwnedRange& aPlanned,
                       std::vector<wire::OwnedRange>& aParts) const;
  bool HasRangesToOfferLater() const;
  bool IsReportedHeld(const wire::OwnedRange& aRange) const;
  // Logs why a response grants no ranges of a keyed service, and that one does
  // again, when that changes.
  void LogWithheldGrants(const HeartbeatResponse& aResponse, TimePoint aNow);
  std::string_view FindWithholdingCause(
    const HeartbeatResponse& aResponse) const;
  bool MustRelease() const;
  ServeVerdict CheckOwnership(uint32_t aKey, TimePoint aNow) const;
  void StartDrain(wire::BackendPhase aPhase,
                  TimePoint aStartedAt,
                  TimePoint aNow);
  std::vector<LocalDeparture>::iterator FindDeparture(std::string_view aHolder);
  void AddDeparture(const std::string& aHolder,
                    wire::BackendPhase aPhase,
                    TimePoint aNow);
  bool DropDeparture(TimePoint aNow);
  void OnDeparturesRecorded(const wire::FleetSyncReply& aReply, TimePoint aNow);
  // Returns a start of the drain after which nothing is served any more.
  TimePoint EarlierDrainStart(TimePoint aNow) const;

  std::string m_instance;
  Duration m_drainTimeout;
  StartupTrust m_startupTrust;
  wire::BackendView m_view;
  uint64_t m_heartbeatSequence = 0;
  // Newest heartbeat of the lifetime that the leader knows of.
  uint64_t m_deliveredSequence = 0;
  TimePoint m_lastHeartbeatAt;
  // The backend server expects to be slow until this time.
  TimePoint m_coldUntil;
  TimePoint m_drainStartedAt;
  uint64_t m_reportRevision = 0;

  // Lease and plan of the current lifetime, as received from the leader.
  TimePoint m_leaseEnd;
  uint64_t m_planTerm = 0;
  uint64_t m_planNumber = 0;
  std::vector<wire::OwnedRange> m_plannedRanges;
  bool m_expectsRanges = false;
  uint64_t m_adoptedPlanCount = 0;

  // Ranges that the last heartbeat with a list of them reported, and those that
  // were offered before later ones without a list.
  std::vector<HeldRange> m_reportedRanges;
  // Whether the last heartbeat had a list.
  bool m_listsHolds = false;
  // Ranges granted by the last response; valid until m_offerEnd.
  std::vector<wire::OwnedRange> m_offeredRanges;
  // After this time no grant of any response can still be in force.
  TimePoint m_lastPossibleHoldEnd;
  TimePoint m_offerEnd;
  // Cause that was logged last; empty while ranges are granted.
  std::string_view m_loggedWithholdingCause;
  bool m_reachable = true;
  TimePoint m_failingSince;
  // A connection has failed since the last heartbeat, so that the next process
  // to listen at the address may be another lifetime.
  bool m_mayHaveEnded = false;
  std::vector<wire::HandedOver> m_pendingHandovers;
  // Lifetimes that have begun to leave, oldest first; bounded.
  std::vector<LocalDeparture> m_departures;
  // Latest term in which a leader has replied.
  uint64_t m_departuresTerm = 0;
  std::optional<wire::RangeDelivery> m_delivery;
  CallDelivery m_callDelivery;
};

} // namespace rattanloft::sidecar
