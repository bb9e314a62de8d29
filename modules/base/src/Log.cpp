#include "rattanloft/base/Log.h"

#include <atomic>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

#include <fmt/chrono.h>

namespace rattanloft {

namespace {

std::atomic<LogLevel> sMinLogLevel{ LogLevel::kInfo };

std::atomic<LogOutput> sLogOutput{ LogOutput::kStandardError };

// Limit of kRateLimitedStandardOutput. It allows about two lines for each
// request at the rate that one instance serves, and bounds the CPU time spent
// on logging.
constexpr int64_t kMaxLinesPerSecond = 400;

// Limits the lines written in each second of wall-clock time. Thread-safe; when
// threads race at the start of a second, a few more lines may be let through.
struct LineRateLimiter
{
  std::atomic<int64_t> m_currentSecond{ 0 };
  std::atomic<int64_t> m_linesThisSecond{ 0 };
  std::atomic<int64_t> m_droppedLines{ 0 };

  // Counts a line and returns whether it is within the limit.
  bool TryAcquire(int64_t aUnixSecond)
  {
    if (m_currentSecond.exchange(aUnixSecond) != aUnixSecond) {
      m_linesThisSecond = 0;
    }
    return m_linesThisSecond.fetch_add(1) < kMaxLinesPerSecond;
  }
};

LineRateLimiter sLineRateLimiter;

char
LevelLetter(LogLevel aLevel)
{
  constexpr std::string_view kLevelLetters = "DIWE";
  return kLevelLetters[static_cast<size_t>(aLevel)];
}

std::string
FormatLogLine(const timespec& aNow,
              LogLevel aLevel,
              std::string_view aComponent,
              std::string_view aMessage)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
                     fmt::gmtime(aNow.tv_sec),
                     aNow.tv_nsec / 1'000'000,
                     LevelLetter(aLevel),
                     aComponent,
                     aMessage);
}

void
WriteRateLimitedLine(const timespec& aNow,
                     LogLevel aLevel,
                     std::string_view aComponent,
                     std::string_view aMessage)
{
  if (!sLineRateLimiter.TryAcquire(aNow.tv_sec) &&
      aLevel < LogLevel::kWarning) {
    ++sLineRateLimiter.m_droppedLines;
    return;
  }
  std::string line;
  const int64_t droppedLines = sLineRateLimiter.m_droppedLines.exchange(0);
  if (droppedLines > 0) {
    line =
      FormatLogLine(aNow,
                    LogLevel::kWarning,
                    "log",
                    fmt::format("event=lines-dropped count={}", droppedLines));
  }
  line += FormatLogLine(aNow, aLevel, aComponent, aMessage);
  if (write(STDOUT_FILENO, line.data(), line.size()) < 0) {
    sLineRateLimiter.m_droppedLines += droppedLines + 1;
  }
}

} // namespace

void
SetLogOutput(LogOutput aOutput)
{
  sLogOutput = aOutput;
  if (aOutput == LogOutput::kRateLimitedStandardOutput) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void
SetLogLevel(LogLevel aLevel)
{
  sMinLogLevel.store(aLevel, std::memory_order_relaxed);
}

bool
IsLogEnabled(LogLevel aLevel)
{
  return aLevel >= sMinLogLevel.load(std::memory_order_relaxed);
}

void
WriteLogLine(LogLevel aLevel,
             std::string_view aComponent,
             std::string_view aMessage)
{
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (sLogOutput == LogOutput::kRateLimitedStandardOutput) {
    WriteRateLimitedLine(now, aLevel, aComponent, aMessage);
    return;
  }
  const std::string line = FormatLogLine(now, aLevel, aComponent, aMessage);
  // A failed write loses the line, but must not stop the program.
  [[maybe_unused]] const ssize_t written =
    write(STDERR_FILENO, line.data(), line.size());
}

} // namespace rattanloft
