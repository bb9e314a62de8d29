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
  // Every given run ends without an answer, and the process comes back.
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

} // namespace

// Guards against a request that crashes each backend server that runs it.
TEST_CASE("A second crash, alone, blocks a request for 10 min")
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

// Guards against blocking a healthy request that stood beside a harmful one.
TEST_CASE("One answer alone clears a suspect")
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

// Guards against taking a slow answer or a broken connection for a crash.
TEST_CASE(
  "Without a refused connection or new incarnation nothing is suspected")
{
  RunTrackerFixture test;
  const RunId run = test.MustStart(kHarmlessFingerprint);
  test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
  test.AdvanceTime(kCrashAttributionWindow);
  test.m_runs.OnNewIncarnation(test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHarmlessFingerprint));
}

// Guards against blame for the crash of the process before: a run that was sent
// to the new process before that announced itself.
TEST_CASE("A run at the new incarnation is not accused by its announcement")
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

// Guards against a suspect that runs beside a request that was given up and may
// still crash the backend server.
TEST_CASE("A suspect waits for requests that were given up")
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

// Guards against suspects that keep all other work from a backend server.
TEST_CASE("A waiting suspect holds others back, with a pause in between")
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

// Guards against a list of suspects that grows with each crash.
TEST_CASE("A node names at most 64 suspects")
{
  RunTrackerFixture test;
  for (uint64_t i = 0; i < 80; i++) {
    const RunId run = test.MustStart(1000 + i);
    test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
  }
  test.m_runs.OnConnectionRefused(test.m_now);
  REQUIRE(test.m_runs.Entries().CountLiveEntries() == kMaxLocalSuspects);
  REQUIRE(test.m_runs.TakeChanges(test.m_now).size() == kMaxLocalSuspects);
  REQUIRE(test.m_runs.TakeChanges(test.m_now).empty());
}

// Three nodes with a backend server each, and a leader that passes entries on
// with delay. Requests 0 to 2 crash the backend server that runs them, now and
// then a connection breaks or a request is given up. Guards against a healthy
// request that is blocked, or that stays a suspect after an answered attempt,
// and against a harmful one that goes on crashing backend servers.
TEST_CASE("Random runs block only harmful requests")
{
  for (uint64_t seed = 1; seed <= 20; seed++) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto chance = [&](uint64_t aOneIn) { return random() % aOneIn == 0; };
    constexpr size_t kNodes = 3;
    constexpr uint64_t kHarmfulCount = 3;
    struct SimulatedNode
    {
      RunTracker m_runs;
      // Run, with its fingerprint and whether it started as a suspect.
      std::map<RunId, std::pair<uint64_t, bool>> m_runningRequests;
      TimePoint m_downUntil;
      TimePoint m_probeAt;
      bool m_down = false;
    };
    std::vector<SimulatedNode> nodes(kNodes);
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
        if (wanted >= kHarmfulCount) {
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
          if (fingerprint < kHarmfulCount) {
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
          // The node checks by a new connection.
          node.m_probeAt = now + Milliseconds(20);
        }
      }
    }
    // Once more at each node whose run began before it heard of the suspect.
    for (const auto& [fingerprint, crashCount] : crashes) {
      CAPTURE(fingerprint, crashCount);
      REQUIRE(crashCount <= static_cast<int>(kNodes) + 1);
    }
  }
}

} // namespace rattanloft::quarantine
