#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
DrainCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft drain: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
