#include "LatencyWindow.h"

#include <array>

namespace rattanloft::node {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 2> kProbabilities = { 0.5, 0.99 };

} // namespace

LatencyWindow::LatencyWindow()
  : m_times(MakeEmpty())
{
}

void
LatencyWindow::Add(Duration aTime)
{
  m_times(static_cast<double>(aTime.m_ms));
}

LatencyWindow::Summary
LatencyWindow::Take()
{
  Summary summary;
  summary.m_count = acc::count(m_times);
  if (summary.m_count > 0) {
    summary.m_meanMs = acc::mean(m_times);
    summary.m_maxMs = acc::max(m_times);
    const auto quantiles = acc::extended_p_square(m_times);
    summary.m_p50Ms = quantiles[0];
    summary.m_p99Ms = quantiles[1];
  }
  m_times = MakeEmpty();
  return summary;
}

LatencyWindow::Accumulators
LatencyWindow::MakeEmpty()
{
  return Accumulators(acc::extended_p_square_probabilities = kProbabilities);
}

} // namespace rattanloft::node
