#include "rattanloft/quarantine/RunTracker.h"

#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

namespace rattanloft::quarantine {

namespace {

constexpr uint64_t kHarmfulFingerprint = 1;
constexpr uint64_t kHarmlessFingerprint = 2;

class RunTrackerFixture
{
public:
  explicit RunTrackerFixture(IsolationMode aMode = IsolationMode::kAlone)
    : m_runs(aMode)
  {
  }

  StartResult Start(uint64_t aFingerprint)
  {
    return m_runs.Start(aFingerprint, "shop", m_now);
  }
  RunId MustStart(uint64_t aFingerprint)
  {
    const StartResult result = Start(aFingerprint);
    REQUIRE(result.m_kind == StartKind::kStarted);
    return result.m_run;
  }
  void AdvanceTime(Duration aTime) { m_now = m_now + aTime; }
  // Ends every given run without an answer, refuses a connection, and announces
  // a new incarnation after 300 ms.
  void Crash(std::initializer_list<RunId> aRuns)
  {
    for (const RunId run : aRuns) {
      m_runs.End(run, RunOutcome::kNoAnswer, m_now);
    }
    m_runs.OnConnectionRefused(m_now);
    AdvanceTime(Milliseconds(300));
    m_runs.OnNewIncarnation(m_now);
  }
  bool IsSuspect(uint64_t aFingerprint) const
  {
    const QuarantineTableEntry* entry =
      m_runs.Entries().Find(aFingerprint, m_now);
    return entry && entry->m_state == wire::QUARANTINE_STATE_SUSPECT;
  }

  RunTracker m_runs;
  TimePoint m_now{ 100'000 };
};

// Simulates three nodes with a backend server each, and a leader that passes
// entries on with a delay. The requests below aHarmfulCount crash the backend
// server that runs them; now and then another run ends without an answer.
void
SimulateRuns(IsolationMode aMode, uint64_t aHarmfulCount)
{
  for (uint64_t seed = 1; seed <= 20; seed++) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto chance = [&](uint64_t aOneIn) { return random() % aOneIn == 0; };
    constexpr size_t kNodes = 3;
    struct SimulatedNode
    {
      RunTracker m_runs;
      // By run: its fingerprint, and whether it started as a suspect.
      std::map<RunId, std::pair<uint64_t, bool>> m_runningRequests;
      TimePoint m_downUntil;
      TimePoint m_probeAt;
      bool m_down = false;
    };
    std::vector<SimulatedNode> nodes;
    for (size_t i = 0; i < kNodes; ++i) {
      nodes.push_back({ RunTracker(aMode), {}, {}, {} });
    }
    QuarantineTable leader;
    std::map<uint64_t, int> crashes;
    TimePoint now{ 100'000 };
    const TimePoint end = now + Seconds(500);
    while (now < end) {
      now = now + Milliseconds(5);
      for (SimulatedNode& node : nodes) {
        if (node.m_down && now >= node.m_downUntil) {
          node.m_down = false;
          node.m_runs.OnNewIncarnation(now);
        }
        if (node.m_down && now >= node.m_probeAt) {
          node.m_runs.OnConnectionRefused(now);
        }
        if (chance(10)) {
          for (const auto& entry : node.m_runs.TakeChanges(now)) {
            leader.Merge(entry, now);
          }
          for (const auto& entry : leader.ListWireEntries(now)) {
            node.m_runs.Merge(entry, now);
          }
        }
        const uint64_t wanted = random() % 60;
        const bool suspect = node.m_runs.Entries().Find(wanted, now) != nullptr;
        const StartResult result = node.m_runs.Start(wanted, "shop", now);
        if (aMode == IsolationMode::kAlone && wanted >= aHarmfulCount) {
          REQUIRE(result.m_kind != StartKind::kBlocked);
        }
        if (result.m_kind == StartKind::kStarted) {
          if (node.m_down) {
            node.m_runs.End(result.m_run, RunOutcome::kNotRun, now);
          } else {
            node.m_runningRequests[result.m_run] = { wanted, suspect };
          }
        }
        bool crashed = false;
        for (auto it = node.m_runningRequests.begin();
             it != node.m_runningRequests.end();) {
          const auto [fingerprint, isolated] = it->second;
          if (fingerprint < aHarmfulCount) {
            crashed |= chance(3);
            crashes[fingerprint] += crashed ? 1 : 0;
            if (crashed) {
              break;
            }
            ++it;
          } else if (chance(4)) {
            const bool answered = !chance(100);
            node.m_runs.End(it->first,
                            answered ? RunOutcome::kAnswered
                                     : RunOutcome::kNoAnswer,
                            now);
            if (answered && isolated) {
              REQUIRE(node.m_runs.Entries().Find(fingerprint, now) == nullptr);
            }
            it = node.m_runningRequests.erase(it);
          } else {
            ++it;
          }
        }
        if (crashed) {
          for (const auto& [run, started] : node.m_runningRequests) {
            node.m_runs.End(run, RunOutcome::kNoAnswer, now);
          }
          node.m_runningRequests.clear();
          node.m_down = true;
          node.m_downUntil =
            now + Milliseconds(static_cast<int64_t>(random() % 1500));
          // The node opens a new connection to check the backend server.
          node.m_probeAt = now + Milliseconds(20);
        }
      }
    }
    // The first crash makes the request a suspect. It may crash the backend
    // server of each node once more, since its run may begin there before the
    // node has learned of the suspicion.
    for (const auto& [fingerprint, crashCount] : crashes) {
      CAPTURE(fingerprint, crashCount);
      REQUIRE(crashCount <= static_cast<int>(kNodes) + 1);
    }
  }
}

} // namespace

// Guards against a request that goes on to crash every backend server that runs
// it.
TEST_CASE("A crash during an isolated run blocks the request for 10 min")
{
  RunTrackerFixture test;
  const RunId harmful = test.MustStart(kHarmfulFingerprint);
  test.Crash({ harmful });
  REQUIRE(test.IsSuspect(kHarmfulFingerprint));
  test.Crash({ test.MustStart(kHarmfulFingerprint) });
  const StartResult blocked = test.Start(kHarmfulFingerprint);
  REQUIRE(blocked.m_kind == StartKind::kBlocked);
  REQUIRE(blocked.m_retryAfter <= Seconds(600));
  REQUIRE(blocked.m_retryAfter > Seconds(590));
  test.AdvanceTime(Seconds(600));
  REQUIRE(test.Start(kHarmfulFingerprint).m_kind == StartKind::kStarted);
}

// Guards against blocking a harmless request that was in flight beside a
// harmful one.
TEST_CASE("An answered isolated run clears a suspect")
{
  RunTrackerFixture test;
  const RunId harmful = test.MustStart(kHarmfulFingerprint);
  const RunId harmless = test.MustStart(kHarmlessFingerprint);
  test.Crash({ harmful, harmless });
  REQUIRE(test.IsSuspect(kHarmlessFingerprint));
  const RunId isolated = test.MustStart(kHarmlessFingerprint);
  REQUIRE(test.Start(kHarmfulFingerprint).m_kind == StartKind::kWaitAlone);
  REQUIRE(test.Start(99).m_kind == StartKind::kWait);
  test.m_runs.End(isolated, RunOutcome::kAnswered, test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHarmlessFingerprint));
  REQUIRE(test.IsSuspect(kHarmfulFingerprint));
}

// Guards against taking a slow answer or a broken connection for a crash: a new
// incarnation after the end of the attribution window accuses no run.
TEST_CASE("An unanswered run makes no suspect without a crash shortly after it")
{
  RunTrackerFixture test;
  const RunId run = test.MustStart(kHarmlessFingerprint);
  test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
  test.AdvanceTime(kCrashAttributionWindow);
  test.m_runs.OnNewIncarnation(test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHarmlessFingerprint));
}

// Guards against blaming a run for the crash of the previous process when it
// was sent to the new process before that process announced itself.
TEST_CASE("A new incarnation does not accuse a run that it executes itself")
{
  RunTrackerFixture test;
  const RunId first = test.MustStart(kHarmlessFingerprint);
  test.Crash({ first });
  const RunId isolated = test.MustStart(kHarmlessFingerprint);
  test.m_runs.OnNewIncarnation(test.m_now);
  test.AdvanceTime(Milliseconds(10));
  test.m_runs.End(isolated, RunOutcome::kAnswered, test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHarmlessFingerprint));
}

// Guards against blaming a suspect for a crash caused by an abandoned request
// that still runs beside it.
TEST_CASE("A suspect waits until abandoned requests can no longer run")
{
  RunTrackerFixture test;
  const RunId first = test.MustStart(kHarmlessFingerprint);
  test.Crash({ first });
  const RunId givenUp = test.MustStart(kHarmfulFingerprint);
  test.m_runs.End(givenUp, RunOutcome::kNoAnswer, test.m_now);
  REQUIRE(test.Start(kHarmlessFingerprint).m_kind == StartKind::kWaitAlone);
  test.AdvanceTime(kAbandonedRunDuration);
  REQUIRE(test.Start(kHarmlessFingerprint).m_kind == StartKind::kStarted);
}

// Guards against suspects that keep all other requests from a backend server.
TEST_CASE("Other requests run in the pause between waiting suspects")
{
  RunTrackerFixture test;
  const RunId first = test.MustStart(kHarmfulFingerprint);
  test.Crash({ first });
  const RunId longRun = test.MustStart(50);
  REQUIRE(test.Start(kHarmfulFingerprint).m_kind == StartKind::kWaitAlone);
  test.m_runs.BeginIsolationWait();
  REQUIRE(test.Start(51).m_kind == StartKind::kWait);
  test.m_runs.EndIsolationWait(test.m_now, false);
  test.m_runs.BeginIsolationWait();
  REQUIRE(test.Start(51).m_kind == StartKind::kStarted);
  test.AdvanceTime(kIsolationPause);
  REQUIRE(test.Start(52).m_kind == StartKind::kWait);
  test.m_runs.End(longRun, RunOutcome::kAnswered, test.m_now);
}

// Guards against a crash that puts very many requests under suspicion.
TEST_CASE("A node puts at most 64 requests under suspicion at a crash")
{
  RunTrackerFixture test;
  for (uint64_t i = 0; i < 80; i++) {
    const RunId run = test.MustStart(1000 + i);
    test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
  }
  test.m_runs.OnConnectionRefused(test.m_now);
  REQUIRE(test.m_runs.Entries().CountLiveEntries() == kMaxSuspectsPerCrash);
  REQUIRE(test.m_runs.TakeChanges(test.m_now).size() == kMaxSuspectsPerCrash);
  REQUIRE(test.m_runs.TakeChanges(test.m_now).empty());
}

// Guards against suspects of earlier crashes, which never come back, that keep
// a harmful request from being recognised.
TEST_CASE("A crash makes suspects after many earlier crashes")
{
  RunTrackerFixture test;
  for (uint64_t i = 0; i < 10; i++) {
    std::vector<RunId> runs;
    for (uint64_t k = 0; k < kMaxSuspectsPerCrash; k++) {
      runs.push_back(test.MustStart(1000 * (i + 1) + k));
    }
    for (const RunId run : runs) {
      test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
    }
    test.Crash({});
  }
  test.Crash({ test.MustStart(kHarmfulFingerprint) });
  REQUIRE(test.IsSuspect(kHarmfulFingerprint));
}

// Guards against blocking a harmless request, keeping it a suspect after an
// answered isolated run, and against a harmful request that goes on crashing
// backend servers.
TEST_CASE("Random runs block only harmful requests")
{
  SimulateRuns(IsolationMode::kAlone, 3);
}

// Guards against a harmful request that goes on crashing backend servers while
// others run beside it.
TEST_CASE("Random runs beside each other block a harmful request")
{
  SimulateRuns(IsolationMode::kNoOtherSuspect, 1);
}

// Guards against suspects that keep all other requests from a backend server,
// and against blaming a harmless suspect for the crash by another one.
TEST_CASE("A crash blocks the only suspect in flight beside other requests")
{
  RunTrackerFixture test(IsolationMode::kNoOtherSuspect);
  const RunId harmful = test.MustStart(kHarmfulFingerprint);
  const RunId harmless = test.MustStart(kHarmlessFingerprint);
  test.Crash({ harmful, harmless });
  const RunId suspect = test.MustStart(kHarmfulFingerprint);
  const RunId beside = test.MustStart(50);
  REQUIRE(test.Start(kHarmlessFingerprint).m_kind == StartKind::kWaitAlone);
  test.Crash({ beside, suspect });
  REQUIRE(test.Start(kHarmfulFingerprint).m_kind == StartKind::kBlocked);
  REQUIRE(test.IsSuspect(50));
  test.m_runs.End(
    test.MustStart(kHarmlessFingerprint), RunOutcome::kAnswered, test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHarmlessFingerprint));
}

// Guards against blaming one of two suspects, one of which came under suspicion
// elsewhere while it ran.
TEST_CASE("A crash with two suspects in flight blocks neither")
{
  RunTrackerFixture test(IsolationMode::kNoOtherSuspect);
  test.Crash({ test.MustStart(kHarmlessFingerprint) });
  const RunId harmful = test.MustStart(kHarmfulFingerprint);
  const RunId harmless = test.MustStart(kHarmlessFingerprint);
  QuarantineTable other;
  other.SetState(
    kHarmfulFingerprint, "shop", wire::QUARANTINE_STATE_SUSPECT, test.m_now);
  test.m_runs.Merge(other.MakeWireEntry(kHarmfulFingerprint, test.m_now),
                    test.m_now);
  test.Crash({ harmless, harmful });
  REQUIRE(test.IsSuspect(kHarmfulFingerprint));
  REQUIRE(test.IsSuspect(kHarmlessFingerprint));
}

// Guards against clearing a harmful request whose deadline passed before it
// crashed the backend server.
TEST_CASE("A failure of the backend server clears no suspect")
{
  RunTrackerFixture test(IsolationMode::kNoOtherSuspect);
  test.Crash({ test.MustStart(kHarmfulFingerprint) });
  test.m_runs.End(
    test.MustStart(kHarmfulFingerprint), RunOutcome::kFailed, test.m_now);
  REQUIRE(test.IsSuspect(kHarmfulFingerprint));
}

// Guards against a second suspect that is blamed for the crash by the first,
// which still runs after its caller has left.
TEST_CASE("A suspect waits for an abandoned suspect beside other requests")
{
  RunTrackerFixture test(IsolationMode::kNoOtherSuspect);
  const RunId harmful = test.MustStart(kHarmfulFingerprint);
  const RunId harmless = test.MustStart(kHarmlessFingerprint);
  test.Crash({ harmful, harmless });
  test.m_runs.End(
    test.MustStart(kHarmfulFingerprint), RunOutcome::kNoAnswer, test.m_now);
  REQUIRE(test.Start(kHarmlessFingerprint).m_kind == StartKind::kWaitAlone);
  test.AdvanceTime(kAbandonedRunDuration);
  REQUIRE(test.Start(kHarmlessFingerprint).m_kind == StartKind::kStarted);
}

} // namespace rattanloft::quarantine
