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
  const size_t at = aText.rfind('@');
  if (slash == std::string_view::npos || at == std::string_view::npos ||
      at < slash) {
    return std::nullopt;
  }
  HolderName name;
  name.m_instance = aText.substr(0, slash);
  name.m_backendId = aText.substr(slash + 1, at - slash - 1);
  const std::string_view start = aText.substr(at + 1);
  const auto [end, error] = std::from_chars(
    start.data(), start.data() + start.size(), name.m_startedAtUnixMs);
  if (error != std::errc() || end != start.data() + start.size()) {
    return std::nullopt;
  }
  return name;
}

} // namespace rattanloft::fleet
