#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

#include <fmt/format.h>

#include "Commands.h"
#include "rattanloft/trace/RequestTrace.h"

namespace rattanloft::tool {

namespace {

// Calls aOnLine for each log line of the files. Returns false if a file cannot
// be read.
bool
ReadLogLines(std::span<char*> aFiles,
             const std::function<void(const trace::LogLine&)>& aOnLine)
{
  for (const char* const path : aFiles) {
    std::ifstream file(path);
    if (!file) {
      fmt::print(stderr, "rattanloft trace: cannot read {}\n", path);
      return false;
    }
    const std::string instance = std::filesystem::path(path).stem();
    std::string text;
    while (std::getline(file, text)) {
      if (const auto line = trace::ParseLogLine(text, instance)) {
        aOnLine(*line);
      }
    }
  }
  return true;
}

void
PrintTrace(const trace::RequestTrace& aTrace)
{
  const std::vector<trace::TracedLine> lines = aTrace.SortedLines();
  const int64_t start = lines.front().m_line.m_unixMs;
  for (const trace::TracedLine& line : lines) {
    fmt::print("{} {:>+7} ms {} {}: {}\n",
               line.m_belongsToRequest ? '*' : ' ',
               line.m_line.m_unixMs - start,
               line.m_line.m_instance,
               line.m_line.m_component,
               line.m_line.m_text);
  }
  if (aTrace.OmittedLineCount() > 0) {
    fmt::print("{} more lines around the request\n", aTrace.OmittedLineCount());
  }
}

} // namespace

int
TraceCommand(std::span<char*> aArgs)
{
  if (aArgs.size() < 2) {
    fmt::print(stderr,
               "rattanloft trace: a request id and log files expected\n");
    return 2;
  }
  trace::RequestTrace trace(aArgs[0]);
  const std::span<char*> files = aArgs.subspan(1);
  const bool read = ReadLogLines(files,
                                 [&](const trace::LogLine& aLine) {
                                   trace.AddRequestLine(aLine);
                                 }) &&
                    ReadLogLines(files, [&](const trace::LogLine& aLine) {
                      trace.AddContextLine(aLine);
                    });
  if (!read) {
    return 1;
  }
  if (!trace.HasRequestLines()) {
    fmt::print(stderr, "rattanloft trace: no line names {}\n", aArgs[0]);
    return 1;
  }
  PrintTrace(trace);
  return 0;
}

} // namespace rattanloft::tool
