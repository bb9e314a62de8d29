#include "rattanloft/base/Log.h"

#include <atomic>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

#include <fmt/chrono.h>

namespace rattanloft {

namespace {

std::atomic<LogLevel> sLevel{ LogLevel::kInfo };

std::atomic<LogOutput> sOutput{ LogOutput::kStandardError };

// Lines a second on the bounded output: about two for each request at the rate
// that one instance serves, and bounds the processor time of logging.
constexpr int64_t kMaxLinesPerSecond = 400;

// Counts the lines of the current second and those that were dropped.
struct LineBudget
{
  std::atomic<int64_t> m_second{ 0 };
  std::atomic<int64_t> m_lines{ 0 };
  std::atomic<int64_t> m_dropped{ 0 };

  bool Take(int64_t aSecond)
  {
    if (m_second.exchange(aSecond) != aSecond) {
      m_lines = 0;
    }
    return m_lines.fetch_add(1) < kMaxLinesPerSecond;
  }
};

LineBudget sBudget;

char
LevelLetter(LogLevel aLevel)
{
  constexpr std::string_view kLetters = "DIWE";
  return kLetters[static_cast<size_t>(aLevel)];
}

std::string
FormatLine(const timespec& aNow,
           LogLevel aLevel,
           std::string_view aPart,
           std::string_view aText)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
                     fmt::gmtime(aNow.tv_sec),
                     aNow.tv_nsec / 1'000'000,
                     LevelLetter(aLevel),
                     aPart,
                     aText);
}

void
WriteBounded(const timespec& aNow,
             LogLevel aLevel,
             std::string_view aPart,
             std::string_view aText)
{
  if (!sBudget.Take(aNow.tv_sec) && aLevel < LogLevel::kWarning) {
    ++sBudget.m_dropped;
    return;
  }
  std::string line;
  const int64_t dropped = sBudget.m_dropped.exchange(0);
  if (dropped > 0) {
    line = FormatLine(aNow,
                      LogLevel::kWarning,
                      "log",
                      fmt::format("event=lines-dropped count={}", dropped));
  }
  line += FormatLine(aNow, aLevel, aPart, aText);
  if (write(STDOUT_FILENO, line.data(), line.size()) < 0) {
    sBudget.m_dropped += dropped + 1;
  }
}

} // namespace

void
SetLogOutput(LogOutput aOutput)
{
  sOutput = aOutput;
  if (aOutput == LogOutput::kRateLimitedStandardOutput) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void
SetLogLevel(LogLevel aLevel)
{
  sLevel.store(aLevel, std::memory_order_relaxed);
}

bool
LogEnabled(LogLevel aLevel)
{
  return aLevel >= sLevel.load(std::memory_order_relaxed);
}

void
WriteLogLine(LogLevel aLevel, std::string_view aPart, std::string_view aText)
{
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (sOutput == LogOutput::kRateLimitedStandardOutput) {
    WriteBounded(now, aLevel, aPart, aText);
    return;
  }
  const std::string line = FormatLine(now, aLevel, aPart, aText);
  // A lost log line must not stop the program.
  [[maybe_unused]] const ssize_t written =
    write(STDERR_FILENO, line.data(), line.size());
}

} // namespace rattanloft
