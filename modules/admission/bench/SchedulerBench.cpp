#include "rattanloft/admission/Scheduler.h"

#include <chrono>
#include <vector>

#include <fmt/core.h>

namespace rattanloft::admission {

namespace {

constexpr int kRounds = 200'000;
constexpr int kQueued = 1000;

double
Seconds()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

// Keeps 1,000 jobs of four entries queued: each round finishes one job, which
// starts another, and submits one.
void
Measure(std::string_view aStrategy)
{
  const auto scheduler = Scheduler::Make(aStrategy);
  std::vector<EntryLimits> limits;
  for (int i = 0; i < 4; ++i) {
    limits.push_back(
      { fmt::format("entry{}", i),
        i == 3 ? WorkClass::kBulk : static_cast<WorkClass>(i / 2),
        0,
        kQueued });
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
  JobId last = 0;
  const auto submit = [&] {
    ++last;
    handle(scheduler->Submit(
      { last, limits[last % 4].m_entry, now + Milliseconds(600'000) }, now));
  };
  while (scheduler->Counters().m_queued < kQueued) {
    submit();
  }
  double submits = 0;
  double finishes = 0;
  double ticks = 0;
  for (int i = 0; i < kRounds; ++i) {
    now = now + Milliseconds(1);
    const double begun = Seconds();
    const JobId job = running[static_cast<size_t>(i) % running.size()];
    running[static_cast<size_t>(i) % running.size()] = running.back();
    running.pop_back();
    handle(scheduler->Finish(job, JobResult::kAnswered, now));
    const double finished = Seconds();
    submit();
    const double submitted = Seconds();
    finishes += finished - begun;
    submits += submitted - finished;
    if (i % 10 == 0) {
      handle(scheduler->Tick(now));
      ticks += Seconds() - submitted;
    }
  }
  fmt::print("{:8} with {} queued: submit {:.0f} ns, finish with start {:.0f} "
             "ns, tick {:.0f} ns (clock reads included)\n",
             aStrategy,
             scheduler->Counters().m_queued,
             submits * 1e9 / kRounds,
             finishes * 1e9 / kRounds,
             ticks * 1e10 / kRounds);
}

} // namespace

} // namespace rattanloft::admission

int
main()
{
  rattanloft::admission::Measure("deadline");
  rattanloft::admission::Measure("fifo");
  return 0;
}
