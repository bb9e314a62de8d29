#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
BackendCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft backend: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
