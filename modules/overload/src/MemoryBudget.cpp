#include "rattanloft/overload/MemoryBudget.h"

#include <algorithm>
#include <utility>

#include "rattanloft/base/Assert.h"

namespace rattanloft::overload {

namespace {

// Percentages of the budget at which a state begins, and below which it ends.
// Large bodies are refused from 87 % on.
constexpr size_t kTightPercent = 60;
constexpr size_t kTightEndPercent = 45;
constexpr size_t kFullPercent = 80;
constexpr size_t kFullEndPercent = 70;

} // namespace

std::string_view
MemoryStateName(MemoryState aState)
{
  switch (aState) {
    case MemoryState::kNormal:
      return "normal";
    case MemoryState::kTight:
      return "tight";
    case MemoryState::kFull:
      return "full";
  }
  return "normal";
}

MemoryBudget::MemoryBudget(size_t aLimitBytes, const Clock& aClock)
  : m_limitBytes(aLimitBytes)
  , m_clock(aClock)
{
}

std::shared_ptr<MemoryBudget>
MemoryBudget::MakeDefault()
{
  static const BootClock sClock;
  return std::make_shared<MemoryBudget>(kDefaultLimitBytes, sClock);
}

size_t
MemoryBudget::MaxChargeBytes(size_t aLimitBytes, ChargeKind aKind)
{
  const size_t reserve = aLimitBytes / kReserveDivisor;
  switch (aKind) {
    case ChargeKind::kLargeBody:
      return aLimitBytes - reserve;
    case ChargeKind::kSmallBody:
      return aLimitBytes - reserve / 2;
    case ChargeKind::kControl:
      return aLimitBytes;
  }
  return 0;
}

void
MemoryBudget::AddSource(ReclaimSource& aSource)
{
  m_sources.push_back(&aSource);
}

void
MemoryBudget::RemoveSource(const ReclaimSource& aSource)
{
  std::erase(m_sources, &aSource);
}

bool
MemoryBudget::Fits(size_t aBytes, ChargeKind aKind) const
{
  const size_t maxBytes = MaxChargeBytes(m_limitBytes, aKind);
  return m_chargedBytes <= maxBytes && aBytes <= maxBytes - m_chargedBytes;
}

bool
MemoryBudget::Take(size_t aBytes, ChargeKind aKind)
{
  const size_t maxBytes = MaxChargeBytes(m_limitBytes, aKind);
  if (!Fits(aBytes, aKind) && aBytes <= maxBytes) {
    Reclaim(m_chargedBytes + aBytes - maxBytes);
  }
  if (!Fits(aBytes, aKind)) {
    ++m_refusedCount;
    return false;
  }
  m_chargedBytes += aBytes;
  UpdateState();
  return true;
}

void
MemoryBudget::Release(size_t aBytes)
{
  RATTANLOFT_ASSERT(aBytes <= m_chargedBytes);
  m_chargedBytes -= aBytes;
  UpdateState();
}

void
MemoryBudget::Reclaim(size_t aMissingBytes)
{
  if (m_isReclaiming || m_sources.empty()) {
    return;
  }
  const TimePoint now = m_clock.Now();
  if (now < m_nextReclaimAt) {
    return;
  }
  m_isReclaiming = true;
  std::vector<ReclaimCandidate> candidates;
  for (ReclaimSource* source : m_sources) {
    source->ListCandidates(candidates);
  }
  const std::vector<ReclaimCandidate> chosen =
    ReclaimPolicy::Choose(candidates, aMissingBytes);
  for (const ReclaimCandidate& candidate : chosen) {
    candidate.m_source->Reclaim(candidate);
  }
  if (chosen.empty()) {
    m_nextReclaimAt = now + kReclaimRetryDelay;
  }
  m_isReclaiming = false;
}

void
MemoryBudget::UpdateState()
{
  const auto isAbove = [this](size_t aPercent) {
    return m_chargedBytes >= m_limitBytes / 100 * aPercent;
  };
  MemoryState state = m_state;
  if (isAbove(kFullPercent)) {
    state = MemoryState::kFull;
  } else if (!isAbove(kTightEndPercent)) {
    state = MemoryState::kNormal;
  } else if (state == MemoryState::kFull && !isAbove(kFullEndPercent)) {
    state = MemoryState::kTight;
  } else if (state == MemoryState::kNormal && isAbove(kTightPercent)) {
    state = MemoryState::kTight;
  }
  if (std::exchange(m_state, state) != state && m_stateCallback) {
    m_stateCallback(state);
  }
}

} // namespace rattanloft::overload
