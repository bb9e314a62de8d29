#pragma once

#include <compare>
#include <cstdint>

namespace rattanloft {

// A span of time in milliseconds.
struct Duration
{
  int64_t m_ms = 0;

  // clang-tidy 14 takes the comparison with 0 that this implies for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Duration&) const = default;
  Duration operator+(Duration aOther) const { return { m_ms + aOther.m_ms }; }
  Duration operator-(Duration aOther) const { return { m_ms - aOther.m_ms }; }
  Duration operator*(int64_t aFactor) const { return { m_ms * aFactor }; }
  Duration operator/(int64_t aDivisor) const { return { m_ms / aDivisor }; }
};

// A point on the boot-time clock in milliseconds. Comparable only on one
// machine.
struct TimePoint
{
  int64_t m_ms = 0;

  // clang-tidy 14 takes the comparison with 0 that this implies for a null
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
