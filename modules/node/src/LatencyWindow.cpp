#include "LatencyWindow.h"

#include <array>

namespace rattanloft::node {

namespace acc = boost::accumulators;

namespace {

// The median and the 99th percentile, in the order in which they are read.
constexpr std::array<double, 2> kQuantileProbabilities = { 0.5, 0.99 };

} // namespace

LatencyWindow::LatencyWindow()
  : m_latenciesMs(MakeEmpty())
{
}

void
LatencyWindow::Add(Duration aLatency)
{
  m_latenciesMs(static_cast<double>(aLatency.m_ms));
}

LatencyWindow::Summary
LatencyWindow::TakeSummary()
{
  Summary summary;
  summary.m_count = acc::count(m_latenciesMs);
  if (summary.m_count > 0) {
    summary.m_meanMs = acc::mean(m_latenciesMs);
    summary.m_maxMs = acc::max(m_latenciesMs);
    const auto quantiles = acc::extended_p_square(m_latenciesMs);
    summary.m_p50Ms = quantiles[0];
    summary.m_p99Ms = quantiles[1];
  }
  m_latenciesMs = MakeEmpty();
  return summary;
}

LatencyWindow::Accumulators
LatencyWindow::MakeEmpty()
{
  return Accumulators(acc::extended_p_square_probabilities =
                        kQuantileProbabilities);
}

} // namespace rattanloft::node
