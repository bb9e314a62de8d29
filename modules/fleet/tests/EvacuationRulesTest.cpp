#include "rattanloft/fleet/EvacuationRules.h"

#include <string>

#include <catch2/catch.hpp>

namespace rattanloft::fleet {

// Guards against a name that no replica can parse, or that forges log lines.
TEST_CASE("names of zones are checked")
{
  CHECK(CheckZoneName("zone-a"));
  CHECK(CheckZoneName("Z\u00fcrich 1"));
  CHECK(CheckZoneName(std::string(kMaxZoneNameBytes, 'z')));
  CHECK_FALSE(CheckZoneName(std::string(kMaxZoneNameBytes + 1, 'z')));
  CHECK_FALSE(CheckZoneName(""));
  CHECK_FALSE(CheckZoneName("a/b"));
  CHECK_FALSE(CheckZoneName("a\nb"));
  CHECK_FALSE(CheckZoneName(std::string("a\0b", 3)));
  CHECK_FALSE(CheckZoneName("a\x7f"));
  CHECK_FALSE(CheckZoneName("\xff\xfe"));
  CHECK_FALSE(CheckZoneName("a\xc3"));
}

} // namespace rattanloft::fleet
