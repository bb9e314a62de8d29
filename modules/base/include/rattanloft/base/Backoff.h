#pragma once

#include <cstdint>
#include <random>

#include "rattanloft/base/Time.h"

namespace rattanloft {

// Exponential backoff with full jitter. Not thread-safe.
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aMax, uint64_t aSeed)
    : m_first(aFirst)
    , m_max(aMax)
    , m_random(aSeed)
  {
  }

  // A delay between half of and the whole current step; then doubles the step.
  Duration Next();
  void Reset() { m_attempts = 0; }

private:
  Duration m_first;
  Duration m_max;
  std::mt19937_64 m_random;
  uint32_t m_attempts = 0;
};

} // namespace rattanloft
