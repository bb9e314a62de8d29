#include "OverloadThrottle.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Requests of the current and the last period decide, so an owner that has room
// again is noticed within two periods.
constexpr int64_t kPeriodMs = 2000;
// Multiple of what it accepts that a target may be sent.
constexpr double kOfferFactor = 2;
// Fewer requests say nothing about the target.
constexpr uint32_t kMinRequests = 2;
// Targets with recent requests. Requests to further ones are not throttled.
constexpr size_t kMaxTargets = 1024;

} // namespace

void
OverloadThrottle::DropUnused(int64_t aPeriod)
{
  std::erase_if(m_targets, [&](const auto& aItem) {
    return aItem.second.m_period + 1 < aPeriod;
  });
}

OverloadThrottle::Target*
OverloadThrottle::FindTarget(const std::string& aTarget, TimePoint aNow)
{
  const int64_t period = aNow.m_ms / kPeriodMs;
  auto found = m_targets.find(aTarget);
  if (found == m_targets.end()) {
    if (m_targets.size() >= kMaxTargets) {
      DropUnused(period);
    }
    if (m_targets.size() >= kMaxTargets) {
      return nullptr;
    }
    found = m_targets.emplace(aTarget, Target{ period, {}, {} }).first;
  }
  Target& target = found->second;
  if (target.m_period != period) {
    target.m_previous =
      target.m_period + 1 == period ? target.m_current : Counts{};
    target.m_current = {};
    target.m_period = period;
  }
  return &target;
}

bool
OverloadThrottle::MaySend(const std::string& aTarget, TimePoint aNow)
{
  Target* const target = FindTarget(aTarget, aNow);
  if (target == nullptr) {
    return true;
  }
  const uint32_t requests =
    target->m_current.m_requests + target->m_previous.m_requests;
  const uint32_t accepted =
    target->m_current.m_accepted + target->m_previous.m_accepted;
  if (requests < kMinRequests) {
    return true;
  }
  const double excess = requests - kOfferFactor * accepted;
  if (excess <= 0 ||
      std::uniform_real_distribution<>()(m_random) >= excess / (requests + 1)) {
    return true;
  }
  ++target->m_current.m_requests;
  return false;
}

void
OverloadThrottle::OnResult(const std::string& aTarget,
                           bool aIsAccepted,
                           TimePoint aNow)
{
  Target* const target = FindTarget(aTarget, aNow);
  if (target == nullptr) {
    return;
  }
  ++target->m_current.m_requests;
  target->m_current.m_accepted += aIsAccepted ? 1 : 0;
}

} // namespace rattanloft::sidecar
