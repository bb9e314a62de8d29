#pragma once

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// When a sidecar that was told to stop does what, and which requests it still
// serves, so that none is cut off at the end. Immutable.
class StopSchedule
{
public:
  // A listener that stops still serves the requests that come in this time.
  static constexpr Duration kListenerStopTime = Milliseconds(200);

  // The process must have ended aGrace after aSignalledAt.
  static StopSchedule Make(TimePoint aSignalledAt, Duration aGrace);

  // Readiness checks fail from the signal on. Callers that have noticed send
  // nothing more, so the listeners stop then, or earlier if the grace time is
  // short.
  TimePoint ListenersStopAt() const { return m_listenersStopAt; }
  // Requests that still run get an answer that says what is known of them.
  TimePoint WaitsEndAt() const { return m_waitsEndAt; }
  // Requests that still run are cut off.
  TimePoint ProcessEndsAt() const { return m_processEndsAt; }

  // Whether a request that has arrived in full may be passed on. One of a
  // client that connected while the listeners were open may, since most
  // requests take much less than their time. A later one, such as a slow
  // upload, may only if its deadline passes before the waits end: it might run
  // without an answer otherwise.
  bool MayServe(TimePoint aArrivedAt, TimePoint aDeadline) const;
  // Retry delay that is reported with refusals. Nothing is served here before
  // the process has ended.
  Duration RetryDelay(TimePoint aNow) const;

private:
  StopSchedule(TimePoint aSignalledAt, Duration aGrace);

  TimePoint m_processEndsAt;
  TimePoint m_waitsEndAt;
  TimePoint m_listenersStopAt;
  TimePoint m_lateFrom;
};

} // namespace rattanloft::sidecar
