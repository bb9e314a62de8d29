#include "rattanloft/trace/LogLine.h"

#include <catch2/catch.hpp>

namespace rattanloft::trace {

// Guards against lines of a collected log that are attributed to the file
// instead of the instance that wrote them.
TEST_CASE("a log line is parsed with and without the columns of a collector")
{
  const auto plain = ParseLogLine(
    "2026-01-31T12:00:00.250Z I entry: event=request id=ab ms=5", "n1");
  REQUIRE(plain);
  CHECK(plain->m_unixMs == 1769860800250);
  CHECK(plain->m_instance == "n1");
  CHECK(plain->m_component == "entry");
  CHECK(plain->m_text == "event=request id=ab ms=5");
  const auto collected = ParseLogLine(
    "  12.5 n2 2026-01-31T12:00:00.250Z I entry: event=request", "file");
  REQUIRE(collected);
  CHECK(collected->m_instance == "n2");
}

// Guards against a trace that fails or ends early at a malformed line.
TEST_CASE("text that is not a log line is rejected")
{
  for (const char* text : { "",
                            "Z ",
                            "hello",
                            "2026-01-31T12:00:00.250Z",
                            "2026-01-31T12:00:00.250Z I",
                            "2026-99-31T12:00:00.250Z I entry: a=b",
                            "terminate called: Z abort" }) {
    CHECK_FALSE(ParseLogLine(text, "n1"));
  }
}

// Guards against a field that is mistaken for another whose name ends alike.
TEST_CASE("a field is found by its whole name only")
{
  LogLine line;
  line.m_text = "event=x valid=1 id=7 reason=\"no route\" key=-1 empty= end=9";
  CHECK(FindField(line, "id") == "7");
  CHECK(FindField(line, "reason") == "no route");
  CHECK(FindField(line, "empty").empty());
  CHECK(FindField(line, "vent").empty());
  CHECK(FindIntegerField(line, "key") == -1);
  CHECK(FindIntegerField(line, "end") == 9);
  CHECK_FALSE(FindIntegerField(line, "event"));
  CHECK_FALSE(FindIntegerField(line, "empty"));
}

} // namespace rattanloft::trace
