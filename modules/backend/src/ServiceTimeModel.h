#pragma once

#include <random>
#include <string>

#include "rattanloft/backend/Backend.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::backend {

// Draws the service times of simulated requests. Deterministic for a given seed
// and order of calls. Performs no I/O.
class ServiceTimeModel
{
public:
  explicit ServiceTimeModel(const BackendOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
  }

  // aSinceStart is the time since the start of the process, which decides how
  // far the cold start still lengthens the service time.
  double DrawServiceTimeMs(const std::string& aEntry, Duration aSinceStart);

private:
  const BackendOptions& m_options;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::backend
