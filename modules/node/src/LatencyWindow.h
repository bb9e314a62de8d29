#pragma once

#include <cstddef>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::node {

// Statistics of the request latencies since the last report. Uses constant
// memory, so quantiles are estimates. Owned by the traffic thread.
class LatencyWindow
{
public:
  struct Summary
  {
    size_t m_count = 0;
    double m_meanMs = 0;
    double m_p50Ms = 0;
    double m_p99Ms = 0;
    double m_maxMs = 0;
  };

  LatencyWindow();

  void Add(Duration aLatency);
  // Returns the statistics since the last call, all 0 without requests, and
  // starts a new window.
  Summary TakeSummary();

private:
  using Accumulators = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square>>;

  static Accumulators MakeEmpty();

  Accumulators m_latenciesMs;
};

} // namespace rattanloft::node
