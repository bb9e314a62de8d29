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
  struct Bucket
  {
    int64_t m_second = -1;
    uint32_t m_firsts = 0;
    uint32_t m_retries = 0;
  };
  static constexpr int64_t kWindowSeconds = 10;
  static constexpr size_t kFloorPerSecond = 3;

  Bucket& BucketAt(TimePoint aNow);
  bool ShareAllows(TimePoint aNow) const;

  // One more than the window, since the current second is not complete.
  std::array<Bucket, kWindowSeconds + 1> m_buckets;
  // When the latest retries under the floor were sent, oldest at m_nextFloor.
  std::array<TimePoint, kFloorPerSecond> m_floor{ kNever, kNever, kNever };
  size_t m_nextFloor = 0;
  static constexpr TimePoint kNever{ -1'000'000 };
};

} // namespace rattanloft::routing
