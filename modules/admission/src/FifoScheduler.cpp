#include "FifoScheduler.h"

namespace rattanloft::admission {

bool
FifoScheduler::Admits(const EntryState&,
                      const QueuedJob&,
                      TimePoint,
                      Duration&) const
{
  return true;
}

bool
FifoScheduler::IsTooLateToStart(const EntryState&,
                                const QueuedJob& aJob,
                                TimePoint aNow) const
{
  return aNow >= aJob.m_deadline;
}

EntryState*
FifoScheduler::PickEntry(TimePoint)
{
  EntryState* best = nullptr;
  for (const auto& entry : AllEntries()) {
    if (!entry->m_queue.empty() && IsBelowInFlightLimit(*entry) &&
        (best == nullptr ||
         entry->m_queue.begin()->first < best->m_queue.begin()->first)) {
      best = entry.get();
    }
  }
  return best;
}

Duration
FifoScheduler::RetryAfter(const EntryState&, TimePoint) const
{
  return Seconds(1);
}

} // namespace rattanloft::admission
