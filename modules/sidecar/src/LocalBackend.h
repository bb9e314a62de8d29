#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

enum class ServeVerdict
{
  kServe,
  // No heartbeat of a live backend server was seen.
  kNoBackend,
  kDraining,
  // The backend server does not hold the key now.
  kNotOwner,
  kUnreachable,
};

std::string_view
ServeVerdictName(ServeVerdict aVerdict);

// What a sidecar knows of the backend server beside it, and what it may let it
// hold. Nothing is assumed before the first heartbeat, so a sidecar that
// restarts learns of a drain before it sends anything. Pure; traffic thread.
class LocalBackend
{
public:
  LocalBackend(std::string aInstance,
               std::string aBackendAddress,
               Duration aDrainLimit,
               TimePoint aNow);

  // False if the heartbeat is of no use: another address, an earlier lifetime,
  // or older than one that was seen. It is then answered without grants.
  bool OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow);
  // Of the newest heartbeat; an older one gets no grants.
  uint64_t HeartbeatSequence() const { return m_heartbeatSequence; }
  // The backend server leaves; its start is 0 if the call did not tell.
  void OnDeregistration(std::string_view aBackendId,
                        int64_t aStartedAtUnixMs,
                        TimePoint aNow);

  // A reply to a sync that was sent at aSent.
  void OnSyncReply(const wire::FleetSyncReply& aReply, TimePoint aSentAt);
  // The leader has these handover tokens.
  void OnHandoversDelivered(const wire::FleetSyncRequest& aRequest);

  // Outcome of a connection attempt or an exchange with the backend server.
  void OnContactResult(bool aSucceeded, TimePoint aNow);

  // aKey is empty for a service without keys.
  ServeVerdict CheckServable(std::optional<uint32_t> aKey,
                             bool aKeyed,
                             TimePoint aNow) const;

  // Fills in what the leader wants to know of the backend server.
  void FillReport(wire::FleetSyncRequest& aRequest, TimePoint aNow) const;
  // Whether the answer to a heartbeat should wait for ranges that are on their
  // way, or for the first ones of a service with keys; aKeyed is empty until a
  // configuration is known. Not if the answer takes ranges away: their next
  // owner waits for it.
  bool ShouldWaitForRanges(std::optional<bool> aKeyed) const;
  // Changes with every plan that is adopted.
  uint64_t AdoptedPlanCount() const { return m_adoptedPlanCount; }
  // To be called with every heartbeat's answer when it is about to be written.
  HeartbeatResponse MakeHeartbeatResponse(TimePoint aNow);
  // Changes when the leader should hear of it at once.
  uint64_t ReportRevision() const { return m_reportRevision; }
  const wire::BackendView& View() const { return m_view; }
  Duration ColdRemaining(TimePoint aNow) const;

private:
  void StartLifetime(const Heartbeat& aHeartbeat, std::string aHolder);
  bool IsReportedHeld(const wire::OwnedRange& aRange) const;
  bool MustRelease() const;
  void StartDrain(wire::BackendPhase aPhase, TimePoint aNow);

  std::string m_instance;
  std::string m_backendAddress;
  Duration m_drainLimit;
  TimePoint m_createdAt;
  wire::BackendView m_view;
  uint64_t m_heartbeatSequence = 0;
  TimePoint m_lastHeartbeatAt;
  TimePoint m_coldUntil;
  TimePoint m_drainStartedAt;
  uint64_t m_reportRevision = 0;

  // Lease and plan of the current lifetime.
  TimePoint m_leaseEnd;
  uint64_t m_planTerm = 0;
  uint64_t m_planNumber = 0;
  std::vector<wire::OwnedRange> m_plannedRanges;
  bool m_expectsRanges = false;
  uint64_t m_adoptedPlanCount = 0;

  // Told by the last heartbeat, offered in its answer, and the time after which
  // nothing that was offered can still be held.
  std::vector<HeldRange> m_reportedRanges;
  std::vector<wire::OwnedRange> m_offeredRanges;
  TimePoint m_lastPossibleHoldEnd;
  TimePoint m_offerEnd;
  bool m_reachable = true;
  TimePoint m_failingSince;
  std::vector<wire::HandedOver> m_pendingHandovers;
};

} // namespace rattanloft::sidecar
