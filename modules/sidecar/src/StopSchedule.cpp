#include "StopSchedule.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Callers check readiness at intervals of 1 s and stop sending after two failed
// checks.
constexpr Duration kDrainNoticeTime = Milliseconds(2300);
// Clients that connect shortly before the listeners close send their first
// request within this time, for which the connection stays open.
constexpr Duration kFirstRequestTime = Milliseconds(500);
// Requests that still run are cut off this long before the end of the grace
// period.
constexpr Duration kStopReserve = Milliseconds(300);
// Requests that still run this long before they would be cut off get an answer.
constexpr Duration kFinalAnswerTime = Milliseconds(300);
// A backend server may respond as late as at the deadline, and the response
// comes through another sidecar.
constexpr Duration kLateResponseReserve = Milliseconds(150);
// A retry delay of 0 would not be reported.
constexpr Duration kMinRetryDelay = Milliseconds(20);

} // namespace

StopSchedule
StopSchedule::Make(TimePoint aSignalledAt, Duration aGrace)
{
  return StopSchedule(aSignalledAt, aGrace);
}

StopSchedule::StopSchedule(TimePoint aSignalledAt, Duration aGrace)
  : m_processEndsAt(aSignalledAt + aGrace - kStopReserve)
  , m_waitsEndAt(m_processEndsAt - kFinalAnswerTime)
  , m_listenersStopAt(std::max(aSignalledAt,
                               std::min(aSignalledAt + kDrainNoticeTime,
                                        m_waitsEndAt - kListenerStopTime)))
  , m_lateFrom(
      std::min(m_listenersStopAt + kListenerStopTime + kFirstRequestTime,
               m_waitsEndAt))
{
}

bool
StopSchedule::MayServe(TimePoint aArrivedAt, TimePoint aDeadline) const
{
  return aArrivedAt < m_lateFrom ||
         aDeadline + kLateResponseReserve <= m_waitsEndAt;
}

Duration
StopSchedule::RetryDelay(TimePoint aNow) const
{
  return std::max(m_processEndsAt - aNow, kMinRetryDelay);
}

} // namespace rattanloft::sidecar
