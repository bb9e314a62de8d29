#include "WorkQueue.h"

#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

Work
MakeWork(WorkId aId, uint32_t aRank, int64_t aTargetMs, int64_t aDeadlineMs)
{
  return { aId, "k", aRank, TimePoint{ aTargetMs }, TimePoint{ aDeadlineMs } };
}

} // namespace

TEST_CASE("work starts while slots are free and waits after that")
{
  WorkQueue queue;
  queue.SetSlots(2);
  const TimePoint now{ 0 };
  CHECK(queue.Submit(MakeWork(1, 1, 500, 900), now).m_decision ==
        WorkDecision::kStart);
  CHECK(queue.Submit(MakeWork(2, 1, 500, 900), now).m_decision ==
        WorkDecision::kStart);
  CHECK(queue.Submit(MakeWork(3, 1, 500, 900), now).m_decision ==
        WorkDecision::kWait);
  CHECK(queue.Next(now).empty());
  queue.Finish("k", Milliseconds(100));
  const auto released = queue.Next(now);
  REQUIRE(released.size() == 1);
  CHECK(released[0].m_id == 3);
  CHECK(released[0].m_start);
  CHECK(queue.Running() == 2);
}

// Guards against work that holds a slot although it can only be late.
TEST_CASE("work that cannot be in time is refused with a time to come back")
{
  WorkQueue queue;
  queue.SetSlots(1);
  queue.Submit(MakeWork(1, 1, 500, 900), TimePoint{ 0 });
  queue.Finish("k", Milliseconds(200));
  queue.Submit(MakeWork(2, 1, 500, 900), TimePoint{ 0 });
  CHECK(queue.Submit(MakeWork(3, 1, 500, 900), TimePoint{ 0 }).m_decision ==
        WorkDecision::kWait);
  const WorkVerdict verdict =
    queue.Submit(MakeWork(4, 1, 500, 900), TimePoint{ 0 });
  CHECK(verdict.m_decision == WorkDecision::kRefuse);
  CHECK(verdict.m_retryAfter >= Milliseconds(50));
  // Work 3 waited until it would be late; it goes as soon as that shows.
  const auto released = queue.Next(TimePoint{ 300 });
  REQUIRE(released.size() == 1);
  CHECK(released[0].m_id == 3);
  CHECK_FALSE(released[0].m_start);
}

// Guards against urgent work that waits behind work that is worth less.
// Guards against a queue that only callers who have left would see the end of:
// after a restart nothing is known of a backend server, which is slow at first.
TEST_CASE("a burst does not fill the queue before a service time is known")
{
  WorkQueue queue;
  queue.SetSlots(12);
  for (WorkId id = 1; id <= 200; ++id) {
    queue.Submit(MakeWork(id, 1, 600, 1500), TimePoint{ 0 });
  }
  CHECK(queue.Running() == 12);
  CHECK(queue.Waiting() <= 2 * 12);
}

TEST_CASE("lower ranks start first")
{
  WorkQueue queue;
  queue.SetSlots(1);
  queue.Submit(MakeWork(1, 1, 5000, 9000), TimePoint{ 0 });
  queue.Submit(MakeWork(2, 2, 5000, 9000), TimePoint{ 0 });
  queue.Submit(MakeWork(3, 0, 5000, 9000), TimePoint{ 0 });
  queue.Finish("k", Milliseconds(50));
  const auto released = queue.Next(TimePoint{ 0 });
  REQUIRE(released.size() == 1);
  CHECK(released[0].m_id == 3);
}

TEST_CASE("cancelled work leaves the queue")
{
  WorkQueue queue;
  queue.SetSlots(1);
  queue.Submit(MakeWork(1, 1, 5000, 9000), TimePoint{ 0 });
  queue.Submit(MakeWork(2, 1, 5000, 9000), TimePoint{ 0 });
  CHECK(queue.Cancel(2));
  CHECK_FALSE(queue.Cancel(2));
  queue.Finish("k", Milliseconds(50));
  CHECK(queue.Next(TimePoint{ 0 }).empty());
  CHECK(queue.Running() == 0);
}

// Plays twice the load that the slots can serve and checks what callers get:
// most of what the slots can do is answered in time, and hardly anything late.
TEST_CASE("under twice the load nearly all slot time goes to answers in time")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  std::mt19937 random(seed);
  constexpr uint32_t kSlots = 6;
  constexpr int64_t kTarget = 300;
  constexpr int64_t kLength = 60'000;
  std::exponential_distribution<double> gap(2.0 * kSlots / 80.0);
  std::uniform_int_distribution<int64_t> service(40, 120);
  WorkQueue queue;
  queue.SetSlots(kSlots);
  std::map<WorkId, int64_t> arrivals;
  std::multimap<int64_t, std::pair<WorkId, int64_t>> ends;
  int64_t inTime = 0;
  int64_t late = 0;
  WorkId next = 1;
  double arrival = 0;
  const auto start = [&](WorkId aId, int64_t aNow) {
    const int64_t time = service(random);
    ends.emplace(aNow + time, std::pair(aId, time));
  };
  for (int64_t now = 0; now < kLength; ++now) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [id, time] = ends.begin()->second;
      ends.erase(ends.begin());
      (now - arrivals[id] <= kTarget ? inTime : late) += 1;
      queue.Finish("k", Milliseconds(time));
    }
    for (const auto& release : queue.Next(TimePoint{ now })) {
      if (release.m_start) {
        start(release.m_id, now);
      }
    }
    for (; arrival < static_cast<double>(now); arrival += gap(random)) {
      const WorkId id = next++;
      arrivals[id] = now;
      const WorkVerdict verdict = queue.Submit(
        MakeWork(id, 1, now + kTarget, now + 1200), TimePoint{ now });
      if (verdict.m_decision == WorkDecision::kStart) {
        start(id, now);
      }
    }
  }
  const double possible = kLength / 80.0 * kSlots;
  CHECK(static_cast<double>(inTime) > 0.9 * possible);
  CHECK(static_cast<double>(late) < 0.05 * possible);
}

} // namespace rattanloft::sidecar
