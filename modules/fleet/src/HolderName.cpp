#include "rattanloft/fleet/HolderName.h"

#include <charconv>

#include <fmt/format.h>

namespace rattanloft::fleet {

std::string
FormatHolderName(const HolderName& aName)
{
  return fmt::format(
    "{}/{}@{}", aName.m_instance, aName.m_backendId, aName.m_startedAtUnixMs);
}

std::optional<HolderName>
ParseHolderName(std::string_view aText)
{
  const size_t slash = aText.find('/');
  const size_t atSign = aText.rfind('@');
  if (slash == std::string_view::npos || atSign == std::string_view::npos ||
      atSign < slash) {
    return std::nullopt;
  }
  HolderName name;
  name.m_instance = aText.substr(0, slash);
  name.m_backendId = aText.substr(slash + 1, atSign - slash - 1);
  const std::string_view startText = aText.substr(atSign + 1);
  const auto [end, error] = std::from_chars(startText.data(),
                                            startText.data() + startText.size(),
                                            name.m_startedAtUnixMs);
  if (error != std::errc() || end != startText.data() + startText.size()) {
    return std::nullopt;
  }
  return name;
}

} // namespace rattanloft::fleet
