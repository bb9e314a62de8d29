#include "rattanloft/trace/LogLine.h"

#include <charconv>
#include <chrono>
#include <cstdio>

namespace rattanloft::trace {

namespace {

// Length of a timestamp such as 2026-01-31T12:00:00.000Z, in characters.
constexpr size_t kTimestampLength = 24;

// Returns milliseconds since the Unix epoch, or nothing if malformed.
std::optional<int64_t>
ParseTimestamp(const std::string& aText)
{
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int milliseconds = 0;
  const int parsedFields = std::sscanf(aText.c_str(),
                                       "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ",
                                       &year,
                                       &month,
                                       &day,
                                       &hour,
                                       &minute,
                                       &second,
                                       &milliseconds);
  const std::chrono::year_month_day date{ std::chrono::year(year),
                                          std::chrono::month(month),
                                          std::chrono::day(day) };
  if (parsedFields != 7 || !date.ok()) {
    return std::nullopt;
  }
  const auto days = std::chrono::sys_days(date).time_since_epoch();
  const int64_t seconds =
    std::chrono::seconds(days).count() + hour * 3600 + minute * 60 + second;
  return seconds * 1000 + milliseconds;
}

// Returns the position of the timestamp, or npos if there is none.
size_t
FindTimestamp(std::string_view aLine)
{
  for (size_t end = aLine.find("Z "); end != std::string_view::npos;
       end = aLine.find("Z ", end + 1)) {
    const size_t start = end + 1 - std::min(end + 1, kTimestampLength);
    if (end + 1 - start == kTimestampLength && aLine[start + 10] == 'T') {
      return start;
    }
  }
  return std::string_view::npos;
}

// Returns the last column before the timestamp. Collectors separate columns by
// spaces, tabs or bars.
std::string_view
LastColumn(std::string_view aText)
{
  const size_t end = aText.find_last_not_of(" \t|");
  if (end == std::string_view::npos) {
    return {};
  }
  const size_t before = aText.find_last_of(" \t|", end);
  const size_t start = before == std::string_view::npos ? 0 : before + 1;
  return aText.substr(start, end + 1 - start);
}

} // namespace

std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aInstance)
{
  const size_t start = FindTimestamp(aLine);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const auto unixMs =
    ParseTimestamp(std::string(aLine.substr(start, kTimestampLength)));
  // Between the timestamp and the component is the level: one letter between
  // two spaces.
  const size_t componentStart = start + kTimestampLength + 3;
  const size_t colon = aLine.find(": ", std::min(componentStart, aLine.size()));
  if (!unixMs || colon == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.m_unixMs = *unixMs;
  const std::string_view instanceColumn = LastColumn(aLine.substr(0, start));
  line.m_instance = instanceColumn.empty() ? aInstance : instanceColumn;
  line.m_component = aLine.substr(componentStart, colon - componentStart);
  line.m_text = aLine.substr(colon + 2);
  return line;
}

std::string_view
FindField(const LogLine& aLine, std::string_view aName)
{
  const std::string_view text = aLine.m_text;
  for (size_t nameStart = text.find(aName); nameStart != std::string_view::npos;
       nameStart = text.find(aName, nameStart + 1)) {
    const size_t equals = nameStart + aName.size();
    const bool startsWord = nameStart == 0 || text[nameStart - 1] == ' ';
    if (!startsWord || equals >= text.size() || text[equals] != '=') {
      continue;
    }
    const bool quoted = equals + 1 < text.size() && text[equals + 1] == '"';
    const size_t first = equals + (quoted ? 2 : 1);
    const size_t last =
      std::min(text.find(quoted ? '"' : ' ', first), text.size());
    return text.substr(first, last - first);
  }
  return {};
}

std::optional<int64_t>
FindIntegerField(const LogLine& aLine, std::string_view aName)
{
  const std::string_view text = FindField(aLine, aName);
  int64_t value = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace rattanloft::trace
