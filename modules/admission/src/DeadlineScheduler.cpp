#include "DeadlineScheduler.h"

#include <algorithm>
#include <cmath>

namespace rattanloft::admission {

namespace {

// An entry counts as long if its mean service time exceeds the median of all
// entries by this factor.
constexpr double kLongWorkFactor = 4;
constexpr Duration kMinProbeInterval = Seconds(1);
constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kMaxRetryAfter = Seconds(30);
// A queued job is refused once its expected wait is longer than this multiple
// of the time left to its deadline.
constexpr double kMaxWaitPerTimeLeft = 1.25;
// Share of short work that may have to wait for a slot held by long work.
constexpr double kMaxWaitProbability = 0.01;
// Utilisation of its slots up to which short work still keeps up with its
// arrivals.
constexpr double kMaxShortWorkUtilization = 0.8;

// Returns the probability that a request has to wait, by the Erlang C formula.
// aLoad is the average number of requests that run at a time.
double
WaitProbability(uint32_t aSlots, double aLoad)
{
  if (aLoad >= aSlots) {
    return 1;
  }
  double blocking = 1;
  for (uint32_t i = 1; i <= aSlots; ++i) {
    blocking = aLoad * blocking / (i + aLoad * blocking);
  }
  return blocking / (1 - aLoad / aSlots * (1 - blocking));
}

// Returns the median. For an even count it is the geometric mean of the middle
// two values, so that one of two entries can count as long.
double
Median(std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const size_t middle = aValues.size() / 2;
  return aValues.size() % 2 == 1
           ? aValues[middle]
           : std::sqrt(aValues[middle - 1] * aValues[middle]);
}

// Estimates how many jobs of a queue are due before a deadline, assuming that
// their deadlines are evenly spread.
double
CountDueBefore(const EntryState& aEntry, TimePoint aDeadline)
{
  if (aEntry.m_queue.empty()) {
    return 0;
  }
  const auto size = static_cast<double>(aEntry.m_queue.size());
  const int64_t first = aEntry.m_queue.begin()->first.first;
  const int64_t last = aEntry.m_queue.rbegin()->first.first;
  if (aDeadline.m_ms >= last) {
    return size;
  }
  if (aDeadline.m_ms <= first) {
    return 0;
  }
  return size * static_cast<double>(aDeadline.m_ms - first) /
         static_cast<double>(last - first);
}

} // namespace

double
DeadlineScheduler::RequiredMs(const EntryState& aEntry,
                              const QueuedJob& aJob) const
{
  const auto budgetMs =
    static_cast<double>((aJob.m_deadline - aJob.m_submittedAt).m_ms);
  const double p95Ms = aEntry.m_serviceTimes.P95Ms();
  // A deadline near the usual service time leaves no room for the 95 %
  // quantile, and requiring it would refuse jobs of which most would be in
  // time.
  return budgetMs < 2 * p95Ms ? aEntry.m_serviceTimes.MeanMs()
                              : std::max(p95Ms, aEntry.m_serviceTimes.MeanMs());
}

bool
DeadlineScheduler::MayProbe(const EntryState& aEntry, TimePoint aNow) const
{
  // Without an occasional job, learned times that are too long would refuse all
  // further jobs and never be corrected.
  const auto timeOfTenJobs = Milliseconds(static_cast<int64_t>(
    std::min(10 * aEntry.m_serviceTimes.MeanMs(), 60'000.0)));
  return aEntry.m_running == 0 && aNow - aEntry.m_lastStartedAt >=
                                    std::max(kMinProbeInterval, timeOfTenJobs);
}

bool
DeadlineScheduler::IsTooLateToStart(const EntryState& aEntry,
                                    const QueuedJob& aJob,
                                    TimePoint aNow) const
{
  const auto leftMs = static_cast<double>((aJob.m_deadline - aNow).m_ms);
  if (leftMs <= 0) {
    return true;
  }
  return leftMs < RequiredMs(aEntry, aJob) && !MayProbe(aEntry, aNow);
}

bool
DeadlineScheduler::Admits(const EntryState& aEntry,
                          const QueuedJob& aJob,
                          TimePoint aNow,
                          Duration& aRetryAfter) const
{
  const auto leftMs = static_cast<double>((aJob.m_deadline - aNow).m_ms);
  const double waitMs = ExpectedWaitMs(aEntry, aJob.m_deadline, aNow);
  if (leftMs > 0 && (waitMs + RequiredMs(aEntry, aJob) <= leftMs ||
                     (waitMs <= 0 && MayProbe(aEntry, aNow)))) {
    return true;
  }
  aRetryAfter = RetryAfter(aEntry, aNow);
  return false;
}

double
DeadlineScheduler::BacklogMs(const EntryState& aEntry,
                             TimePoint aDeadline,
                             TimePoint aNow) const
{
  double workMs = 0;
  for (const auto& other : AllEntries()) {
    if (other->m_isLong != aEntry.m_isLong ||
        other->m_limits.m_class > aEntry.m_limits.m_class) {
      continue;
    }
    const double count = other->m_limits.m_class < aEntry.m_limits.m_class
                           ? static_cast<double>(other->m_queue.size())
                           : CountDueBefore(*other, aDeadline);
    workMs += count * other->m_serviceTimes.MeanMs();
  }
  for (const auto& [id, job] : RunningJobs()) {
    if (job.m_entry->m_isLong == aEntry.m_isLong) {
      const auto ranMs = static_cast<double>((aNow - job.m_startedAt).m_ms);
      workMs += std::max(0.0, job.m_entry->m_serviceTimes.MeanMs() - ranMs);
    }
  }
  return workMs;
}

double
DeadlineScheduler::AvailableSlots(const EntryState& aEntry,
                                  TimePoint aNow) const
{
  if (aEntry.m_isLong) {
    return LongWorkSlotLimit(true);
  }
  // Work of higher classes that arrives later also runs first.
  double higherClassLoad = 0;
  for (const auto& other : AllEntries()) {
    if (!other->m_isLong && other->m_limits.m_class < aEntry.m_limits.m_class) {
      higherClassLoad += other->m_arrivals.PerSecond(aNow) *
                         other->m_serviceTimes.MeanMs() / 1000;
    }
  }
  const double freeSlots =
    std::max(1.0, double(CurrentSlotLimit()) - RunningLongJobs());
  return std::max(freeSlots - higherClassLoad, 0.05 * freeSlots);
}

double
DeadlineScheduler::ExpectedWaitMs(const EntryState& aEntry,
                                  TimePoint aDeadline,
                                  TimePoint aNow) const
{
  if (RunningJobs().size() < CurrentSlotLimit() && aEntry.m_queue.empty() &&
      (!aEntry.m_isLong || RunningLongJobs() < LongWorkSlotLimit(false))) {
    return 0;
  }
  double waitMs =
    BacklogMs(aEntry, aDeadline, aNow) / AvailableSlots(aEntry, aNow);
  if (!IsBelowInFlightLimit(aEntry)) {
    const double ownMs =
      CountDueBefore(aEntry, aDeadline) * aEntry.m_serviceTimes.MeanMs();
    waitMs = std::max(waitMs, ownMs / aEntry.m_limits.m_maxInFlight);
  }
  return waitMs;
}

uint32_t
DeadlineScheduler::LongWorkSlotLimit(bool aUrgent) const
{
  const uint32_t slots = CurrentSlotLimit();
  const uint32_t needed =
    aUrgent ? m_shortWorkSlotsMinimum : m_shortWorkSlotsWithoutWait;
  const uint32_t reserved = std::max({ 1U, slots / 4, needed });
  return slots > reserved ? slots - reserved : 1;
}

bool
DeadlineScheduler::IsLongWorkUrgent(const EntryState& aEntry,
                                    TimePoint aNow) const
{
  const QueuedJob& job = aEntry.m_queue.begin()->second;
  const auto leftMs = static_cast<double>((job.m_deadline - aNow).m_ms);
  const auto budgetMs =
    static_cast<double>((job.m_deadline - job.m_submittedAt).m_ms);
  return leftMs - RequiredMs(aEntry, job) < budgetMs / 2;
}

uint32_t
DeadlineScheduler::RunningLongJobs() const
{
  uint32_t count = 0;
  for (const auto& entry : AllEntries()) {
    count += entry->m_isLong ? entry->m_running : 0;
  }
  return count;
}

bool
DeadlineScheduler::IsLongWorkTurn(TimePoint aNow) const
{
  // With one slot, long and short work alternate, each for as long as a long
  // job takes.
  if (CurrentSlotLimit() > 1) {
    return true;
  }
  double longestMeanMs = 0;
  for (const auto& entry : AllEntries()) {
    longestMeanMs = entry->m_isLong
                      ? std::max(longestMeanMs, entry->m_serviceTimes.MeanMs())
                      : longestMeanMs;
  }
  return static_cast<double>((aNow - m_longWorkStartedAt).m_ms) >=
         2 * longestMeanMs;
}

EntryState*
DeadlineScheduler::PickEntry(TimePoint aNow)
{
  const uint32_t runningLongJobs = RunningLongJobs();
  EntryState* best = nullptr;
  EntryState* firstLong = nullptr;
  const auto earlier = [](const EntryState& aLeft, const EntryState& aRight) {
    return aLeft.m_queue.begin()->first < aRight.m_queue.begin()->first;
  };
  for (const auto& entry : AllEntries()) {
    if (entry->m_queue.empty() || !IsBelowInFlightLimit(*entry) ||
        (entry->m_isLong &&
         runningLongJobs >=
           LongWorkSlotLimit(IsLongWorkUrgent(*entry, aNow)))) {
      continue;
    }
    if (entry->m_isLong &&
        (firstLong == nullptr || earlier(*entry, *firstLong))) {
      firstLong = entry.get();
    }
    if (best == nullptr || entry->m_limits.m_class < best->m_limits.m_class ||
        (entry->m_limits.m_class == best->m_limits.m_class &&
         earlier(*entry, *best))) {
      best = entry.get();
    }
  }
  // Waiting long work always gets one slot; otherwise it would starve.
  if (firstLong != nullptr && runningLongJobs == 0 && IsLongWorkTurn(aNow)) {
    best = firstLong;
  }
  if (best != nullptr && best->m_isLong) {
    m_longWorkStartedAt = aNow;
  }
  return best;
}

void
DeadlineScheduler::OnTick(TimePoint aNow,
                          std::vector<SchedulerAction>& aActions)
{
  ClassifyEntries();
  UpdateLoadEstimates(aNow);
  for (const auto& entry : AllEntries()) {
    while (!entry->m_queue.empty() &&
           IsTooLateToStart(*entry, entry->m_queue.begin()->second, aNow)) {
      RefuseFirst(*entry, RefusalReason::kDeadlineUnreachable, aNow, aActions);
    }
  }
  // Starts with the longest jobs, since each of them makes room for several
  // others.
  for (EntryState* entry : m_longestFirst) {
    while (!entry->m_queue.empty() && IsLastJobTooLate(*entry, aNow)) {
      RefuseLast(*entry, RefusalReason::kDeadlineUnreachable, aNow, aActions);
    }
  }
}

bool
DeadlineScheduler::IsLastJobTooLate(const EntryState& aEntry,
                                    TimePoint aNow) const
{
  const QueuedJob& last = aEntry.m_queue.rbegin()->second;
  const auto leftMs = static_cast<double>((last.m_deadline - aNow).m_ms);
  const double waitMs =
    ExpectedWaitMs(aEntry, last.m_deadline, aNow) -
    aEntry.m_serviceTimes.MeanMs() / AvailableSlots(aEntry, aNow);
  return waitMs > kMaxWaitPerTimeLeft * leftMs;
}

void
DeadlineScheduler::UpdateLoadEstimates(TimePoint aNow)
{
  double shortLoad = 0;
  double longLoad = 0;
  for (const auto& entry : AllEntries()) {
    (entry->m_isLong ? longLoad : shortLoad) +=
      entry->m_arrivals.PerSecond(aNow) * entry->m_serviceTimes.MeanMs() / 1000;
  }
  m_overloadFactor =
    std::max(1.0, (shortLoad + longLoad) / std::max(1U, CurrentSlotLimit()));
  uint32_t slotsWithoutWait = 0;
  while (slotsWithoutWait < CurrentSlotLimit() &&
         WaitProbability(slotsWithoutWait, shortLoad) > kMaxWaitProbability) {
    ++slotsWithoutWait;
  }
  m_shortWorkSlotsWithoutWait = slotsWithoutWait;
  m_shortWorkSlotsMinimum = static_cast<uint32_t>(std::ceil(std::min<double>(
    CurrentSlotLimit(), shortLoad / kMaxShortWorkUtilization)));
}

void
DeadlineScheduler::OnEntriesChanged()
{
  ClassifyEntries();
}

void
DeadlineScheduler::ClassifyEntries()
{
  std::vector<double> meansMs;
  m_longestFirst.clear();
  for (const auto& entry : AllEntries()) {
    m_longestFirst.push_back(entry.get());
    if (entry->m_serviceTimes.IsKnown()) {
      meansMs.push_back(entry->m_serviceTimes.MeanMs());
    }
  }
  const double longBoundMs = kLongWorkFactor * Median(meansMs);
  for (EntryState* entry : m_longestFirst) {
    entry->m_isLong = entry->m_limits.m_class == WorkClass::kBulk ||
                      entry->m_serviceTimes.MeanMs() > longBoundMs;
  }
  std::sort(m_longestFirst.begin(),
            m_longestFirst.end(),
            [](const EntryState* aLeft, const EntryState* aRight) {
              return aLeft->m_serviceTimes.MeanMs() >
                     aRight->m_serviceTimes.MeanMs();
            });
}

Duration
DeadlineScheduler::RetryAfter(const EntryState& aEntry, TimePoint aNow) const
{
  const TimePoint last = aNow + Seconds(3600);
  const double waitMs = ExpectedWaitMs(aEntry, last, aNow);
  // Callers that were refused return on top of new arrivals, so the retry delay
  // grows with the overload.
  const auto ms =
    static_cast<int64_t>(std::min(waitMs * m_overloadFactor, 1e9));
  return std::clamp(Milliseconds(ms), kMinRetryAfter, kMaxRetryAfter);
}

} // namespace rattanloft::admission
