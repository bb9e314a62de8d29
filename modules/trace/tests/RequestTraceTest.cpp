#include "rattanloft/trace/RequestTrace.h"

#include <catch2/catch.hpp>

namespace rattanloft::trace {

namespace {

LogLine
Line(int64_t aMs, const char* aInstance, const char* aPart, std::string aText)
{
  return { 1'000'000 + aMs, aInstance, aPart, std::move(aText) };
}

std::vector<std::string>
Texts(const std::vector<LogLine>& aLines, const std::string& aId)
{
  RequestTrace trace(aId);
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

// Guards against a failed request whose cause stands in the log of another
// instance.
TEST_CASE("a request that met a move is shown with the move of its key")
{
  const std::vector<LogLine> lines = {
    Line(900,
         "n1",
         "entry",
         "event=request id=ab service=s key=70 instance=n2 reason=not-owner "
         "ms=600"),
    Line(
      100, "c1", "placement", "event=transfer-start service=s first=0 last=99"),
    Line(110,
         "c1",
         "placement",
         "event=transfer-start service=s first=100 last=200"),
    Line(
      120, "c1", "placement", "event=transfer-start service=t first=0 last=99"),
    Line(250, "n2", "backend", "event=plan ranges=3"),
    Line(260, "n3", "backend", "event=plan ranges=4"),
    Line(
      850, "c1", "placement", "event=transfer-done service=s first=50 last=99"),
    Line(400, "n2", "entry", "event=request id=cd service=s key=70 ms=1"),
    Line(-9000, "n2", "backend", "event=plan ranges=1"),
  };
  CHECK(Texts(lines, "ab") ==
        std::vector<std::string>{
          "event=transfer-start service=s first=0 last=99",
          "event=plan ranges=3",
          "event=transfer-done service=s first=50 last=99",
          "*event=request id=ab service=s key=70 instance=n2 reason=not-owner "
          "ms=600" });
}

TEST_CASE("nothing is shown of a request that no log names")
{
  CHECK(Texts({ Line(1, "n1", "entry", "event=request id=ab") }, "xy").empty());
}

// Guards against a trace that fills the screen when a process repeats itself.
TEST_CASE("the lines around a request are bounded and the rest is counted")
{
  RequestTrace trace("ab");
  trace.AddRequestLine(Line(10, "n1", "entry", "event=request id=ab"));
  for (int i = 0; i < 1000; ++i) {
    trace.AddContextLine(Line(5, "n1", "sync", "event=lost"));
  }
  CHECK(trace.SortedLines().size() == 300);
  CHECK(trace.OmittedLineCount() == 701);
}

} // namespace rattanloft::trace
