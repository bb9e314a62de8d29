// The name of the macro is given by Catch2.
// NOLINTNEXTLINE(readability-identifier-naming)
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
