#include "rattanloft/routing/RetryBudget.h"

namespace rattanloft::routing {

namespace {

constexpr uint64_t kFirstsPerRetry = 10;

} // namespace

void
RetryBudget::OnFirstAttempt(TimePoint aNow)
{
  ++BucketAt(aNow).m_firsts;
}

bool
RetryBudget::TryRetry(TimePoint aNow)
{
  TimePoint& oldest = m_floor[m_nextFloor];
  if (aNow - oldest >= Seconds(1)) {
    oldest = aNow;
    m_nextFloor = (m_nextFloor + 1) % m_floor.size();
    return true;
  }
  if (!ShareAllows(aNow)) {
    return false;
  }
  ++BucketAt(aNow).m_retries;
  return true;
}

RetryBudget::Bucket&
RetryBudget::BucketAt(TimePoint aNow)
{
  const int64_t second = aNow.m_ms / 1000;
  Bucket& bucket = m_buckets[static_cast<size_t>(second) % m_buckets.size()];
  if (bucket.m_second != second) {
    bucket = { second, 0, 0 };
  }
  return bucket;
}

bool
RetryBudget::ShareAllows(TimePoint aNow) const
{
  const int64_t second = aNow.m_ms / 1000;
  uint64_t firsts = 0;
  uint64_t retries = 0;
  for (const Bucket& bucket : m_buckets) {
    const int64_t age = second - bucket.m_second;
    // Retries count for one second more, so that the share holds for any 10 s.
    firsts += age < kWindowSeconds ? bucket.m_firsts : 0;
    retries += age <= kWindowSeconds ? bucket.m_retries : 0;
  }
  return (retries + 1) * kFirstsPerRetry <= firsts;
}

} // namespace rattanloft::routing
