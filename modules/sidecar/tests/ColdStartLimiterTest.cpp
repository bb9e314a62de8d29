#include "ColdStartLimiter.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "WorkQueue.h"

namespace rattanloft::sidecar {

namespace {

// Of the plan: coldPerS 12, coldOverage 1.5, coldSlack 8.
constexpr double kBound = 26;
constexpr double kColdPerSecond = 12;

// Largest number of times within any second.
size_t
MostInAnySecond(std::vector<int64_t> aTimesMs)
{
  std::ranges::sort(aTimesMs);
  size_t most = 0;
  for (size_t first = 0, last = 0; last < aTimesMs.size(); ++last) {
    while (aTimesMs[last] - aTimesMs[first] >= 1000) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Starts as many requests as the limiter allows; each arrives at once.
size_t
StartAll(ColdStartLimiter& aLimiter, uint64_t& aNextId, int64_t aNowMs)
{
  size_t count = 0;
  while (count < 100 && aLimiter.TryStart(aNextId, TimePoint{ aNowMs })) {
    aLimiter.OnSent(aNextId, TimePoint{ aNowMs });
    aLimiter.OnAnswered(aNextId++, TimePoint{ aNowMs });
    ++count;
  }
  return count;
}

// A limiter with a bound whose backend server is known to be warm since 2 s.
class WarmFixture
{
public:
  WarmFixture()
  {
    m_limiter.SetBound(kBound, TimePoint{ 0 });
    m_limiter.OnNewLifetime(TimePoint{ 100 });
    SendHeartbeat(100);
    SendHeartbeat(970);
    SendHeartbeat(1840);
  }

  void SendHeartbeat(int64_t aNowMs, int64_t aColdMs = 0)
  {
    m_limiter.OnHeartbeat(
      ++m_sequence, Milliseconds(aColdMs), TimePoint{ aNowMs });
  }
  bool IsLimiting(int64_t aNowMs) const
  {
    return m_limiter.IsLimiting(TimePoint{ aNowMs });
  }

  ColdStartLimiter m_limiter;
  uint64_t m_sequence = 0;
  uint64_t m_nextId = 1;
};

} // namespace

// Guards against a change of behaviour for services without a bound.
TEST_CASE("without a bound every request may start")
{
  ColdStartLimiter limiter;
  limiter.OnNewLifetime(TimePoint{ 0 });
  limiter.OnHeartbeat(1, Seconds(3), TimePoint{ 0 });
  limiter.OnConnectionLost(TimePoint{ 10 });
  uint64_t nextId = 1;
  CHECK(StartAll(limiter, nextId, 20) == 100);
  CHECK_FALSE(limiter.IsLimiting(TimePoint{ 20 }));
  CHECK(limiter.TimeUntilRoom(1, TimePoint{ 20 }) == Duration{});
}

// Guards against a process that is restarted while its backend server is cold,
// and sends a full second's requests after those of the process before.
TEST_CASE("a process that has just started counts its backend server as cold")
{
  ColdStartLimiter limiter;
  uint64_t nextId = 1;
  limiter.SetBound(kBound, TimePoint{ 0 });
  CHECK(StartAll(limiter, nextId, 500) == 0);
  limiter.OnNewLifetime(TimePoint{ 600 });
  limiter.OnHeartbeat(40, {}, TimePoint{ 600 });
  const size_t count = StartAll(limiter, nextId, 1100);
  CHECK(count > kColdPerSecond);
  CHECK(count <= kBound);
  // It was sent after the first one, and so after the start.
  limiter.OnHeartbeat(41, {}, TimePoint{ 1470 });
  CHECK_FALSE(limiter.IsLimiting(TimePoint{ 1470 }));
}

// Guards against a restart under the same id whose first heartbeat does not
// show the cold phase yet.
TEST_CASE("a new lifetime counts as cold until a later heartbeat")
{
  WarmFixture fixture;
  CHECK_FALSE(fixture.IsLimiting(2000));
  fixture.m_limiter.OnNewLifetime(TimePoint{ 2500 });
  fixture.m_sequence = 0;
  fixture.SendHeartbeat(2500);
  CHECK(fixture.IsLimiting(2500));
  fixture.SendHeartbeat(3370, 2100);
  fixture.SendHeartbeat(4240, 1230);
  CHECK(fixture.IsLimiting(5400));
  fixture.SendHeartbeat(5470);
  CHECK_FALSE(fixture.IsLimiting(5470));
}

// Guards against a heartbeat that was on its way when the connection was reset,
// and tells of the time before the restart.
TEST_CASE("after a reset connection two heartbeats are needed")
{
  WarmFixture fixture;
  fixture.m_limiter.OnConnectionLost(TimePoint{ 2000 });
  CHECK(fixture.IsLimiting(2000));
  fixture.SendHeartbeat(2010);
  CHECK(fixture.IsLimiting(2010));
  fixture.SendHeartbeat(2880);
  CHECK_FALSE(fixture.IsLimiting(2880));
}

// Guards against requests to the earlier lifetime that take the room of the
// next one, or of one whose connection only broke.
TEST_CASE("requests before a reset connection do not count")
{
  WarmFixture fixture;
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 1990) == 100);
  fixture.m_limiter.OnConnectionLost(TimePoint{ 2000 });
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 2000) > kColdPerSecond);
  // A further loss while the limit is in force frees nothing.
  fixture.m_limiter.OnConnectionLost(TimePoint{ 2100 });
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 2100) == 0);
}

// Guards against a backend server that restarts while nothing is sent to it.
TEST_CASE("missing heartbeats count as a sign of a cold backend server")
{
  WarmFixture fixture;
  CHECK_FALSE(fixture.IsLimiting(1840 + 1800));
  CHECK(fixture.IsLimiting(1840 + 2600));
  fixture.SendHeartbeat(4500);
  CHECK(fixture.IsLimiting(4500));
  fixture.SendHeartbeat(5370);
  CHECK_FALSE(fixture.IsLimiting(5370));
}

// Guards against a late heartbeat from before the cold phase that ends it.
TEST_CASE("an old heartbeat that arrives late proves nothing")
{
  WarmFixture fixture;
  const uint64_t lateSequence = fixture.m_sequence + 1;
  fixture.m_sequence += 2;
  fixture.SendHeartbeat(3580, 3000);
  fixture.m_limiter.OnHeartbeat(lateSequence, {}, TimePoint{ 3600 });
  fixture.m_limiter.OnHeartbeat(lateSequence + 1, {}, TimePoint{ 3610 });
  CHECK(fixture.IsLimiting(3610));
  fixture.SendHeartbeat(4450);
  CHECK_FALSE(fixture.IsLimiting(4450));
}

// Guards against a bound that takes effect only with the next heartbeat.
TEST_CASE(
  "an answer that says cold and the end of an evacuation start the limit")
{
  WarmFixture fixture;
  const bool isAnswer = GENERATE(true, false);
  if (isAnswer) {
    fixture.m_limiter.OnColdAnnounced(TimePoint{ 2000 });
  } else {
    fixture.m_limiter.OnPossiblyCold(TimePoint{ 2000 });
  }
  CHECK(fixture.IsLimiting(2000));
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 2000) <= kBound);
}

// Guards against a limit that forgets what was sent to a backend server that
// was already cold, before this became known.
TEST_CASE("requests before an announced cold phase count")
{
  WarmFixture fixture;
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 2000) == 100);
  fixture.SendHeartbeat(2500, 3000);
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 2999) == 0);
  CHECK(StartAll(fixture.m_limiter, fixture.m_nextId, 3020) > kColdPerSecond);
}

// Guards against a time to come back at which there is no room, and against
// places that requests keep that were never sent.
TEST_CASE("the time until there is room is true")
{
  WarmFixture fixture;
  ColdStartLimiter& limiter = fixture.m_limiter;
  limiter.OnConnectionLost(TimePoint{ 2000 });
  REQUIRE(StartAll(limiter, fixture.m_nextId, 2000) > 0);
  const Duration wait = limiter.TimeUntilRoom(1, TimePoint{ 2100 });
  const TimePoint roomAt = TimePoint{ 2100 } + wait;
  CHECK(wait > Milliseconds(800));
  CHECK_FALSE(limiter.TryStart(1000, roomAt - Milliseconds(1)));
  REQUIRE(limiter.TryStart(1000, roomAt));
  limiter.OnNotSent(1000);
  CHECK(StartAll(limiter, fixture.m_nextId, roomAt.m_ms) > kColdPerSecond);
  CHECK(limiter.TimeUntilRoom(100, roomAt) >
        limiter.TimeUntilRoom(1, roomAt) + Seconds(3));
}

// Guards against two requests that are sent more than a second apart and
// arrive within one.
TEST_CASE("a request without an answer counts for the time that it may take")
{
  WarmFixture fixture;
  ColdStartLimiter& limiter = fixture.m_limiter;
  limiter.OnConnectionLost(TimePoint{ 2000 });
  while (limiter.TryStart(fixture.m_nextId, TimePoint{ 2000 })) {
    limiter.OnSent(fixture.m_nextId++, TimePoint{ 2000 });
  }
  limiter.OnAnswered(1, TimePoint{ 2050 });
  CHECK(StartAll(limiter, fixture.m_nextId, 3059) == 0);
  CHECK(StartAll(limiter, fixture.m_nextId, 3060) == 1);
  CHECK(StartAll(limiter, fixture.m_nextId, 3500) == 0);
  CHECK(StartAll(limiter, fixture.m_nextId, 3600) > 1);
}

// Guards against a bound below one request a second that stops everything.
TEST_CASE("a bound below one request a second is kept over a longer time")
{
  ColdStartLimiter limiter;
  limiter.SetBound(0.5, TimePoint{ 0 });
  limiter.OnNewLifetime(TimePoint{ 100 });
  uint64_t nextId = 1;
  CHECK(StartAll(limiter, nextId, 1100) == 1);
  CHECK(StartAll(limiter, nextId, 3000) == 0);
  CHECK(StartAll(limiter, nextId, 3500) == 1);
}

// Plays the load of the plan: the backend servers of a zone return cold
// together, and callers press with ten times the bound. Guards against a second
// above the bound, room that is not used, and urgent requests that wait behind
// others.
TEST_CASE("a zone that returns cold gets the bound and no more")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  constexpr size_t kServers = 24;
  constexpr int64_t kReturnMs = 5000;
  constexpr int64_t kWarmMs = 9000;
  std::mt19937 random(seed);
  std::uniform_int_distribution<int64_t> serviceMs(20, 150);
  std::uniform_real_distribution<double> share(0, 1);
  struct Running
  {
    WorkId m_id;
    int64_t m_endMs;
  };
  struct Server
  {
    WorkQueue m_queue;
    std::vector<Running> m_running;
    std::vector<int64_t> m_arrivalsMs;
    uint64_t m_sequence = 0;
    size_t m_urgentRefused = 0;
    size_t m_refusalsInTime = 0;
  };
  std::vector<Server> servers(kServers);
  WorkId nextId = 1;
  const auto send = [&](Server& aServer, WorkId aId, int64_t aNowMs) {
    aServer.m_queue.ColdStart().OnSent(aId, TimePoint{ aNowMs });
    const int64_t endMs = aNowMs + serviceMs(random);
    aServer.m_running.push_back({ aId, endMs });
    // It arrives at any time before it is answered.
    const double delay = share(random) * static_cast<double>(endMs - aNowMs);
    aServer.m_arrivalsMs.push_back(aNowMs + static_cast<int64_t>(delay));
  };
  for (size_t number = 0; number < kServers; ++number) {
    Server& server = servers[number];
    server.m_queue.SetSlots(32);
    ColdStartLimiter& limiter = server.m_queue.ColdStart();
    limiter.SetBound(kBound, TimePoint{ 0 });
    limiter.OnNewLifetime(TimePoint{ 100 });
    limiter.OnHeartbeat(1, {}, TimePoint{ 100 });
    limiter.OnHeartbeat(2, {}, TimePoint{ 970 });
    limiter.OnNewLifetime(TimePoint{ kReturnMs });
    int64_t heartbeatMs = kReturnMs;
    for (int64_t nowMs = kReturnMs; nowMs < kWarmMs; ++nowMs) {
      if (nowMs == heartbeatMs) {
        limiter.OnHeartbeat(
          ++server.m_sequence,
          Milliseconds(std::max<int64_t>(0, kReturnMs + 3000 - nowMs)),
          TimePoint{ nowMs });
        heartbeatMs += 870;
      }
      if (!limiter.IsLimiting(TimePoint{ nowMs })) {
        break;
      }
      std::erase_if(server.m_running, [&](const Running& aRunning) {
        if (nowMs < aRunning.m_endMs) {
          return false;
        }
        limiter.OnAnswered(aRunning.m_id, TimePoint{ nowMs });
        server.m_queue.Finish("k", Milliseconds(80));
        return true;
      });
      if (share(random) < 10 * kBound / 1000) {
        const uint32_t rank = share(random) < 0.04 ? 0 : 1;
        const WorkId id = nextId++;
        const SubmitResult result =
          server.m_queue.Submit({ id,
                                  "k",
                                  rank,
                                  TimePoint{ nowMs + 600 },
                                  TimePoint{ nowMs + 2000 } },
                                TimePoint{ nowMs });
        if (result.m_decision == WorkDecision::kStart) {
          send(server, id, nowMs);
        } else if (result.m_decision == WorkDecision::kRefuse) {
          CHECK(result.m_retryAfter >= Milliseconds(50));
          server.m_urgentRefused += rank == 0 ? 1 : 0;
        }
      }
      for (const auto& item : server.m_queue.Dequeue(TimePoint{ nowMs })) {
        if (item.m_mayStart) {
          send(server, item.m_id, nowMs);
        }
      }
    }
    INFO("server " << number);
    CHECK(static_cast<double>(MostInAnySecond(server.m_arrivalsMs)) <= kBound);
    // At least the rate of the configuration in the cold phase of 3 s.
    CHECK(static_cast<double>(server.m_arrivalsMs.size()) >=
          3 * kColdPerSecond);
    CHECK(limiter.RefusedCount() > 0);
  }
}

namespace {

// A backend server that restarts, becomes cold and loses connections at any
// moment, with heartbeats that are on their way for up to 900 ms. The next
// heartbeat is sent when the last one was answered and the interval is over.
class RandomRun
{
public:
  explicit RandomRun(unsigned aSeed)
    : m_random(aSeed)
  {
    m_limiter.SetBound(kBound, Now());
  }

  void Step()
  {
    m_nowMs += Pick(0, 12);
    StepHeartbeats();
    StepRequests();
    if (OneIn(4000)) {
      // Another lifetime under the same id, of which nothing is known before
      // its first heartbeat.
      m_lifetime += 1;
      m_sequence = 0;
      m_heartbeatsOnTheWay.clear();
      m_nextHeartbeatMs = m_nowMs + Pick(500, 3000);
      m_coldUntilMs = m_nowMs + 3000;
      m_signAtMs = OneIn(2) ? m_nowMs : m_signAtMs;
      if (m_signAtMs == m_nowMs) {
        m_limiter.OnConnectionLost(Now());
      }
    }
    if (OneIn(3000)) {
      m_limiter.OnConnectionLost(Now());
      m_signAtMs = m_nowMs;
    }
    if (OneIn(5000)) {
      m_coldUntilMs = m_nowMs + Pick(100, 3000);
      m_limiter.OnColdAnnounced(Now());
      m_signAtMs = m_nowMs;
    }
    if (OneIn(8000)) {
      m_limiter.OnPossiblyCold(Now());
      m_signAtMs = m_nowMs;
    }
    if (OneIn(10)) {
      m_limiter.Tick(Now());
    }
  }

  size_t m_limitedStarts = 0;
  size_t m_limitEnds = 0;

private:
  struct HeartbeatOnTheWay
  {
    uint64_t m_sequence;
    int64_t m_sentMs;
    int64_t m_arrivalMs;
    int64_t m_coldMs;
  };
  struct Request
  {
    uint64_t m_id;
    int64_t m_endMs;
  };

  TimePoint Now() const { return { m_nowMs }; }
  int64_t Pick(int64_t aFrom, int64_t aTo)
  {
    return std::uniform_int_distribution<int64_t>(aFrom, aTo)(m_random);
  }
  bool OneIn(int64_t aCount) { return Pick(1, aCount) == 1; }

  void StepHeartbeats()
  {
    if (m_nowMs >= m_nextHeartbeatMs && m_heartbeatsOnTheWay.empty()) {
      const int64_t delayMs = OneIn(10) ? Pick(0, 900) : Pick(0, 30);
      m_heartbeatsOnTheWay.push_back(
        { ++m_sequence,
          m_nowMs,
          m_nowMs + delayMs,
          std::max<int64_t>(0, m_coldUntilMs - m_nowMs) });
      m_nextHeartbeatMs = m_nowMs + 870;
    }
    if (m_heartbeatsOnTheWay.empty() ||
        m_nowMs < m_heartbeatsOnTheWay.front().m_arrivalMs) {
      return;
    }
    const HeartbeatOnTheWay heartbeat = m_heartbeatsOnTheWay.front();
    m_heartbeatsOnTheWay.pop_front();
    if (OneIn(20)) {
      return;
    }
    if (m_knownLifetime != m_lifetime) {
      m_knownLifetime = m_lifetime;
      m_limiter.OnNewLifetime(Now());
      // The start of the lifetime was before its first heartbeat.
      m_signAtMs = heartbeat.m_sentMs;
    }
    const bool wasLimiting = m_limiter.IsLimiting(Now());
    m_limiter.OnHeartbeat(
      heartbeat.m_sequence, Milliseconds(heartbeat.m_coldMs), Now());
    if (wasLimiting && !m_limiter.IsLimiting(Now())) {
      ++m_limitEnds;
      if (heartbeat.m_coldMs > 0 || heartbeat.m_sentMs < m_signAtMs) {
        FAIL("the limit was ended by heartbeat " << heartbeat.m_sequence);
      }
    }
    if (heartbeat.m_coldMs > 0 && !m_limiter.IsLimiting(Now())) {
      FAIL("no limit after heartbeat " << heartbeat.m_sequence);
    }
  }

  void StepRequests()
  {
    while (!m_running.empty() && OneIn(2)) {
      const Request request = m_running.front();
      if (m_nowMs < request.m_endMs) {
        break;
      }
      m_running.pop_front();
      m_limiter.OnAnswered(request.m_id, Now());
    }
    const bool isLimiting = m_limiter.IsLimiting(Now());
    for (int64_t count = OneIn(3) ? Pick(0, 4) : 0; count > 0; --count) {
      const uint64_t id = ++m_lastId;
      if (!m_limiter.TryStart(id, Now())) {
        if (m_limiter.TimeUntilRoom(1, Now()) <= Duration{}) {
          FAIL("refused although there is room");
        }
        continue;
      }
      if (OneIn(10)) {
        m_limiter.OnNotSent(id);
        continue;
      }
      m_limiter.OnSent(id, Now());
      // Some are answered long after they have arrived.
      const int64_t serviceMs = OneIn(5) ? Pick(0, 3000) : Pick(0, 100);
      m_running.push_back({ id, m_nowMs + serviceMs });
      if (isLimiting) {
        CheckArrival(m_nowMs + Pick(0, std::min<int64_t>(serviceMs, 500)));
      }
    }
  }

  void CheckArrival(int64_t aTimeMs)
  {
    ++m_limitedStarts;
    m_arrivalsMs.push_back(aTimeMs);
    std::erase_if(m_arrivalsMs,
                  [&](int64_t aMs) { return aMs < m_nowMs - 1000; });
    const size_t most = MostInAnySecond(m_arrivalsMs);
    if (static_cast<double>(most) > kBound) {
      FAIL(most << " requests in a second at " << m_nowMs);
    }
  }

  std::mt19937 m_random;
  ColdStartLimiter m_limiter;
  int64_t m_nowMs = 0;
  uint64_t m_lifetime = 1;
  uint64_t m_knownLifetime = 0;
  uint64_t m_sequence = 0;
  int64_t m_nextHeartbeatMs = 0;
  int64_t m_coldUntilMs = 0;
  // Time of the last sign that the backend server may be cold.
  int64_t m_signAtMs = 0;
  std::deque<HeartbeatOnTheWay> m_heartbeatsOnTheWay;
  std::deque<Request> m_running;
  std::vector<int64_t> m_arrivalsMs;
  uint64_t m_lastId = 0;
};

} // namespace

// Guards against a sequence of events after which a cold backend server gets
// more than the bound in some second, or after which a heartbeat from before
// the last sign of a cold phase ends the limit.
TEST_CASE("the bound holds in a random run")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  RandomRun run(seed);
  for (int step = 0; step < 1'000'000; ++step) {
    run.Step();
  }
  CHECK(run.m_limitedStarts > 1000);
  CHECK(run.m_limitEnds > 100);
}

} // namespace rattanloft::sidecar
