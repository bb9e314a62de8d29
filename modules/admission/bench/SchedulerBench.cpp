#include "rattanloft/admission/Scheduler.h"

#include <chrono>
#include <vector>

#include <fmt/core.h>

namespace rattanloft::admission {

namespace {

constexpr int kRoundCount = 200'000;
constexpr int kQueuedJobs = 1000;

double
NowInSeconds()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

// Measures one strategy with 1,000 queued jobs of four entries: each round
// finishes one job, which starts another, and submits one.
void
MeasureStrategy(std::string_view aStrategy)
{
  const auto scheduler = Scheduler::Make(aStrategy);
  std::vector<EntryLimits> limits;
  for (int i = 0; i < 4; ++i) {
    limits.push_back(
      { fmt::format("entry{}", i),
        i == 3 ? WorkClass::kBulk : static_cast<WorkClass>(i / 2),
        0,
        kQueuedJobs });
  }
  scheduler->SetLimits(limits);
  TimePoint now{ 1000 };
  scheduler->SetBackend(12, now, false);
  std::vector<JobId> running;
  const auto handle = [&](const std::vector<SchedulerAction>& aActions) {
    for (const SchedulerAction& action : aActions) {
      if (action.m_kind == SchedulerActionKind::kStart) {
        running.push_back(action.m_job);
      }
    }
  };
  JobId lastId = 0;
  const auto submit = [&] {
    ++lastId;
    handle(scheduler->Submit(
      { lastId, limits[lastId % 4].m_entry, now + Milliseconds(600'000) },
      now));
  };
  while (scheduler->Counters().m_queued < kQueuedJobs) {
    submit();
  }
  double submitSeconds = 0;
  double finishSeconds = 0;
  double tickSeconds = 0;
  for (int i = 0; i < kRoundCount; ++i) {
    now = now + Milliseconds(1);
    const double startedAt = NowInSeconds();
    const JobId job = running[static_cast<size_t>(i) % running.size()];
    running[static_cast<size_t>(i) % running.size()] = running.back();
    running.pop_back();
    handle(scheduler->Finish(job, JobResult::kAnswered, now));
    const double finishedAt = NowInSeconds();
    submit();
    const double submittedAt = NowInSeconds();
    finishSeconds += finishedAt - startedAt;
    submitSeconds += submittedAt - finishedAt;
    if (i % 10 == 0) {
      handle(scheduler->Tick(now));
      tickSeconds += NowInSeconds() - submittedAt;
    }
  }
  fmt::print("{:8} with {} queued: submit {:.0f} ns, finish with start {:.0f} "
             "ns, tick {:.0f} ns (clock reads included)\n",
             aStrategy,
             scheduler->Counters().m_queued,
             submitSeconds * 1e9 / kRoundCount,
             finishSeconds * 1e9 / kRoundCount,
             tickSeconds * 1e10 / kRoundCount);
}

} // namespace

} // namespace rattanloft::admission

int
main()
{
  rattanloft::admission::MeasureStrategy("deadline");
  rattanloft::admission::MeasureStrategy("fifo");
  return 0;
}
