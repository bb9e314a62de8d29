#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

using WorkId = uint64_t;

struct Work
{
  WorkId m_id = 0;
  // Lower ranks start first.
  uint32_t m_rank = 0;
  // An answer after this time is worth less to the caller.
  TimePoint m_target;
  // An answer after this time is worth nothing.
  TimePoint m_deadline;
};

enum class WorkDecision
{
  kStart,
  kWait,
  kRefuse,
};

struct WorkVerdict
{
  WorkDecision m_decision = WorkDecision::kStart;
  // For kRefuse: when a new attempt has a chance.
  Duration m_retryAfter;
};

// Decides which requests run on the backend server beside this sidecar. Answers
// more load than the slots can serve: what could not be answered by its target
// time is refused on arrival, so that the queue stays short and those admitted
// are answered in time. Pure; traffic thread.
class WorkQueue
{
public:
  // Every kStart is followed by one Finish().
  WorkVerdict Submit(const Work& aWork, TimePoint aNow);
  // aServiceTime is zero if the backend server did not run the work.
  void Finish(Duration aServiceTime);
  // Work that may start now, or is refused since its time has passed.
  struct Release
  {
    WorkId m_id;
    bool m_start;
  };
  std::vector<Release> Next(TimePoint aNow);
  // False if the work does not wait any more.
  bool Cancel(WorkId aId);

  void SetSlots(uint32_t aSlots) { m_slots = aSlots; }
  uint32_t Slots() const { return m_slots; }
  uint32_t Running() const { return m_running; }
  size_t Waiting() const;
  // Smoothed; zero until something was measured.
  Duration ServiceTime() const
  {
    return Milliseconds(static_cast<int64_t>(m_serviceMs));
  }
  Duration ExpectedWait(uint32_t aRank) const;

private:
  size_t WaitingUpTo(uint32_t aRank) const;

  uint32_t m_slots = 1;
  uint32_t m_running = 0;
  double m_serviceMs = 0;
  std::map<uint32_t, std::deque<Work>> m_waiting;
};

} // namespace rattanloft::sidecar
