#pragma once

#include <string_view>

#include <fmt/format.h>

namespace rattanloft {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

// Sets the lowest level that is logged; the default is kInfo. Thread-safe.
void
SetLogLevel(LogLevel aLevel);

// Where log lines are written.
enum class LogOutput
{
  kStandardError,
  // Never blocks. Lines above the rate limit, other than warnings and errors,
  // are dropped, and so are lines that the reader is too slow to take. A line
  // with event=lines-dropped reports how many were dropped.
  kRateLimitedStandardOutput,
};

// Not thread-safe: call it before other threads log. The default is
// kStandardError.
void
SetLogOutput(LogOutput aOutput);

bool
IsLogEnabled(LogLevel aLevel);

// Writes a line to the log output with a single system call. aComponent names
// the part of the program that logs. Thread-safe. Example:
// 2026-01-31T12:00:00.000Z I route: message
void
WriteLogLine(LogLevel aLevel,
             std::string_view aComponent,
             std::string_view aMessage);

// Formats and writes a line if its level is enabled. Thread-safe.
template<typename... Args>
void
Log(LogLevel aLevel,
    std::string_view aComponent,
    fmt::format_string<Args...> aFormat,
    Args&&... aArgs)
{
  if (IsLogEnabled(aLevel)) {
    WriteLogLine(
      aLevel, aComponent, fmt::format(aFormat, std::forward<Args>(aArgs)...));
  }
}

template<typename... Args>
void
LogDebug(std::string_view aComponent,
         fmt::format_string<Args...> aFormat,
         Args&&... aArgs)
{
  Log(LogLevel::kDebug, aComponent, aFormat, std::forward<Args>(aArgs)...);
}

template<typename... Args>
void
LogInfo(std::string_view aComponent,
        fmt::format_string<Args...> aFormat,
        Args&&... aArgs)
{
  Log(LogLevel::kInfo, aComponent, aFormat, std::forward<Args>(aArgs)...);
}

template<typename... Args>
void
LogWarning(std::string_view aComponent,
           fmt::format_string<Args...> aFormat,
           Args&&... aArgs)
{
  Log(LogLevel::kWarning, aComponent, aFormat, std::forward<Args>(aArgs)...);
}

template<typename... Args>
void
LogError(std::string_view aComponent,
         fmt::format_string<Args...> aFormat,
         Args&&... aArgs)
{
  Log(LogLevel::kError, aComponent, aFormat, std::forward<Args>(aArgs)...);
}

} // namespace rattanloft
