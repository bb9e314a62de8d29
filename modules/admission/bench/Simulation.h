#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "rattanloft/admission/Scheduler.h"

namespace rattanloft::admission {

// Jobs of one catalogue entry with their mean service time and arrival rate.
struct WorkKind
{
  EntryLimits m_limits;
  double m_meanMs = 0;
  int64_t m_deadlineMs = 0;
  double m_arrivalsPerSecond = 0;
};

// Results of the jobs of one kind, in numbers of jobs unless named otherwise.
struct KindResult
{
  uint64_t m_submitted = 0;
  // Submitted jobs whose deadline is before the end of the run.
  uint64_t m_dueBeforeEnd = 0;
  uint64_t m_dueAnsweredInTime = 0;
  uint64_t m_answeredInTime = 0;
  uint64_t m_refused = 0;
  // Started jobs that their deadline cut off.
  uint64_t m_cutOff = 0;
  // Only of the jobs answered in time.
  std::vector<double> m_latenciesMs;
  // Refused jobs that had waited for more than half of the time to their
  // deadline.
  uint64_t m_refusedLate = 0;
  std::vector<double> m_serviceTimesMs;

  double LatencyQuantileMs(double aShare)
  {
    if (m_latenciesMs.empty()) {
      return 0;
    }
    const auto at = m_latenciesMs.begin() +
                    static_cast<ptrdiff_t>(
                      aShare * static_cast<double>(m_latenciesMs.size() - 1));
    std::nth_element(m_latenciesMs.begin(), at, m_latenciesMs.end());
    return *at;
  }
};

// Simulates a backend server in virtual time with Poisson arrivals. Results
// cover the jobs that are submitted within the measured interval.
class Simulation
{
public:
  Simulation(std::string_view aStrategy,
             uint32_t aSlots,
             std::vector<WorkKind> aKinds,
             uint64_t aSeed)
    : m_scheduler(Scheduler::Make(aStrategy))
    , m_kinds(std::move(aKinds))
    , m_random(aSeed)
    , m_slots(aSlots)
  {
    std::vector<EntryLimits> limits;
    for (const WorkKind& kind : m_kinds) {
      limits.push_back(kind.m_limits);
    }
    m_scheduler->SetLimits(std::move(limits));
    m_scheduler->SetBackend(aSlots, TimePoint{ 0 }, false);
    m_results.resize(m_kinds.size());
  }

  // A spread of 0 gives each job of a kind the same service time. With the
  // default, 99 % of the times are within 2.1 times the mean.
  void SetServiceTimeSpread(double aSpread) { m_serviceTimeSpread = aSpread; }

  // Runs until aSeconds and measures from aMeasuredFromSeconds. aRateFactor
  // scales the arrival rates by the time in seconds; it is at most
  // aMaxRateFactor.
  void Run(double aSeconds,
           double aMeasuredFromSeconds,
           const std::function<double(double)>& aRateFactor,
           double aMaxRateFactor)
  {
    m_measuredFromUs = static_cast<int64_t>(aMeasuredFromSeconds * 1e6);
    m_endUs = static_cast<int64_t>(aSeconds * 1e6);
    for (size_t i = 0; i < m_kinds.size(); ++i) {
      ScheduleArrival(0, i, aMaxRateFactor);
    }
    m_events.push({ 10'000, EventKind::kTick, 0, 0 });
    while (!m_events.empty() && m_events.top().m_atUs <= m_endUs) {
      const Event event = m_events.top();
      m_events.pop();
      m_nowUs = event.m_atUs;
      switch (event.m_kind) {
        case EventKind::kArrival:
          ScheduleArrival(m_nowUs, event.m_index, aMaxRateFactor);
          if (Uniform() * aMaxRateFactor <
              aRateFactor(static_cast<double>(m_nowUs) / 1e6)) {
            Arrive(event.m_index);
          }
          break;
        case EventKind::kFinish:
          Finish(event.m_job);
          break;
        case EventKind::kTick:
          m_events.push({ m_nowUs + 10'000, EventKind::kTick, 0, 0 });
          Handle(m_scheduler->Tick(ToTimePoint(m_nowUs)));
          break;
      }
    }
  }

  std::vector<KindResult>& Results() { return m_results; }
  const std::vector<KindResult>& Results() const { return m_results; }

  uint64_t AnsweredInTime() const
  {
    return std::accumulate(m_results.begin(),
                           m_results.end(),
                           uint64_t{ 0 },
                           [](uint64_t aSum, const KindResult& aResult) {
                             return aSum + aResult.m_answeredInTime;
                           });
  }
  // The largest number of jobs whose service times fit into the measured
  // interval: the shortest ones. An upper bound for any schedule.
  uint64_t MaxJobsInAnyOrder(double aSlotsForOtherWork = 0) const
  {
    std::vector<double> serviceTimesMs;
    for (const KindResult& result : m_results) {
      serviceTimesMs.insert(serviceTimesMs.end(),
                            result.m_serviceTimesMs.begin(),
                            result.m_serviceTimesMs.end());
    }
    std::sort(serviceTimesMs.begin(), serviceTimesMs.end());
    return CountFitting(serviceTimesMs, aSlotsForOtherWork);
  }
  // The same for schedules that know the kind of a job but not its own service
  // time. The kinds must be in order of their means.
  uint64_t MaxJobsInKindOrder() const
  {
    std::vector<double> serviceTimesMs;
    for (const KindResult& result : m_results) {
      serviceTimesMs.insert(serviceTimesMs.end(),
                            result.m_serviceTimesMs.begin(),
                            result.m_serviceTimesMs.end());
    }
    return CountFitting(serviceTimesMs, 0);
  }
  // Latency quantile in ms over all kinds but the last, which is the long one.
  double ShortWorkLatencyQuantileMs(double aShare) const
  {
    KindResult all;
    for (size_t i = 0; i + 1 < m_results.size(); ++i) {
      const auto& latenciesMs = m_results[i].m_latenciesMs;
      all.m_latenciesMs.insert(
        all.m_latenciesMs.end(), latenciesMs.begin(), latenciesMs.end());
    }
    return all.LatencyQuantileMs(aShare);
  }

private:
  uint64_t CountFitting(const std::vector<double>& aServiceTimesMs,
                        double aSlotsForOtherWork) const
  {
    double leftMs = (m_slots - aSlotsForOtherWork) *
                    static_cast<double>(m_endUs - m_measuredFromUs) / 1e3;
    uint64_t count = 0;
    for (const double serviceMs : aServiceTimesMs) {
      leftMs -= serviceMs;
      if (leftMs < 0) {
        break;
      }
      ++count;
    }
    return count;
  }

  enum class EventKind
  {
    kArrival,
    kFinish,
    kTick,
  };
  struct Event
  {
    int64_t m_atUs;
    EventKind m_kind;
    size_t m_index;
    JobId m_job;
    bool operator<(const Event& aOther) const { return m_atUs > aOther.m_atUs; }
  };
  struct SubmittedJob
  {
    size_t m_kind;
    int64_t m_atUs;
    int64_t m_deadlineUs;
    double m_serviceMs;
    int64_t m_startedAtUs = 0;
  };

  static TimePoint ToTimePoint(int64_t aMicroseconds)
  {
    return { aMicroseconds / 1000 };
  }
  double Uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  double Exponential() { return -std::log(1 - Uniform()); }

  void ScheduleArrival(int64_t aFromUs, size_t aKind, double aMaxRateFactor)
  {
    const double rate = m_kinds[aKind].m_arrivalsPerSecond * aMaxRateFactor;
    const auto gapUs = static_cast<int64_t>(Exponential() / rate * 1e6);
    m_events.push({ aFromUs + gapUs, EventKind::kArrival, aKind, 0 });
  }

  void Arrive(size_t aKind)
  {
    const WorkKind& kind = m_kinds[aKind];
    const double serviceMs =
      kind.m_meanMs *
      (1 - m_serviceTimeSpread + m_serviceTimeSpread * Exponential());
    const JobId id = ++m_lastId;
    m_openJobs[id] = {
      aKind, m_nowUs, m_nowUs + kind.m_deadlineMs * 1000, serviceMs
    };
    if (m_nowUs >= m_measuredFromUs) {
      ++m_results[aKind].m_submitted;
      m_results[aKind].m_dueBeforeEnd +=
        m_openJobs[id].m_deadlineUs <= m_endUs ? 1 : 0;
      m_results[aKind].m_serviceTimesMs.push_back(serviceMs);
    }
    Handle(m_scheduler->Submit(
      { id,
        kind.m_limits.m_entry,
        ToTimePoint(m_nowUs) + Milliseconds(kind.m_deadlineMs) },
      ToTimePoint(m_nowUs)));
  }

  void Handle(const std::vector<SchedulerAction>& aActions)
  {
    for (const SchedulerAction& action : aActions) {
      const auto found = m_openJobs.find(action.m_job);
      SubmittedJob& job = found->second;
      if (action.m_kind == SchedulerActionKind::kStart) {
        // The node cuts off a request at its deadline.
        job.m_startedAtUs = m_nowUs;
        const auto end =
          m_nowUs + static_cast<int64_t>(std::max(1.0, job.m_serviceMs * 1000));
        m_events.push({ std::min(end, std::max(job.m_deadlineUs, m_nowUs)),
                        EventKind::kFinish,
                        end <= job.m_deadlineUs,
                        action.m_job });
        continue;
      }
      if (job.m_atUs >= m_measuredFromUs) {
        ++m_results[job.m_kind].m_refused;
        m_results[job.m_kind].m_refusedLate +=
          2 * (m_nowUs - job.m_atUs) > job.m_deadlineUs - job.m_atUs ? 1 : 0;
      }
      m_openJobs.erase(found);
    }
  }

  void Finish(JobId aJob)
  {
    const auto found = m_openJobs.find(aJob);
    const SubmittedJob job = found->second;
    m_openJobs.erase(found);
    const bool inTime =
      m_nowUs >=
      job.m_startedAtUs + static_cast<int64_t>(job.m_serviceMs * 1000);
    if (job.m_atUs >= m_measuredFromUs) {
      KindResult& result = m_results[job.m_kind];
      ++(inTime ? result.m_answeredInTime : result.m_cutOff);
      if (inTime) {
        result.m_dueAnsweredInTime += job.m_deadlineUs <= m_endUs ? 1 : 0;
        result.m_latenciesMs.push_back(
          static_cast<double>(m_nowUs - job.m_atUs) / 1e3);
      }
    }
    Handle(
      m_scheduler->Finish(aJob,
                          inTime ? JobResult::kAnswered : JobResult::kCancelled,
                          ToTimePoint(m_nowUs)));
  }

  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<WorkKind> m_kinds;
  std::vector<KindResult> m_results;
  std::mt19937_64 m_random;
  uint32_t m_slots;
  double m_serviceTimeSpread = 0.3;
  std::priority_queue<Event> m_events;
  std::map<JobId, SubmittedJob> m_openJobs;
  JobId m_lastId = 0;
  int64_t m_nowUs = 0;
  int64_t m_measuredFromUs = 0;
  int64_t m_endUs = 0;
};

// Work mixes of the two teams at a load of 1: each kind takes the given share
// of the time of the slots.
inline std::vector<WorkKind>
CakeStandHireMix(uint32_t aSlots, double aLongWorkShare = 0.15)
{
  const double slots = aSlots * 1000.0;
  return {
    { { "browse", WorkClass::kInteractive, 0, 500 }, 8, 300, slots * 0.40 / 8 },
    { { "deposit", WorkClass::kPrompt, 0, 200 }, 40, 2000, slots * 0.25 / 40 },
    { { "dispatch", WorkClass::kPrompt, 0, 200 }, 60, 2000, slots * 0.20 / 60 },
    { { "multi", WorkClass::kBulk, 0, 100 },
      1500,
      10'000,
      slots * aLongWorkShare / 1500 },
  };
}

inline std::vector<WorkKind>
LabelAuthorityMix(uint32_t aSlots, double aLongWorkShare = 0.40)
{
  const double slots = aSlots * 1000.0;
  return {
    { { "status", WorkClass::kInteractive, 0, 500 }, 6, 300, slots * 0.30 / 6 },
    { { "cut", WorkClass::kPrompt, 0, 200 }, 50, 2000, slots * 0.30 / 50 },
    { { "plotter", WorkClass::kBulk, 0, 100 },
      4000,
      60'000,
      slots * aLongWorkShare / 4000 },
  };
}

} // namespace rattanloft::admission
