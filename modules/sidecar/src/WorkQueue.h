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

struct Work
{
  WorkId m_id = 0;
  // Work of one kind takes about the same time.
  std::string m_kind;
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
// more load than the slots can serve: what could probably not be answered by
// its target time is refused on arrival, and what has waited too long as soon
// as that shows, so that the slots go to work that is still worth its full
// credit. Pure; traffic thread.
class WorkQueue
{
public:
  // Every kStart is followed by one Finish().
  WorkVerdict Submit(const Work& aWork, TimePoint aNow);
  // aServiceTime is zero if the backend server did not run the work.
  void Finish(const std::string& aKind, Duration aServiceTime);
  // Work that may start now, or is refused since it cannot be in time.
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
  // Of one kind; the smoothed one of all kinds until it was measured.
  Duration ServiceTime(const std::string& aKind) const;

private:
  size_t WaitingUpTo(uint32_t aRank) const;
  bool IsInTime(const Work& aWork, Duration aWait, TimePoint aNow) const;
  double UsualMs() const;

  uint32_t m_slots = 1;
  uint32_t m_running = 0;
  double m_serviceMs = 0;
  // Assumed until the first service time is measured.
  double m_assumedMs = 0;
  std::map<std::string, double> m_kindMs;
  std::map<uint32_t, std::deque<Work>> m_waiting;
};

} // namespace rattanloft::sidecar
