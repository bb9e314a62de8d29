#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "RateMeter.h"
#include "ServiceTimes.h"
#include "SlotLimit.h"
#include "rattanloft/admission/Scheduler.h"

namespace rattanloft::admission {

struct QueuedJob
{
  JobId m_id = 0;
  TimePoint m_submittedAt;
  TimePoint m_deadline;
};

// Position within an entry's queue: the order key of the strategy, then the
// arrival number.
using QueueKey = std::pair<int64_t, uint64_t>;

// Queue, limits and statistics of one catalogue entry.
struct EntryState
{
  EntryLimits m_limits;
  // The entry was removed from the catalogue while jobs of it wait or run.
  bool m_removed = false;
  std::map<QueueKey, QueuedJob> m_queue;
  uint32_t m_running = 0;
  ServiceTimes m_serviceTimes;
  RateMeter m_arrivals;
  // When the latest job of this entry started.
  TimePoint m_lastStartedAt;
  // Jobs of this entry hold a slot for long compared with those of other
  // entries.
  bool m_isLong = false;
};

struct RunningJob
{
  EntryState* m_entry = nullptr;
  TimePoint m_startedAt;
};

// Base class of all strategies: entries, queues, slots, and the bookkeeping
// that gives each job exactly one action.
class QueueScheduler : public Scheduler
{
public:
  void SetLimits(std::vector<EntryLimits> aEntries) override;
  void SetBackend(uint32_t aSlots, TimePoint aNow, bool aCold) override;
  std::vector<SchedulerAction> Submit(Job aJob, TimePoint aNow) override;
  std::vector<SchedulerAction> Finish(JobId aJob,
                                      JobResult aResult,
                                      TimePoint aNow) override;
  bool CancelQueued(JobId aJob) override;
  std::vector<SchedulerAction> Tick(TimePoint aNow) override;
  SchedulerCounters Counters() const override;

protected:
  using EntryList = std::vector<std::unique_ptr<EntryState>>;

  // Returns the order key of a job within its entry's queue, lowest first.
  virtual int64_t OrderKeyOf(const QueuedJob& aJob) const = 0;
  // Whether to queue a job. If not, sets aRetryAfter to the time after which a
  // new attempt has a chance.
  virtual bool Admits(const EntryState& aEntry,
                      const QueuedJob& aJob,
                      TimePoint aNow,
                      Duration& aRetryAfter) const = 0;
  // Whether the first job of a queue must be refused in place of a start.
  virtual bool IsTooLateToStart(const EntryState& aEntry,
                                const QueuedJob& aJob,
                                TimePoint aNow) const = 0;
  // Returns the entry whose first job starts next in a free slot, or null.
  // First jobs that are too late have already been refused.
  virtual EntryState* PickEntry(TimePoint aNow) = 0;
  virtual void OnTick(TimePoint, std::vector<SchedulerAction>&) {}
  // Called when entries were added or removed, or one has its first service
  // time.
  virtual void OnEntriesChanged() {}
  virtual Duration RetryAfter(const EntryState& aEntry,
                              TimePoint aNow) const = 0;

  // Whether the entry's own limit allows another running job.
  bool IsBelowInFlightLimit(const EntryState& aEntry) const;
  const EntryList& AllEntries() const { return m_entries; }
  uint32_t CurrentSlotLimit() const { return m_slotLimit.CurrentLimit(); }
  const std::unordered_map<JobId, RunningJob>& RunningJobs() const
  {
    return m_runningJobs;
  }
  void RefuseFirst(EntryState& aEntry,
                   RefusalReason aReason,
                   TimePoint aNow,
                   std::vector<SchedulerAction>& aActions);
  void RefuseLast(EntryState& aEntry,
                  RefusalReason aReason,
                  TimePoint aNow,
                  std::vector<SchedulerAction>& aActions);

private:
  EntryState* FindEntry(std::string_view aName) const;
  void Refuse(EntryState& aEntry,
              std::map<QueueKey, QueuedJob>::iterator aJob,
              RefusalReason aReason,
              TimePoint aNow,
              std::vector<SchedulerAction>& aActions);
  void Dispatch(TimePoint aNow, std::vector<SchedulerAction>& aActions);
  void StartFirst(EntryState& aEntry,
                  TimePoint aNow,
                  std::vector<SchedulerAction>& aActions);
  void RefuseLateJobs(TimePoint aNow, std::vector<SchedulerAction>& aActions);
  void RefuseAllQueued(EntryState& aEntry,
                       RefusalReason aReason,
                       TimePoint aNow,
                       std::vector<SchedulerAction>& aActions);
  void DropUnusedEntries();

  EntryList m_entries;
  std::unordered_map<std::string, EntryState*> m_entriesByName;
  std::unordered_map<JobId, std::pair<EntryState*, QueueKey>> m_queuedJobs;
  std::unordered_map<JobId, RunningJob> m_runningJobs;
  SlotLimit m_slotLimit;
  uint64_t m_arrivalCount = 0;
};

} // namespace rattanloft::admission
