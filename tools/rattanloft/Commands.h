#pragma once

#include <span>

// Each sub-command of the program is one function, defined in NAMECommand.cpp.
// aArgs holds the positional arguments; Main.cpp parses the flags before the
// call. A sub-command accepts the flags that are defined in its own source file
// and the shared flags of Flags.h that the table in Main.cpp lists for it. The
// return value is the exit status: 0 for success, 1 for a failure, 2 for
// incorrect usage.
namespace rattanloft::tool {

int
NodeCommand(std::span<char*> aArgs);
int
ControlCommand(std::span<char*> aArgs);
int
BackendCommand(std::span<char*> aArgs);
int
LoadCommand(std::span<char*> aArgs);
int
CatalogueCommand(std::span<char*> aArgs);
int
StatusCommand(std::span<char*> aArgs);
int
DrainCommand(std::span<char*> aArgs);
int
CoordinatorCommand(std::span<char*> aArgs);
int
SidecarCommand(std::span<char*> aArgs);
int
TraceCommand(std::span<char*> aArgs);

} // namespace rattanloft::tool
