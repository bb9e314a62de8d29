#include "OverloadThrottle.h"

#include <vector>

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

const std::string kTarget = "n1|browse";

struct SimulatedLoad
{
  int m_sent = 0;
  int m_accepted = 0;
};

// Many entries send requests for one key, of which its owner takes only so many
// a second and refuses the others at once. Returns what the owner sees in the
// last second.
SimulatedLoad
SimulateHotKey(size_t aEntries, int aRequestsPerSecond, int aCapacityPerSecond)
{
  std::vector<OverloadThrottle> throttles;
  for (size_t i = 0; i < aEntries; ++i) {
    throttles.emplace_back(i + 1);
  }
  std::mt19937_64 random(7);
  SimulatedLoad lastSecond;
  constexpr int kSeconds = 8;
  for (int second = 0; second < kSeconds; ++second) {
    lastSecond = {};
    double room = 0;
    for (int i = 0; i < aRequestsPerSecond; ++i) {
      const TimePoint now{ 100'000 + second * 1000 +
                           int64_t{ 1000 } * i / aRequestsPerSecond };
      room = std::min(room + static_cast<double>(aCapacityPerSecond) /
                               aRequestsPerSecond,
                      5.0);
      OverloadThrottle& throttle = throttles[random() % aEntries];
      if (!throttle.MaySend(kTarget, now)) {
        continue;
      }
      ++lastSecond.m_sent;
      const bool isAccepted = room >= 1;
      room -= isAccepted ? 1 : 0;
      lastSecond.m_accepted += isAccepted ? 1 : 0;
      throttle.OnResult(kTarget, isAccepted, now);
    }
  }
  return lastSecond;
}

} // namespace

// Guards against an owner whose processor is filled with requests that it has
// to refuse: one key of a fleet of 295 instances gets 30% of 2,600 requests a
// second, and its owner runs 36 a second.
TEST_CASE("The owner of a hot key sees a fraction of the requests for it")
{
  const SimulatedLoad load = SimulateHotKey(295, 770, 36);
  CHECK(load.m_sent < 300);
  CHECK(load.m_accepted >= 33);
}

TEST_CASE("A small fleet offers the owner of a hot key more than it can take")
{
  const SimulatedLoad load = SimulateHotKey(13, 100, 40);
  CHECK(load.m_sent < 95);
  CHECK(load.m_accepted >= 37);
}

// Guards against refusals that nothing but chance has caused.
TEST_CASE("Requests to an owner that accepts most of them are not refused")
{
  const SimulatedLoad load = SimulateHotKey(295, 700, 700);
  CHECK(load.m_sent == 700);
  const SimulatedLoad nearLimit = SimulateHotKey(20, 100, 90);
  CHECK(nearLimit.m_accepted >= 88);
}

TEST_CASE("A target is given another chance after two periods")
{
  OverloadThrottle throttle(1);
  TimePoint now{ 100'000 };
  for (int i = 0; i < 100; ++i) {
    if (throttle.MaySend(kTarget, now)) {
      throttle.OnResult(kTarget, false, now);
    }
  }
  now = now + Milliseconds(4000);
  CHECK(throttle.MaySend(kTarget, now));
  CHECK(throttle.MaySend("n2|browse", now));
}

// Guards against a table that grows with the number of targets.
TEST_CASE("Targets beyond the bound of the table are not throttled")
{
  OverloadThrottle throttle(1);
  const TimePoint now{ 100'000 };
  for (int i = 0; i < 2000; ++i) {
    const std::string target = "n" + std::to_string(i);
    for (int j = 0; j < 4; ++j) {
      throttle.OnResult(target, false, now);
    }
  }
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    refused += throttle.MaySend("n1999", now) ? 0 : 1;
  }
  CHECK(refused == 0);
  CHECK(throttle.MaySend("n5000", now + Milliseconds(6000)));
}

} // namespace rattanloft::sidecar
