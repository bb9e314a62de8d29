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

  uint32_t Slots() const { return m_slots; }
  uint32_t Current() const { return m_current; }

private:
  void Update(TimePoint aNow);

  uint32_t m_slots = 0;
  uint32_t m_current = 0;
  // Upper limit from shedding, in slots.
  double m_allowed = 0;
  bool m_cold = false;
  TimePoint m_startedAt;
  TimePoint m_advancedAt;
  TimePoint m_cutAt;
};

} // namespace rattanloft::admission
