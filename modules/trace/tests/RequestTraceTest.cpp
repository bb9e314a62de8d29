#include "rattanloft/trace/RequestTrace.h"

#include <catch2/catch.hpp>

namespace rattanloft::trace {

namespace {

LogLine
MakeLogLine(int64_t aOffsetMs,
            const char* aInstance,
            const char* aComponent,
            std::string aText)
{
  return { 1'000'000 + aOffsetMs, aInstance, aComponent, std::move(aText) };
}

// Returns the texts of the trace; those that name the request begin with *.
std::vector<std::string>
TraceTexts(const std::vector<LogLine>& aLines, const std::string& aRequestId)
{
  RequestTrace trace(aRequestId);
  for (const LogLine& line : aLines) {
    trace.AddRequestLine(line);
  }
  for (const LogLine& line : aLines) {
    trace.AddContextLine(line);
  }
  std::vector<std::string> texts;
  for (const TracedLine& line : trace.SortedLines()) {
    texts.push_back((line.m_belongsToRequest ? "*" : "") + line.m_line.m_text);
  }
  return texts;
}

} // namespace

// Guards against a trace that misses the cause of a failed request because only
// another instance has logged it.
TEST_CASE(
  "a request refused during a transfer is shown with the transfer of its key")
{
  const std::vector<LogLine> lines = {
    MakeLogLine(
      900,
      "n1",
      "entry",
      "event=request id=ab service=s key=70 instance=n2 reason=not-owner "
      "ms=600"),
    MakeLogLine(
      100, "c1", "placement", "event=transfer-start service=s first=0 last=99"),
    MakeLogLine(110,
                "c1",
                "placement",
                "event=transfer-start service=s first=100 last=200"),
    MakeLogLine(
      120, "c1", "placement", "event=transfer-start service=t first=0 last=99"),
    MakeLogLine(250, "n2", "backend", "event=plan ranges=3"),
    MakeLogLine(260, "n3", "backend", "event=plan ranges=4"),
    MakeLogLine(
      850, "c1", "placement", "event=transfer-done service=s first=50 last=99"),
    MakeLogLine(
      400, "n2", "entry", "event=request id=cd service=s key=70 ms=1"),
    MakeLogLine(-9000, "n2", "backend", "event=plan ranges=1"),
  };
  CHECK(TraceTexts(lines, "ab") ==
        std::vector<std::string>{
          "event=transfer-start service=s first=0 last=99",
          "event=plan ranges=3",
          "event=transfer-done service=s first=50 last=99",
          "*event=request id=ab service=s key=70 instance=n2 reason=not-owner "
          "ms=600" });
}

// Guards against a trace that does not show why the holder of a key may not
// serve it.
TEST_CASE("a refused request is shown with the range calls for its key")
{
  const std::vector<LogLine> lines = {
    MakeLogLine(900,
                "n1",
                "entry",
                "event=request id=ab service=s key=70 instance=n2 "
                "reason=awaits-grant ms=600"),
    MakeLogLine(700,
                "n2",
                "ranges",
                "event=grant service=s first=0 last=99 outcome=unknown"),
    MakeLogLine(710,
                "n2",
                "ranges",
                "event=grant service=s first=100 last=199 outcome=unknown"),
    MakeLogLine(720,
                "n3",
                "ranges",
                "event=release service=s first=50 last=99 outcome=done"),
    MakeLogLine(730,
                "n3",
                "ranges",
                "event=release service=t first=50 last=99 outcome=done"),
  };
  CHECK(TraceTexts(lines, "ab") ==
        std::vector<std::string>{
          "event=grant service=s first=0 last=99 outcome=unknown",
          "event=release service=s first=50 last=99 outcome=done",
          "*event=request id=ab service=s key=70 instance=n2 "
          "reason=awaits-grant ms=600" });
}

// Guards against context lines that are shown without any line of the request.
TEST_CASE("the trace of a request that no line names is empty")
{
  CHECK(
    TraceTexts({ MakeLogLine(1, "n1", "entry", "event=request id=ab") }, "xy")
      .empty());
}

// Guards against an unreadably long trace when a process logs the same event
// again and again.
TEST_CASE("context lines above the limit are omitted and counted")
{
  RequestTrace trace("ab");
  trace.AddRequestLine(MakeLogLine(10, "n1", "entry", "event=request id=ab"));
  for (int i = 0; i < 1000; ++i) {
    trace.AddContextLine(MakeLogLine(5, "n1", "sync", "event=lost"));
  }
  CHECK(trace.SortedLines().size() == 300);
  CHECK(trace.OmittedLineCount() == 701);
}

} // namespace rattanloft::trace
