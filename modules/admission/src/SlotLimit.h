#pragma once

#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

// How many slots of the backend server may be used now: fewer while it is cold
// or sheds load.
class SlotLimit
{
public:
  void SetSlots(uint32_t aSlots, TimePoint aNow, bool aCold);
  // The backend server refused a job without running it.
  void OnShed(TimePoint aNow);
  void Advance(TimePoint aNow);

  uint32_t AnnouncedSlots() const { return m_announcedSlots; }
  uint32_t CurrentLimit() const { return m_currentLimit; }

private:
  void UpdateCurrentLimit(TimePoint aNow);

  uint32_t m_announcedSlots = 0;
  uint32_t m_currentLimit = 0;
  // Upper limit from shedding, in slots.
  double m_shedLimit = 0;
  bool m_cold = false;
  TimePoint m_rampStartedAt;
  TimePoint m_advancedAt;
  TimePoint m_lastCutAt;
};

} // namespace rattanloft::admission
