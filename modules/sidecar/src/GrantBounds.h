#pragma once

#include <algorithm>

#include "rattanloft/base/Time.h"

// Bounds on the validity of the grants that a sidecar gives to its backend
// server, however they are delivered.
namespace rattanloft::sidecar {

// Longest validity of a grant, which is renewed about every 0.9 s. Long enough
// to survive the loss of two renewals in a row. Bounds the time for which the
// keys of a crashed backend server have no owner.
inline constexpr Duration kMaxGrantDuration = Milliseconds(3000);
// Grants with a shorter validity than this are of no use and not sent.
inline constexpr Duration kMinGrantDuration = Milliseconds(300);
// The clock of a backend server may run up to 2% slow; the bounds allow for
// slightly more.
inline constexpr int64_t kSlowClockPercent = 3;
// Allows for the granularity of the clocks and for the time until the grant is
// written.
inline constexpr Duration kClockMargin = Milliseconds(60);

// Time after which a duration has certainly passed on the clock of a backend
// server.
inline Duration
OnSlowClock(Duration aDuration)
{
  return aDuration * (100 + kSlowClockPercent) / 100;
}

// Returns the longest validity of a grant that arrives now and ends within
// aTimeLeft on a slow clock. May be negative.
inline Duration
LongestGrantWithin(Duration aTimeLeft)
{
  return std::min(kMaxGrantDuration,
                  aTimeLeft * (100 - kSlowClockPercent) / 100 - kClockMargin);
}

} // namespace rattanloft::sidecar
