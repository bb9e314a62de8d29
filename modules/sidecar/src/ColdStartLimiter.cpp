#include "ColdStartLimiter.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "rattanloft/base/Log.h"

namespace rattanloft::sidecar {

namespace {

// The rest of the bound covers requests that take longer than kMaxArrivalDelay
// to arrive.
constexpr double kUsableBoundShare = 0.9;
// A second, and a margin for times that are cut to milliseconds and for clocks
// that differ.
constexpr Duration kWindow = Milliseconds(1010);
// Requests are counted where they arrive, so two that are sent more than a
// second apart may arrive within one. A request counts from its send until a
// window after its response, or after this time without one: the connect
// timeout of 250 ms, and as much for a busy machine.
constexpr Duration kMaxArrivalDelay = Milliseconds(500);
// Two heartbeat intervals of about 0.87 s, and a margin, since some backend
// servers send the next heartbeat only 1.5 s after the last one.
constexpr Duration kMaxHeartbeatSilence = Milliseconds(2500);
// Longest time that one request may hold all of a bound below one a second.
constexpr double kMaxWindowMs = 60'000;
// Higher bounds have no effect on a backend server.
constexpr double kMaxBound = 1e6;

} // namespace

std::string_view
ColdReasonName(ColdReason aReason)
{
  switch (aReason) {
    case ColdReason::kProcessStart:
      return "process-start";
    case ColdReason::kAnnounced:
      return "announced";
    case ColdReason::kNewLifetime:
      return "new-lifetime";
    case ColdReason::kConnectionLost:
      return "connection-lost";
    case ColdReason::kSilence:
      return "silence";
    case ColdReason::kEvacuationEnd:
      return "evacuation-end";
  }
  return "unknown";
}

void
ColdStartLimiter::SetBound(double aRequestsPerSecond, TimePoint aNow)
{
  const double bound =
    aRequestsPerSecond > 0 ? std::min(aRequestsPerSecond, kMaxBound) : 0;
  if (bound == m_bound) {
    return;
  }
  const bool hadBound = m_bound > 0;
  m_bound = bound;
  if (bound <= 0) {
    m_sent.clear();
    return;
  }
  if (!hadBound) {
    // Requests were not counted before, or by an earlier process.
    m_blockedUntil = aNow + kWindow;
    m_limitedSince = aNow;
    if (m_reason) {
      LogStart(*m_reason);
    }
  }
}

void
ColdStartLimiter::LogStart(ColdReason aReason) const
{
  if (m_bound > 0) {
    LogInfo("backend",
            "event=cold-limit state=start reason={} bound={:.1f} used={} "
            "heartbeat={}",
            ColdReasonName(aReason),
            m_bound,
            MaxRequestsInWindow(),
            m_lastSequence.value_or(0));
  }
}

void
ColdStartLimiter::StartLimit(ColdReason aReason, TimePoint aNow)
{
  m_sequenceBeforeProof.reset();
  if (m_reason) {
    return;
  }
  m_reason = aReason;
  m_limitedSince = aNow;
  m_startedCount = 0;
  LogStart(aReason);
}

void
ColdStartLimiter::EndLimit(TimePoint aNow)
{
  if (m_bound > 0) {
    LogInfo("backend",
            "event=cold-limit state=end reason={} ms={} started={} "
            "refused_in_total={} heartbeat={}",
            ColdReasonName(*m_reason),
            (aNow - m_limitedSince).m_ms,
            m_startedCount,
            m_refusedCount,
            m_lastSequence.value_or(0));
  }
  m_reason.reset();
}

bool
ColdStartLimiter::IsPossiblyCold(TimePoint aNow) const
{
  return m_reason || (m_lastHeartbeatAt &&
                      aNow - *m_lastHeartbeatAt > kMaxHeartbeatSilence);
}

void
ColdStartLimiter::CheckSilence(TimePoint aNow)
{
  if (!m_reason && IsPossiblyCold(aNow)) {
    StartLimit(ColdReason::kSilence, aNow);
  }
}

void
ColdStartLimiter::OnNewLifetime(TimePoint aNow)
{
  StartLimit(ColdReason::kNewLifetime, aNow);
  m_lastSequence.reset();
}

void
ColdStartLimiter::OnHeartbeat(uint64_t aSequence,
                              Duration aColdRemaining,
                              TimePoint aNow)
{
  CheckSilence(aNow);
  if (m_lastSequence && aSequence <= *m_lastSequence) {
    return;
  }
  m_lastSequence = aSequence;
  m_lastHeartbeatAt = aNow;
  if (aColdRemaining > Duration{}) {
    StartLimit(ColdReason::kAnnounced, aNow);
    m_sequenceBeforeProof = aSequence;
  } else if (m_reason && m_sequenceBeforeProof &&
             aSequence > *m_sequenceBeforeProof) {
    EndLimit(aNow);
  } else {
    m_sequenceBeforeProof = aSequence;
  }
}

void
ColdStartLimiter::OnColdAnnounced(TimePoint aNow)
{
  StartLimit(ColdReason::kAnnounced, aNow);
}

void
ColdStartLimiter::OnConnectionLost(TimePoint aNow)
{
  CheckSilence(aNow);
  if (!m_reason) {
    // If the backend server has restarted, all of these went to its earlier
    // lifetime: it takes 2 s to start, in which connections are refused.
    std::erase_if(
      m_sent, [](const auto& aEntry) { return !aEntry.second.m_isLimited; });
  }
  StartLimit(ColdReason::kConnectionLost, aNow);
}

void
ColdStartLimiter::OnPossiblyCold(TimePoint aNow)
{
  StartLimit(ColdReason::kEvacuationEnd, aNow);
}

void
ColdStartLimiter::Tick(TimePoint aNow)
{
  CheckSilence(aNow);
  RemoveExpired(aNow);
}

bool
ColdStartLimiter::IsLimiting(TimePoint aNow) const
{
  return m_bound > 0 && IsPossiblyCold(aNow);
}

size_t
ColdStartLimiter::MaxRequestsInWindow() const
{
  return static_cast<size_t>(std::max(1.0, kUsableBoundShare * m_bound));
}

// A bound below one request a second is kept by a longer window.
Duration
ColdStartLimiter::Window() const
{
  const double usable = kUsableBoundShare * m_bound;
  if (usable >= 1) {
    return kWindow;
  }
  return Milliseconds(static_cast<int64_t>(
    std::min(static_cast<double>(kWindow.m_ms) / usable, kMaxWindowMs)));
}

size_t
ColdStartLimiter::CountAt(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_sent, [&](const auto& aEntry) {
      return aNow < aEntry.second.m_countsUntil;
    }));
}

void
ColdStartLimiter::RemoveExpired(TimePoint aNow)
{
  std::erase_if(m_sent, [&](const auto& aEntry) {
    return aEntry.second.m_countsUntil <= aNow;
  });
}

bool
ColdStartLimiter::TryStart(RequestId aId, TimePoint aNow)
{
  if (m_bound <= 0) {
    return true;
  }
  CheckSilence(aNow);
  if (IsLimiting(aNow)) {
    if (aNow < m_blockedUntil || CountAt(aNow) >= MaxRequestsInWindow()) {
      return false;
    }
    ++m_startedCount;
  }
  RemoveExpired(aNow);
  m_sent[aId] = { aNow + kMaxArrivalDelay + Window(), IsLimiting(aNow), false };
  return true;
}

void
ColdStartLimiter::OnSent(RequestId aId, TimePoint aNow)
{
  const auto found = m_sent.find(aId);
  if (found != m_sent.end()) {
    found->second.m_countsUntil = aNow + kMaxArrivalDelay + Window();
    found->second.m_isSent = true;
  }
}

void
ColdStartLimiter::OnNotSent(RequestId aId)
{
  m_sent.erase(aId);
}

void
ColdStartLimiter::ReleaseIfNotSent(RequestId aId)
{
  const auto found = m_sent.find(aId);
  if (found != m_sent.end() && !found->second.m_isSent) {
    m_sent.erase(found);
  }
}

void
ColdStartLimiter::OnAnswered(RequestId aId, TimePoint aNow)
{
  const auto found = m_sent.find(aId);
  if (found != m_sent.end()) {
    found->second.m_countsUntil =
      std::min(found->second.m_countsUntil, aNow + Window());
  }
}

Duration
ColdStartLimiter::TimeUntilRoom(size_t aPosition, TimePoint aNow) const
{
  if (!IsLimiting(aNow)) {
    return {};
  }
  const size_t places = MaxRequestsInWindow();
  const size_t position = std::max<size_t>(aPosition, 1);
  // Those further behind start after those before them, a window later for
  // each time that these fill the bound.
  const size_t fullWindows = (position - 1) / places;
  const size_t positionInWindow = (position - 1) % places + 1;
  std::vector<TimePoint> ends;
  for (const auto& [id, sent] : m_sent) {
    if (aNow < sent.m_countsUntil) {
      ends.push_back(sent.m_countsUntil);
    }
  }
  std::ranges::sort(ends);
  TimePoint start = std::max(aNow, m_blockedUntil);
  if (ends.size() + positionInWindow > places) {
    const size_t toEnd = ends.size() + positionInWindow - places;
    start = std::max(start, ends[toEnd - 1]);
  }
  return start - aNow + Window() * static_cast<int64_t>(fullWindows);
}

Duration
ColdStartLimiter::Refuse(size_t aPosition, TimePoint aNow)
{
  const size_t places = MaxRequestsInWindow();
  const Duration spread = Window() *
                          static_cast<int64_t>(m_refusedCount % places) /
                          static_cast<int64_t>(places);
  ++m_refusedCount;
  return TimeUntilRoom(aPosition, aNow) + spread;
}

} // namespace rattanloft::sidecar
