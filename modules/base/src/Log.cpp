#include "rattanloft/base/Log.h"

#include <atomic>
#include <ctime>
#include <unistd.h>

#include <fmt/chrono.h>

namespace rattanloft {

namespace {

std::atomic<LogLevel> sLevel{ LogLevel::kInfo };

char
LevelLetter(LogLevel aLevel)
{
  constexpr std::string_view kLetters = "DIWE";
  return kLetters[static_cast<size_t>(aLevel)];
}

} // namespace

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
  const std::string line =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
                fmt::gmtime(now.tv_sec),
                now.tv_nsec / 1'000'000,
                LevelLetter(aLevel),
                aPart,
                aText);
  // A lost log line must not stop the program.
  [[maybe_unused]] const ssize_t written =
    write(STDERR_FILENO, line.data(), line.size());
}

} // namespace rattanloft
