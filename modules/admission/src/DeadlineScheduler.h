#pragma once

#include "QueueScheduler.h"

namespace rattanloft::admission {

// Earliest deadline first within class priority. Refuses jobs early whose
// deadline cannot be met, and keeps slots free for short work.
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
  // Milliseconds that a job needs, from the learned times.
  double RequiredMs(const EntryState& aEntry, const QueuedJob& aJob) const;
  bool MayProbe(const EntryState& aEntry, TimePoint aNow) const;
  // Milliseconds until a job of this entry with this deadline would start.
  double ExpectedWaitMs(const EntryState& aEntry,
                        TimePoint aDeadline,
                        TimePoint aNow) const;
  double BacklogMs(const EntryState& aEntry,
                   TimePoint aDeadline,
                   TimePoint aNow) const;
  double AvailableSlots(const EntryState& aEntry, TimePoint aNow) const;
  // Slots that long work may hold. aUrgent: long work that waits is about to
  // miss its deadlines.
  uint32_t LongWorkSlotLimit(bool aUrgent) const;
  bool IsLongWorkUrgent(const EntryState& aEntry, TimePoint aNow) const;
  uint32_t RunningLongJobs() const;
  // Whether the last job of a queue will not come to its turn in time.
  bool IsHopeless(const EntryState& aEntry, TimePoint aNow) const;
  void UpdateLoadEstimates(TimePoint aNow);
  // Tells long entries from short ones.
  void ClassifyEntries();
  bool IsLongWorkTurn(TimePoint aNow) const;

  // All entries. Updated each tick.
  std::vector<EntryState*> m_longestFirst;
  // Slots that the present rate of short work needs to run without waiting, and
  // at least to keep up. Updated each tick.
  uint32_t m_shortWorkSlotsWithoutWait = 0;
  uint32_t m_shortWorkSlotsMinimum = 0;
  // Work that arrives by the slots, at least 1. Updated each tick.
  double m_overloadFactor = 1;
  // When the latest long job ended its turn, for a backend server with one
  // slot.
  TimePoint m_longWorkStartedAt;
};

} // namespace rattanloft::admission
