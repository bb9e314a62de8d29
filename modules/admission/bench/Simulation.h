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

struct WorkKind
{
  EntryLimits m_limits;
  double m_meanMs = 0;
  int64_t m_deadlineMs = 0;
  double m_perSecond = 0;
};

struct KindResult
{
  uint64_t m_submitted = 0;
  // Submitted with a deadline before the end of the run.
  uint64_t m_due = 0;
  uint64_t m_dueInTime = 0;
  uint64_t m_inTime = 0;
  uint64_t m_refused = 0;
  // Started, but not finished by its deadline.
  uint64_t m_wasted = 0;
  // In ms, of the jobs answered in time.
  std::vector<double> m_latencies;
  // Refused after more than half of the time to the deadline had passed.
  uint64_t m_refusedLate = 0;
  std::vector<double> m_services;

  double Quantile(double aShare)
  {
    if (m_latencies.empty()) {
      return 0;
    }
    const auto at = m_latencies.begin() +
                    static_cast<ptrdiff_t>(
                      aShare * static_cast<double>(m_latencies.size() - 1));
    std::nth_element(m_latencies.begin(), at, m_latencies.end());
    return *at;
  }
};

// A backend server in virtual time with Poisson arrivals. Measures jobs that
// are submitted and answered within the measured interval.
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

  // 0 gives each job of a kind the same service time. With the default, 99 % of
  // the times are within 2.1 times the mean.
  void SetSpread(double aSpread) { m_spread = aSpread; }

  // aFactor scales the arrival rates over time in seconds; at most aMaxFactor.
  void Run(double aSeconds,
           double aMeasureFrom,
           const std::function<double(double)>& aFactor,
           double aMaxFactor)
  {
    m_measureFrom = static_cast<int64_t>(aMeasureFrom * 1e6);
    m_end = static_cast<int64_t>(aSeconds * 1e6);
    for (size_t i = 0; i < m_kinds.size(); ++i) {
      ScheduleArrival(0, i, aMaxFactor);
    }
    m_events.push({ 10'000, EventKind::kTick, 0, 0 });
    while (!m_events.empty() && m_events.top().m_at <= m_end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      switch (event.m_kind) {
        case EventKind::kArrival:
          ScheduleArrival(m_now, event.m_index, aMaxFactor);
          if (Uniform() * aMaxFactor <
              aFactor(static_cast<double>(m_now) / 1e6)) {
            Arrive(event.m_index);
          }
          break;
        case EventKind::kFinish:
          Finish(event.m_job);
          break;
        case EventKind::kTick:
          m_events.push({ m_now + 10'000, EventKind::kTick, 0, 0 });
          Handle(m_scheduler->Tick(Ms(m_now)));
          break;
      }
    }
  }

  std::vector<KindResult>& Results() { return m_results; }
  const std::vector<KindResult>& Results() const { return m_results; }

  uint64_t InTime() const
  {
    return std::accumulate(m_results.begin(),
                           m_results.end(),
                           uint64_t{ 0 },
                           [](uint64_t aSum, const KindResult& aResult) {
                             return aSum + aResult.m_inTime;
                           });
  }
  // The most jobs whose service fits into the measured interval: the shortest
  // ones. An upper bound for any schedule.
  uint64_t MostPossible(double aSlotsForOthers = 0) const
  {
    std::vector<double> services;
    for (const KindResult& result : m_results) {
      services.insert(
        services.end(), result.m_services.begin(), result.m_services.end());
    }
    std::sort(services.begin(), services.end());
    return CountFitting(services, aSlotsForOthers);
  }
  // The same for schedules that know the kind of a job but not its own service
  // time. Kinds are in order of their means.
  uint64_t MostPossibleByKind() const
  {
    std::vector<double> services;
    for (const KindResult& result : m_results) {
      services.insert(
        services.end(), result.m_services.begin(), result.m_services.end());
    }
    return CountFitting(services, 0);
  }
  // Latency in ms of all kinds but the last, which is the long one.
  double ShortQuantile(double aShare) const
  {
    KindResult all;
    for (size_t i = 0; i + 1 < m_results.size(); ++i) {
      const auto& latencies = m_results[i].m_latencies;
      all.m_latencies.insert(
        all.m_latencies.end(), latencies.begin(), latencies.end());
    }
    return all.Quantile(aShare);
  }

private:
  uint64_t CountFitting(const std::vector<double>& aServices,
                        double aSlotsForOthers) const
  {
    double left = (m_slots - aSlotsForOthers) *
                  static_cast<double>(m_end - m_measureFrom) / 1e3;
    uint64_t count = 0;
    for (const double service : aServices) {
      left -= service;
      if (left < 0) {
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
    int64_t m_at;
    EventKind m_kind;
    size_t m_index;
    JobId m_job;
    bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
  };
  struct Submitted
  {
    size_t m_kind;
    int64_t m_at;
    int64_t m_deadline;
    double m_serviceMs;
    int64_t m_startedAt = 0;
  };

  static TimePoint Ms(int64_t aMicros) { return { aMicros / 1000 }; }
  double Uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  double Exponential() { return -std::log(1 - Uniform()); }

  void ScheduleArrival(int64_t aFrom, size_t aKind, double aMaxFactor)
  {
    const double rate = m_kinds[aKind].m_perSecond * aMaxFactor;
    const auto gap = static_cast<int64_t>(Exponential() / rate * 1e6);
    m_events.push({ aFrom + gap, EventKind::kArrival, aKind, 0 });
  }

  void Arrive(size_t aKind)
  {
    const WorkKind& kind = m_kinds[aKind];
    const double service =
      kind.m_meanMs * (1 - m_spread + m_spread * Exponential());
    const JobId id = ++m_lastId;
    m_jobs[id] = { aKind, m_now, m_now + kind.m_deadlineMs * 1000, service };
    if (m_now >= m_measureFrom) {
      ++m_results[aKind].m_submitted;
      m_results[aKind].m_due += m_jobs[id].m_deadline <= m_end ? 1 : 0;
      m_results[aKind].m_services.push_back(service);
    }
    Handle(m_scheduler->Submit({ id,
                                 kind.m_limits.m_entry,
                                 Ms(m_now) + Milliseconds(kind.m_deadlineMs) },
                               Ms(m_now)));
  }

  void Handle(const std::vector<SchedulerAction>& aActions)
  {
    for (const SchedulerAction& action : aActions) {
      const auto found = m_jobs.find(action.m_job);
      Submitted& job = found->second;
      if (action.m_kind == SchedulerActionKind::kStart) {
        // The node cuts a request off at its deadline.
        job.m_startedAt = m_now;
        const auto end =
          m_now + static_cast<int64_t>(std::max(1.0, job.m_serviceMs * 1000));
        m_events.push({ std::min(end, std::max(job.m_deadline, m_now)),
                        EventKind::kFinish,
                        end <= job.m_deadline,
                        action.m_job });
        continue;
      }
      if (job.m_at >= m_measureFrom) {
        ++m_results[job.m_kind].m_refused;
        m_results[job.m_kind].m_refusedLate +=
          2 * (m_now - job.m_at) > job.m_deadline - job.m_at ? 1 : 0;
      }
      m_jobs.erase(found);
    }
  }

  void Finish(JobId aJob)
  {
    const auto found = m_jobs.find(aJob);
    const Submitted job = found->second;
    m_jobs.erase(found);
    const bool inTime =
      m_now >= job.m_startedAt + static_cast<int64_t>(job.m_serviceMs * 1000);
    if (job.m_at >= m_measureFrom) {
      KindResult& result = m_results[job.m_kind];
      ++(inTime ? result.m_inTime : result.m_wasted);
      if (inTime) {
        result.m_dueInTime += job.m_deadline <= m_end ? 1 : 0;
        result.m_latencies.push_back(static_cast<double>(m_now - job.m_at) /
                                     1e3);
      }
    }
    Handle(m_scheduler->Finish(
      aJob, inTime ? JobResult::kAnswered : JobResult::kCancelled, Ms(m_now)));
  }

  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<WorkKind> m_kinds;
  std::vector<KindResult> m_results;
  std::mt19937_64 m_random;
  uint32_t m_slots;
  double m_spread = 0.3;
  std::priority_queue<Event> m_events;
  std::map<JobId, Submitted> m_jobs;
  JobId m_lastId = 0;
  int64_t m_now = 0;
  int64_t m_measureFrom = 0;
  int64_t m_end = 0;
};

// Work of the two users at a load of 1: the given share of the slots' time goes
// to each kind.
inline std::vector<WorkKind>
CakeStandHire(uint32_t aSlots, double aLongShare = 0.15)
{
  const double slots = aSlots * 1000.0;
  return {
    { { "browse", WorkClass::kInteractive, 0, 500 }, 8, 300, slots * 0.40 / 8 },
    { { "deposit", WorkClass::kPrompt, 0, 200 }, 40, 2000, slots * 0.25 / 40 },
    { { "dispatch", WorkClass::kPrompt, 0, 200 }, 60, 2000, slots * 0.20 / 60 },
    { { "multi", WorkClass::kBulk, 0, 100 },
      1500,
      10'000,
      slots * aLongShare / 1500 },
  };
}

inline std::vector<WorkKind>
LabelAuthority(uint32_t aSlots, double aLongShare = 0.40)
{
  const double slots = aSlots * 1000.0;
  return {
    { { "status", WorkClass::kInteractive, 0, 500 }, 6, 300, slots * 0.30 / 6 },
    { { "cut", WorkClass::kPrompt, 0, 200 }, 50, 2000, slots * 0.30 / 50 },
    { { "plotter", WorkClass::kBulk, 0, 100 },
      4000,
      60'000,
      slots * aLongShare / 4000 },
  };
}

} // namespace rattanloft::admission
