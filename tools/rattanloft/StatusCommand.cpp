#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
StatusCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft status: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
