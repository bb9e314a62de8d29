#include "rattanloft/base/Backoff.h"

#include <catch2/catch.hpp>

namespace rattanloft {

// Guards against retry storms: the delay must grow, and it must stay within its
// maximum.
TEST_CASE(
  "Backoff delays double up to the maximum and start again after a reset")
{
  Backoff backoff(Milliseconds(10), Milliseconds(1000), 7);
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int64_t expectedMaxMs = std::min<int64_t>(
      1000, attempt < 20 ? int64_t{ 10 } << attempt : int64_t{ 1000 });
    const Duration delay = backoff.NextDelay();
    REQUIRE(delay.m_ms >= expectedMaxMs / 2);
    REQUIRE(delay.m_ms <= expectedMaxMs);
  }
  backoff.Reset();
  REQUIRE(backoff.NextDelay().m_ms <= 10);
}

} // namespace rattanloft
