#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rattanloft/base/Time.h"
#include "rattanloft/quarantine/QuarantineTable.h"

namespace rattanloft::quarantine {

// Suspects that one node has named and nobody has cleared.
constexpr size_t kMaxLocalSuspects = 64;
// A run whose connection ended this long before a crash is known may have
// caused it.
constexpr Duration kCrashAttributionWindow = Seconds(2);
// A request whose connection was closed may go on for a moment.
constexpr Duration kAbandonedRunDuration = Seconds(1);
// Others run for this long after each isolated run, so that suspects take at
// most about half of the time of a backend server.
constexpr Duration kIsolationPause = Seconds(1);

// After an isolated run without an answer others wait this long, so that a
// refused connection or a new incarnation can only be due to that run.
constexpr Duration kCrashVerdictDelay = Milliseconds(100);

using RunId = uint64_t;

enum class StartKind
{
  kStarted,
  // Wait for a run to end and ask again.
  kWait,
  // Alone requests wait for this one's turn too.
  kWaitAlone,
  kBlocked,
};

struct StartResult
{
  StartKind m_kind = StartKind::kWait;
  // For kStarted.
  RunId m_run = 0;
  // For kBlocked: time until the block ends.
  Duration m_retryAfter;
};

enum class RunOutcome
{
  kAnswered,
  kNotRun,
  // Sent, and ended without an answer.
  kNoAnswer,
};

// Finds requests that crash the backend server beside a node. Requests in
// flight at a crash become suspects; a suspect runs alone; an answer clears it,
// and a crash blocks it. Pure; owned by the traffic thread.
class RunTracker
{
public:
  // A suspect asks with aWaiting from its second time on, which holds others
  // back. EndIsolationWait follows when it gives up or has started.
  StartResult Start(uint64_t aFingerprint,
                    std::string_view aService,
                    TimePoint aNow);
  void BeginIsolationWait() { m_waitingSuspects++; }
  void EndIsolationWait(TimePoint aNow, bool aStarted);
  void End(RunId aRun, RunOutcome aOutcome, TimePoint aNow);

  // A new connection to the backend server was refused.
  void OnConnectionRefused(TimePoint aNow);
  // The backend server has announced a new incarnation.
  void OnNewIncarnation(TimePoint aNow);

  // True if the entry is news.
  bool Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow);
  // Entries that have changed here since the last call.
  std::vector<wire::QuarantineEntry> TakeChanges(TimePoint aNow);
  // All entries, for a new leader.
  std::vector<wire::QuarantineEntry> ListWireEntries(TimePoint aNow) const;
  const QuarantineTable& Entries() const { return m_table; }

private:
  struct Run
  {
    uint64_t m_fingerprint = 0;
    std::string m_service;
    bool m_isolated = false;
    TimePoint m_stateSince;
  };

  void OnCrash(TimePoint aNow);
  void SuspectOrBlock(const Run& aRun, TimePoint aNow);
  void ChangeState(const Run& aRun,
                   wire::QuarantineState aState,
                   TimePoint aNow);
  bool IsBackendIdle(TimePoint aNow);

  QuarantineTable m_table;
  std::unordered_map<RunId, Run> m_runs;
  RunId m_lastRunId = 0;
  bool m_isolatedRunActive = false;
  size_t m_waitingSuspects = 0;
  TimePoint m_nextIsolationAt;
  TimePoint m_verdictPendingUntil;
  // Runs without an answer, by the time of their end, until a crash is known or
  // the window has passed.
  std::deque<Run> m_unansweredRuns;
  std::optional<TimePoint> m_crashedAt;
  // Crashed, and no new incarnation has been announced.
  bool m_backendDown = false;
  // Suspects named here.
  std::set<uint64_t> m_localSuspects;
  std::set<uint64_t> m_changedFingerprints;
};

} // namespace rattanloft::quarantine
