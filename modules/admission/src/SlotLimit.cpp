#include "SlotLimit.h"

#include <algorithm>

#include "rattanloft/base/Log.h"

namespace rattanloft::admission {

namespace {

constexpr Duration kRamp = Seconds(10);
constexpr double kColdShare = 0.25;
constexpr double kCut = 0.9;
// Jobs that were in flight together are shed together; they count as one.
constexpr Duration kCutInterval = Milliseconds(100);
// Share of the slots that comes back each second after a cut.
constexpr double kRecoveryPerSecond = 0.05;

} // namespace

void
SlotLimit::SetSlots(uint32_t aSlots, TimePoint aNow, bool aCold)
{
  if (aCold) {
    m_cold = true;
    m_startedAt = aNow;
  }
  if (aCold || aSlots != m_slots) {
    m_slots = aSlots;
    m_allowed = aSlots;
    LogInfo("sched", "{} slots{}", aSlots, aCold ? ", cold" : "");
  }
  m_advancedAt = std::max(m_advancedAt, aNow);
  Update(aNow);
}

void
SlotLimit::OnShed(TimePoint aNow)
{
  if (m_allowed < m_slots && aNow - m_cutAt < kCutInterval) {
    return;
  }
  m_cutAt = aNow;
  m_allowed = std::max(1.0, std::min<double>(m_allowed, m_current) * kCut);
  Update(aNow);
  LogInfo("sched", "backend sheds load, slot limit {}", m_current);
}

void
SlotLimit::Advance(TimePoint aNow)
{
  const Duration span = aNow - m_advancedAt;
  if (span <= Duration{}) {
    return;
  }
  m_advancedAt = aNow;
  const double seconds = static_cast<double>(span.m_ms) / 1000;
  m_allowed = std::min<double>(
    m_slots, m_allowed + m_slots * kRecoveryPerSecond * seconds);
  Update(aNow);
}

void
SlotLimit::Update(TimePoint aNow)
{
  double share = 1;
  if (m_cold) {
    const Duration warm = aNow - m_startedAt;
    m_cold = warm < kRamp;
    share = kColdShare + (1 - kColdShare) *
                           static_cast<double>(std::min(warm, kRamp).m_ms) /
                           static_cast<double>(kRamp.m_ms);
  }
  const double limit = std::min(m_allowed, m_slots * share);
  m_current = m_slots == 0 ? 0 : std::max(1U, static_cast<uint32_t>(limit));
}

} // namespace rattanloft::admission
