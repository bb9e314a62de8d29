#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
NodeCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft node: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
