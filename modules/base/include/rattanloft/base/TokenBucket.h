#pragma once

#include "rattanloft/base/Time.h"

namespace rattanloft {

// Limits a rate of events. Holds at most the events of one second, or one if
// the rate is lower.
class TokenBucket
{
public:
  // Starts full. The rate must be above 0.
  TokenBucket(double aRatePerSecond, TimePoint aNow);

  // Takes one token; false if there is none.
  bool TryTake(TimePoint aNow);
  // Keeps the tokens, up to the new bound.
  void SetRate(double aRatePerSecond, TimePoint aNow);
  double Rate() const { return m_rate; }
  // Time until the bucket has had this many tokens.
  Duration TimeUntil(double aTokenCount, TimePoint aNow) const;

private:
  double TokensAt(TimePoint aNow) const;

  double m_rate;
  // Tokens at m_refilledAt.
  double m_tokens;
  TimePoint m_refilledAt;
};

} // namespace rattanloft
