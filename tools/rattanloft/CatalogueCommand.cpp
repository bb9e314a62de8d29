#include <fmt/format.h>

#include "Commands.h"

namespace rattanloft::tool {

int
CatalogueCommand(std::span<char*> /*aArgs*/)
{
  fmt::print(stderr, "rattanloft catalogue: not implemented yet\n");
  return 2;
}

} // namespace rattanloft::tool
