#pragma once

namespace rattanloft::sidecar {

// How requests of services without keys are divided among availability zones.
enum class ZoneSpilloverMode
{
  // Stays in the own zone unless another one is worth the cost.
  kAdaptive,
  // Treats all zones alike.
  kAny,
  // Stays in the own zone while it has a usable backend server.
  kNever,
};

struct ZoneRoutingOptions
{
  ZoneSpilloverMode m_mode = ZoneSpilloverMode::kAdaptive;
  // Response time that is given up to save a megabyte between zones. At this
  // default 4 KiB cost 2 ms, less than most round trips between zones, and 1 MB
  // costs about as much as the service time of a slow request.
  double m_crossingCostMsPerMb = 500;
};

} // namespace rattanloft::sidecar
