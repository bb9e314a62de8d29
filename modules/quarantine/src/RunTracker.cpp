#include "rattanloft/quarantine/RunTracker.h"

#include <algorithm>
#include <utility>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::quarantine {

namespace {

// As many as a backend server has connections; the oldest are dropped.
constexpr size_t kMaxUnanswered = 256;

} // namespace

StartResult
RunTracker::Start(uint64_t aFingerprint,
                  std::string_view aService,
                  TimePoint aNow)
{
  const QuarantineTableEntry* entry = m_table.Find(aFingerprint, aNow);
  if (entry && entry->m_state == wire::QUARANTINE_STATE_BLOCKED) {
    return { StartKind::kBlocked, 0, entry->m_expiresAt - aNow };
  }
  const bool alone = entry != nullptr;
  if (alone && (m_down || !IsQuiet(aNow))) {
    return { StartKind::kWaitAlone, 0, {} };
  }
  const bool held = m_waiting > 0 && !m_down && aNow >= m_nextIsolation;
  if (!alone && (m_aloneRuns || held || aNow < m_verdictUntil)) {
    return { StartKind::kWait, 0, {} };
  }
  m_aloneRuns = alone;
  // From now on a crash may be due to this run.
  for (Run& unanswered : m_unanswered) {
    unanswered.m_alone = false;
  }
  m_runs.emplace(++m_lastRun,
                 Run{ aFingerprint, std::string(aService), alone, aNow });
  return { StartKind::kStarted, m_lastRun, {} };
}

void
RunTracker::EndIsolationWait(TimePoint aNow, bool aStarted)
{
  m_waiting--;
  if (!aStarted) {
    m_nextIsolation = aNow + kIsolationPause;
  }
}

// Nothing runs, and nothing that was given up can still be running.
bool
RunTracker::IsQuiet(TimePoint aNow)
{
  return m_runs.empty() &&
         (m_unanswered.empty() || aNow - m_unanswered.back().m_at >= kLinger);
}

void
RunTracker::End(RunId aRun, RunOutcome aEnd, TimePoint aNow)
{
  const auto found = m_runs.find(aRun);
  RATTANLOFT_ASSERT(found != m_runs.end());
  Run run = std::move(found->second);
  m_runs.erase(found);
  if (run.m_alone) {
    m_aloneRuns = false;
    m_nextIsolation = aNow + kIsolationPause;
  }
  if (aEnd == RunOutcome::kAnswered && run.m_alone) {
    const QuarantineTableEntry* entry = m_table.Find(run.m_fingerprint, aNow);
    if (entry && entry->m_state == wire::QUARANTINE_STATE_SUSPECT) {
      Change(run, wire::QUARANTINE_STATE_CLEARED, aNow);
    }
  }
  // A new incarnation would have announced itself by then, so there is none.
  if (aEnd == RunOutcome::kAnswered && m_down &&
      run.m_at - *m_crashedAt >= kLinger) {
    m_down = false;
  }
  if (aEnd != RunOutcome::kNoAnswer) {
    return;
  }
  // In flight at a crash that is known already. After a new incarnation it
  // would be unclear at which process the run was.
  if (m_down && run.m_at < *m_crashedAt) {
    Accuse(run, aNow);
    return;
  }
  if (run.m_alone) {
    m_verdictUntil = aNow + kVerdictTime;
  }
  run.m_at = aNow;
  m_unanswered.push_back(std::move(run));
  if (m_unanswered.size() > kMaxUnanswered) {
    m_unanswered.pop_front();
  }
}

void
RunTracker::OnConnectionRefused(TimePoint aNow)
{
  if (!m_down) {
    m_down = true;
    OnCrash(aNow);
  }
}

void
RunTracker::OnNewIncarnation(TimePoint aNow)
{
  OnCrash(aNow);
  m_down = false;
}

// Runs still in flight may be at the new process, so they are accused only when
// their connection breaks.
void
RunTracker::OnCrash(TimePoint aNow)
{
  for (const Run& run : std::exchange(m_unanswered, {})) {
    if (aNow - run.m_at < kCrashWindow) {
      Accuse(run, aNow);
    }
  }
  m_crashedAt = aNow;
  m_verdictUntil = aNow;
}

void
RunTracker::Accuse(const Run& aRun, TimePoint aNow)
{
  const QuarantineTableEntry* entry = m_table.Find(aRun.m_fingerprint, aNow);
  if (entry && aRun.m_alone) {
    Change(aRun, wire::QUARANTINE_STATE_BLOCKED, aNow);
    return;
  }
  if (entry) {
    return;
  }
  std::erase_if(m_own, [&](uint64_t aFingerprint) {
    const QuarantineTableEntry* own = m_table.Find(aFingerprint, aNow);
    return !own || own->m_state != wire::QUARANTINE_STATE_SUSPECT;
  });
  if (m_own.size() >= kMaxOwnSuspects) {
    LogWarning("route",
               "Too many suspected requests, one more is not recorded. "
               "fingerprint={:016x}",
               aRun.m_fingerprint);
    return;
  }
  m_own.insert(aRun.m_fingerprint);
  Change(aRun, wire::QUARANTINE_STATE_SUSPECT, aNow);
}

void
RunTracker::Change(const Run& aRun,
                   wire::QuarantineState aState,
                   TimePoint aNow)
{
  if (!m_table.Set(aRun.m_fingerprint, aRun.m_service, aState, aNow)) {
    return;
  }
  m_changed.insert(aRun.m_fingerprint);
  LogWarning("route",
             "A request is {}. service={} fingerprint={:016x}",
             aState == wire::QUARANTINE_STATE_BLOCKED
               ? "blocked, it has crashed backend servers"
             : aState == wire::QUARANTINE_STATE_SUSPECT
               ? "suspected, it was in flight at a crash"
               : "cleared, it was answered alone",
             aRun.m_service,
             aRun.m_fingerprint);
}

bool
RunTracker::Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow)
{
  return m_table.Merge(aEntry, aNow);
}

std::vector<wire::QuarantineEntry>
RunTracker::TakeChanges(TimePoint aNow)
{
  std::vector<wire::QuarantineEntry> changes;
  for (const uint64_t fingerprint : std::exchange(m_changed, {})) {
    changes.push_back(m_table.Get(fingerprint, aNow));
  }
  return changes;
}

std::vector<wire::QuarantineEntry>
RunTracker::ListWireEntries(TimePoint aNow) const
{
  return m_table.ListWireEntries(aNow);
}

} // namespace rattanloft::quarantine
