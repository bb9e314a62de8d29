#pragma once

#include "QueueScheduler.h"

namespace rattanloft::admission {

// Runs jobs by class, and within a class by earliest deadline first. Refuses
// jobs early whose deadline cannot be met, and keeps slots free for short work.
class DeadlineScheduler final : public QueueScheduler
{
protected:
  int64_t OrderKeyOf(const QueuedJob& aJob) const override
  {
    return aJob.m_deadline.m_ms;
  }
  bool Admits(const EntryState& aEntry,
              const QueuedJob& aJob,
              TimePoint aNow,
              Duration& aRetryAfter) const override;
  bool IsTooLateToStart(const EntryState& aEntry,
                        const QueuedJob& aJob,
                        TimePoint aNow) const override;
  EntryState* PickEntry(TimePoint aNow) override;
  void OnTick(TimePoint aNow, std::vector<SchedulerAction>& aActions) override;
  void OnEntriesChanged() override;
  Duration RetryAfter(const EntryState& aEntry, TimePoint aNow) const override;

private:
  // Service time in milliseconds that a job must have left before its deadline,
  // from the learned times.
  double RequiredMs(const EntryState& aEntry, const QueuedJob& aJob) const;
  // Whether a job may run although its deadline looks unreachable, to correct
  // the learned times.
  bool MayProbe(const EntryState& aEntry, TimePoint aNow) const;
  // Milliseconds until a job of this entry with this deadline would start.
  double ExpectedWaitMs(const EntryState& aEntry,
                        TimePoint aDeadline,
                        TimePoint aNow) const;
  // Milliseconds of work that runs now or is queued to run before a job of this
  // entry with this deadline.
  double BacklogMs(const EntryState& aEntry,
                   TimePoint aDeadline,
                   TimePoint aNow) const;
  // Slots that work on the backlog of an entry, on average.
  double AvailableSlots(const EntryState& aEntry, TimePoint aNow) const;
  // Slots that long work may hold. aUrgent means that long work in the queue is
  // about to miss its deadlines.
  uint32_t LongWorkSlotLimit(bool aUrgent) const;
  // Whether the first job of a long entry has less spare time left than half of
  // the time between its arrival and its deadline.
  bool IsLongWorkUrgent(const EntryState& aEntry, TimePoint aNow) const;
  uint32_t RunningLongJobs() const;
  // Whether the last job of a queue will not get a slot in time.
  bool IsLastJobTooLate(const EntryState& aEntry, TimePoint aNow) const;
  void UpdateLoadEstimates(TimePoint aNow);
  // Marks entries as long or short by their mean service times.
  void ClassifyEntries();
  // Whether the next slot may go to long work ahead of short work.
  bool IsLongWorkTurn(TimePoint aNow) const;

  // All entries by descending mean service time. Updated each tick.
  std::vector<EntryState*> m_longestFirst;
  // Slots that short work needs at its present rate to hardly ever wait, and
  // the fewest with which it keeps up. Updated each tick.
  uint32_t m_shortWorkSlotsWithoutWait = 0;
  uint32_t m_shortWorkSlotsMinimum = 0;
  // Arriving work divided by the slots, at least 1. Updated each tick.
  double m_overloadFactor = 1;
  // When the latest long job started. Used for a backend server with one slot.
  TimePoint m_longWorkStartedAt;
};

} // namespace rattanloft::admission
