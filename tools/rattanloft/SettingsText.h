#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rattanloft::tool {

// The parts between commas, without empty ones.
std::vector<std::string>
SplitCommaList(std::string_view aText);

// The addresses with their ports replaced.
std::vector<std::string>
ReplacePorts(const std::vector<std::string>& aAddresses, uint32_t aPort);

// The value of --aFlag in a flagfile, for settings that change while the
// process runs; empty if the file or the flag is missing.
std::string
ReadFlagFromFile(const std::string& aPath, std::string_view aFlag);

// Path of the flagfile among the arguments of this process; empty for none.
std::string
FlagfilePath();

} // namespace rattanloft::tool
