#include "rattanloft/base/Random.h"

#include <random>

namespace rattanloft {

uint64_t
RandomId()
{
  std::random_device device;
  uint64_t id = 0;
  while (id == 0) {
    id = (uint64_t{ device() } << 32) | device();
  }
  return id;
}

} // namespace rattanloft
