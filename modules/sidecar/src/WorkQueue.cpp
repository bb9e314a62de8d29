#include "WorkQueue.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

// Weight of a new measurement in the moving average of the service time.
constexpr double kServiceTimeSmoothing = 0.1;
// Share of its target latency that an item is assumed to take until the first
// service time is measured. A backend server without measurements has usually
// just started and is slow.
constexpr double kAssumedTargetShare = 0.4;
constexpr double kMinAssumedServiceMs = 20;
constexpr Duration kMinRetryAfter = Milliseconds(50);
constexpr Duration kMaxRetryAfter = Milliseconds(400);
// A backend server that takes no requests at all could not state another limit,
// so it still gets one now and then.
constexpr double kMinRateLimit = 0.5;
// The room of a cold backend server is known for some seconds ahead; later it
// is probably warm.
constexpr Duration kMaxColdRetryAfter = Seconds(3);
constexpr size_t kMaxWaitingItems = 512;
constexpr size_t kMaxTrackedKinds = 256;
// Most items take less than the mean service time multiplied by this factor.
constexpr double kServiceTimeSpread = 1.3;

void
UpdateMovingAverage(double& aMeanMs, double aMeasuredMs)
{
  aMeanMs = aMeanMs > 0
              ? aMeanMs + kServiceTimeSmoothing * (aMeasuredMs - aMeanMs)
              : aMeasuredMs;
}

} // namespace

size_t
WorkQueue::WaitingCount() const
{
  size_t count = 0;
  for (const auto& [rank, items] : m_waitingByRank) {
    count += items.size();
  }
  return count;
}

size_t
WorkQueue::WaitingUpToRank(uint32_t aRank) const
{
  size_t count = 0;
  for (const auto& [rank, items] : m_waitingByRank) {
    count += rank <= aRank ? items.size() : 0;
  }
  return count;
}

double
WorkQueue::TypicalServiceMs() const
{
  return m_meanServiceMs > 0
           ? m_meanServiceMs
           : std::max(m_assumedServiceMs, kMinAssumedServiceMs);
}

Duration
WorkQueue::ExpectedWait(uint32_t aRank) const
{
  const size_t runningAndWaiting = m_runningCount + WaitingUpToRank(aRank);
  if (runningAndWaiting < m_slots) {
    return {};
  }
  const double itemsAhead =
    static_cast<double>(runningAndWaiting + 1 - m_slots);
  return Milliseconds(
    static_cast<int64_t>(itemsAhead * TypicalServiceMs() / m_slots));
}

void
WorkQueue::SetRateLimit(std::optional<double> aItemsPerSecond, TimePoint aNow)
{
  if (!aItemsPerSecond) {
    m_rateLimit.reset();
    return;
  }
  const double rate = std::max(*aItemsPerSecond, kMinRateLimit);
  if (!m_rateLimit) {
    m_rateLimit.emplace(rate, aNow);
  } else if (rate != m_rateLimit->Rate()) {
    m_rateLimit->SetRate(rate, aNow);
  }
}

std::optional<double>
WorkQueue::RateLimit() const
{
  return m_rateLimit ? std::optional(m_rateLimit->Rate()) : std::nullopt;
}

bool
WorkQueue::TryTakeToken(WorkId aId, TimePoint aNow)
{
  if (!m_coldStart.TryStart(aId, aNow)) {
    return false;
  }
  if (m_rateLimit && !m_rateLimit->TryTake(aNow)) {
    m_coldStart.OnNotSent(aId);
    return false;
  }
  return true;
}

Duration
WorkQueue::ColdStartWait(uint32_t aRank, TimePoint aNow) const
{
  return m_coldStart.TimeUntilRoom(WaitingUpToRank(aRank) + 1, aNow);
}

Duration
WorkQueue::RefuseForColdStart(uint32_t aRank, TimePoint aNow)
{
  return std::clamp(m_coldStart.Refuse(WaitingUpToRank(aRank) + 1, aNow),
                    kMinRetryAfter,
                    kMaxColdRetryAfter);
}

Duration
WorkQueue::RateLimitWait(uint32_t aRank, TimePoint aNow) const
{
  if (!m_rateLimit) {
    return {};
  }
  return m_rateLimit->TimeUntil(static_cast<double>(WaitingUpToRank(aRank) + 1),
                                aNow);
}

SubmitResult
WorkQueue::Submit(const WorkItem& aItem, TimePoint aNow)
{
  if (m_runningCount < m_slots && WaitingUpToRank(aItem.m_rank) == 0 &&
      TryTakeToken(aItem.m_id, aNow)) {
    ++m_runningCount;
    return { WorkDecision::kStart, {} };
  }
  if (m_meanServiceMs <= 0) {
    const double timeLeftMs =
      static_cast<double>((aItem.m_targetTime - aNow).m_ms);
    m_assumedServiceMs =
      std::max(m_assumedServiceMs, kAssumedTargetShare * timeLeftMs);
  }
  const Duration coldWait = ColdStartWait(aItem.m_rank, aNow);
  const Duration otherWait =
    std::max(ExpectedWait(aItem.m_rank), RateLimitWait(aItem.m_rank, aNow));
  const Duration expectedWait = std::max(coldWait, otherWait);
  if (!CanFinishInTime(aItem, expectedWait, aNow) ||
      WaitingCount() >= kMaxWaitingItems) {
    return { WorkDecision::kRefuse,
             coldWait > otherWait
               ? RefuseForColdStart(aItem.m_rank, aNow)
               : std::clamp(expectedWait, kMinRetryAfter, kMaxRetryAfter) };
  }
  m_waitingByRank[aItem.m_rank].push_back(aItem);
  return { WorkDecision::kWait, {} };
}

Duration
WorkQueue::MeanServiceTime(const std::string& aKind) const
{
  const auto found = m_meanServiceMsByKind.find(aKind);
  const double meanMs =
    found == m_meanServiceMsByKind.end() ? TypicalServiceMs() : found->second;
  return Milliseconds(static_cast<int64_t>(meanMs));
}

bool
WorkQueue::CanFinishInTime(const WorkItem& aItem,
                           Duration aQueueWait,
                           TimePoint aNow) const
{
  const double serviceMs =
    kServiceTimeSpread *
    static_cast<double>(MeanServiceTime(aItem.m_kind).m_ms);
  const Duration timeLeft =
    std::min(aItem.m_targetTime, aItem.m_deadline) - aNow;
  return aQueueWait + Milliseconds(static_cast<int64_t>(serviceMs)) <= timeLeft;
}

void
WorkQueue::Finish(const std::string& aKind, Duration aServiceTime)
{
  if (m_runningCount > 0) {
    --m_runningCount;
  }
  if (aServiceTime.m_ms <= 0) {
    return;
  }
  const double measuredMs = static_cast<double>(aServiceTime.m_ms);
  UpdateMovingAverage(m_meanServiceMs, measuredMs);
  if (m_meanServiceMsByKind.size() >= kMaxTrackedKinds &&
      !m_meanServiceMsByKind.contains(aKind)) {
    m_meanServiceMsByKind.clear();
  }
  UpdateMovingAverage(m_meanServiceMsByKind[aKind], measuredMs);
}

std::vector<WorkQueue::DequeuedWork>
WorkQueue::Dequeue(TimePoint aNow)
{
  std::vector<DequeuedWork> dequeued;
  for (auto& [rank, items] : m_waitingByRank) {
    while (m_runningCount < m_slots && !items.empty()) {
      // An item that is already too late starts only if no other item waits.
      const bool mayStart =
        CanFinishInTime(items.front(), {}, aNow) || WaitingCount() == 1;
      if (mayStart && !TryTakeToken(items.front().m_id, aNow)) {
        break;
      }
      dequeued.push_back({ items.front().m_id, mayStart, std::nullopt });
      items.pop_front();
      m_runningCount += mayStart ? 1 : 0;
    }
    std::erase_if(items, [&](const WorkItem& aItem) {
      if (CanFinishInTime(aItem, {}, aNow)) {
        return false;
      }
      const bool waitedForColdStart =
        m_coldStart.TimeUntilRoom(1, aNow) > Duration{};
      dequeued.push_back(
        { aItem.m_id,
          false,
          waitedForColdStart
            ? std::optional(RefuseForColdStart(aItem.m_rank, aNow))
            : std::nullopt });
      return true;
    });
  }
  std::erase_if(m_waitingByRank,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  return dequeued;
}

bool
WorkQueue::Cancel(WorkId aId)
{
  for (auto& [rank, items] : m_waitingByRank) {
    const auto found = std::ranges::find(items, aId, &WorkItem::m_id);
    if (found != items.end()) {
      items.erase(found);
      return true;
    }
  }
  return false;
}

} // namespace rattanloft::sidecar
