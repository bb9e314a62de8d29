#include "rattanloft/quarantine/RunTracker.h"

#include <algorithm>
#include <utility>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::quarantine {

namespace {

// The number of connections of a backend server. Beyond it, the oldest runs are
// dropped.
constexpr size_t kMaxUnansweredRuns = 256;

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
  const bool isolated = entry != nullptr;
  if (isolated && (m_backendDown || !MayRunIsolated(aNow))) {
    return { StartKind::kWaitAlone, 0, {} };
  }
  if (!isolated && IsHeldBack(aNow)) {
    return { StartKind::kWait, 0, {} };
  }
  m_isolatedRunActive = m_isolatedRunActive || isolated;
  if (m_mode == IsolationMode::kAlone) {
    // From now on a crash may be due to this run, so it no longer proves that
    // an earlier isolated run caused it.
    for (Run& unanswered : m_unansweredRuns) {
      unanswered.m_isolated = false;
    }
  }
  m_runs.emplace(++m_lastRunId,
                 Run{ aFingerprint, std::string(aService), isolated, aNow });
  return { StartKind::kStarted, m_lastRunId, {} };
}

void
RunTracker::EndIsolationWait(TimePoint aNow, bool aStarted)
{
  m_waitingSuspects--;
  if (!aStarted) {
    m_nextIsolationAt = aNow + kIsolationPause;
  }
}

// Whether a request that is not suspected has to wait for a suspect.
bool
RunTracker::IsHeldBack(TimePoint aNow) const
{
  if (m_mode != IsolationMode::kAlone) {
    return false;
  }
  const bool suspectWaits =
    m_waitingSuspects > 0 && !m_backendDown && aNow >= m_nextIsolationAt;
  return m_isolatedRunActive || suspectWaits || aNow < m_verdictPendingUntil;
}

bool
RunTracker::MayRunIsolated(TimePoint aNow) const
{
  if (m_mode == IsolationMode::kAlone) {
    return IsBackendIdle(aNow);
  }
  return !m_isolatedRunActive &&
         std::ranges::none_of(m_unansweredRuns, [&](const Run& aRun) {
           return aRun.m_isolated &&
                  aNow - aRun.m_stateSince < kAbandonedRunDuration;
         });
}

// Whether no request runs and none that was abandoned can still be running.
bool
RunTracker::IsBackendIdle(TimePoint aNow) const
{
  return m_runs.empty() &&
         (m_unansweredRuns.empty() ||
          aNow - m_unansweredRuns.back().m_stateSince >= kAbandonedRunDuration);
}

void
RunTracker::End(RunId aRun, RunOutcome aOutcome, TimePoint aNow)
{
  const auto found = m_runs.find(aRun);
  RATTANLOFT_ASSERT(found != m_runs.end());
  Run run = std::move(found->second);
  m_runs.erase(found);
  if (run.m_isolated) {
    m_isolatedRunActive = false;
    m_nextIsolationAt = aNow + kIsolationPause;
  }
  if (aOutcome == RunOutcome::kAnswered &&
      (run.m_isolated || m_mode == IsolationMode::kNoOtherSuspect)) {
    const QuarantineTableEntry* entry = m_table.Find(run.m_fingerprint, aNow);
    if (entry && entry->m_state == wire::QUARANTINE_STATE_SUSPECT) {
      ChangeState(run, wire::QUARANTINE_STATE_CLEARED, aNow);
    }
  }
  // A run that started this long after the crash was answered. A new
  // incarnation would have announced itself by then, so the old process is
  // still running.
  if ((aOutcome == RunOutcome::kAnswered || aOutcome == RunOutcome::kFailed) &&
      m_backendDown &&
      run.m_stateSince - *m_crashedAt >= kAbandonedRunDuration) {
    m_backendDown = false;
  }
  if (aOutcome != RunOutcome::kNoAnswer) {
    return;
  }
  // The run was in flight at a crash that is already known. This is certain
  // only until a new incarnation is announced; after that it would be unclear
  // which process executed the run.
  if (m_backendDown && run.m_stateSince < *m_crashedAt) {
    SuspectOrBlock(run, aNow);
    return;
  }
  if (run.m_isolated) {
    m_verdictPendingUntil = aNow + kCrashVerdictDelay;
  }
  run.m_stateSince = aNow;
  m_unansweredRuns.push_back(std::move(run));
  if (m_unansweredRuns.size() > kMaxUnansweredRuns) {
    m_unansweredRuns.pop_front();
  }
}

void
RunTracker::OnConnectionRefused(TimePoint aNow)
{
  if (!m_backendDown) {
    m_backendDown = true;
    OnCrash(aNow);
  }
}

void
RunTracker::OnNewIncarnation(TimePoint aNow)
{
  OnCrash(aNow);
  m_backendDown = false;
}

// Runs still in flight may be at the new process, so they are suspected only
// when their connection breaks.
void
RunTracker::OnCrash(TimePoint aNow)
{
  m_onlySuspect = FindOnlySuspect(aNow);
  m_suspectsOfCrash = 0;
  for (const Run& run : std::exchange(m_unansweredRuns, {})) {
    if (aNow - run.m_stateSince < kCrashAttributionWindow) {
      SuspectOrBlock(run, aNow);
    }
  }
  m_crashedAt = aNow;
  m_verdictPendingUntil = aNow;
}

std::optional<uint64_t>
RunTracker::FindOnlySuspect(TimePoint aNow) const
{
  std::set<uint64_t> suspects;
  const auto addIfLive = [&](uint64_t aFingerprint) {
    if (m_table.Find(aFingerprint, aNow) != nullptr) {
      suspects.insert(aFingerprint);
    }
  };
  for (const auto& [id, run] : m_runs) {
    addIfLive(run.m_fingerprint);
  }
  for (const Run& run : m_unansweredRuns) {
    if (aNow - run.m_stateSince < kCrashAttributionWindow) {
      addIfLive(run.m_fingerprint);
    }
  }
  return suspects.size() == 1 ? std::optional(*suspects.begin()) : std::nullopt;
}

bool
RunTracker::IsBlamed(const Run& aRun) const
{
  return m_mode == IsolationMode::kAlone ? aRun.m_isolated
                                         : m_onlySuspect == aRun.m_fingerprint;
}

void
RunTracker::SuspectOrBlock(const Run& aRun, TimePoint aNow)
{
  const QuarantineTableEntry* entry = m_table.Find(aRun.m_fingerprint, aNow);
  if (entry && IsBlamed(aRun)) {
    ChangeState(aRun, wire::QUARANTINE_STATE_BLOCKED, aNow);
    return;
  }
  if (entry) {
    return;
  }
  if (m_suspectsOfCrash >= kMaxSuspectsPerCrash) {
    LogWarning("route",
               "the crash has the maximum number of suspected requests; "
               "a further one is not recorded, fingerprint={:016x}",
               aRun.m_fingerprint);
    return;
  }
  ++m_suspectsOfCrash;
  ChangeState(aRun, wire::QUARANTINE_STATE_SUSPECT, aNow);
}

void
RunTracker::ChangeState(const Run& aRun,
                        wire::QuarantineState aState,
                        TimePoint aNow)
{
  if (!m_table.SetState(aRun.m_fingerprint, aRun.m_service, aState, aNow)) {
    return;
  }
  m_changedFingerprints.insert(aRun.m_fingerprint);
  m_ownFingerprints.insert(aRun.m_fingerprint);
  if (m_ownFingerprints.size() > 2 * kMaxLiveEntries) {
    ListOwnWireEntries(aNow);
  }
  LogWarning("route",
             "request {}, service={} fingerprint={:016x}",
             aState == wire::QUARANTINE_STATE_BLOCKED
               ? "blocked because it was the only suspect at a crash"
             : aState == wire::QUARANTINE_STATE_SUSPECT
               ? "suspected because it was in flight at a crash"
               : "cleared because it was answered",
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
  for (const uint64_t fingerprint : std::exchange(m_changedFingerprints, {})) {
    changes.push_back(m_table.MakeWireEntry(fingerprint, aNow));
  }
  return changes;
}

std::vector<wire::QuarantineEntry>
RunTracker::ListOwnWireEntries(TimePoint aNow)
{
  std::vector<wire::QuarantineEntry> entries;
  std::erase_if(m_ownFingerprints, [&](uint64_t aFingerprint) {
    wire::QuarantineEntry entry = m_table.MakeWireEntry(aFingerprint, aNow);
    if (entry.version() == 0) {
      return true;
    }
    entries.push_back(std::move(entry));
    return false;
  });
  return entries;
}

std::vector<wire::QuarantineEntry>
RunTracker::ListWireEntries(TimePoint aNow) const
{
  return m_table.ListWireEntries(aNow);
}

} // namespace rattanloft::quarantine
