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

// Order within an entry's queue: a strategy's key, then arrival.
using QueueKey = std::pair<int64_t, uint64_t>;

struct Entry
{
  EntryLimits m_limits;
  // Removed from the catalogue while jobs of it wait or run.
  bool m_removed = false;
  std::map<QueueKey, QueuedJob> m_queue;
  uint32_t m_running = 0;
  ServiceTimes m_times;
  RateMeter m_arrivals;
  TimePoint m_startedAt;
  // Holds a slot for long compared with other entries.
  bool m_long = false;
};

struct RunningJob
{
  Entry* m_entry = nullptr;
  TimePoint m_startedAt;
};

// What all strategies share: entries, queues, slots and the bookkeeping that
// gives each job exactly one action.
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
  using Entries = std::vector<std::unique_ptr<Entry>>;

  // Orders jobs within an entry's queue.
  virtual int64_t KeyOf(const QueuedJob& aJob) const = 0;
  // Whether to queue a job. If not, sets aRetryAfter.
  virtual bool Admits(const Entry& aEntry,
                      const QueuedJob& aJob,
                      TimePoint aNow,
                      Duration& aRetryAfter) const = 0;
  // Whether the first job of a queue has to be refused in place of a start.
  virtual bool IsLate(const Entry& aEntry,
                      const QueuedJob& aJob,
                      TimePoint aNow) const = 0;
  // The entry whose first job starts next in a free slot, or null. Late first
  // jobs have been refused before.
  virtual Entry* Pick(TimePoint aNow) = 0;
  virtual void OnTick(TimePoint, std::vector<SchedulerAction>&) {}
  // Entries were added or removed, or one has its first service time.
  virtual void OnEntriesChanged() {}
  virtual Duration RetryAfter(const Entry& aEntry, TimePoint aNow) const = 0;

  bool HasRoom(const Entry& aEntry) const;
  const Entries& AllEntries() const { return m_entries; }
  uint32_t Limit() const { return m_slots.Current(); }
  const std::unordered_map<JobId, RunningJob>& Running() const
  {
    return m_running;
  }
  void RefuseFirst(Entry& aEntry,
                   RefusalReason aReason,
                   TimePoint aNow,
                   std::vector<SchedulerAction>& aActions);
  void RefuseLast(Entry& aEntry,
                  RefusalReason aReason,
                  TimePoint aNow,
                  std::vector<SchedulerAction>& aActions);

private:
  Entry* FindEntry(std::string_view aName) const;
  void Refuse(Entry& aEntry,
              std::map<QueueKey, QueuedJob>::iterator aJob,
              RefusalReason aReason,
              TimePoint aNow,
              std::vector<SchedulerAction>& aActions);
  void Dispatch(TimePoint aNow, std::vector<SchedulerAction>& aActions);
  void StartFirst(Entry& aEntry,
                  TimePoint aNow,
                  std::vector<SchedulerAction>& aActions);
  void RefuseLate(TimePoint aNow, std::vector<SchedulerAction>& aActions);
  void RefuseAll(Entry& aEntry,
                 RefusalReason aReason,
                 TimePoint aNow,
                 std::vector<SchedulerAction>& aActions);
  void DropUnusedEntries();

  Entries m_entries;
  std::unordered_map<std::string, Entry*> m_byName;
  std::unordered_map<JobId, std::pair<Entry*, QueueKey>> m_queued;
  std::unordered_map<JobId, RunningJob> m_running;
  SlotLimit m_slots;
  uint64_t m_arrival = 0;
};

} // namespace rattanloft::admission
