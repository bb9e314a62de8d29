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

// Requests that one node puts under suspicion at one crash.
constexpr size_t kMaxSuspectsPerCrash = 64;
// A run that ended without an answer less than this long before a crash was
// detected may have caused the crash.
constexpr Duration kCrashAttributionWindow = Seconds(2);
// After its connection has been closed, a request may go on running in the
// backend server for this long.
constexpr Duration kAbandonedRunDuration = Seconds(1);
// After each isolated run, other requests may run for this long, so that
// suspects take at most about half of the time of a backend server.
constexpr Duration kIsolationPause = Seconds(1);
// After an isolated run without an answer, other requests wait this long, so
// that a refused connection or a new incarnation can only be due to that run.
constexpr Duration kCrashVerdictDelay = Milliseconds(100);

// How a suspect is told from the requests that were in flight beside it.
enum class IsolationMode
{
  // A suspect runs alone at the backend server, and a crash during its run
  // blocks it. Other requests wait meanwhile.
  kAlone,
  // A suspect runs beside other requests, but not beside another suspect, and a
  // crash blocks it if it is the only suspect in flight. No other request
  // waits. A harmless request that was in flight at two crashes in a row may be
  // blocked.
  kNoOtherSuspect,
};

// Identifies one attempt to execute a request on the backend server.
using RunId = uint64_t;

enum class StartKind
{
  kStarted,
  // The caller waits for another run to end and calls Start again.
  kWait,
  // As kWait, for a suspect, which must run alone: the caller also announces
  // the wait with BeginIsolationWait.
  kWaitAlone,
  // The request is blocked and must not run.
  kBlocked,
};

struct StartResult
{
  StartKind m_kind = StartKind::kWait;
  // Set for kStarted. Must be passed to End once.
  RunId m_run = 0;
  // Set for kBlocked: time until the block expires.
  Duration m_retryAfter;
};

enum class RunOutcome
{
  kAnswered,
  // The backend server answered with a failure, which does not prove that the
  // request is harmless: it may have ended at its deadline.
  kFailed,
  // It is certain that the backend server did not run the request.
  kNotRun,
  // The request was sent and ended without an answer.
  kNoAnswer,
};

// Finds the requests that crash the backend server of this node. The requests
// in flight at a crash become suspects. A suspect is isolated the next time: an
// answer clears it, and another crash blocks it. Does no I/O and reads no
// clock; owned by the traffic thread.
class RunTracker
{
public:
  explicit RunTracker(IsolationMode aMode = IsolationMode::kAlone)
    : m_mode(aMode)
  {
  }

  // Asks to run a request on the backend server.
  StartResult Start(uint64_t aFingerprint,
                    std::string_view aService,
                    TimePoint aNow);
  // To be called once when Start first returns kWaitAlone. Holds back requests
  // that are not suspected, so that the backend server becomes idle.
  void BeginIsolationWait() { m_waitingSuspects++; }
  // To be called once after BeginIsolationWait, with aStarted false if the
  // suspect gave up waiting.
  void EndIsolationWait(TimePoint aNow, bool aStarted);
  void End(RunId aRun, RunOutcome aOutcome, TimePoint aNow);

  // A new connection to the backend server was refused.
  void OnConnectionRefused(TimePoint aNow);
  // The backend server has announced a new incarnation, so the old one ended.
  void OnNewIncarnation(TimePoint aNow);

  // Takes over an entry of the leader if it is newer than the one here. Returns
  // whether the table has changed.
  bool Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow);
  // Whether TakeChanges() would return any entry.
  bool HasChanges() const { return !m_changedFingerprints.empty(); }
  // Entries that this tracker itself has changed since the last call.
  std::vector<wire::QuarantineEntry> TakeChanges(TimePoint aNow);
  // All entries, for a new leader.
  std::vector<wire::QuarantineEntry> ListWireEntries(TimePoint aNow) const;
  // Entries whose state this tracker itself has set.
  std::vector<wire::QuarantineEntry> ListOwnWireEntries(TimePoint aNow);
  const QuarantineTable& Entries() const { return m_table; }

private:
  struct Run
  {
    uint64_t m_fingerprint = 0;
    std::string m_service;
    // The run started as a suspect's. In kAlone also: no other request ran
    // beside or after it.
    bool m_isolated = false;
    // Start of the run, or its end once it is in m_unansweredRuns.
    TimePoint m_stateSince;
  };

  void OnCrash(TimePoint aNow);
  // Whether the latest crash is due to this run.
  bool IsBlamed(const Run& aRun) const;
  // The live entry in flight at a crash if there is exactly one.
  std::optional<uint64_t> FindOnlySuspect(TimePoint aNow) const;
  // Blocks a suspect that is to blame. Puts any other request under suspicion
  // unless it is suspected or blocked already.
  void SuspectOrBlock(const Run& aRun, TimePoint aNow);
  void ChangeState(const Run& aRun,
                   wire::QuarantineState aState,
                   TimePoint aNow);
  bool IsBackendIdle(TimePoint aNow) const;
  bool MayRunIsolated(TimePoint aNow) const;
  bool IsHeldBack(TimePoint aNow) const;

  IsolationMode m_mode;
  QuarantineTable m_table;
  std::unordered_map<RunId, Run> m_runs;
  RunId m_lastRunId = 0;
  bool m_isolatedRunActive = false;
  // Suspects between BeginIsolationWait and EndIsolationWait.
  size_t m_waitingSuspects = 0;
  // Until then, waiting suspects hold no other requests back.
  TimePoint m_nextIsolationAt;
  // Until then, it is open whether the last isolated run caused a crash.
  TimePoint m_verdictPendingUntil;
  // Runs that ended without an answer, oldest end first, until a crash is
  // detected or there are too many of them.
  std::deque<Run> m_unansweredRuns;
  std::optional<TimePoint> m_crashedAt;
  // FindOnlySuspect() at that time. Used in kNoOtherSuspect only.
  std::optional<uint64_t> m_onlySuspect;
  // The backend server crashed and has announced no new incarnation since.
  bool m_backendDown = false;
  // Number of requests that the latest crash has put under suspicion.
  size_t m_suspectsOfCrash = 0;
  // Fingerprints for ListOwnWireEntries. May hold dropped entries too.
  std::set<uint64_t> m_ownFingerprints;
  // Fingerprints for TakeChanges.
  std::set<uint64_t> m_changedFingerprints;
};

} // namespace rattanloft::quarantine
