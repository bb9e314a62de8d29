#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
ControlCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft control: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
