#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

using JobId = uint64_t;

// Priority of work, highest first. The values match the work classes of the
// catalogue.
enum class WorkClass
{
  kInteractive,
  kPrompt,
  kBulk,
};

// Limits of one catalogue entry.
struct EntryLimits
{
  std::string m_entry;
  WorkClass m_class = WorkClass::kInteractive;
  // 0 means the number of slots of the backend server.
  uint32_t m_maxInFlight = 0;
  uint32_t m_maxQueue = 100;
};

// A request of one catalogue entry that wants a slot.
struct Job
{
  JobId m_id = 0;
  std::string m_entry;
  // The caller has no use for an answer after this point.
  TimePoint m_deadline;
};

enum class RefusalReason
{
  kUnknownEntry,
  // The queue of the entry or of the whole scheduler is at its limit.
  kQueueFull,
  // The expected wait and service time end after the deadline.
  kDeadlineUnreachable,
  // The backend server drains: it offers no slots.
  kDraining,
};

enum class SchedulerActionKind
{
  kStart,
  kRefuse,
};

// What the caller has to do with a job: start it or refuse it.
struct SchedulerAction
{
  SchedulerActionKind m_kind;
  JobId m_job;
  // Only for kRefuse.
  RefusalReason m_reason = RefusalReason::kDeadlineUnreachable;
  // Only for kRefuse: the time after which a new attempt has a chance.
  Duration m_retryAfter;
};

enum class JobResult
{
  kAnswered,
  // The backend server refused the job without running it.
  kShed,
  kFailed,
  kCancelled,
};

struct SchedulerCounters
{
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  // Number of slots that may be used now. Below the announced number while the
  // backend server is cold or sheds load.
  uint32_t m_slotLimit = 0;
};

// Decides which requests run on the backend server beside this node, and when.
// Every submitted job gets exactly one kStart or kRefuse unless it is cancelled
// while queued; every started job must be finished exactly once. Does no I/O
// and reads no clock; owned by the traffic thread.
class Scheduler
{
public:
  // Returns a scheduler of the strategy "deadline" or "fifo", or null for any
  // other name.
  static std::unique_ptr<Scheduler> Make(std::string_view aStrategy);

  Scheduler() = default;
  virtual ~Scheduler() = default;

  // Replaces the entries. Queued jobs of removed ones are refused by the next
  // Tick; running ones may finish.
  virtual void SetLimits(std::vector<EntryLimits> aEntries) = 0;
  // Sets the number of slots that the backend server has announced; 0 refuses
  // all work. aCold starts the slot ramp of a new incarnation, whose caches are
  // empty.
  virtual void SetBackend(uint32_t aSlots, TimePoint aNow, bool aCold) = 0;
  virtual std::vector<SchedulerAction> Submit(Job aJob, TimePoint aNow) = 0;
  virtual std::vector<SchedulerAction> Finish(JobId aJob,
                                              JobResult aResult,
                                              TimePoint aNow) = 0;
  // Drops a queued job without an action. Returns false if the job is not
  // queued.
  virtual bool CancelQueued(JobId aJob) = 0;
  // Refuses queued jobs that can no longer be answered in time. Must be called
  // every 10 ms.
  virtual std::vector<SchedulerAction> Tick(TimePoint aNow) = 0;
  virtual SchedulerCounters Counters() const = 0;
};

} // namespace rattanloft::admission
