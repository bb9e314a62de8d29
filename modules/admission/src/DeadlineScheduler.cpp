#include "DeadlineScheduler.h"

#include <algorithm>
#include <cmath>

namespace rattanloft::admission {

namespace {

constexpr double kLongFactor = 4;
constexpr Duration kProbeInterval = Seconds(1);
constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kMaxRetryAfter = Seconds(30);
// Expected wait by the time left from which a queued job is given up.
constexpr double kHopelessFactor = 1.25;
// Part of short work that may have to wait for a slot held by long work.
constexpr double kMaxWaiting = 0.01;
// Utilisation up to which short work still keeps up with its arrivals.
constexpr double kMaxUtilisation = 0.8;

// Probability that a request has to wait, for aLoad requests running on average
// (Erlang C).
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

// The middle value; for an even count the geometric mean of the middle two, so
// that one of two entries can count as long.
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

// Jobs of a queue that are due before a deadline, taking the deadlines as
// evenly spread.
double
CountBefore(const Entry& aEntry, TimePoint aDeadline)
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
DeadlineScheduler::NeedOf(const Entry& aEntry, const QueuedJob& aJob) const
{
  const auto budget =
    static_cast<double>((aJob.m_deadline - aJob.m_submittedAt).m_ms);
  const double upper = aEntry.m_times.Upper();
  // A deadline near the usual service time leaves no room for the quantile, and
  // requiring it would refuse jobs of which most would be in time.
  return budget < 2 * upper ? aEntry.m_times.Mean()
                            : std::max(upper, aEntry.m_times.Mean());
}

bool
DeadlineScheduler::MayProbe(const Entry& aEntry, TimePoint aNow) const
{
  // Without a job now and then, learned times that are too long would refuse
  // all further ones and never be corrected.
  const auto tenJobs = Milliseconds(
    static_cast<int64_t>(std::min(10 * aEntry.m_times.Mean(), 60'000.0)));
  return aEntry.m_running == 0 &&
         aNow - aEntry.m_startedAt >= std::max(kProbeInterval, tenJobs);
}

bool
DeadlineScheduler::IsLate(const Entry& aEntry,
                          const QueuedJob& aJob,
                          TimePoint aNow) const
{
  const auto left = static_cast<double>((aJob.m_deadline - aNow).m_ms);
  if (left <= 0) {
    return true;
  }
  return left < NeedOf(aEntry, aJob) && !MayProbe(aEntry, aNow);
}

bool
DeadlineScheduler::Admits(const Entry& aEntry,
                          const QueuedJob& aJob,
                          TimePoint aNow,
                          Duration& aRetryAfter) const
{
  const auto left = static_cast<double>((aJob.m_deadline - aNow).m_ms);
  const double wait = ExpectedWait(aEntry, aJob.m_deadline, aNow);
  if (left > 0 && (wait + NeedOf(aEntry, aJob) <= left ||
                   (wait <= 0 && MayProbe(aEntry, aNow)))) {
    return true;
  }
  aRetryAfter = RetryAfter(aEntry, aNow);
  return false;
}

double
DeadlineScheduler::Backlog(const Entry& aEntry,
                           TimePoint aDeadline,
                           TimePoint aNow) const
{
  double work = 0;
  for (const auto& other : AllEntries()) {
    if (other->m_long != aEntry.m_long ||
        other->m_limits.m_class > aEntry.m_limits.m_class) {
      continue;
    }
    const double count = other->m_limits.m_class < aEntry.m_limits.m_class
                           ? static_cast<double>(other->m_queue.size())
                           : CountBefore(*other, aDeadline);
    work += count * other->m_times.Mean();
  }
  for (const auto& [id, job] : Running()) {
    if (job.m_entry->m_long == aEntry.m_long) {
      const auto ran = static_cast<double>((aNow - job.m_startedAt).m_ms);
      work += std::max(0.0, job.m_entry->m_times.Mean() - ran);
    }
  }
  return work;
}

double
DeadlineScheduler::Servers(const Entry& aEntry, TimePoint aNow) const
{
  if (aEntry.m_long) {
    return LongLimit(true);
  }
  // Work of higher classes that arrives later also goes first.
  double higher = 0;
  for (const auto& other : AllEntries()) {
    if (!other->m_long && other->m_limits.m_class < aEntry.m_limits.m_class) {
      higher +=
        other->m_arrivals.PerSecond(aNow) * other->m_times.Mean() / 1000;
    }
  }
  const double open = std::max(1.0, double(Limit()) - LongRunning());
  return std::max(open - higher, 0.05 * open);
}

double
DeadlineScheduler::ExpectedWait(const Entry& aEntry,
                                TimePoint aDeadline,
                                TimePoint aNow) const
{
  if (Running().size() < Limit() && aEntry.m_queue.empty() &&
      (!aEntry.m_long || LongRunning() < LongLimit(false))) {
    return 0;
  }
  double wait = Backlog(aEntry, aDeadline, aNow) / Servers(aEntry, aNow);
  if (!HasRoom(aEntry)) {
    const double own = CountBefore(aEntry, aDeadline) * aEntry.m_times.Mean();
    wait = std::max(wait, own / aEntry.m_limits.m_maxInFlight);
  }
  return wait;
}

uint32_t
DeadlineScheduler::LongLimit(bool aUrgent) const
{
  const uint32_t slots = Limit();
  const uint32_t needed = aUrgent ? m_shortMinimum : m_shortComfort;
  const uint32_t reserved = std::max({ 1U, slots / 4, needed });
  return slots > reserved ? slots - reserved : 1;
}

bool
DeadlineScheduler::IsUrgent(const Entry& aEntry, TimePoint aNow) const
{
  const QueuedJob& job = aEntry.m_queue.begin()->second;
  const auto left = static_cast<double>((job.m_deadline - aNow).m_ms);
  const auto budget =
    static_cast<double>((job.m_deadline - job.m_submittedAt).m_ms);
  return left - NeedOf(aEntry, job) < budget / 2;
}

uint32_t
DeadlineScheduler::LongRunning() const
{
  uint32_t count = 0;
  for (const auto& entry : AllEntries()) {
    count += entry->m_long ? entry->m_running : 0;
  }
  return count;
}

bool
DeadlineScheduler::IsLongTurn(TimePoint aNow) const
{
  // With one slot, long and short work alternate, each for as long as a long
  // job takes.
  if (Limit() > 1) {
    return true;
  }
  double mean = 0;
  for (const auto& entry : AllEntries()) {
    mean = entry->m_long ? std::max(mean, entry->m_times.Mean()) : mean;
  }
  return static_cast<double>((aNow - m_longStartedAt).m_ms) >= 2 * mean;
}

Entry*
DeadlineScheduler::Pick(TimePoint aNow)
{
  const uint32_t longRunning = LongRunning();
  Entry* best = nullptr;
  Entry* firstLong = nullptr;
  const auto earlier = [](const Entry& aLeft, const Entry& aRight) {
    return aLeft.m_queue.begin()->first < aRight.m_queue.begin()->first;
  };
  for (const auto& entry : AllEntries()) {
    if (entry->m_queue.empty() || !HasRoom(*entry) ||
        (entry->m_long && longRunning >= LongLimit(IsUrgent(*entry, aNow)))) {
      continue;
    }
    if (entry->m_long &&
        (firstLong == nullptr || earlier(*entry, *firstLong))) {
      firstLong = entry.get();
    }
    if (best == nullptr || entry->m_limits.m_class < best->m_limits.m_class ||
        (entry->m_limits.m_class == best->m_limits.m_class &&
         earlier(*entry, *best))) {
      best = entry.get();
    }
  }
  // One slot goes to long work whenever it waits; else it would starve.
  if (firstLong != nullptr && longRunning == 0 && IsLongTurn(aNow)) {
    best = firstLong;
  }
  if (best != nullptr && best->m_long) {
    m_longStartedAt = aNow;
  }
  return best;
}

void
DeadlineScheduler::OnTick(TimePoint aNow,
                          std::vector<SchedulerAction>& aActions)
{
  Classify();
  UpdateLoad(aNow);
  for (const auto& entry : AllEntries()) {
    while (!entry->m_queue.empty() &&
           IsLate(*entry, entry->m_queue.begin()->second, aNow)) {
      RefuseFirst(*entry, RefusalReason::kTooLate, aNow, aActions);
    }
  }
  // From the longest jobs on, since each of them makes room for several others.
  for (Entry* entry : m_longestFirst) {
    while (!entry->m_queue.empty() && IsHopeless(*entry, aNow)) {
      RefuseLast(*entry, RefusalReason::kTooLate, aNow, aActions);
    }
  }
}

bool
DeadlineScheduler::IsHopeless(const Entry& aEntry, TimePoint aNow) const
{
  const QueuedJob& last = aEntry.m_queue.rbegin()->second;
  const auto left = static_cast<double>((last.m_deadline - aNow).m_ms);
  const double wait = ExpectedWait(aEntry, last.m_deadline, aNow) -
                      aEntry.m_times.Mean() / Servers(aEntry, aNow);
  return wait > kHopelessFactor * left;
}

void
DeadlineScheduler::UpdateLoad(TimePoint aNow)
{
  double load = 0;
  double longLoad = 0;
  for (const auto& entry : AllEntries()) {
    (entry->m_long ? longLoad : load) +=
      entry->m_arrivals.PerSecond(aNow) * entry->m_times.Mean() / 1000;
  }
  m_pressure = std::max(1.0, (load + longLoad) / std::max(1U, Limit()));
  uint32_t comfort = 0;
  while (comfort < Limit() && WaitProbability(comfort, load) > kMaxWaiting) {
    ++comfort;
  }
  m_shortComfort = comfort;
  m_shortMinimum = static_cast<uint32_t>(
    std::ceil(std::min<double>(Limit(), load / kMaxUtilisation)));
}

void
DeadlineScheduler::OnEntriesChanged()
{
  Classify();
}

void
DeadlineScheduler::Classify()
{
  std::vector<double> means;
  m_longestFirst.clear();
  for (const auto& entry : AllEntries()) {
    m_longestFirst.push_back(entry.get());
    if (entry->m_times.IsKnown()) {
      means.push_back(entry->m_times.Mean());
    }
  }
  const double bound = kLongFactor * Median(means);
  for (Entry* entry : m_longestFirst) {
    entry->m_long = entry->m_limits.m_class == WorkClass::kBulk ||
                    entry->m_times.Mean() > bound;
  }
  std::sort(m_longestFirst.begin(),
            m_longestFirst.end(),
            [](const Entry* aLeft, const Entry* aRight) {
              return aLeft->m_times.Mean() > aRight->m_times.Mean();
            });
}

Duration
DeadlineScheduler::RetryAfter(const Entry& aEntry, TimePoint aNow) const
{
  const TimePoint last = aNow + Seconds(3600);
  const double wait = ExpectedWait(aEntry, last, aNow);
  // Callers that were refused return on top of new arrivals, so the time grows
  // with the overload.
  const auto ms = static_cast<int64_t>(std::min(wait * m_pressure, 1e9));
  return std::clamp(Milliseconds(ms), kMinRetryAfter, kMaxRetryAfter);
}

} // namespace rattanloft::admission
