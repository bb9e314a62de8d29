#include "RetryAllowance.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Part of the fleet's budget that is used. The rest covers the calls that
// repeated requests make again, and windows that differ between instances.
constexpr double kUsedPart = 0.5;

} // namespace

RetryAllowance::Second&
RetryAllowance::At(TimePoint aNow)
{
  const int64_t second = aNow.m_ms / 1000;
  Second& slot = m_seconds[static_cast<size_t>(second) % m_seconds.size()];
  if (slot.m_at != second) {
    slot = { second, 0, 0 };
  }
  return slot;
}

void
RetryAllowance::OnRequest(TimePoint aNow)
{
  ++At(aNow).m_requests;
}

bool
RetryAllowance::TryRetry(uint32_t aSidecars, TimePoint aNow)
{
  Second& current = At(aNow);
  double requests = 0;
  double retries = 0;
  for (const Second& second : m_seconds) {
    if (second.m_at >= 0 && current.m_at - second.m_at <= kWindowSeconds) {
      requests += second.m_requests;
      retries += second.m_retries;
    }
  }
  const double slack = static_cast<double>(m_slack) / std::max(1U, aSidecars);
  if (retries + 1 > kUsedPart * (m_ratio * requests + slack)) {
    return false;
  }
  ++current.m_retries;
  return true;
}

} // namespace rattanloft::sidecar
