#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "rattanloft/base/Time.h"

namespace rattanloft::node {

// Limits the request rate of each catalogue entry with a token bucket that
// holds the requests of one second. Owned by the traffic thread.
class RateLimiter
{
public:
  // Takes one token. False if the entry has none left. A rate of 0 means no
  // limit.
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
    // Tokens left at m_refilledAt, at most one second of the rate.
    double m_tokens = 0;
    TimePoint m_refilledAt;
  };

  // Buckets by name of the catalogue entry. Bounded by the catalogue, because
  // requests of unknown entries are refused before.
  std::unordered_map<std::string, Bucket> m_buckets;
};

} // namespace rattanloft::node
