#include "LatencyWindow.h"

#include <catch2/catch.hpp>

namespace rattanloft::node {

// Guards against a report that contains latencies of an earlier window, and
// against quantile estimates too inaccurate for alarms.
TEST_CASE("A latency window reports only the requests since the last report")
{
  LatencyWindow window;
  for (int i = 1; i <= 1000; ++i) {
    // Each value from 0 to 99 occurs ten times, in an order without a trend.
    window.Add(Milliseconds(i * 37 % 100));
  }
  const auto summary = window.TakeSummary();
  REQUIRE(summary.m_count == 1000);
  REQUIRE(summary.m_meanMs == Approx(49.5));
  REQUIRE(summary.m_maxMs == 99);
  REQUIRE(summary.m_p50Ms == Approx(49.5).margin(5));
  REQUIRE(summary.m_p99Ms == Approx(98).margin(3));
  const auto empty = window.TakeSummary();
  REQUIRE(empty.m_count == 0);
  REQUIRE(empty.m_p99Ms == 0);
}

} // namespace rattanloft::node
