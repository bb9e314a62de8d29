#include "rattanloft/base/TokenBucket.h"

#include <catch2/catch.hpp>

namespace rattanloft {

// Guards against more events in a window than the rate and one second of burst
// allow, and against a rate that is not reached.
TEST_CASE("a token bucket keeps the rate and a burst of one second")
{
  const double rate = GENERATE(0.5, 10.0, 22.5);
  TimePoint now{ 5000 };
  TokenBucket bucket(rate, now);
  int taken = 0;
  for (int i = 0; i < 4000; ++i) {
    taken += bucket.TryTake(now) ? 1 : 0;
    now = now + Milliseconds(1);
  }
  CHECK(taken <= 4 * rate + std::max(1.0, rate));
  CHECK(taken >= 4 * rate - 1);
}

// Guards against a caller that is told to come back too early.
TEST_CASE("a token is there after the time that the bucket states")
{
  TimePoint now{ 5000 };
  TokenBucket bucket(4, now);
  while (bucket.TryTake(now)) {
  }
  const Duration wait = bucket.TimeUntil(1, now);
  CHECK(wait.m_ms == 250);
  CHECK(bucket.TimeUntil(3, now).m_ms == 750);
  CHECK_FALSE(bucket.TryTake(now + wait - Milliseconds(1)));
  CHECK(bucket.TryTake(now + wait));
}

// Guards against a burst at an old rate after the rate has been lowered.
TEST_CASE("a lower rate takes effect at once")
{
  const TimePoint now{ 5000 };
  TokenBucket bucket(100, now);
  bucket.SetRate(3, now);
  int taken = 0;
  while (bucket.TryTake(now)) {
    ++taken;
  }
  CHECK(taken == 3);
}

} // namespace rattanloft
