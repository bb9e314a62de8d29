#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::routing {

// Limits the retries of one service at one entry node, so that retries cannot
// multiply an overload: 10 % of the first attempts over 10 s, plus 3 per second
// so that a service with few requests can retry as well. Does no I/O and reads
// no clock; owned by the traffic thread.
class RetryBudget
{
public:
  void OnFirstAttempt(TimePoint aNow);
  // Returns whether a retry may be sent now, and counts it if so.
  bool TryTakeRetry(TimePoint aNow);

private:
  // Attempts that were sent within one second.
  struct SecondBucket
  {
    int64_t m_second = -1;
    uint32_t m_firstAttempts = 0;
    uint32_t m_retries = 0;
  };
  static constexpr int64_t kWindowSeconds = 10;
  static constexpr size_t kGuaranteedRetriesPerSecond = 3;

  SecondBucket& BucketAt(TimePoint aNow);
  // Whether one more retry keeps to 10 % of the first attempts.
  bool RatioAllowsRetry(TimePoint aNow) const;

  // Counters by second: one more than the window, since the current second is
  // not complete.
  std::array<SecondBucket, kWindowSeconds + 1> m_buckets;
  // When the latest retries within the guaranteed rate were sent. The oldest is
  // at index m_oldestGuaranteedRetry.
  std::array<TimePoint, kGuaranteedRetriesPerSecond> m_guaranteedRetryTimes{
    kNever,
    kNever,
    kNever
  };
  size_t m_oldestGuaranteedRetry = 0;
  static constexpr TimePoint kNever{ -1'000'000 };
};

} // namespace rattanloft::routing
