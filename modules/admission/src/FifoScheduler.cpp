#include "FifoScheduler.h"

namespace rattanloft::admission {

bool
FifoScheduler::Admits(const Entry&,
                      const QueuedJob&,
                      TimePoint,
                      Duration&) const
{
  return true;
}

bool
FifoScheduler::IsLate(const Entry&, const QueuedJob& aJob, TimePoint aNow) const
{
  return aNow >= aJob.m_deadline;
}

Entry*
FifoScheduler::Pick(TimePoint)
{
  Entry* best = nullptr;
  for (const auto& entry : AllEntries()) {
    if (!entry->m_queue.empty() && HasRoom(*entry) &&
        (best == nullptr ||
         entry->m_queue.begin()->first < best->m_queue.begin()->first)) {
      best = entry.get();
    }
  }
  return best;
}

Duration
FifoScheduler::RetryAfter(const Entry&, TimePoint) const
{
  return Seconds(1);
}

} // namespace rattanloft::admission
