#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
LoadCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft load: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
