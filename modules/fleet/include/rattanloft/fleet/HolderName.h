#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::fleet {

// Identifies one lifetime of the backend server at an instance, from its start
// to its end. Each key is held by at most one such lifetime at a time. Two
// lifetimes with the same backend id differ in their start time.
struct HolderName
{
  std::string m_instance;
  std::string m_backendId;
  int64_t m_startedAtUnixMs = 0;
};

// Formats the name as instance/backend@start.
std::string
FormatHolderName(const HolderName& aName);
// Empty if the text does not have this form.
std::optional<HolderName>
ParseHolderName(std::string_view aText);

} // namespace rattanloft::fleet
