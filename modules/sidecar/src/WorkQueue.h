#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

using WorkId = uint64_t;

struct WorkItem
{
  WorkId m_id = 0;
  // Work of one kind takes about the same time.
  std::string m_kind;
  // Lower ranks start first.
  uint32_t m_rank = 0;
  // An answer after this time is worth less to the caller.
  TimePoint m_targetTime;
  // An answer after this time is worth nothing.
  TimePoint m_deadline;
};

enum class WorkDecision
{
  kStart,
  kWait,
  kRefuse,
};

struct SubmitResult
{
  WorkDecision m_decision = WorkDecision::kStart;
  // For kRefuse: when a new attempt has a chance.
  Duration m_retryAfter;
};

// Decides which requests run on the backend server beside this sidecar. Answers
// more load than the slots can serve: what could probably not be answered by
// its target time is refused on arrival, and what has waited too long as soon
// as that shows, so that the slots go to work that is still worth its full
// credit. Pure; traffic thread.
class WorkQueue
{
public:
  // Every kStart is followed by one Finish().
  SubmitResult Submit(const WorkItem& aItem, TimePoint aNow);
  // aServiceTime is zero if the backend server did not run the work.
  void Finish(const std::string& aKind, Duration aServiceTime);
  // Work that may start now, or is refused since it cannot be in time.
  struct DequeuedWork
  {
    WorkId m_id;
    bool m_mayStart;
  };
  std::vector<DequeuedWork> Dequeue(TimePoint aNow);
  // False if the work does not wait any more.
  bool Cancel(WorkId aId);

  void SetSlots(uint32_t aSlots) { m_slots = aSlots; }
  uint32_t Slots() const { return m_slots; }
  uint32_t RunningCount() const { return m_running; }
  size_t WaitingCount() const;
  // Smoothed; zero until something was measured.
  Duration MeanServiceTime() const
  {
    return Milliseconds(static_cast<int64_t>(m_meanServiceMs));
  }
  Duration ExpectedWait(uint32_t aRank) const;
  // Of one kind; the smoothed one of all kinds until it was measured.
  Duration MeanServiceTime(const std::string& aKind) const;

private:
  size_t WaitingUpToRank(uint32_t aRank) const;
  bool CanFinishInTime(const WorkItem& aItem,
                       Duration aQueueWait,
                       TimePoint aNow) const;
  double TypicalServiceMs() const;

  uint32_t m_slots = 1;
  uint32_t m_running = 0;
  double m_meanServiceMs = 0;
  // Assumed until the first service time is measured.
  double m_assumedServiceMs = 0;
  std::map<std::string, double> m_meanServiceMsByKind;
  std::map<uint32_t, std::deque<WorkItem>> m_waiting;
};

} // namespace rattanloft::sidecar
