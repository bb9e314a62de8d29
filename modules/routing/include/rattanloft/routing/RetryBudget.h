#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::routing {

// Limits the retries of one service at one entry node, so that retries cannot
// multiply an overload: 10 % of the first attempts over 10 s, plus 3 per second
// that keep a service with few requests able to retry. Pure; owned by the
// traffic thread.
class RetryBudget
{
public:
  void OnFirstAttempt(TimePoint aNow);
  // True if a retry may be sent now; it is then counted.
  bool TryRetry(TimePoint aNow);

private:
  struct SecondBucket
  {
    int64_t m_second = -1;
    uint32_t m_firstAttempts = 0;
    uint32_t m_retries = 0;
  };
  static constexpr int64_t kWindowSeconds = 10;
  static constexpr size_t kGuaranteedRetriesPerSecond = 3;

  SecondBucket& BucketAt(TimePoint aNow);
  bool RatioAllowsRetry(TimePoint aNow) const;

  // One more than the window, since the current second is not complete.
  std::array<SecondBucket, kWindowSeconds + 1> m_buckets;
  // When the latest retries under the floor were sent, oldest at m_nextFloor.
  std::array<TimePoint, kGuaranteedRetriesPerSecond> m_guaranteedRetryTimes{
    kNever,
    kNever,
    kNever
  };
  size_t m_oldestGuaranteedRetry = 0;
  static constexpr TimePoint kNever{ -1'000'000 };
};

} // namespace rattanloft::routing
