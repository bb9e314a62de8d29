#pragma once

#include <cstdint>
#include <random>

#include "rattanloft/base/Time.h"

namespace rattanloft {

// Computes retry delays by exponential backoff with equal jitter: each delay is
// random between half of the current maximum and the whole of it. Not
// thread-safe.
class Backoff
{
public:
  Backoff(Duration aInitialDelay, Duration aMaxDelay, uint64_t aSeed)
    : m_initialDelay(aInitialDelay)
    , m_maxDelay(aMaxDelay)
    , m_randomEngine(aSeed)
  {
  }

  // Returns the delay before the next attempt and doubles the maximum for the
  // one after it, up to the limit given to the constructor.
  Duration NextDelay();
  // Starts again at the initial delay. Call it after a successful attempt.
  void Reset() { m_attemptCount = 0; }

private:
  Duration m_initialDelay;
  Duration m_maxDelay;
  std::mt19937_64 m_randomEngine;
  uint32_t m_attemptCount = 0;
};

} // namespace rattanloft
