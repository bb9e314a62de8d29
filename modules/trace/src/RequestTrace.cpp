#include "rattanloft/trace/RequestTrace.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace rattanloft::trace {

namespace {

// A lease and a move end within this time.
constexpr int64_t kBeforeMs = 4000;
// Clocks of instances differ by some milliseconds.
constexpr int64_t kAfterMs = 100;
constexpr size_t kMaxContext = 300;

// Parts of the log in which a process says what it believes.
constexpr std::array<std::string_view, 5> kStateParts = { "sidecar",
                                                          "sync",
                                                          "directory",
                                                          "backend",
                                                          "control" };

bool
IsWithinKeys(const LogLine& aLine, int64_t aKey)
{
  const auto first = FindNumber(aLine, "first");
  const auto last = FindNumber(aLine, "last");
  return first && last && *first <= aKey && aKey <= *last;
}

} // namespace

void
RequestTrace::AddRequestLine(const LogLine& aLine)
{
  if (FindField(aLine, "id") != m_id) {
    return;
  }
  // A line is written at the end of what it tells.
  const int64_t took = FindNumber(aLine, "ms").value_or(0);
  const int64_t first = aLine.m_unixMs - took;
  m_firstMs = m_lines.empty() ? first : std::min(m_firstMs, first);
  m_lastMs =
    m_lines.empty() ? aLine.m_unixMs : std::max(m_lastMs, aLine.m_unixMs);
  m_instances.insert(aLine.m_instance);
  const std::string_view instance = FindField(aLine, "instance");
  if (!instance.empty()) {
    m_instances.emplace(instance);
  }
  const std::string_view service = FindField(aLine, "service");
  if (!service.empty()) {
    m_service = service;
  }
  m_key = FindNumber(aLine, "key").value_or(m_key);
  m_lines.push_back({ aLine, true });
}

bool
RequestTrace::Explains(const LogLine& aLine) const
{
  if (aLine.m_unixMs < m_firstMs - kBeforeMs ||
      aLine.m_unixMs > m_lastMs + kAfterMs || !FindField(aLine, "id").empty()) {
    return false;
  }
  if (aLine.m_component == "placement") {
    return FindField(aLine, "service") == m_service &&
           IsWithinKeys(aLine, m_key);
  }
  return m_instances.contains(aLine.m_instance) &&
         std::ranges::find(kStateParts, aLine.m_component) != kStateParts.end();
}

void
RequestTrace::AddContextLine(const LogLine& aLine)
{
  if (!Explains(aLine)) {
    return;
  }
  if (m_lines.size() >= kMaxContext) {
    ++m_omitted;
    return;
  }
  m_lines.push_back({ aLine, false });
}

std::vector<TracedLine>
RequestTrace::SortedLines() const
{
  std::vector<TracedLine> lines = m_lines;
  std::ranges::stable_sort(
    lines, {}, [](const TracedLine& aLine) { return aLine.m_line.m_unixMs; });
  return lines;
}

} // namespace rattanloft::trace
