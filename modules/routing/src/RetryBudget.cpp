#include "rattanloft/routing/RetryBudget.h"

namespace rattanloft::routing {

namespace {

constexpr uint64_t kFirstAttemptsPerRetry = 10;

} // namespace

void
RetryBudget::OnFirstAttempt(TimePoint aNow)
{
  ++BucketAt(aNow).m_firstAttempts;
}

bool
RetryBudget::TryTakeRetry(TimePoint aNow)
{
  TimePoint& oldest = m_guaranteedRetryTimes[m_oldestGuaranteedRetry];
  if (aNow - oldest >= Seconds(1)) {
    oldest = aNow;
    m_oldestGuaranteedRetry =
      (m_oldestGuaranteedRetry + 1) % m_guaranteedRetryTimes.size();
    return true;
  }
  if (!RatioAllowsRetry(aNow)) {
    return false;
  }
  ++BucketAt(aNow).m_retries;
  return true;
}

RetryBudget::SecondBucket&
RetryBudget::BucketAt(TimePoint aNow)
{
  const int64_t second = aNow.m_ms / 1000;
  SecondBucket& bucket =
    m_buckets[static_cast<size_t>(second) % m_buckets.size()];
  if (bucket.m_second != second) {
    bucket = { second, 0, 0 };
  }
  return bucket;
}

bool
RetryBudget::RatioAllowsRetry(TimePoint aNow) const
{
  const int64_t second = aNow.m_ms / 1000;
  uint64_t firstAttempts = 0;
  uint64_t retries = 0;
  for (const SecondBucket& bucket : m_buckets) {
    const int64_t age = second - bucket.m_second;
    // Retries count for one second longer than first attempts, so that the
    // ratio holds over any 10 s.
    firstAttempts += age < kWindowSeconds ? bucket.m_firstAttempts : 0;
    retries += age <= kWindowSeconds ? bucket.m_retries : 0;
  }
  return (retries + 1) * kFirstAttemptsPerRetry <= firstAttempts;
}

} // namespace rattanloft::routing
