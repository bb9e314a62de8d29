#include "rattanloft/routing/Balancer.h"

#include <algorithm>
#include <map>
#include <random>

#include "Builders.h"
#include "rattanloft/routing/RetryBudget.h"

#include <catch2/catch.hpp>

namespace rattanloft::routing {

namespace {

constexpr TimePoint kStart{ 100'000 };

std::shared_ptr<const RouteTable>
MakeTable(const std::vector<wire::Backend>& aBackends)
{
  wire::RouteUpdate update;
  update.set_revision(1);
  for (const wire::Backend& backend : aBackends) {
    *update.add_backends() = backend;
  }
  return RouteTable::MakeEmpty()->WithUpdate(update);
}

// Simulates requests in virtual time, each of which runs for a while at the
// backend that the balancer chooses.
class TrafficSimulation
{
public:
  TrafficSimulation(std::vector<wire::Backend> aBackends,
                    std::string_view aZone = "z1")
    : m_balancer(std::string(aZone))
    , m_table(MakeTable(aBackends))
  {
    m_balancer.UpdateBackends(*m_table, kStart);
  }

  // Sends one request per millisecond. aServe maps a backend number to the
  // result of the attempt and its duration in ms.
  template<typename ServeFunction>
  void RunMilliseconds(int aMilliseconds, ServeFunction aServe)
  {
    for (int i = 0; i < aMilliseconds; ++i) {
      m_now = m_now + Milliseconds(1);
      while (!m_attemptEnds.empty() && m_attemptEnds.begin()->first <= m_now) {
        const auto [backend, result] = m_attemptEnds.begin()->second;
        m_attemptEnds.erase(m_attemptEnds.begin());
        m_balancer.OnAttemptFinished(backend, result, m_now);
      }
      const uint32_t backend =
        m_balancer.ChooseBackend(*m_table, "shop", {}, m_random(), m_now);
      REQUIRE(backend != 0);
      m_balancer.OnAttemptStarted(backend, m_now);
      ++m_counts[backend];
      const auto [result, ms] = aServe(backend);
      m_attemptEnds.emplace(m_now + Milliseconds(ms),
                            std::pair(backend, result));
    }
  }

  Balancer m_balancer;
  std::shared_ptr<const RouteTable> m_table;
  std::map<uint32_t, int> m_counts;
  TimePoint m_now = kStart;

private:
  std::mt19937_64 m_random{ 42 };
  std::multimap<TimePoint, std::pair<uint32_t, AttemptResult>> m_attemptEnds;
};

std::pair<AttemptResult, int64_t>
AnswerIn10Ms(uint32_t)
{
  return { AttemptResult::kAnswered, 10 };
}

} // namespace

// Guards against load that does not follow the size of the instances.
TEST_CASE("Busy backends get requests in proportion to their slots")
{
  TrafficSimulation traffic({ MakeBackend(1, "shop", "z1", 4),
                              MakeBackend(2, "shop", "z1", 8),
                              MakeBackend(3, "shop", "z1", 4) });
  traffic.RunMilliseconds(5000, [](uint32_t) {
    return std::pair(AttemptResult::kAnswered, int64_t{ 40 });
  });
  REQUIRE(traffic.m_counts[2] == Approx(2500).margin(250));
  REQUIRE(traffic.m_counts[1] == Approx(1250).margin(200));
}

// Guards against a preference for the entry node's zone that overloads its
// backends.
TEST_CASE("The entry node's zone is preferred only between equal loads")
{
  const std::vector<wire::Backend> backends{ MakeBackend(1, "shop", "z1"),
                                             MakeBackend(2, "shop", "z2"),
                                             MakeBackend(3, "shop", "z3"),
                                             MakeBackend(4, "shop", "z4") };
  TrafficSimulation idle(backends);
  idle.RunMilliseconds(2000, [](uint32_t) {
    return std::pair(AttemptResult::kAnswered, int64_t{ 1 });
  });
  REQUIRE(idle.m_counts[1] > 800);
  TrafficSimulation busy(backends);
  busy.RunMilliseconds(5000, [](uint32_t) {
    return std::pair(AttemptResult::kAnswered, int64_t{ 40 });
  });
  REQUIRE(busy.m_counts[1] < 1450);
}

// Guards against a backend that fails at once and therefore always looks idle.
TEST_CASE("A backend that fails fast does not attract load")
{
  TrafficSimulation traffic({ MakeBackend(1), MakeBackend(2), MakeBackend(3) });
  const auto serve = [](uint32_t aBackend) {
    return aBackend == 2 ? std::pair(AttemptResult::kFailed, int64_t{ 1 })
                         : std::pair(AttemptResult::kAnswered, int64_t{ 20 });
  };
  traffic.RunMilliseconds(10'000, serve);
  REQUIRE(traffic.m_counts[2] < 50);
  // The backend is probed and takes its share of the load again within bounded
  // time.
  traffic.RunMilliseconds(20'000, AnswerIn10Ms);
  traffic.m_counts.clear();
  traffic.RunMilliseconds(3000, AnswerIn10Ms);
  REQUIRE(traffic.m_counts[2] > 600);
}

// Guards against a backend that refuses at once and therefore always looks
// idle.
TEST_CASE("A backend that sheds load gets fewer requests")
{
  TrafficSimulation traffic({ MakeBackend(1), MakeBackend(2), MakeBackend(3) });
  traffic.RunMilliseconds(10'000, [](uint32_t aBackend) {
    return aBackend == 2 ? std::pair(AttemptResult::kRefused, int64_t{ 1 })
                         : std::pair(AttemptResult::kAnswered, int64_t{ 20 });
  });
  REQUIRE(traffic.m_counts[2] < 1500);
  REQUIRE_FALSE(traffic.m_balancer.IsEjected(2, traffic.m_now));
}

// Guards against more than one request at a time at a backend that has failed.
TEST_CASE("An ejected backend gets one attempt at a time until it responds")
{
  const auto table = MakeTable({ MakeBackend(1), MakeBackend(2) });
  Balancer balancer("z1");
  balancer.UpdateBackends(*table, kStart);
  for (int i = 0; i < 3; ++i) {
    balancer.OnAttemptStarted(2, kStart);
    balancer.OnAttemptFinished(2, AttemptResult::kFailed, kStart);
  }
  REQUIRE(balancer.IsEjected(2, kStart + Milliseconds(999)));
  const TimePoint later = kStart + Seconds(1);
  REQUIRE_FALSE(balancer.IsEjected(2, later));
  const std::vector<uint32_t> tried{ 1 };
  REQUIRE(balancer.ChooseBackend(*table, "shop", tried, 5, later) == 2);
  balancer.OnAttemptStarted(2, later);
  // Backend 1 looks far worse by its load.
  for (int i = 0; i < 200; ++i) {
    balancer.OnAttemptStarted(1, later);
  }
  for (uint64_t random = 0; random < 100; ++random) {
    REQUIRE(balancer.ChooseBackend(*table, "shop", {}, random, later) == 1);
  }
  // A failed probe doubles the duration of the ejection.
  balancer.OnAttemptFinished(2, AttemptResult::kFailed, later);
  REQUIRE(balancer.IsEjected(2, later + Milliseconds(1999)));
}

// Guards against a full share of requests at a backend server with empty
// caches.
TEST_CASE("The load of a new backend ramps up")
{
  TrafficSimulation traffic({ MakeBackend(1), MakeBackend(2) });
  const auto serve = [](uint32_t) {
    return std::pair(AttemptResult::kAnswered, int64_t{ 40 });
  };
  traffic.RunMilliseconds(1000, serve);
  traffic.m_table =
    MakeTable({ MakeBackend(1), MakeBackend(2), MakeBackend(3) });
  traffic.m_counts.clear();
  traffic.RunMilliseconds(1000, serve);
  REQUIRE(traffic.m_counts[3] < 200);
  REQUIRE(traffic.m_counts[3] > 50);
  traffic.RunMilliseconds(9000, serve);
  traffic.m_counts.clear();
  traffic.RunMilliseconds(1000, serve);
  REQUIRE(traffic.m_counts[3] > 280);
}

// Guards against new work for a draining backend, a retry at a backend that was
// tried, and a refusal while any backend is left.
TEST_CASE("Draining and tried backends are not chosen")
{
  wire::Backend draining = MakeBackend(1);
  draining.set_state(wire::BACKEND_STATE_DRAINING);
  const auto table = MakeTable({ draining, MakeBackend(2), MakeBackend(3) });
  Balancer balancer("z1");
  balancer.UpdateBackends(*table, kStart);
  const std::vector<uint32_t> tried{ 2 };
  for (uint64_t random = 0; random < 100; ++random) {
    REQUIRE(balancer.ChooseBackend(*table, "shop", tried, random, kStart) == 3);
  }
  REQUIRE(balancer.ChooseBackend(*table, "press", {}, 1, kStart) == 0);
  for (const uint32_t backend : { 2, 2, 2, 3, 3, 3 }) {
    balancer.OnAttemptStarted(backend, kStart);
    balancer.OnAttemptFinished(backend, AttemptResult::kFailed, kStart);
  }
  REQUIRE(balancer.ChooseBackend(*table, "shop", {}, 1, kStart) != 0);
}

// Guards against records that pile up when backend servers restart.
TEST_CASE("Records of backends that are gone are dropped")
{
  Balancer balancer("z1");
  balancer.UpdateBackends(*MakeTable({ MakeBackend(1), MakeBackend(2) }),
                          kStart);
  balancer.OnAttemptStarted(1, kStart);
  const auto next = MakeTable({ MakeBackend(3) });
  balancer.UpdateBackends(*next, kStart);
  REQUIRE(balancer.RecordCount() == 2);
  balancer.OnAttemptFinished(1, AttemptResult::kAnswered, kStart);
  balancer.UpdateBackends(*next, kStart);
  REQUIRE(balancer.RecordCount() == 1);
  // The same holds without a call of UpdateBackends, and for an attempt whose
  // backend has no record.
  const auto last = MakeTable({ MakeBackend(4), MakeBackend(5) });
  balancer.OnAttemptStarted(4, kStart);
  REQUIRE(balancer.ChooseBackend(*last, "shop", {}, 1, kStart) != 3);
  REQUIRE(balancer.RecordCount() == 2);
  balancer.OnAttemptFinished(4, AttemptResult::kAnswered, kStart);
  REQUIRE(balancer.InFlightAttempts(4) == 0);
}

// Guards against retries that multiply an overload: whenever one is allowed
// beyond the 3 per second, the retries of the last 10 s are within 10 % of the
// first attempts plus 3 per second.
TEST_CASE("Retries stay within 10 % of first attempts plus 3 per second")
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    RetryBudget budget;
    std::vector<int64_t> firstAttempts;
    std::vector<int64_t> retries;
    // Retries that the rate of 3 per second allows, whatever the ratio.
    std::vector<int64_t> guaranteedRetries;
    const auto countSince = [](const std::vector<int64_t>& aTimes,
                               int64_t aAfter) {
      return aTimes.end() -
             std::upper_bound(aTimes.begin(), aTimes.end(), aAfter);
    };
    int retriesBeyondGuarantee = 0;
    int64_t now = kStart.m_ms;
    for (int i = 0; i < 20'000; ++i) {
      now += static_cast<int64_t>(random() % (i < 10'000 ? 20 : 100));
      if (random() % 3 == 0) {
        budget.OnFirstAttempt(TimePoint{ now });
        firstAttempts.push_back(now);
      } else if (budget.TryTakeRetry(TimePoint{ now })) {
        retries.push_back(now);
        const bool guaranteeOpen =
          guaranteedRetries.size() < 3 ||
          now - guaranteedRetries[guaranteedRetries.size() - 3] >= 1000;
        if (guaranteeOpen) {
          guaranteedRetries.push_back(now);
        } else {
          ++retriesBeyondGuarantee;
          REQUIRE(countSince(retries, now - 10'000) <=
                  countSince(firstAttempts, now - 10'000) / 10 + 30);
        }
      }
    }
    REQUIRE(retriesBeyondGuarantee > 100);
    REQUIRE(retries.size() <=
            firstAttempts.size() / 10 + 3 * (now - kStart.m_ms + 1000) / 1000);
  }
}

// Guards against a service that has few requests and may therefore never retry.
TEST_CASE("Three retries per second are always allowed")
{
  RetryBudget budget;
  for (int second = 0; second < 20; ++second) {
    const TimePoint now = kStart + Seconds(second);
    for (int i = 0; i < 5; ++i) {
      REQUIRE(budget.TryTakeRetry(now) == (i < 3));
    }
  }
}

} // namespace rattanloft::routing
