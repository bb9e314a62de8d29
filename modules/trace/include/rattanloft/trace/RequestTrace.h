#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rattanloft/base/Time.h"
#include "rattanloft/trace/LogLine.h"

namespace rattanloft::trace {

struct TracedLine
{
  LogLine m_line;
  // False for what happened around the request.
  bool m_belongsToRequest = false;
};

// Collects the lines of one request and of what may explain them: moves of its
// key, and what the instances on its way believed just before. The lines are
// given twice: all to AddRequestLine(), then all to AddContextLine(). Pure.
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequestId)
    : m_requestId(std::move(aRequestId))
  {
  }

  void AddRequestLine(const LogLine& aLine);
  bool HasRequestLines() const { return !m_lines.empty(); }
  void AddContextLine(const LogLine& aLine);
  // By time. Clocks of instances may differ by some milliseconds or more.
  std::vector<TracedLine> SortedLines() const;
  // Lines around the request that were left out for their number.
  uint64_t OmittedLineCount() const { return m_omittedLineCount; }

private:
  bool IsContextLine(const LogLine& aLine) const;

  std::string m_requestId;
  std::vector<TracedLine> m_lines;
  std::string m_service;
  int64_t m_key = -1;
  std::set<std::string, std::less<>> m_instances;
  int64_t m_firstUnixMs = 0;
  int64_t m_lastUnixMs = 0;
  uint64_t m_omittedLineCount = 0;
};

} // namespace rattanloft::trace
