#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ColdStartLimiter.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/base/TokenBucket.h"

namespace rattanloft::sidecar {

using WorkId = uint64_t;

// A request that asks for a slot of the backend server.
struct WorkItem
{
  WorkId m_id = 0;
  // Items of the same kind take about the same time; the name of the route.
  std::string m_kind;
  // Items with a lower rank start first.
  uint32_t m_rank = 0;
  // A response after this time is worth less to the caller.
  TimePoint m_targetTime;
  // A response after this time is of no use to the caller.
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
  // Set for kRefuse: delay after which a new attempt may succeed.
  Duration m_retryAfter;
};

// Admission queue of the backend server next to this sidecar. Under overload,
// refuses an item on arrival if it would probably miss its target time, and a
// waiting item as soon as it can no longer meet it, so that the slots are used
// for responses that are still worth their full value. Does no I/O; used on the
// traffic thread.
class WorkQueue
{
public:
  // Finish() must be called once for each item that starts, whether Submit() or
  // Dequeue() started it.
  SubmitResult Submit(const WorkItem& aItem, TimePoint aNow);
  // Frees a slot. aServiceTime is zero if the backend server did not run the
  // item.
  void Finish(const std::string& aKind, Duration aServiceTime);
  // An item that has left the queue: it may start now, or is refused because it
  // can no longer finish in time.
  struct DequeuedWork
  {
    WorkId m_id;
    bool m_mayStart;
    // Set if the item is refused because the backend server may be cold: delay
    // after which a new attempt may succeed.
    std::optional<Duration> m_retryAfter;
  };
  // Each returned item with m_mayStart set takes a slot.
  std::vector<DequeuedWork> Dequeue(TimePoint aNow);
  // Removes a waiting item; returns false if the item is not waiting.
  bool Cancel(WorkId aId);

  // Number of items that may run concurrently.
  void SetSlots(uint32_t aSlots) { m_slots = aSlots; }
  uint32_t Slots() const { return m_slots; }
  // Limits the items that start in a second; nullopt for no limit.
  void SetRateLimit(std::optional<double> aItemsPerSecond, TimePoint aNow);
  std::optional<double> RateLimit() const;
  // Items also wait for room below the bound of a cold backend server. The
  // caller reports there which items that started were sent.
  ColdStartLimiter& ColdStart() { return m_coldStart; }
  const ColdStartLimiter& ColdStart() const { return m_coldStart; }
  uint32_t RunningCount() const { return m_runningCount; }
  size_t WaitingCount() const;
  // Moving average over all kinds; zero until the first measurement.
  Duration MeanServiceTime() const
  {
    return Milliseconds(static_cast<int64_t>(m_meanServiceMs));
  }
  // Estimated time in the queue of a new item of this rank.
  Duration ExpectedWait(uint32_t aRank) const;
  // Moving average of one kind; until the kind is measured, the average of all
  // kinds or an assumed time.
  Duration MeanServiceTime(const std::string& aKind) const;

private:
  // Takes a place below the bound of a cold backend server and a token of the
  // rate limit; false if either is missing.
  bool TryTakeToken(WorkId aId, TimePoint aNow);
  // Time until the bound of a cold backend server allows a new item of this
  // rank to start.
  Duration ColdStartWait(uint32_t aRank, TimePoint aNow) const;
  // Returns the delay after which to try again.
  Duration RefuseForColdStart(uint32_t aRank, TimePoint aNow);
  // Time until the rate limit allows a new item of this rank to start.
  Duration RateLimitWait(uint32_t aRank, TimePoint aNow) const;
  // Number of waiting items of this rank or a lower one.
  size_t WaitingUpToRank(uint32_t aRank) const;
  bool CanFinishInTime(const WorkItem& aItem,
                       Duration aQueueWait,
                       TimePoint aNow) const;
  double TypicalServiceMs() const;

  uint32_t m_slots = 1;
  uint32_t m_runningCount = 0;
  std::optional<TokenBucket> m_rateLimit;
  ColdStartLimiter m_coldStart;
  double m_meanServiceMs = 0;
  // Used until the first service time is measured.
  double m_assumedServiceMs = 0;
  std::map<std::string, double> m_meanServiceMsByKind;
  std::map<uint32_t, std::deque<WorkItem>> m_waitingByRank;
};

} // namespace rattanloft::sidecar
