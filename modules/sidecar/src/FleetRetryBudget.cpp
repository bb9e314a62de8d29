#include "FleetRetryBudget.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Share of the fleet's budget that is used. The rest covers the nested calls
// that a retried request makes again, and time windows that differ between
// instances.
constexpr double kUsableBudgetShare = 0.5;

} // namespace

FleetRetryBudget::SecondCounts&
FleetRetryBudget::CountsAt(TimePoint aNow)
{
  const int64_t second = aNow.m_ms / 1000;
  SecondCounts& counts =
    m_secondCounts[static_cast<size_t>(second) % m_secondCounts.size()];
  if (counts.m_second != second) {
    counts = { second, 0, 0 };
  }
  return counts;
}

void
FleetRetryBudget::OnRequest(TimePoint aNow)
{
  ++CountsAt(aNow).m_requests;
}

bool
FleetRetryBudget::TryTakeRetry(uint32_t aSidecarCount, TimePoint aNow)
{
  SecondCounts& current = CountsAt(aNow);
  double requests = 0;
  double retries = 0;
  for (const SecondCounts& second : m_secondCounts) {
    if (second.m_second >= 0 &&
        current.m_second - second.m_second <= kWindowSeconds) {
      requests += second.m_requests;
      retries += second.m_retries;
    }
  }
  const double slackShare =
    static_cast<double>(m_retrySlack) / std::max(1U, aSidecarCount);
  if (retries + 1 >
      kUsableBudgetShare * (m_retryRatio * requests + slackShare)) {
    return false;
  }
  ++current.m_retries;
  return true;
}

} // namespace rattanloft::sidecar
