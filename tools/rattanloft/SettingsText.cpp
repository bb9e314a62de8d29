#include "SettingsText.h"

#include <algorithm>
#include <fstream>

#include <fmt/format.h>

#include "rattanloft/base/Log.h"

namespace rattanloft::tool {

std::vector<std::string>
SplitCommaList(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const size_t comma = std::min(aText.find(','), aText.size());
    if (comma > 0) {
      parts.emplace_back(aText.substr(0, comma));
    }
    aText.remove_prefix(std::min(comma + 1, aText.size()));
  }
  return parts;
}

std::vector<std::string>
ReplacePorts(const std::vector<std::string>& aAddresses, uint32_t aPort)
{
  std::vector<std::string> changed;
  for (const std::string& address : aAddresses) {
    changed.push_back(
      fmt::format("{}:{}", address.substr(0, address.rfind(':')), aPort));
  }
  return changed;
}

std::string
ReadFlagFromFile(const std::string& aPath, std::string_view aFlag)
{
  std::ifstream file(aPath);
  if (!file) {
    LogWarning("settings", "event=unreadable file={}", aPath);
    return {};
  }
  const std::string start = fmt::format("--{}=", aFlag);
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(start)) {
      return line.substr(start.size());
    }
  }
  return {};
}

std::string
FlagfilePath()
{
  std::ifstream arguments("/proc/self/cmdline");
  std::string argument;
  constexpr std::string_view kFlag = "--flagfile=";
  while (std::getline(arguments, argument, '\0')) {
    if (argument.starts_with(kFlag)) {
      return argument.substr(kFlag.size());
    }
  }
  return {};
}

} // namespace rattanloft::tool
