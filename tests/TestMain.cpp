// Catch2 names this macro.
// NOLINTNEXTLINE(readability-identifier-naming)
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
