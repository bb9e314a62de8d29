#include "WorkQueue.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Weight of a new service time in the smoothed one.
constexpr double kSmoothing = 0.1;
// Part of its target latency that work is assumed to take until the first
// service time is measured. A backend server of which nothing is known has
// mostly just started and is slow.
constexpr double kAssumedPart = 0.4;
constexpr double kLeastAssumedMs = 20;
constexpr Duration kLeastRetryAfter = Milliseconds(50);
constexpr Duration kMostRetryAfter = Milliseconds(400);
constexpr size_t kMaxWaiting = 512;
constexpr size_t kMaxKinds = 256;
// Most work takes less than its mean time multiplied by this.
constexpr double kServiceSpread = 1.3;

void
Smooth(double& aMean, double aMeasured)
{
  aMean = aMean > 0 ? aMean + kSmoothing * (aMeasured - aMean) : aMeasured;
}

} // namespace

size_t
WorkQueue::Waiting() const
{
  size_t count = 0;
  for (const auto& [rank, items] : m_waiting) {
    count += items.size();
  }
  return count;
}

size_t
WorkQueue::WaitingUpTo(uint32_t aRank) const
{
  size_t count = 0;
  for (const auto& [rank, items] : m_waiting) {
    count += rank <= aRank ? items.size() : 0;
  }
  return count;
}

double
WorkQueue::UsualMs() const
{
  return m_serviceMs > 0 ? m_serviceMs : std::max(m_assumedMs, kLeastAssumedMs);
}

Duration
WorkQueue::ExpectedWait(uint32_t aRank) const
{
  const size_t busy = m_running + WaitingUpTo(aRank);
  if (busy < m_slots) {
    return {};
  }
  const double ahead = static_cast<double>(busy + 1 - m_slots);
  return Milliseconds(static_cast<int64_t>(ahead * UsualMs() / m_slots));
}

WorkVerdict
WorkQueue::Submit(const Work& aWork, TimePoint aNow)
{
  if (m_running < m_slots && WaitingUpTo(aWork.m_rank) == 0) {
    ++m_running;
    return { WorkDecision::kStart, {} };
  }
  if (m_serviceMs <= 0) {
    const double left = static_cast<double>((aWork.m_target - aNow).m_ms);
    m_assumedMs = std::max(m_assumedMs, kAssumedPart * left);
  }
  const Duration wait = ExpectedWait(aWork.m_rank);
  if (!IsInTime(aWork, wait, aNow) || Waiting() >= kMaxWaiting) {
    return { WorkDecision::kRefuse,
             std::clamp(wait, kLeastRetryAfter, kMostRetryAfter) };
  }
  m_waiting[aWork.m_rank].push_back(aWork);
  return { WorkDecision::kWait, {} };
}

Duration
WorkQueue::ServiceTime(const std::string& aKind) const
{
  const auto found = m_kindMs.find(aKind);
  const double ms = found == m_kindMs.end() ? UsualMs() : found->second;
  return Milliseconds(static_cast<int64_t>(ms));
}

bool
WorkQueue::IsInTime(const Work& aWork, Duration aWait, TimePoint aNow) const
{
  const double service =
    kServiceSpread * static_cast<double>(ServiceTime(aWork.m_kind).m_ms);
  const Duration left = std::min(aWork.m_target, aWork.m_deadline) - aNow;
  return aWait + Milliseconds(static_cast<int64_t>(service)) <= left;
}

void
WorkQueue::Finish(const std::string& aKind, Duration aServiceTime)
{
  if (m_running > 0) {
    --m_running;
  }
  if (aServiceTime.m_ms <= 0) {
    return;
  }
  const double measured = static_cast<double>(aServiceTime.m_ms);
  Smooth(m_serviceMs, measured);
  if (m_kindMs.size() >= kMaxKinds && !m_kindMs.contains(aKind)) {
    m_kindMs.clear();
  }
  Smooth(m_kindMs[aKind], measured);
}

std::vector<WorkQueue::Release>
WorkQueue::Next(TimePoint aNow)
{
  std::vector<Release> released;
  for (auto& [rank, items] : m_waiting) {
    while (m_running < m_slots && !items.empty()) {
      // Work that is late by now starts only if nothing else waits.
      const bool start = IsInTime(items.front(), {}, aNow) || Waiting() == 1;
      released.push_back({ items.front().m_id, start });
      items.pop_front();
      m_running += start ? 1 : 0;
    }
    std::erase_if(items, [&](const Work& aWork) {
      if (IsInTime(aWork, {}, aNow)) {
        return false;
      }
      released.push_back({ aWork.m_id, false });
      return true;
    });
  }
  std::erase_if(m_waiting,
                [](const auto& aRank) { return aRank.second.empty(); });
  return released;
}

bool
WorkQueue::Cancel(WorkId aId)
{
  for (auto& [rank, items] : m_waiting) {
    const auto found = std::ranges::find(items, aId, &Work::m_id);
    if (found != items.end()) {
      items.erase(found);
      return true;
    }
  }
  return false;
}

} // namespace rattanloft::sidecar
