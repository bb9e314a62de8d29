#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Why the backend server may be cold.
enum class ColdReason
{
  // This process does not know what happened before its start.
  kProcessStart,
  // The backend server says that it is cold.
  kAnnounced,
  kNewLifetime,
  // The backend server refused or broke a connection, so it may have restarted.
  kConnectionLost,
  // Heartbeats are missing.
  kSilence,
  // The evacuation of its zone has ended.
  kEvacuationEnd,
};

std::string_view
ColdReasonName(ColdReason aReason);

// Bounds the requests that a cold backend server gets in any second. Responds
// to requests for a backend server that says that it is cold, or of which this
// is not known, until a heartbeat that was certainly sent later says that it is
// warm. All requests for the backend server pass through this sidecar, so
// nothing is counted across instances. Without a bound, every request may
// start. Does no I/O; used on the traffic thread.
class ColdStartLimiter
{
public:
  using RequestId = uint64_t;

  // Requests that a cold backend server may get in any second, of which a part
  // is used; 0 for no bound.
  void SetBound(double aRequestsPerSecond, TimePoint aNow);

  // Another lifetime of the backend server runs. Must be called before
  // OnHeartbeat() with its first heartbeat.
  void OnNewLifetime(TimePoint aNow);
  // A heartbeat of the current lifetime was received. One that is not newer
  // than those received before is ignored.
  void OnHeartbeat(uint64_t aSequence, Duration aColdRemaining, TimePoint aNow);
  // The backend server said outside of heartbeats that it is cold.
  void OnColdAnnounced(TimePoint aNow);
  // A connection was refused or broken off by the backend server.
  void OnConnectionLost(TimePoint aNow);
  // The evacuation of its zone has ended, during which nothing was sent that
  // could have shown a restart.
  void OnPossiblyCold(TimePoint aNow);
  // Must be called at least every 100 ms while heartbeats may be missing, so
  // that the start of the limit is logged.
  void Tick(TimePoint aNow);

  // Takes a place for a request; false if there is none. Exactly one of
  // OnNotSent() and OnAnswered() may be called later for a request that
  // started.
  bool TryStart(RequestId aId, TimePoint aNow);
  // The request is passed to the connection now. It counts from then on.
  void OnSent(RequestId aId, TimePoint aNow);
  // Nothing of the request was sent, so its place is free.
  void OnNotSent(RequestId aId);
  // As OnNotSent(), unless OnSent() was called.
  void ReleaseIfNotSent(RequestId aId);
  // The backend server has answered, so the request has arrived. A request
  // that is answered as misdirected keeps its place: otherwise a server that
  // has restarted would get such requests as fast as it refuses them.
  void OnAnswered(RequestId aId, TimePoint aNow);

  // Whether the bound is in force.
  bool IsLimiting(TimePoint aNow) const;
  // Time until the request at this position of those that wait, from 1, may
  // start; an upper estimate while requests are unanswered.
  Duration TimeUntilRoom(size_t aPosition, TimePoint aNow) const;
  // Counts a refusal for lack of room. Returns the time after which to try
  // again, spread over the second after the first room.
  Duration Refuse(size_t aPosition, TimePoint aNow);
  uint64_t RefusedCount() const { return m_refusedCount; }
  double Bound() const { return m_bound; }

private:
  struct Sent
  {
    // The request may arrive, or has arrived less than a window ago, until
    // this time.
    TimePoint m_countsUntil;
    // Started while the limit was in force.
    bool m_isLimited = false;
    bool m_isSent = false;
  };

  bool IsPossiblyCold(TimePoint aNow) const;
  void StartLimit(ColdReason aReason, TimePoint aNow);
  void EndLimit(TimePoint aNow);
  void LogStart(ColdReason aReason) const;
  // Starts the limit if heartbeats are missing.
  void CheckSilence(TimePoint aNow);
  size_t MaxRequestsInWindow() const;
  Duration Window() const;
  size_t CountAt(TimePoint aNow) const;
  void RemoveExpired(TimePoint aNow);

  double m_bound = 0;
  // Nothing may start before this time while the limit is in force, since what
  // was sent before is not known.
  TimePoint m_blockedUntil;
  std::map<RequestId, Sent> m_sent;

  // Set while the backend server may be cold.
  std::optional<ColdReason> m_reason = ColdReason::kProcessStart;
  TimePoint m_limitedSince;
  // A heartbeat with a higher number was sent after the last sign that the
  // backend server may be cold. Empty until a heartbeat has been received since
  // then: that one may have been on its way, but the next one is sent only
  // after the response to it.
  std::optional<uint64_t> m_sequenceBeforeProof;
  std::optional<uint64_t> m_lastSequence;
  std::optional<TimePoint> m_lastHeartbeatAt;
  uint64_t m_refusedCount = 0;
  uint64_t m_startedCount = 0;
};

} // namespace rattanloft::sidecar
