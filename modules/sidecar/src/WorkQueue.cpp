#include "WorkQueue.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Weight of a new service time in the smoothed one.
constexpr double kSmoothing = 0.1;
// Assumed until the first one is measured.
constexpr double kFirstServiceMs = 50;
constexpr Duration kLeastRetryAfter = Milliseconds(50);
constexpr Duration kMostRetryAfter = Milliseconds(400);
constexpr size_t kMaxWaiting = 512;

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

Duration
WorkQueue::ExpectedWait(uint32_t aRank) const
{
  const double service = m_serviceMs > 0 ? m_serviceMs : kFirstServiceMs;
  const size_t busy = m_running + WaitingUpTo(aRank);
  if (busy < m_slots) {
    return {};
  }
  const double ahead = static_cast<double>(busy + 1 - m_slots);
  return Milliseconds(static_cast<int64_t>(ahead * service / m_slots));
}

WorkVerdict
WorkQueue::Submit(const Work& aWork, TimePoint aNow)
{
  if (m_running < m_slots && WaitingUpTo(aWork.m_rank) == 0) {
    ++m_running;
    return { WorkDecision::kStart, {} };
  }
  const Duration wait = ExpectedWait(aWork.m_rank);
  const Duration service = ServiceTime();
  const Duration left = std::min(aWork.m_target, aWork.m_deadline) - aNow;
  if (wait + service > left || Waiting() >= kMaxWaiting) {
    return { WorkDecision::kRefuse,
             std::clamp(wait, kLeastRetryAfter, kMostRetryAfter) };
  }
  m_waiting[aWork.m_rank].push_back(aWork);
  return { WorkDecision::kWait, {} };
}

void
WorkQueue::Finish(Duration aServiceTime)
{
  if (m_running > 0) {
    --m_running;
  }
  if (aServiceTime.m_ms > 0) {
    const double measured = static_cast<double>(aServiceTime.m_ms);
    m_serviceMs = m_serviceMs > 0
                    ? m_serviceMs + kSmoothing * (measured - m_serviceMs)
                    : measured;
  }
}

std::vector<WorkQueue::Release>
WorkQueue::Next(TimePoint aNow)
{
  std::vector<Release> released;
  for (auto& [rank, items] : m_waiting) {
    std::erase_if(items, [&](const Work& aWork) {
      if (aNow < aWork.m_deadline) {
        return false;
      }
      released.push_back({ aWork.m_id, false });
      return true;
    });
    while (m_running < m_slots && !items.empty()) {
      released.push_back({ items.front().m_id, true });
      items.pop_front();
      ++m_running;
    }
  }
  std::erase_if(m_waiting, [](const auto& aRank) { return aRank.second.empty(); });
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
