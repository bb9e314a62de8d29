#pragma once

#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

// Number of slots of the backend server that may be used now: fewer than
// announced while it is cold or sheds load.
class SlotLimit
{
public:
  // Sets the number of announced slots. aCold starts the ramp of a new backend
  // server.
  void SetSlots(uint32_t aSlots, TimePoint aNow, bool aCold);
  // Lowers the limit after the backend server refused a job without running it.
  void OnShed(TimePoint aNow);
  // Raises the limit for the time that has passed since the last call.
  void Advance(TimePoint aNow);

  uint32_t AnnouncedSlots() const { return m_announcedSlots; }
  uint32_t CurrentLimit() const { return m_currentLimit; }

private:
  void UpdateCurrentLimit(TimePoint aNow);

  uint32_t m_announcedSlots = 0;
  uint32_t m_currentLimit = 0;
  // Limit that follows from shed load, in slots.
  double m_shedLimit = 0;
  bool m_cold = false;
  TimePoint m_rampStartedAt;
  TimePoint m_advancedAt;
  TimePoint m_lastCutAt;
};

} // namespace rattanloft::admission
