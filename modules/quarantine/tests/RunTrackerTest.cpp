#include "rattanloft/quarantine/RunTracker.h"

#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

namespace rattanloft::quarantine {

namespace {

constexpr uint64_t kHarmful = 1;
constexpr uint64_t kHealthy = 2;

class Fixture
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
  void Pass(Duration aTime) { m_now = m_now + aTime; }
  // Every given run ends without an answer, and the process comes back.
  void Crash(std::initializer_list<RunId> aRuns)
  {
    for (const RunId run : aRuns) {
      m_runs.End(run, RunOutcome::kNoAnswer, m_now);
    }
    m_runs.OnConnectionRefused(m_now);
    Pass(Milliseconds(300));
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
  Fixture test;
  const RunId harmful = test.MustStart(kHarmful);
  test.Crash({ harmful });
  REQUIRE(test.IsSuspect(kHarmful));
  test.Crash({ test.MustStart(kHarmful) });
  const StartResult blocked = test.Start(kHarmful);
  REQUIRE(blocked.m_kind == StartKind::kBlocked);
  REQUIRE(blocked.m_retryAfter <= Seconds(600));
  REQUIRE(blocked.m_retryAfter > Seconds(590));
  test.Pass(Seconds(600));
  REQUIRE(test.Start(kHarmful).m_kind == StartKind::kStarted);
}

// Guards against blocking a healthy request that stood beside a harmful one.
TEST_CASE("One answer alone clears a suspect")
{
  Fixture test;
  const RunId harmful = test.MustStart(kHarmful);
  const RunId healthy = test.MustStart(kHealthy);
  test.Crash({ harmful, healthy });
  REQUIRE(test.IsSuspect(kHealthy));
  const RunId alone = test.MustStart(kHealthy);
  REQUIRE(test.Start(kHarmful).m_kind == StartKind::kWaitAlone);
  REQUIRE(test.Start(99).m_kind == StartKind::kWait);
  test.m_runs.End(alone, RunOutcome::kAnswered, test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHealthy));
  REQUIRE(test.IsSuspect(kHarmful));
}

// Guards against taking a slow answer or a broken connection for a crash.
TEST_CASE(
  "Without a refused connection or new incarnation nothing is suspected")
{
  Fixture test;
  const RunId run = test.MustStart(kHealthy);
  test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
  test.Pass(kCrashWindow);
  test.m_runs.OnNewIncarnation(test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHealthy));
}

// Guards against blame for the crash of the process before: a run that was sent
// to the new process before that announced itself.
TEST_CASE("A run at the new incarnation is not accused by its announcement")
{
  Fixture test;
  const RunId first = test.MustStart(kHealthy);
  test.Crash({ first });
  const RunId alone = test.MustStart(kHealthy);
  test.m_runs.OnNewIncarnation(test.m_now);
  test.Pass(Milliseconds(10));
  test.m_runs.End(alone, RunOutcome::kAnswered, test.m_now);
  REQUIRE_FALSE(test.IsSuspect(kHealthy));
}

// Guards against a suspect that runs beside a request that was given up and may
// still crash the backend server.
TEST_CASE("A suspect waits for requests that were given up")
{
  Fixture test;
  const RunId first = test.MustStart(kHealthy);
  test.Crash({ first });
  const RunId givenUp = test.MustStart(kHarmful);
  test.m_runs.End(givenUp, RunOutcome::kNoAnswer, test.m_now);
  REQUIRE(test.Start(kHealthy).m_kind == StartKind::kWaitAlone);
  test.Pass(kLinger);
  REQUIRE(test.Start(kHealthy).m_kind == StartKind::kStarted);
}

// Guards against suspects that keep all other work from a backend server.
TEST_CASE("A waiting suspect holds others back, with a pause in between")
{
  Fixture test;
  const RunId first = test.MustStart(kHarmful);
  test.Crash({ first });
  const RunId longRun = test.MustStart(50);
  REQUIRE(test.Start(kHarmful).m_kind == StartKind::kWaitAlone);
  test.m_runs.BeginIsolationWait();
  REQUIRE(test.Start(51).m_kind == StartKind::kWait);
  test.m_runs.EndIsolationWait(test.m_now, false);
  test.m_runs.BeginIsolationWait();
  REQUIRE(test.Start(51).m_kind == StartKind::kStarted);
  test.Pass(kIsolationPause);
  REQUIRE(test.Start(52).m_kind == StartKind::kWait);
  test.m_runs.End(longRun, RunOutcome::kAnswered, test.m_now);
}

// Guards against a list of suspects that grows with each crash.
TEST_CASE("A node names at most 64 suspects")
{
  Fixture test;
  for (uint64_t i = 0; i < 80; i++) {
    const RunId run = test.MustStart(1000 + i);
    test.m_runs.End(run, RunOutcome::kNoAnswer, test.m_now);
  }
  test.m_runs.OnConnectionRefused(test.m_now);
  REQUIRE(test.m_runs.Entries().LiveSize() == kMaxOwnSuspects);
  REQUIRE(test.m_runs.TakeChanges(test.m_now).size() == kMaxOwnSuspects);
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
    struct Site
    {
      RunTracker m_runs;
      // Run, with its fingerprint and whether it started as a suspect.
      std::map<RunId, std::pair<uint64_t, bool>> m_running;
      TimePoint m_downUntil;
      TimePoint m_checkAt;
      bool m_down = false;
    };
    std::vector<Site> sites(kNodes);
    Table leader;
    std::map<uint64_t, int> crashes;
    TimePoint now{ 100'000 };
    const TimePoint end = now + Seconds(500);
    while (now < end) {
      now = now + Milliseconds(5);
      for (Site& site : sites) {
        if (site.m_down && now >= site.m_downUntil) {
          site.m_down = false;
          site.m_runs.OnNewIncarnation(now);
        }
        if (site.m_down && now >= site.m_checkAt) {
          site.m_runs.OnConnectionRefused(now);
        }
        if (chance(10)) {
          for (const auto& entry : site.m_runs.TakeChanges(now)) {
            leader.Merge(entry, now);
          }
          for (const auto& entry : leader.ListWireEntries(now)) {
            site.m_runs.Merge(entry, now);
          }
        }
        const uint64_t wanted = random() % 60;
        const bool suspect = site.m_runs.Entries().Find(wanted, now) != nullptr;
        const StartResult result = site.m_runs.Start(wanted, "shop", now);
        if (wanted >= kHarmfulCount) {
          REQUIRE(result.m_kind != StartKind::kBlocked);
        }
        if (result.m_kind == StartKind::kStarted) {
          if (site.m_down) {
            site.m_runs.End(result.m_run, RunOutcome::kNotRun, now);
          } else {
            site.m_running[result.m_run] = { wanted, suspect };
          }
        }
        bool crashed = false;
        for (auto at = site.m_running.begin(); at != site.m_running.end();) {
          const auto [fingerprint, alone] = at->second;
          if (fingerprint < kHarmfulCount) {
            crashed |= chance(3);
            crashes[fingerprint] += crashed ? 1 : 0;
            if (crashed) {
              break;
            }
            ++at;
          } else if (chance(4)) {
            const bool answered = !chance(100);
            site.m_runs.End(at->first,
                            answered ? RunOutcome::kAnswered
                                     : RunOutcome::kNoAnswer,
                            now);
            if (answered && alone) {
              REQUIRE(site.m_runs.Entries().Find(fingerprint, now) == nullptr);
            }
            at = site.m_running.erase(at);
          } else {
            ++at;
          }
        }
        if (crashed) {
          for (const auto& [run, item] : site.m_running) {
            site.m_runs.End(run, RunOutcome::kNoAnswer, now);
          }
          site.m_running.clear();
          site.m_down = true;
          site.m_downUntil =
            now + Milliseconds(static_cast<int64_t>(random() % 1500));
          // The node checks by a new connection.
          site.m_checkAt = now + Milliseconds(20);
        }
      }
    }
    // Once more at each node whose run began before it heard of the suspect.
    for (const auto& [fingerprint, count] : crashes) {
      CAPTURE(fingerprint, count);
      REQUIRE(count <= static_cast<int>(kNodes) + 1);
    }
  }
}

} // namespace rattanloft::quarantine
