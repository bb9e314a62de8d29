#include "Simulation.h"

#include <catch2/catch.hpp>

namespace rattanloft::admission {

namespace {

// A submitted job that has neither finished nor been refused or cancelled.
struct JobState
{
  size_t m_entry;
  TimePoint m_deadline;
  bool m_running = false;
};

// Calls a scheduler at random and checks its invariants after each call.
class RandomRun
{
public:
  RandomRun(std::string_view aStrategy, uint64_t aSeed)
    : m_usesDeadlines(aStrategy == "deadline")
    , m_scheduler(Scheduler::Make(aStrategy))
    , m_random(aSeed)
  {
    ChangeLimits();
    ChangeSlots();
  }

  void Step()
  {
    m_now = m_now + Milliseconds(static_cast<int64_t>(RandomBelow(4)));
    const uint64_t choice = RandomBelow(100);
    if (choice < 45) {
      Submit();
    } else if (choice < 80) {
      FinishFirstRunning();
    } else if (choice < 84) {
      CancelFirstQueued();
    } else if (choice < 99) {
      HandleActions(m_scheduler->Tick(m_now));
    } else if (RandomBelow(4) == 0) {
      ChangeSlots();
    } else if (RandomBelow(4) == 0) {
      ChangeLimits();
    }
    CheckCounters();
  }

  // Finishes all running jobs and lets all deadlines pass, after which no job
  // may be left.
  void FinishAllJobs()
  {
    m_now = m_now + Seconds(100);
    HandleActions(m_scheduler->Tick(m_now));
    while (m_running > 0) {
      FinishFirstRunning();
    }
    HandleActions(m_scheduler->Tick(m_now));
    REQUIRE(m_jobs.empty());
  }

  uint64_t m_startedCount = 0;
  uint64_t m_refusedCount = 0;

private:
  static constexpr size_t kEntryCount = 5;

  uint64_t RandomBelow(uint64_t aBound) { return m_random() % aBound; }

  void ChangeLimits()
  {
    m_limits.clear();
    for (size_t i = 0; i < kEntryCount; ++i) {
      m_limits.push_back({ "entry" + std::to_string(i),
                           static_cast<WorkClass>(i % 3),
                           static_cast<uint32_t>(RandomBelow(4)),
                           static_cast<uint32_t>(1 + RandomBelow(20)) });
    }
    m_scheduler->SetLimits(m_limits);
  }
  void ChangeSlots()
  {
    m_scheduler->SetBackend(
      static_cast<uint32_t>(RandomBelow(9)), m_now, RandomBelow(2) == 0);
  }

  void Submit()
  {
    const size_t entry = RandomBelow(kEntryCount);
    const JobId id = ++m_lastId;
    const auto budget =
      static_cast<int64_t>(RandomBelow(entry == 2 ? 2000 : 200));
    m_jobs[id] = { entry, m_now + Milliseconds(budget) };
    ++m_queuedOfEntry[entry];
    HandleActions(m_scheduler->Submit(
      { id, m_limits[entry].m_entry, m_now + Milliseconds(budget) }, m_now));
  }
  void FinishFirstRunning()
  {
    const auto at =
      std::find_if(m_jobs.begin(), m_jobs.end(), [](const auto& aJob) {
        return aJob.second.m_running;
      });
    if (at == m_jobs.end()) {
      return;
    }
    const JobId id = at->first;
    --m_running;
    --m_runningOfEntry[at->second.m_entry];
    m_jobs.erase(at);
    HandleActions(
      m_scheduler->Finish(id, static_cast<JobResult>(RandomBelow(4)), m_now));
  }
  void CancelFirstQueued()
  {
    const auto at =
      std::find_if(m_jobs.begin(), m_jobs.end(), [](const auto& aJob) {
        return !aJob.second.m_running;
      });
    if (at != m_jobs.end()) {
      REQUIRE(m_scheduler->CancelQueued(at->first));
      --m_queuedOfEntry[at->second.m_entry];
      m_jobs.erase(at);
    }
  }

  void HandleActions(const std::vector<SchedulerAction>& aActions)
  {
    for (const SchedulerAction& action : aActions) {
      const auto at = m_jobs.find(action.m_job);
      // An action for a job that is no longer open would be a second one.
      REQUIRE(at != m_jobs.end());
      JobState& job = at->second;
      REQUIRE_FALSE(job.m_running);
      --m_queuedOfEntry[job.m_entry];
      if (action.m_kind == SchedulerActionKind::kRefuse) {
        REQUIRE(action.m_retryAfter > Duration{});
        ++m_refusedCount;
        m_jobs.erase(at);
        continue;
      }
      ++m_startedCount;
      REQUIRE(m_now < job.m_deadline);
      job.m_running = true;
      ++m_running;
      ++m_runningOfEntry[job.m_entry];
      const EntryLimits& limits = m_limits[job.m_entry];
      REQUIRE((limits.m_maxInFlight == 0 ||
               m_runningOfEntry[job.m_entry] <= limits.m_maxInFlight));
      REQUIRE(m_running <= m_scheduler->Counters().m_slotLimit);
      if (m_usesDeadlines && limits.m_class == WorkClass::kBulk) {
        const uint32_t slots = m_scheduler->Counters().m_slotLimit;
        const uint32_t reserved = std::max(1U, slots / 4);
        REQUIRE(m_runningOfEntry[job.m_entry] <=
                std::max(1U, slots - std::min(slots, reserved)));
      }
    }
  }

  void CheckCounters() const
  {
    const SchedulerCounters counters = m_scheduler->Counters();
    REQUIRE(counters.m_running == m_running);
    REQUIRE(counters.m_queued == m_jobs.size() - m_running);
  }

  bool m_usesDeadlines;
  std::unique_ptr<Scheduler> m_scheduler;
  std::mt19937_64 m_random;
  std::vector<EntryLimits> m_limits;
  std::map<JobId, JobState> m_jobs;
  std::map<size_t, uint32_t> m_runningOfEntry;
  std::map<size_t, uint32_t> m_queuedOfEntry;
  uint32_t m_running = 0;
  TimePoint m_now{ 5000 };
  JobId m_lastId = 0;
};

} // namespace

// Guards against a job with no action or two, limits that are exceeded, and
// starts after the deadline, for any order of calls.
TEST_CASE("Random calls keep the limits and give each job one action")
{
  const auto* const strategy = GENERATE("deadline", "fifo");
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(strategy, seed);
    RandomRun run(strategy, seed);
    for (int i = 0; i < 5000; ++i) {
      run.Step();
    }
    run.FinishAllJobs();
    REQUIRE(run.m_startedCount > 100);
    REQUIRE(run.m_refusedCount > 100);
  }
}

// Guards against a collapse at the crest of a demand swing: in plain order of
// arrival most work would be answered too late.
TEST_CASE("At 1.75 times capacity nearly as much is answered as possible")
{
  const uint64_t seed = GENERATE(1, 2, 3);
  const auto crest = [](double aSecond) {
    return 1.75 * (0.2 + 0.8 * std::clamp((aSecond - 5) / 2, 0.0, 1.0));
  };
  Simulation hire("deadline", 12, CakeStandHireMix(12), seed);
  hire.Run(25, 5, crest, 1.75);
  REQUIRE(double(hire.AnsweredInTime()) / double(hire.MaxJobsInKindOrder()) >
          0.94);
  Simulation label("deadline", 6, LabelAuthorityMix(6), seed);
  label.Run(25, 5, crest, 1.75);
  REQUIRE(double(label.AnsweredInTime()) / double(label.MaxJobsInKindOrder()) >
          0.93);
  for (const auto* run : { &hire, &label }) {
    for (const KindResult& result : run->Results()) {
      REQUIRE(double(result.m_cutOff) <= 2 + 0.01 * double(result.m_submitted));
    }
  }
}

// Guards against starting work that can no longer be answered in time: with
// service times that are known exactly, no job is cut off by its deadline.
TEST_CASE("No job is started too late for its deadline")
{
  const auto steep = [](double aSecond) { return aSecond < 5 ? 0.3 : 3.0; };
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Simulation run("deadline", 12, CakeStandHireMix(12), seed);
    run.SetServiceTimeSpread(0);
    run.Run(20, 3, steep, 3.0);
    for (const KindResult& result : run.Results()) {
      REQUIRE(result.m_cutOff == 0);
    }
  }
}

// Guards against short work that queues behind long jobs (head-of-line
// blocking), and against protecting it by starving the long jobs.
TEST_CASE("Long work hardly delays short work at half load")
{
  const auto half = [](double) { return 0.5; };
  Simulation with("deadline", 6, LabelAuthorityMix(6), 5);
  with.Run(310, 10, half, 0.5);
  Simulation without("deadline", 6, LabelAuthorityMix(6, 1e-9), 5);
  without.Run(310, 10, half, 0.5);
  REQUIRE(with.ShortWorkLatencyQuantileMs(0.99) <
          1.2 * without.ShortWorkLatencyQuantileMs(0.99));
  const KindResult& plotter = with.Results().back();
  REQUIRE(plotter.m_dueBeforeEnd > 50);
  REQUIRE(plotter.m_dueAnsweredInTime == plotter.m_dueBeforeEnd);
}

} // namespace rattanloft::admission
