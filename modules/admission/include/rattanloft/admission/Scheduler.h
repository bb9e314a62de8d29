#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

using JobId = uint64_t;

// Order of classes when several wait. Values match the catalogue's classes.
enum class WorkClass
{
  kInteractive,
  kPrompt,
  kBulk,
};

struct EntryLimits
{
  std::string m_entry;
  WorkClass m_class = WorkClass::kInteractive;
  // 0 means the slots of the backend server.
  uint32_t m_maxInFlight = 0;
  uint32_t m_maxQueue = 100;
};

struct Job
{
  JobId m_id = 0;
  std::string m_entry;
  // The caller no longer wants the answer after this point.
  TimePoint m_deadline;
};

enum class RefusalReason
{
  kUnknownEntry,
  kQueueFull,
  // The expected wait and service time pass the deadline.
  kDeadlineUnreachable,
  kDraining,
};

enum class SchedulerActionKind
{
  kStart,
  kRefuse,
};

struct SchedulerAction
{
  SchedulerActionKind m_kind;
  JobId m_job;
  // For kRefuse.
  RefusalReason m_reason = RefusalReason::kDeadlineUnreachable;
  // When a new attempt has a chance.
  Duration m_retryAfter;
};

enum class JobResult
{
  kAnswered,
  // The backend server refused without running it.
  kShed,
  kFailed,
  kCancelled,
};

struct SchedulerCounters
{
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  // Slots in use now as limit; below the announced ones while cold or shedding.
  uint32_t m_slotLimit = 0;
};

// Decides which request runs on the backend server beside this node, and when.
// Pure; owned by the traffic thread. Every submitted job gets exactly one
// kStart or kRefuse unless it is cancelled while queued; every started job is
// finished exactly once.
class Scheduler
{
public:
  // aStrategy is "deadline" or "fifo"; null for any other name.
  static std::unique_ptr<Scheduler> Make(std::string_view aStrategy);

  Scheduler() = default;
  virtual ~Scheduler() = default;

  virtual void SetLimits(std::vector<EntryLimits> aEntries) = 0;
  // A new incarnation of the backend server starts cold: its slot limit ramps
  // up.
  virtual void SetBackend(uint32_t aSlots, TimePoint aNow, bool aCold) = 0;
  virtual std::vector<SchedulerAction> Submit(Job aJob, TimePoint aNow) = 0;
  virtual std::vector<SchedulerAction> Finish(JobId aJob,
                                              JobResult aResult,
                                              TimePoint aNow) = 0;
  // Drops a queued job without an action; false if it is not queued.
  virtual bool CancelQueued(JobId aJob) = 0;
  // To be called every 10 ms: refuses queued jobs that can no longer be
  // answered in time.
  virtual std::vector<SchedulerAction> Tick(TimePoint aNow) = 0;
  virtual SchedulerCounters Counters() const = 0;
};

} // namespace rattanloft::admission
