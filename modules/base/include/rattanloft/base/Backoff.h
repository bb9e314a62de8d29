#pragma once

#include <cstdint>
#include <random>

#include "rattanloft/base/Time.h"

namespace rattanloft {

// Exponential backoff with full jitter. Not thread-safe.
class Backoff
{
public:
  Backoff(Duration aInitialDelay, Duration aMaxDelay, uint64_t aSeed)
    : m_initialDelay(aInitialDelay)
    , m_maxDelay(aMaxDelay)
    , m_randomEngine(aSeed)
  {
  }

  // A delay between half of and the whole current step; then doubles the step.
  Duration NextDelay();
  void Reset() { m_attemptCount = 0; }

private:
  Duration m_initialDelay;
  Duration m_maxDelay;
  std::mt19937_64 m_randomEngine;
  uint32_t m_attemptCount = 0;
};

} // namespace rattanloft
