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

// Lines below this level are dropped. Safe to call from any thread.
void
SetLogLevel(LogLevel aLevel);

enum class LogOutput
{
  kStandardError,
  // Never blocks: lines that the reader does not take, and lines above the rate
  // limit, are dropped and counted.
  kRateLimitedStandardOutput,
};

// To be called before other threads log.
void
SetLogOutput(LogOutput aOutput);

bool
IsLogEnabled(LogLevel aLevel);

// Writes one line to the log's output in a single write:
// 2026-01-31T12:00:00.000Z I route: message
void
WriteLogLine(LogLevel aLevel,
             std::string_view aComponent,
             std::string_view aMessage);

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
