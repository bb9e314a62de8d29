#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rattanloft::tool {

// Splits a list at its commas and drops empty items.
std::vector<std::string>
SplitCommaList(std::string_view aText);

// Returns the addresses, host:port each, with every port replaced by aPort.
std::vector<std::string>
ReplacePorts(const std::vector<std::string>& aAddresses, uint32_t aPort);

// Returns the value of --aFlag in a flag file, for settings that may change
// while the process runs. Empty if the file cannot be read or has no such flag.
std::string
ReadFlagFromFile(const std::string& aPath, std::string_view aFlag);

// Returns the path in the --flagfile argument of this process; empty if it was
// started without one.
std::string
FlagfilePath();

} // namespace rattanloft::tool
