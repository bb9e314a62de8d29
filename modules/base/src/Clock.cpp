#include "rattanloft/base/Clock.h"

#include <ctime>

namespace rattanloft {

namespace {

int64_t
ReadClockMs(clockid_t aClockId)
{
  timespec time{};
  clock_gettime(aClockId, &time);
  return int64_t{ time.tv_sec } * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

TimePoint
BootClock::Now() const
{
  return { ReadClockMs(CLOCK_BOOTTIME) };
}

int64_t
BootClock::UnixMs() const
{
  return ReadClockMs(CLOCK_REALTIME);
}

} // namespace rattanloft
