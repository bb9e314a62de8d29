#include "QueueScheduler.h"

#include <algorithm>
#include <iterator>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::admission {

namespace {

// The catalogue holds at most this many entries.
constexpr size_t kMaxEntryCount = 1000;
// Limit over all entries, whatever their own limits add up to.
constexpr size_t kMaxQueuedJobs = 10'000;
constexpr Duration kRetryAfterWithoutBackend = Seconds(1);

} // namespace

void
QueueScheduler::SetLimits(std::vector<EntryLimits> aEntries)
{
  if (aEntries.size() > kMaxEntryCount) {
    LogError("sched",
             "received limits of {} entries; using the first {}",
             aEntries.size(),
             kMaxEntryCount);
    aEntries.resize(kMaxEntryCount);
  }
  for (const auto& entry : m_entries) {
    entry->m_removed = true;
  }
  for (EntryLimits& limits : aEntries) {
    EntryState*& entry = m_entriesByName[limits.m_entry];
    if (entry == nullptr) {
      m_entries.push_back(std::make_unique<EntryState>());
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
  m_slotLimit.SetSlots(aSlots, aNow, aCold);
}

std::vector<SchedulerAction>
QueueScheduler::Submit(Job aJob, TimePoint aNow)
{
  RATTANLOFT_ASSERT(m_queuedJobs.count(aJob.m_id) == 0 &&
                    m_runningJobs.count(aJob.m_id) == 0);
  const auto refuse = [&](RefusalReason aReason, Duration aRetryAfter) {
    return std::vector<SchedulerAction>{
      { SchedulerActionKind::kRefuse, aJob.m_id, aReason, aRetryAfter }
    };
  };
  m_slotLimit.Advance(aNow);
  EntryState* entry = FindEntry(aJob.m_entry);
  if (entry == nullptr || entry->m_removed) {
    return refuse(RefusalReason::kUnknownEntry, kRetryAfterWithoutBackend);
  }
  entry->m_arrivals.Add(aNow);
  if (m_slotLimit.AnnouncedSlots() == 0) {
    return refuse(RefusalReason::kDraining, kRetryAfterWithoutBackend);
  }
  const QueuedJob job{ aJob.m_id, aNow, aJob.m_deadline };
  Duration retryAfter;
  if (!Admits(*entry, job, aNow, retryAfter)) {
    return refuse(RefusalReason::kDeadlineUnreachable, retryAfter);
  }
  const QueueKey key{ OrderKeyOf(job), ++m_arrivalCount };
  entry->m_queue.emplace(key, job);
  m_queuedJobs.emplace(aJob.m_id, std::pair(entry, key));
  std::vector<SchedulerAction> actions;
  Dispatch(aNow, actions);
  // The limit applies to waiting jobs, so a job that started at once does not
  // count.
  const bool full = entry->m_queue.size() > entry->m_limits.m_maxQueue ||
                    m_queuedJobs.size() > kMaxQueuedJobs;
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
  const auto found = m_runningJobs.find(aJob);
  RATTANLOFT_ASSERT(found != m_runningJobs.end());
  const RunningJob job = found->second;
  m_runningJobs.erase(found);
  --job.m_entry->m_running;
  if (aResult == JobResult::kAnswered) {
    const bool first = !job.m_entry->m_serviceTimes.IsKnown();
    job.m_entry->m_serviceTimes.Add(aNow - job.m_startedAt);
    if (first) {
      OnEntriesChanged();
    }
  } else if (aResult != JobResult::kShed) {
    job.m_entry->m_serviceTimes.AddUnfinished(aNow - job.m_startedAt);
  }
  m_slotLimit.Advance(aNow);
  if (aResult == JobResult::kShed) {
    m_slotLimit.OnShed(aNow);
  }
  std::vector<SchedulerAction> actions;
  Dispatch(aNow, actions);
  return actions;
}

bool
QueueScheduler::CancelQueued(JobId aJob)
{
  const auto found = m_queuedJobs.find(aJob);
  if (found == m_queuedJobs.end()) {
    return false;
  }
  const auto [entry, key] = found->second;
  entry->m_queue.erase(key);
  m_queuedJobs.erase(found);
  return true;
}

std::vector<SchedulerAction>
QueueScheduler::Tick(TimePoint aNow)
{
  m_slotLimit.Advance(aNow);
  std::vector<SchedulerAction> actions;
  for (const auto& entry : m_entries) {
    if (entry->m_removed) {
      RefuseAllQueued(*entry, RefusalReason::kUnknownEntry, aNow, actions);
    } else if (m_slotLimit.AnnouncedSlots() == 0) {
      RefuseAllQueued(*entry, RefusalReason::kDraining, aNow, actions);
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
  return { static_cast<uint32_t>(m_runningJobs.size()),
           static_cast<uint32_t>(m_queuedJobs.size()),
           m_slotLimit.CurrentLimit() };
}

bool
QueueScheduler::IsBelowInFlightLimit(const EntryState& aEntry) const
{
  return aEntry.m_limits.m_maxInFlight == 0 ||
         aEntry.m_running < aEntry.m_limits.m_maxInFlight;
}

void
QueueScheduler::RefuseFirst(EntryState& aEntry,
                            RefusalReason aReason,
                            TimePoint aNow,
                            std::vector<SchedulerAction>& aActions)
{
  Refuse(aEntry, aEntry.m_queue.begin(), aReason, aNow, aActions);
}

void
QueueScheduler::RefuseLast(EntryState& aEntry,
                           RefusalReason aReason,
                           TimePoint aNow,
                           std::vector<SchedulerAction>& aActions)
{
  Refuse(aEntry, std::prev(aEntry.m_queue.end()), aReason, aNow, aActions);
}

void
QueueScheduler::Refuse(EntryState& aEntry,
                       std::map<QueueKey, QueuedJob>::iterator aJob,
                       RefusalReason aReason,
                       TimePoint aNow,
                       std::vector<SchedulerAction>& aActions)
{
  const JobId id = aJob->second.m_id;
  aEntry.m_queue.erase(aJob);
  m_queuedJobs.erase(id);
  aActions.push_back(
    { SchedulerActionKind::kRefuse, id, aReason, RetryAfter(aEntry, aNow) });
}

EntryState*
QueueScheduler::FindEntry(std::string_view aName) const
{
  const auto found = m_entriesByName.find(std::string(aName));
  return found == m_entriesByName.end() ? nullptr : found->second;
}

void
QueueScheduler::Dispatch(TimePoint aNow, std::vector<SchedulerAction>& aActions)
{
  while (m_runningJobs.size() < m_slotLimit.CurrentLimit() &&
         !m_queuedJobs.empty()) {
    RefuseLateJobs(aNow, aActions);
    EntryState* entry = PickEntry(aNow);
    if (entry == nullptr) {
      return;
    }
    StartFirst(*entry, aNow, aActions);
  }
}

void
QueueScheduler::StartFirst(EntryState& aEntry,
                           TimePoint aNow,
                           std::vector<SchedulerAction>& aActions)
{
  const auto first = aEntry.m_queue.begin();
  const JobId id = first->second.m_id;
  aEntry.m_queue.erase(first);
  m_queuedJobs.erase(id);
  ++aEntry.m_running;
  aEntry.m_lastStartedAt = aNow;
  m_runningJobs.emplace(id, RunningJob{ &aEntry, aNow });
  aActions.push_back({ SchedulerActionKind::kStart, id, {}, {} });
}

void
QueueScheduler::RefuseLateJobs(TimePoint aNow,
                               std::vector<SchedulerAction>& aActions)
{
  for (const auto& entry : m_entries) {
    while (!entry->m_queue.empty() &&
           IsTooLateToStart(*entry, entry->m_queue.begin()->second, aNow)) {
      RefuseFirst(*entry, RefusalReason::kDeadlineUnreachable, aNow, aActions);
    }
  }
}

void
QueueScheduler::RefuseAllQueued(EntryState& aEntry,
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
  std::erase_if(m_entries, [this](const std::unique_ptr<EntryState>& aEntry) {
    const bool unused =
      aEntry->m_removed && aEntry->m_running == 0 && aEntry->m_queue.empty();
    if (unused) {
      m_entriesByName.erase(aEntry->m_limits.m_entry);
    }
    return unused;
  });
  if (m_entries.size() != before) {
    OnEntriesChanged();
  }
}

} // namespace rattanloft::admission
