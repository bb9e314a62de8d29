#include "rattanloft/base/Clock.h"

#include <ctime>

namespace rattanloft {

namespace {

int64_t
ReadMs(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  return int64_t{ time.tv_sec } * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

TimePoint
BootClock::Now() const
{
  return { ReadMs(CLOCK_BOOTTIME) };
}

int64_t
BootClock::UnixMs() const
{
  return ReadMs(CLOCK_REALTIME);
}

} // namespace rattanloft
