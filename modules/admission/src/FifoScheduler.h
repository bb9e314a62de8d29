#pragma once

#include "QueueScheduler.h"

namespace rattanloft::admission {

// Baseline for comparison: starts jobs in order of arrival. Uses deadlines only
// to refuse expired jobs in place of starting them.
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
