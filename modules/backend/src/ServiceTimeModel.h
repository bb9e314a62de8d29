#pragma once

#include <random>
#include <string>

#include "rattanloft/backend/Backend.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::backend {

// Draws service times. Pure; the seed is in the options.
class ServiceTimeModel
{
public:
  explicit ServiceTimeModel(const BackendOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
  }

  double DrawServiceTimeMs(const std::string& aEntry, Duration aSinceStart);

private:
  const BackendOptions& m_options;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::backend
