#include "QueueScheduler.h"

#include <algorithm>
#include <iterator>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::admission {

namespace {

// The catalogue holds at most as many.
constexpr size_t kMaxEntries = 1000;
// Over all entries, whatever their own limits add up to.
constexpr size_t kMaxQueued = 10'000;
constexpr Duration kRetryWithoutBackend = Seconds(1);

} // namespace

void
QueueScheduler::SetLimits(std::vector<EntryLimits> aEntries)
{
  if (aEntries.size() > kMaxEntries) {
    LogError("sched", "{} entries, keeping {}", aEntries.size(), kMaxEntries);
    aEntries.resize(kMaxEntries);
  }
  for (const auto& entry : m_entries) {
    entry->m_removed = true;
  }
  for (EntryLimits& limits : aEntries) {
    Entry*& entry = m_byName[limits.m_entry];
    if (entry == nullptr) {
      m_entries.push_back(std::make_unique<Entry>());
      entry = m_entries.back().get();
    }
    entry->m_removed = false;
    entry->m_limits = std::move(limits);
  }
  DropUnusedEntries();
  OnEntriesChanged();
}

void
QueueScheduler::SetBackend(uint32_t aSlots, TimePoint aNow, bool aCold)
{
  m_slots.SetSlots(aSlots, aNow, aCold);
}

std::vector<SchedulerAction>
QueueScheduler::Submit(Job aJob, TimePoint aNow)
{
  RATTANLOFT_ASSERT(m_queued.count(aJob.m_id) == 0 &&
                    m_running.count(aJob.m_id) == 0);
  const auto refuse = [&](RefusalReason aReason, Duration aRetryAfter) {
    return std::vector<SchedulerAction>{
      { SchedulerActionKind::kRefuse, aJob.m_id, aReason, aRetryAfter }
    };
  };
  m_slots.Advance(aNow);
  Entry* entry = FindEntry(aJob.m_entry);
  if (entry == nullptr || entry->m_removed) {
    return refuse(RefusalReason::kUnknownEntry, kRetryWithoutBackend);
  }
  entry->m_arrivals.Add(aNow);
  if (m_slots.Slots() == 0) {
    return refuse(RefusalReason::kDraining, kRetryWithoutBackend);
  }
  const QueuedJob job{ aJob.m_id, aNow, aJob.m_deadline };
  Duration retryAfter;
  if (!Admits(*entry, job, aNow, retryAfter)) {
    return refuse(RefusalReason::kTooLate, retryAfter);
  }
  const QueueKey key{ KeyOf(job), ++m_arrival };
  entry->m_queue.emplace(key, job);
  m_queued.emplace(aJob.m_id, std::pair(entry, key));
  std::vector<SchedulerAction> actions;
  Dispatch(aNow, actions);
  // The bound is on jobs that wait, so a job that started at once is no excess.
  const bool full = entry->m_queue.size() > entry->m_limits.m_maxQueue ||
                    m_queued.size() > kMaxQueued;
  if (full && CancelQueued(aJob.m_id)) {
    actions.push_back({ SchedulerActionKind::kRefuse,
                        aJob.m_id,
                        RefusalReason::kQueueFull,
                        RetryAfter(*entry, aNow) });
  }
  return actions;
}

std::vector<SchedulerAction>
QueueScheduler::Finish(JobId aJob, JobResult aResult, TimePoint aNow)
{
  const auto found = m_running.find(aJob);
  RATTANLOFT_ASSERT(found != m_running.end());
  const RunningJob job = found->second;
  m_running.erase(found);
  --job.m_entry->m_running;
  if (aResult == JobResult::kAnswered) {
    const bool first = !job.m_entry->m_times.IsKnown();
    job.m_entry->m_times.Add(aNow - job.m_startedAt);
    if (first) {
      OnEntriesChanged();
    }
  } else if (aResult != JobResult::kShed) {
    job.m_entry->m_times.AddUnfinished(aNow - job.m_startedAt);
  }
  m_slots.Advance(aNow);
  if (aResult == JobResult::kShed) {
    m_slots.OnShed(aNow);
  }
  std::vector<SchedulerAction> actions;
  Dispatch(aNow, actions);
  return actions;
}

bool
QueueScheduler::CancelQueued(JobId aJob)
{
  const auto found = m_queued.find(aJob);
  if (found == m_queued.end()) {
    return false;
  }
  const auto [entry, key] = found->second;
  entry->m_queue.erase(key);
  m_queued.erase(found);
  return true;
}

std::vector<SchedulerAction>
QueueScheduler::Tick(TimePoint aNow)
{
  m_slots.Advance(aNow);
  std::vector<SchedulerAction> actions;
  for (const auto& entry : m_entries) {
    if (entry->m_removed) {
      RefuseAll(*entry, RefusalReason::kUnknownEntry, aNow, actions);
    } else if (m_slots.Slots() == 0) {
      RefuseAll(*entry, RefusalReason::kDraining, aNow, actions);
    }
  }
  DropUnusedEntries();
  OnTick(aNow, actions);
  Dispatch(aNow, actions);
  return actions;
}

SchedulerCounters
QueueScheduler::Counters() const
{
  return { static_cast<uint32_t>(m_running.size()),
           static_cast<uint32_t>(m_queued.size()),
           m_slots.Current() };
}

bool
QueueScheduler::HasRoom(const Entry& aEntry) const
{
  return aEntry.m_limits.m_maxInFlight == 0 ||
         aEntry.m_running < aEntry.m_limits.m_maxInFlight;
}

void
QueueScheduler::RefuseFirst(Entry& aEntry,
                            RefusalReason aReason,
                            TimePoint aNow,
                            std::vector<SchedulerAction>& aActions)
{
  Refuse(aEntry, aEntry.m_queue.begin(), aReason, aNow, aActions);
}

void
QueueScheduler::RefuseLast(Entry& aEntry,
                           RefusalReason aReason,
                           TimePoint aNow,
                           std::vector<SchedulerAction>& aActions)
{
  Refuse(aEntry, std::prev(aEntry.m_queue.end()), aReason, aNow, aActions);
}

void
QueueScheduler::Refuse(Entry& aEntry,
                       std::map<QueueKey, QueuedJob>::iterator aJob,
                       RefusalReason aReason,
                       TimePoint aNow,
                       std::vector<SchedulerAction>& aActions)
{
  const JobId id = aJob->second.m_id;
  aEntry.m_queue.erase(aJob);
  m_queued.erase(id);
  aActions.push_back(
    { SchedulerActionKind::kRefuse, id, aReason, RetryAfter(aEntry, aNow) });
}

Entry*
QueueScheduler::FindEntry(std::string_view aName) const
{
  const auto found = m_byName.find(std::string(aName));
  return found == m_byName.end() ? nullptr : found->second;
}

void
QueueScheduler::Dispatch(TimePoint aNow, std::vector<SchedulerAction>& aActions)
{
  while (m_running.size() < m_slots.Current() && !m_queued.empty()) {
    RefuseLate(aNow, aActions);
    Entry* entry = Pick(aNow);
    if (entry == nullptr) {
      return;
    }
    StartFirst(*entry, aNow, aActions);
  }
}

void
QueueScheduler::StartFirst(Entry& aEntry,
                           TimePoint aNow,
                           std::vector<SchedulerAction>& aActions)
{
  const auto first = aEntry.m_queue.begin();
  const JobId id = first->second.m_id;
  aEntry.m_queue.erase(first);
  m_queued.erase(id);
  ++aEntry.m_running;
  aEntry.m_startedAt = aNow;
  m_running.emplace(id, RunningJob{ &aEntry, aNow });
  aActions.push_back({ SchedulerActionKind::kStart, id, {}, {} });
}

void
QueueScheduler::RefuseLate(TimePoint aNow,
                           std::vector<SchedulerAction>& aActions)
{
  for (const auto& entry : m_entries) {
    while (!entry->m_queue.empty() &&
           IsLate(*entry, entry->m_queue.begin()->second, aNow)) {
      RefuseFirst(*entry, RefusalReason::kTooLate, aNow, aActions);
    }
  }
}

void
QueueScheduler::RefuseAll(Entry& aEntry,
                          RefusalReason aReason,
                          TimePoint aNow,
                          std::vector<SchedulerAction>& aActions)
{
  while (!aEntry.m_queue.empty()) {
    RefuseFirst(aEntry, aReason, aNow, aActions);
  }
}

void
QueueScheduler::DropUnusedEntries()
{
  const size_t before = m_entries.size();
  std::erase_if(m_entries, [this](const std::unique_ptr<Entry>& aEntry) {
    const bool unused =
      aEntry->m_removed && aEntry->m_running == 0 && aEntry->m_queue.empty();
    if (unused) {
      m_byName.erase(aEntry->m_limits.m_entry);
    }
    return unused;
  });
  if (m_entries.size() != before) {
    OnEntriesChanged();
  }
}

} // namespace rattanloft::admission
