#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::trace {

// One line of a process's log: 2026-01-31T12:00:00.000Z I part: text
struct LogLine
{
  // Wall clock of the writer, milliseconds since 1970.
  int64_t m_unixMs = 0;
  // Who wrote it.
  std::string m_instance;
  std::string m_component;
  // name=value pairs, for most lines.
  std::string m_text;
};

// Empty if the line is none of a log. A collector may have put columns before
// the time; the last of them names the instance, else aInstance does.
std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aInstance);

// The value of a field of the text, without quotes; empty if it has none.
std::string_view
FindField(const LogLine& aLine, std::string_view aName);

std::optional<int64_t>
FindIntegerField(const LogLine& aLine, std::string_view aName);

} // namespace rattanloft::trace
