#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Refuses requests at their entry while the only instance that may run them
// refuses most of what this entry sends. A key that gets much of the traffic
// of a large fleet otherwise fills the processor and the link of its owner with
// requests that it has to refuse, until it answers nothing in time. Follows
// client-side throttling: a request is refused with a probability that lets the
// owner see about twice what it accepts. Does no I/O; used on the traffic
// thread.
class OverloadThrottle
{
public:
  explicit OverloadThrottle(uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  // Returns false if a request to the target is to be refused now, and counts
  // it as refused. A target is an instance and a kind of request.
  bool MaySend(const std::string& aTarget, TimePoint aNow);
  // Records whether the target took a request that was sent to it.
  void OnResult(const std::string& aTarget, bool aIsAccepted, TimePoint aNow);

private:
  struct Counts
  {
    uint32_t m_requests = 0;
    uint32_t m_accepted = 0;
  };
  // Counts of the current and the last period.
  struct Target
  {
    int64_t m_period = 0;
    Counts m_current;
    Counts m_previous;
  };

  // Returns null if the table is full of targets in use.
  Target* FindTarget(const std::string& aTarget, TimePoint aNow);
  void DropUnused(int64_t aPeriod);

  std::map<std::string, Target> m_targets;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::sidecar
