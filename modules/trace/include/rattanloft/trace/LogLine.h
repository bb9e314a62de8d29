#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::trace {

// A parsed line of the log of one process:
// 2026-01-31T12:00:00.000Z I component: text
struct LogLine
{
  // Wall-clock time of the writing instance, milliseconds since the Unix epoch.
  int64_t m_unixMs = 0;
  // Name of the instance that wrote the line.
  std::string m_instance;
  // Part of the program that wrote the line, such as "sidecar".
  std::string m_component;
  // The message. Most messages consist of name=value pairs.
  std::string m_text;
};

// Parses a line; returns nothing if it is not a log line. A log collector may
// have added columns before the timestamp. The last such column is then taken
// as the name of the instance, otherwise aInstance is.
std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aInstance);

// Returns the value of the name=value pair with the given name, without its
// quotes; empty if there is none. The result refers to aLine.
std::string_view
FindField(const LogLine& aLine, std::string_view aName);

// Like FindField(), but returns nothing unless the value is a decimal integer.
std::optional<int64_t>
FindIntegerField(const LogLine& aLine, std::string_view aName);

} // namespace rattanloft::trace
