#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// This sidecar's part of the retries that the whole fleet may send to one
// service: a share of its own requests, and an even part of the fixed number.
// Answers backend servers that reject or fail much: retries do not multiply the
// load. Pure; traffic thread.
class RetryAllowance
{
public:
  RetryAllowance(double aRatio, uint32_t aSlack)
    : m_ratio(aRatio)
    , m_slack(aSlack)
  {
  }

  void OnRequest(TimePoint aNow);
  // True if a retry may be sent now; it is then counted. aSidecars is the size
  // of the fleet.
  bool TryRetry(uint32_t aSidecars, TimePoint aNow);

private:
  struct Second
  {
    int64_t m_at = -1;
    uint32_t m_requests = 0;
    uint32_t m_retries = 0;
  };
  static constexpr int64_t kWindowSeconds = 10;

  Second& At(TimePoint aNow);

  double m_ratio;
  uint32_t m_slack;
  // One more than the window, since the current second is not complete.
  std::array<Second, kWindowSeconds + 1> m_seconds;
};

} // namespace rattanloft::sidecar
