#include "WorkQueue.h"

#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

WorkItem
MakeItem(WorkId aId, uint32_t aRank, int64_t aTargetMs, int64_t aDeadlineMs)
{
  return { aId, "k", aRank, TimePoint{ aTargetMs }, TimePoint{ aDeadlineMs } };
}

} // namespace

TEST_CASE("items start while slots are free and wait otherwise")
{
  WorkQueue queue;
  queue.SetSlots(2);
  const TimePoint now{ 0 };
  CHECK(queue.Submit(MakeItem(1, 1, 500, 900), now).m_decision ==
        WorkDecision::kStart);
  CHECK(queue.Submit(MakeItem(2, 1, 500, 900), now).m_decision ==
        WorkDecision::kStart);
  CHECK(queue.Submit(MakeItem(3, 1, 500, 900), now).m_decision ==
        WorkDecision::kWait);
  CHECK(queue.Dequeue(now).empty());
  queue.Finish("k", Milliseconds(100));
  const auto dequeued = queue.Dequeue(now);
  REQUIRE(dequeued.size() == 1);
  CHECK(dequeued[0].m_id == 3);
  CHECK(dequeued[0].m_mayStart);
  CHECK(queue.RunningCount() == 2);
}

// Guards against items that take a slot although they can only finish late.
TEST_CASE("an item that cannot finish in time is refused with a retry delay")
{
  WorkQueue queue;
  queue.SetSlots(1);
  queue.Submit(MakeItem(1, 1, 500, 900), TimePoint{ 0 });
  queue.Finish("k", Milliseconds(200));
  queue.Submit(MakeItem(2, 1, 500, 900), TimePoint{ 0 });
  CHECK(queue.Submit(MakeItem(3, 1, 500, 900), TimePoint{ 0 }).m_decision ==
        WorkDecision::kWait);
  const SubmitResult result =
    queue.Submit(MakeItem(4, 1, 500, 900), TimePoint{ 0 });
  CHECK(result.m_decision == WorkDecision::kRefuse);
  CHECK(result.m_retryAfter >= Milliseconds(50));
  // Item 3 has waited until it can only finish late, so it is refused.
  const auto dequeued = queue.Dequeue(TimePoint{ 300 });
  REQUIRE(dequeued.size() == 1);
  CHECK(dequeued[0].m_id == 3);
  CHECK_FALSE(dequeued[0].m_mayStart);
}

// Guards against a queue whose items start only after their callers have left:
// after a restart no service time is known, and the backend server is slow at
// first.
TEST_CASE("a burst does not fill the queue before a service time is known")
{
  WorkQueue queue;
  queue.SetSlots(12);
  for (WorkId id = 1; id <= 200; ++id) {
    queue.Submit(MakeItem(id, 1, 600, 1500), TimePoint{ 0 });
  }
  CHECK(queue.RunningCount() == 12);
  CHECK(queue.WaitingCount() <= 2 * 12);
}

// Guards against urgent items that wait behind items of less value.
TEST_CASE("items with a lower rank start first")
{
  WorkQueue queue;
  queue.SetSlots(1);
  queue.Submit(MakeItem(1, 1, 5000, 9000), TimePoint{ 0 });
  queue.Submit(MakeItem(2, 2, 5000, 9000), TimePoint{ 0 });
  queue.Submit(MakeItem(3, 0, 5000, 9000), TimePoint{ 0 });
  queue.Finish("k", Milliseconds(50));
  const auto dequeued = queue.Dequeue(TimePoint{ 0 });
  REQUIRE(dequeued.size() == 1);
  CHECK(dequeued[0].m_id == 3);
}

TEST_CASE("a cancelled item leaves the queue")
{
  WorkQueue queue;
  queue.SetSlots(1);
  queue.Submit(MakeItem(1, 1, 5000, 9000), TimePoint{ 0 });
  queue.Submit(MakeItem(2, 1, 5000, 9000), TimePoint{ 0 });
  CHECK(queue.Cancel(2));
  CHECK_FALSE(queue.Cancel(2));
  queue.Finish("k", Milliseconds(50));
  CHECK(queue.Dequeue(TimePoint{ 0 }).empty());
  CHECK(queue.RunningCount() == 0);
}

// Guards against slots that run items which finish late under overload.
// Simulates twice the load that the slots can serve; most of the capacity must
// go to responses in time, and hardly any to late ones.
TEST_CASE("under double load nearly all slot time goes to responses in time")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  std::mt19937 random(seed);
  constexpr uint32_t kSlots = 6;
  constexpr int64_t kTargetMs = 300;
  constexpr int64_t kRunTimeMs = 60'000;
  std::exponential_distribution<double> arrivalGapMs(2.0 * kSlots / 80.0);
  std::uniform_int_distribution<int64_t> serviceMs(40, 120);
  WorkQueue queue;
  queue.SetSlots(kSlots);
  std::map<WorkId, int64_t> arrivalMs;
  std::multimap<int64_t, std::pair<WorkId, int64_t>> finishTimes;
  int64_t inTime = 0;
  int64_t late = 0;
  WorkId nextId = 1;
  double nextArrivalMs = 0;
  const auto start = [&](WorkId aId, int64_t aNow) {
    const int64_t serviceTimeMs = serviceMs(random);
    finishTimes.emplace(aNow + serviceTimeMs, std::pair(aId, serviceTimeMs));
  };
  for (int64_t now = 0; now < kRunTimeMs; ++now) {
    while (!finishTimes.empty() && finishTimes.begin()->first <= now) {
      const auto [id, serviceTimeMs] = finishTimes.begin()->second;
      finishTimes.erase(finishTimes.begin());
      (now - arrivalMs[id] <= kTargetMs ? inTime : late) += 1;
      queue.Finish("k", Milliseconds(serviceTimeMs));
    }
    for (const auto& item : queue.Dequeue(TimePoint{ now })) {
      if (item.m_mayStart) {
        start(item.m_id, now);
      }
    }
    for (; nextArrivalMs < static_cast<double>(now);
         nextArrivalMs += arrivalGapMs(random)) {
      const WorkId id = nextId++;
      arrivalMs[id] = now;
      const SubmitResult result = queue.Submit(
        MakeItem(id, 1, now + kTargetMs, now + 1200), TimePoint{ now });
      if (result.m_decision == WorkDecision::kStart) {
        start(id, now);
      }
    }
  }
  const double possibleCount = kRunTimeMs / 80.0 * kSlots;
  CHECK(static_cast<double>(inTime) > 0.9 * possibleCount);
  CHECK(static_cast<double>(late) < 0.05 * possibleCount);
}

// Guards against a backend server that gets more requests than the limit that
// it names, and against requests that wait for it in vain.
TEST_CASE("items start at most at the rate limit")
{
  WorkQueue queue;
  queue.SetSlots(12);
  TimePoint now{ 0 };
  queue.SetRateLimit(10, now);
  int started = 0;
  int refused = 0;
  for (WorkId id = 1; now < TimePoint{ 4000 }; ++id) {
    now = now + Milliseconds(10);
    const SubmitResult result =
      queue.Submit(MakeItem(id, 1, now.m_ms + 300, now.m_ms + 900), now);
    started += result.m_decision == WorkDecision::kStart ? 1 : 0;
    refused += result.m_decision == WorkDecision::kRefuse ? 1 : 0;
    if (result.m_decision == WorkDecision::kRefuse) {
      CHECK(result.m_retryAfter > Duration{});
    }
    for (const WorkQueue::DequeuedWork& item : queue.Dequeue(now)) {
      started += item.m_mayStart ? 1 : 0;
    }
    while (queue.RunningCount() > 0) {
      queue.Finish("k", Milliseconds(20));
    }
  }
  CHECK(started <= 50);
  CHECK(started >= 40);
  CHECK(refused > 300);
  queue.SetRateLimit(std::nullopt, now);
  CHECK(queue.RateLimit() == std::nullopt);
}

} // namespace rattanloft::sidecar
