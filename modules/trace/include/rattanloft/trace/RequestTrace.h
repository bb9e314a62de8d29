#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rattanloft/base/Time.h"
#include "rattanloft/trace/LogLine.h"

namespace rattanloft::trace {

// A log line that RequestTrace selected.
struct TracedLine
{
  LogLine m_line;
  // True if the line names the request, false if it is context.
  bool m_belongsToRequest = false;
};

// Selects the log lines that name one request, and as context the lines that
// may explain its outcome: transfers of its key between owners, and the state
// that the instances on its path logged shortly before. The caller passes all
// lines twice: first all to AddRequestLine(), then all to AddContextLine().
// Does no I/O. Not thread-safe.
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequestId)
    : m_requestId(std::move(aRequestId))
  {
  }

  // Adds the line if it names the request.
  void AddRequestLine(const LogLine& aLine);
  // Whether any line named the request.
  bool HasRequestLines() const { return !m_lines.empty(); }
  // Adds the line if it is context of the request.
  void AddContextLine(const LogLine& aLine);
  // Returns the selected lines in the order of their timestamps. The clocks of
  // instances may differ by some milliseconds or more, so lines of different
  // instances may be out of order by as much.
  std::vector<TracedLine> SortedLines() const;
  // Returns how many context lines were left out because of the size limit.
  uint64_t OmittedLineCount() const { return m_omittedLineCount; }

private:
  bool IsContextLine(const LogLine& aLine) const;

  std::string m_requestId;
  std::vector<TracedLine> m_lines;
  std::string m_service;
  // Service and key of the request; empty and -1 until a line names them.
  int64_t m_key = -1;
  // Instances on the path of the request.
  std::set<std::string, std::less<>> m_instances;
  int64_t m_firstUnixMs = 0;
  int64_t m_lastUnixMs = 0;
  uint64_t m_omittedLineCount = 0;
};

} // namespace rattanloft::trace
