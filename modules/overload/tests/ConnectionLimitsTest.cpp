#include "rattanloft/overload/ConnectionLimits.h"

#include <catch2/catch.hpp>

namespace rattanloft::overload {

namespace {

size_t
Sum(const ConnectionLimits& aLimits, const std::vector<ConnectionPart>& aParts)
{
  size_t sum = 0;
  for (const ConnectionPart& part : aParts) {
    sum += aLimits.Limit(part.m_name);
  }
  return sum;
}

const std::vector<ConnectionPart> kParts = { { "callers", 1064 },
                                             { "peers", 1064 },
                                             { "ready", 64 },
                                             { "outgoing", 1024 } };

} // namespace

TEST_CASE("Each part gets what it wants if that fits", "[overload]")
{
  const auto limits = ConnectionLimits::Make(4096, kParts);
  REQUIRE(limits);
  for (const ConnectionPart& part : kParts) {
    CHECK(limits->Limit(part.m_name) == part.m_wanted);
  }
  CHECK(limits->Limit("other") == 0);
}

// Guards against parts that add up to more descriptors than there are, so that
// the connections of one listener would stop another from accepting.
TEST_CASE("The parts never exceed the descriptors", "[overload]")
{
  for (size_t maxDescriptors = 0; maxDescriptors < 5000; ++maxDescriptors) {
    const auto limits = ConnectionLimits::Make(maxDescriptors, kParts);
    if (maxDescriptors < 232) {
      REQUIRE(!limits);
      continue;
    }
    REQUIRE(limits);
    REQUIRE(Sum(*limits, kParts) + ConnectionLimits::kReservedDescriptors <=
            maxDescriptors);
    for (const ConnectionPart& part : kParts) {
      REQUIRE(limits->Limit(part.m_name) >= ConnectionLimits::kMinPart);
    }
  }
}

} // namespace rattanloft::overload
