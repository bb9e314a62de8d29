#pragma once

#include "rattanloft/base/Time.h"

namespace rattanloft {

// Source of time for code that does I/O. Code without side effects takes the
// time as an argument instead.
class Clock
{
public:
  virtual ~Clock() = default;
  // The time on the boot-time clock, which never runs backwards.
  virtual TimePoint Now() const = 0;
  // Wall-clock time in milliseconds since the Unix epoch. An operator may set
  // this clock, so use it only for logs, history and hours of the day.
  virtual int64_t UnixMs() const = 0;
};

// Reads CLOCK_BOOTTIME, which continues while the machine is suspended, so that
// leases expire during a suspension. Thread-safe.
class BootClock final : public Clock
{
public:
  TimePoint Now() const override;
  int64_t UnixMs() const override;
};

// A clock for tests that only moves when Advance() is called. Not thread-safe.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return m_now; }
  int64_t UnixMs() const override { return m_now.m_ms; }
  void Advance(Duration aDuration) { m_now = m_now + aDuration; }

private:
  TimePoint m_now{ 1000 };
};

} // namespace rattanloft
