#pragma once

#include "QueueScheduler.h"

namespace rattanloft::admission {

// Baseline for comparison: order of arrival, and no use of deadlines but that
// an expired job is not started.
class FifoScheduler final : public QueueScheduler
{
protected:
  int64_t OrderKeyOf(const QueuedJob&) const override { return 0; }
  bool Admits(const EntryState& aEntry,
              const QueuedJob& aJob,
              TimePoint aNow,
              Duration& aRetryAfter) const override;
  bool IsTooLateToStart(const EntryState& aEntry,
                        const QueuedJob& aJob,
                        TimePoint aNow) const override;
  EntryState* PickEntry(TimePoint aNow) override;
  Duration RetryAfter(const EntryState& aEntry, TimePoint aNow) const override;
};

} // namespace rattanloft::admission
