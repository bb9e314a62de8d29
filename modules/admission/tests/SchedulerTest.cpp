#include "rattanloft/admission/Scheduler.h"

#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace rattanloft::admission {

namespace {

const EntryLimits kBrowse{ "browse", WorkClass::kInteractive, 0, 1000 };
const EntryLimits kDeposit{ "deposit", WorkClass::kPrompt, 0, 1000 };
const EntryLimits kMulti{ "multi", WorkClass::kBulk, 0, 1000 };

// Drives a scheduler with a virtual clock and keeps track of the jobs that it
// starts and refuses.
class SchedulerFixture
{
public:
  explicit SchedulerFixture(uint32_t aSlots,
                            std::string_view aStrategy = "deadline")
    : m_scheduler(Scheduler::Make(aStrategy))
  {
    m_scheduler->SetLimits({ kBrowse, kDeposit, kMulti });
    m_scheduler->SetBackend(aSlots, m_now, false);
  }

  JobId Submit(std::string_view aEntry, int64_t aBudgetMs)
  {
    const JobId id = ++m_lastId;
    HandleActions(m_scheduler->Submit(
      { id, std::string(aEntry), m_now + Milliseconds(aBudgetMs) }, m_now));
    return id;
  }
  void Finish(JobId aJob, JobResult aResult = JobResult::kAnswered)
  {
    m_started.erase(aJob);
    HandleActions(m_scheduler->Finish(aJob, aResult, m_now));
  }
  void AdvanceClock(int64_t aMs)
  {
    const TimePoint end = m_now + Milliseconds(aMs);
    while (m_now < end) {
      m_now = m_now + Milliseconds(std::min<int64_t>(10, (end - m_now).m_ms));
      HandleActions(m_scheduler->Tick(m_now));
    }
  }
  // Teaches the scheduler a service time by running jobs that take it.
  void LearnServiceTime(std::string_view aEntry, int64_t aMs, int aCount = 8)
  {
    for (int i = 0; i < aCount; ++i) {
      const JobId id = Submit(aEntry, 600'000);
      REQUIRE(IsStarted(id));
      AdvanceClock(aMs);
      Finish(id);
    }
  }
  bool IsStarted(JobId aJob) const { return m_started.count(aJob) > 0; }
  bool IsRefused(JobId aJob) const { return m_refused.count(aJob) > 0; }
  const SchedulerAction& Refusal(JobId aJob) const
  {
    return m_refused.at(aJob);
  }

  std::unique_ptr<Scheduler> m_scheduler;
  TimePoint m_now{ 1'000'000 };

private:
  void HandleActions(const std::vector<SchedulerAction>& aActions)
  {
    for (const SchedulerAction& action : aActions) {
      REQUIRE(!IsStarted(action.m_job));
      REQUIRE(!IsRefused(action.m_job));
      if (action.m_kind == SchedulerActionKind::kStart) {
        m_started.insert(action.m_job);
      } else {
        m_refused[action.m_job] = action;
      }
    }
  }

  std::set<JobId> m_started;
  std::map<JobId, SchedulerAction> m_refused;
  JobId m_lastId = 0;
};

} // namespace

// Guards against a spelling error in the settings that selects some strategy.
TEST_CASE("An unknown strategy is refused")
{
  REQUIRE(Scheduler::Make("lifo") == nullptr);
}

// Guards against accepting work for which no rules are known.
TEST_CASE("An unknown entry is refused")
{
  SchedulerFixture fixture(2);
  const JobId id = fixture.Submit("nothing", 1000);
  REQUIRE(fixture.Refusal(id).m_reason == RefusalReason::kUnknownEntry);
}

// Guards against refusals without evidence: before a service time is known, any
// job that has not expired may run.
TEST_CASE("Nothing is refused before a service time is known")
{
  SchedulerFixture fixture(1);
  REQUIRE(fixture.IsStarted(fixture.Submit("browse", 1)));
  REQUIRE_FALSE(fixture.IsRefused(fixture.Submit("browse", 1)));
}

// Guards against an unbounded queue, and against counting a job that starts at
// once as waiting.
TEST_CASE("A full queue refuses further jobs")
{
  const auto* const strategy = GENERATE("deadline", "fifo");
  SchedulerFixture fixture(1, strategy);
  fixture.m_scheduler->SetLimits({ { "browse", {}, 0, 1 } });
  REQUIRE(fixture.IsStarted(fixture.Submit("browse", 1000)));
  const JobId waiting = fixture.Submit("browse", 1000);
  const JobId refused = fixture.Submit("browse", 1000);
  REQUIRE_FALSE(fixture.IsRefused(waiting));
  REQUIRE(fixture.Refusal(refused).m_reason == RefusalReason::kQueueFull);
  REQUIRE(fixture.Refusal(refused).m_retryAfter > Duration{});
}

// Guards against running work whose caller no longer waits.
TEST_CASE("An expired job is not started")
{
  const auto* const strategy = GENERATE("deadline", "fifo");
  SchedulerFixture fixture(1, strategy);
  const JobId running = fixture.Submit("browse", 1000);
  const JobId waiting = fixture.Submit("browse", 50);
  fixture.m_now = fixture.m_now + Milliseconds(50);
  fixture.Finish(running);
  REQUIRE(fixture.IsRefused(waiting));
}

// Guards against making a caller wait until close to its deadline only to
// refuse its request.
TEST_CASE("A job is refused on arrival if the wait is too long")
{
  SchedulerFixture fixture(1);
  fixture.LearnServiceTime("deposit", 40);
  std::vector<JobId> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(fixture.Submit("deposit", 430));
  }
  // One runs, and 9 more can start within the 390 ms before the last possible
  // start.
  for (size_t i = 0; i < jobs.size(); ++i) {
    REQUIRE(fixture.IsRefused(jobs[i]) == (i >= 10));
  }
  REQUIRE(fixture.Refusal(jobs.back()).m_retryAfter >= Milliseconds(390));
  REQUIRE_FALSE(fixture.IsRefused(fixture.Submit("deposit", 1000)));
}

// Guards against giving slots to jobs that cannot be answered in time.
TEST_CASE("A queued job that cannot finish in time is refused by a tick")
{
  SchedulerFixture fixture(1);
  fixture.LearnServiceTime("deposit", 40);
  fixture.Submit("deposit", 1000);
  const JobId waiting = fixture.Submit("deposit", 200);
  fixture.AdvanceClock(170);
  REQUIRE(fixture.IsRefused(waiting));
}

// Guards against making callers wait whose jobs will not start in time, since
// more urgent work arrived after them.
TEST_CASE("Queued jobs are refused as soon as they would start too late")
{
  SchedulerFixture fixture(1);
  fixture.LearnServiceTime("deposit", 40);
  fixture.LearnServiceTime("browse", 8);
  std::vector<JobId> deposits;
  for (int i = 0; i < 10; ++i) {
    deposits.push_back(fixture.Submit("deposit", 1000));
  }
  for (int i = 0; i < 150; ++i) {
    fixture.Submit("browse", 5000);
  }
  REQUIRE_FALSE(fixture.IsRefused(deposits.back()));
  fixture.AdvanceClock(10);
  REQUIRE(fixture.IsRefused(deposits.back()));
  REQUIRE_FALSE(fixture.IsRefused(deposits.front()));
}

// Guards against endless refusals after learned service times became too long,
// for example through a pause of the backend server.
TEST_CASE("A learned time that is too long is corrected by probes")
{
  SchedulerFixture fixture(2);
  fixture.LearnServiceTime("browse", 500, 3);
  REQUIRE(fixture.IsRefused(fixture.Submit("browse", 300)));
  int probes = 0;
  for (int second = 0; second < 120; ++second) {
    const JobId id = fixture.Submit("browse", 300);
    if (fixture.IsStarted(id)) {
      ++probes;
      fixture.AdvanceClock(8);
      fixture.Finish(id);
    }
    fixture.AdvanceClock(1000);
  }
  REQUIRE(probes >= 40);
  REQUIRE(fixture.IsStarted(fixture.Submit("browse", 300)));
}

// Guards against filling all slots with jobs that miss their deadlines when the
// backend server has become too slow for every deadline, so that no job is ever
// answered.
TEST_CASE("Jobs cut off by their deadline lengthen the learned service time")
{
  SchedulerFixture fixture(2);
  fixture.LearnServiceTime("browse", 8);
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    const JobId id = fixture.Submit("browse", 300);
    if (fixture.IsRefused(id)) {
      ++refused;
      continue;
    }
    fixture.AdvanceClock(300);
    fixture.Finish(id, JobResult::kCancelled);
  }
  REQUIRE(refused >= 20);
}

// Guards against head-of-line blocking of short work by long work.
TEST_CASE("Long work leaves slots to short work")
{
  SchedulerFixture fixture(8);
  for (int i = 0; i < 20; ++i) {
    fixture.Submit("multi", 60'000);
  }
  REQUIRE(fixture.m_scheduler->Counters().m_running == 6);
  REQUIRE(fixture.IsStarted(fixture.Submit("browse", 300)));
  REQUIRE(fixture.IsStarted(fixture.Submit("browse", 300)));
}

// Guards against long work that occupies the slots of short work because its
// class is not kBulk.
TEST_CASE("An entry counts as long by its learned time")
{
  SchedulerFixture fixture(8);
  fixture.LearnServiceTime("browse", 8);
  fixture.LearnServiceTime("deposit", 900);
  for (int i = 0; i < 20; ++i) {
    fixture.Submit("deposit", 60'000);
  }
  REQUIRE(fixture.IsStarted(fixture.Submit("browse", 300)));
}

// Guards against starvation of long work by a flood of short work.
TEST_CASE("Waiting long work gets the next slot")
{
  SchedulerFixture fixture(2);
  const JobId first = fixture.Submit("browse", 1000);
  fixture.Submit("browse", 1000);
  const JobId waiting = fixture.Submit("multi", 60'000);
  fixture.Submit("browse", 1000);
  fixture.Finish(first);
  REQUIRE(fixture.IsStarted(waiting));
}

// Guards against the slot that is guaranteed to long work: on a backend server
// with a single slot it would starve short work.
TEST_CASE("Long and short work alternate on a single slot")
{
  SchedulerFixture fixture(1);
  fixture.LearnServiceTime("multi", 1000, 1);
  fixture.LearnServiceTime("browse", 10);
  const JobId multi = fixture.Submit("multi", 60'000);
  fixture.Submit("multi", 60'000);
  const JobId browse = fixture.Submit("browse", 10'000);
  REQUIRE(fixture.IsStarted(multi));
  fixture.AdvanceClock(1000);
  fixture.Finish(multi);
  REQUIRE(fixture.IsStarted(browse));
}

// Guards against overloading a backend server whose caches are empty.
TEST_CASE("A cold backend server uses few slots at first")
{
  SchedulerFixture fixture(12);
  fixture.m_scheduler->SetBackend(12, fixture.m_now, true);
  REQUIRE(fixture.m_scheduler->Counters().m_slotLimit == 3);
  fixture.AdvanceClock(5000);
  REQUIRE(fixture.m_scheduler->Counters().m_slotLimit == 7);
  // Repeated announcements must not restart the ramp.
  fixture.m_scheduler->SetBackend(12, fixture.m_now, false);
  fixture.AdvanceClock(5000);
  REQUIRE(fixture.m_scheduler->Counters().m_slotLimit == 12);
}

// Guards against sending more work to a backend server that sheds it, against a
// collapse of the limit when many jobs are shed at once, and against a limit
// that stays low.
TEST_CASE("Shed load lowers the slot limit for a limited time")
{
  SchedulerFixture fixture(20);
  std::vector<JobId> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(fixture.Submit("browse", 1000));
  }
  for (const JobId id : jobs) {
    fixture.Finish(id, JobResult::kShed);
  }
  REQUIRE(fixture.m_scheduler->Counters().m_slotLimit == 18);
  fixture.AdvanceClock(3000);
  REQUIRE(fixture.m_scheduler->Counters().m_slotLimit == 20);
}

// Guards against callers that wait for a backend server that accepts no work.
TEST_CASE("Without slots all work is refused")
{
  SchedulerFixture fixture(1);
  fixture.Submit("browse", 1000);
  const JobId waiting = fixture.Submit("browse", 1000);
  fixture.m_scheduler->SetBackend(0, fixture.m_now, false);
  fixture.AdvanceClock(10);
  REQUIRE(fixture.Refusal(waiting).m_reason == RefusalReason::kDraining);
  const JobId next = fixture.Submit("browse", 1000);
  REQUIRE(fixture.Refusal(next).m_reason == RefusalReason::kDraining);
}

// Guards against losing jobs of an entry that is removed from the catalogue.
TEST_CASE("Removing an entry refuses its queue and lets running jobs finish")
{
  SchedulerFixture fixture(1);
  const JobId running = fixture.Submit("browse", 1000);
  const JobId waiting = fixture.Submit("browse", 1000);
  fixture.m_scheduler->SetLimits({ kDeposit });
  fixture.AdvanceClock(10);
  REQUIRE(fixture.Refusal(waiting).m_reason == RefusalReason::kUnknownEntry);
  fixture.Finish(running);
  REQUIRE(fixture.m_scheduler->Counters().m_running == 0);
  REQUIRE(fixture.IsRefused(fixture.Submit("browse", 1000)));
}

// Guards against an answer to a caller that has disconnected.
TEST_CASE("A cancelled job gets no action")
{
  SchedulerFixture fixture(1);
  const JobId running = fixture.Submit("browse", 1000);
  const JobId waiting = fixture.Submit("browse", 1000);
  REQUIRE(fixture.m_scheduler->CancelQueued(waiting));
  REQUIRE_FALSE(fixture.m_scheduler->CancelQueued(waiting));
  REQUIRE_FALSE(fixture.m_scheduler->CancelQueued(running));
  fixture.Finish(running);
  REQUIRE_FALSE(fixture.IsStarted(waiting));
  REQUIRE_FALSE(fixture.IsRefused(waiting));
}

} // namespace rattanloft::admission
