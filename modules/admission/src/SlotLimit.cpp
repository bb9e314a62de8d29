#include "SlotLimit.h"

#include <algorithm>

#include "rattanloft/base/Log.h"

namespace rattanloft::admission {

namespace {

constexpr Duration kRampDuration = Seconds(10);
// Fraction of its slots that a cold backend server starts with.
constexpr double kColdStartFraction = 0.25;
// The limit shrinks by this factor when the backend server sheds load.
constexpr double kCutFactor = 0.9;
// Jobs that were in flight together are shed together, so they count as one
// cut.
constexpr Duration kMinCutInterval = Milliseconds(100);
// Fraction of the announced slots that comes back each second after a cut.
constexpr double kRecoveryFractionPerSecond = 0.05;

} // namespace

void
SlotLimit::SetSlots(uint32_t aSlots, TimePoint aNow, bool aCold)
{
  if (aCold) {
    m_cold = true;
    m_rampStartedAt = aNow;
  }
  if (aCold || aSlots != m_announcedSlots) {
    m_announcedSlots = aSlots;
    m_shedLimit = aSlots;
    LogInfo(
      "sched", "backend server has {} slots{}", aSlots, aCold ? ", cold" : "");
  }
  m_advancedAt = std::max(m_advancedAt, aNow);
  UpdateCurrentLimit(aNow);
}

void
SlotLimit::OnShed(TimePoint aNow)
{
  if (m_shedLimit < m_announcedSlots && aNow - m_lastCutAt < kMinCutInterval) {
    return;
  }
  m_lastCutAt = aNow;
  m_shedLimit =
    std::max(1.0, std::min<double>(m_shedLimit, m_currentLimit) * kCutFactor);
  UpdateCurrentLimit(aNow);
  LogInfo(
    "sched", "backend server sheds load; slot limit is now {}", m_currentLimit);
}

void
SlotLimit::Advance(TimePoint aNow)
{
  const Duration elapsed = aNow - m_advancedAt;
  if (elapsed <= Duration{}) {
    return;
  }
  m_advancedAt = aNow;
  const double seconds = static_cast<double>(elapsed.m_ms) / 1000;
  m_shedLimit = std::min<double>(
    m_announcedSlots,
    m_shedLimit + m_announcedSlots * kRecoveryFractionPerSecond * seconds);
  UpdateCurrentLimit(aNow);
}

void
SlotLimit::UpdateCurrentLimit(TimePoint aNow)
{
  double rampFraction = 1;
  if (m_cold) {
    const Duration rampElapsed = aNow - m_rampStartedAt;
    m_cold = rampElapsed < kRampDuration;
    rampFraction =
      kColdStartFraction +
      (1 - kColdStartFraction) *
        static_cast<double>(std::min(rampElapsed, kRampDuration).m_ms) /
        static_cast<double>(kRampDuration.m_ms);
  }
  const double limit = std::min(m_shedLimit, m_announcedSlots * rampFraction);
  m_currentLimit =
    m_announcedSlots == 0 ? 0 : std::max(1U, static_cast<uint32_t>(limit));
}

} // namespace rattanloft::admission
