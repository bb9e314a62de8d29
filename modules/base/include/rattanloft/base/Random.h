#pragma once

#include <cstdint>

namespace rattanloft {

// Returns a random 64-bit id other than 0 from the random source of the
// operating system. Code that must be reproducible takes a seed instead.
uint64_t
RandomId();

} // namespace rattanloft
