#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "rattanloft/base/Time.h"

namespace rattanloft::node {

// A token bucket for each catalogue entry, with a burst of one second. Owned by
// the traffic thread.
class RateLimiter
{
public:
  // False if the entry has used up its rate. A rate of 0 means no limit.
  bool TryTake(const std::string& aEntryName,
               uint32_t aRequestsPerSecond,
               TimePoint aNow)
  {
    if (aRequestsPerSecond == 0) {
      return true;
    }
    const auto [position, isNew] = m_buckets.try_emplace(aEntryName);
    Bucket& bucket = position->second;
    const double limit = aRequestsPerSecond;
    if (isNew) {
      bucket = { limit, aNow };
    }
    const double seconds =
      static_cast<double>((aNow - bucket.m_refilledAt).m_ms) / 1000;
    bucket.m_tokens = std::min(limit, bucket.m_tokens + seconds * limit);
    bucket.m_refilledAt = aNow;
    if (bucket.m_tokens < 1) {
      return false;
    }
    bucket.m_tokens -= 1;
    return true;
  }

private:
  struct Bucket
  {
    double m_tokens = 0;
    TimePoint m_refilledAt;
  };

  // Bounded by the entries of the catalogue: only known entries come here.
  std::unordered_map<std::string, Bucket> m_buckets;
};

} // namespace rattanloft::node
