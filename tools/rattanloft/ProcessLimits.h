#pragma once

#include <cstddef>
#include <string>

#include <tl/expected.hpp>

namespace rattanloft::tool {

// What the memory budget and the connection limits of a process are made from.
struct ProcessLimits
{
  // Memory that is left for requests, responses and connections.
  size_t m_memoryBudgetBytes = 0;
  size_t m_maxOpenFiles = 0;
};

// Reads the limits from --memory_limit_mb and --max_open_files and from the
// system. aStateBytes is what the process needs besides the memory that it uses
// now and the budget. The error names the flag.
tl::expected<ProcessLimits, std::string>
ReadProcessLimits(size_t aStateBytes);

// Makes the allocator return the memory of large buffers to the system when
// they are freed.
void
ReturnFreedMemory();

} // namespace rattanloft::tool
