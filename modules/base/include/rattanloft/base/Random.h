#pragma once

#include <cstdint>

namespace rattanloft {

// A random 64-bit number other than 0 from the system's source, for ids. Pure
// cores take a seed instead.
uint64_t
RandomId();

} // namespace rattanloft
