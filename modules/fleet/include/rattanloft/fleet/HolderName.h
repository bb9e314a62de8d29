#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::fleet {

// Names one lifetime of the backend server beside an instance. Two lifetimes
// with the same backend id differ in their start time.
struct HolderName
{
  std::string m_instance;
  std::string m_backendId;
  int64_t m_startedAtUnixMs = 0;
};

// instance/backend@start
std::string
FormatHolderName(const HolderName& aName);
std::optional<HolderName>
ParseHolderName(std::string_view aText);

} // namespace rattanloft::fleet
