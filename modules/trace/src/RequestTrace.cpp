#include "rattanloft/trace/RequestTrace.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace rattanloft::trace {

namespace {

// How far before the request context lines are searched. A lease expires and a
// transfer of a key range ends within this time.
constexpr int64_t kContextBeforeMs = 4000;
// How far after the request context lines are searched, because the clocks of
// instances differ by some milliseconds.
constexpr int64_t kContextAfterMs = 100;
// Limit of the trace, including the lines of the request itself.
constexpr size_t kMaxTraceLines = 300;

// Components that log the state on which an instance bases its decisions.
constexpr std::array<std::string_view, 5> kStateComponents = { "sidecar",
                                                               "sync",
                                                               "directory",
                                                               "backend",
                                                               "control" };

// Whether the line names a key range, as first= and last=, with the key in it.
bool
RangeContainsKey(const LogLine& aLine, int64_t aKey)
{
  const auto first = FindIntegerField(aLine, "first");
  const auto last = FindIntegerField(aLine, "last");
  return first && last && *first <= aKey && aKey <= *last;
}

} // namespace

void
RequestTrace::AddRequestLine(const LogLine& aLine)
{
  if (FindField(aLine, "id") != m_requestId) {
    return;
  }
  // A line is logged when the operation ends; ms= is how long it took.
  const int64_t durationMs = FindIntegerField(aLine, "ms").value_or(0);
  const int64_t startUnixMs = aLine.m_unixMs - durationMs;
  m_firstUnixMs =
    m_lines.empty() ? startUnixMs : std::min(m_firstUnixMs, startUnixMs);
  m_lastUnixMs =
    m_lines.empty() ? aLine.m_unixMs : std::max(m_lastUnixMs, aLine.m_unixMs);
  m_instances.insert(aLine.m_instance);
  const std::string_view instance = FindField(aLine, "instance");
  if (!instance.empty()) {
    m_instances.emplace(instance);
  }
  const std::string_view service = FindField(aLine, "service");
  if (!service.empty()) {
    m_service = service;
  }
  m_key = FindIntegerField(aLine, "key").value_or(m_key);
  m_lines.push_back({ aLine, true });
}

bool
RequestTrace::IsContextLine(const LogLine& aLine) const
{
  if (aLine.m_unixMs < m_firstUnixMs - kContextBeforeMs ||
      aLine.m_unixMs > m_lastUnixMs + kContextAfterMs ||
      !FindField(aLine, "id").empty()) {
    return false;
  }
  if (aLine.m_component == "placement" || aLine.m_component == "ranges") {
    return FindField(aLine, "service") == m_service &&
           RangeContainsKey(aLine, m_key);
  }
  return m_instances.contains(aLine.m_instance) &&
         std::ranges::find(kStateComponents, aLine.m_component) !=
           kStateComponents.end();
}

void
RequestTrace::AddContextLine(const LogLine& aLine)
{
  if (!IsContextLine(aLine)) {
    return;
  }
  if (m_lines.size() >= kMaxTraceLines) {
    ++m_omittedLineCount;
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
