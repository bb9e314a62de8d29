#pragma once

#include "rattanloft/base/Time.h"

namespace rattanloft {

// Source of time for I/O shells. Pure cores take time as an argument instead.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  // Milliseconds since the Unix epoch. For logs, history and hours of the day
  // only, since operators may set it.
  virtual int64_t UnixMs() const = 0;
};

// CLOCK_BOOTTIME, which goes on while the machine is suspended; a lease must
// not outlive a suspension. Safe to use from any thread.
class BootClock final : public Clock
{
public:
  TimePoint Now() const override;
  int64_t UnixMs() const override;
};

// A clock set by hand, for tests.
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
