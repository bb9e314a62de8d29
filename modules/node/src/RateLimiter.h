#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "rattanloft/base/Time.h"
#include "rattanloft/base/TokenBucket.h"

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
    TokenBucket& bucket =
      m_buckets.try_emplace(aEntryName, aRequestsPerSecond, aNow).first->second;
    if (bucket.Rate() != aRequestsPerSecond) {
      bucket.SetRate(aRequestsPerSecond, aNow);
    }
    return bucket.TryTake(aNow);
  }

private:
  // Buckets by name of the catalogue entry. Bounded by the catalogue, because
  // requests of unknown entries are refused before.
  std::unordered_map<std::string, TokenBucket> m_buckets;
};

} // namespace rattanloft::node
