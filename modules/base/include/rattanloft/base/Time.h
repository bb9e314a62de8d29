#pragma once

#include <compare>
#include <cstdint>

namespace rattanloft {

// A length of time with millisecond resolution; may be negative.
struct Duration
{
  int64_t m_ms = 0;

  // clang-tidy 14 mistakes the implied comparison with 0 for one with a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Duration&) const = default;
  Duration operator+(Duration aOther) const { return { m_ms + aOther.m_ms }; }
  Duration operator-(Duration aOther) const { return { m_ms - aOther.m_ms }; }
  Duration operator*(int64_t aFactor) const { return { m_ms * aFactor }; }
  Duration operator/(int64_t aDivisor) const { return { m_ms / aDivisor }; }
};

// A time on the boot-time clock of this machine, in milliseconds. Must not be
// compared with a time of another machine.
struct TimePoint
{
  int64_t m_ms = 0;

  // clang-tidy 14 mistakes the implied comparison with 0 for one with a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TimePoint&) const = default;
  TimePoint operator+(Duration aDuration) const
  {
    return { m_ms + aDuration.m_ms };
  }
  TimePoint operator-(Duration aDuration) const
  {
    return { m_ms - aDuration.m_ms };
  }
  Duration operator-(TimePoint aOther) const { return { m_ms - aOther.m_ms }; }
};

constexpr Duration
Milliseconds(int64_t aCount)
{
  return { aCount };
}

constexpr Duration
Seconds(int64_t aCount)
{
  return { aCount * 1000 };
}

} // namespace rattanloft
