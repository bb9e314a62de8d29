#include "Announcement.h"

#include <string>

#include <catch2/catch.hpp>

namespace rattanloft::node {

namespace {

constexpr const char* kValid =
  R"({"incarnation":"00000000000000af","service":"catalogue",)"
  R"("address":"127.0.0.1:9001","slots":12,"verifies_tokens":true})";

} // namespace

// Guards against fields of an announcement that are dropped or mixed up.
TEST_CASE("A valid announcement is parsed into all its fields")
{
  const auto parsed = ParseAnnouncement(kValid);
  REQUIRE(parsed);
  REQUIRE(parsed->m_backend.incarnation() == 0xaf);
  REQUIRE(parsed->m_backend.service() == "catalogue");
  REQUIRE(parsed->m_backend.slots() == 12);
  REQUIRE(parsed->m_backend.verifies_tokens());
  REQUIRE(parsed->m_address == "127.0.0.1:9001");
  REQUIRE_FALSE(parsed->m_draining);
}

// Guards against registering a backend server with values that placement and
// fencing cannot work with.
TEST_CASE(
  "An invalid announcement is refused with an error that names the field")
{
  const struct
  {
    const char* m_json;
    const char* m_field;
  } cases[] = {
    { "not json", "JSON object" },
    { R"({"incarnation":17})", "incarnation" },
    { R"({"incarnation":"0000000000000000"})", "incarnation" },
    { R"({"incarnation":"00000000000000zz"})", "incarnation" },
    { R"({"incarnation":"00000000000000af"})", "service" },
    { R"({"incarnation":"00000000000000af","service":"a"})", "address" },
    { R"({"incarnation":"00000000000000af","service":"a","address":"x:1"})",
      "address" },
    { R"({"incarnation":"00000000000000af","service":"a",)"
      R"("address":"127.0.0.1:99999"})",
      "address" },
    { R"({"incarnation":"00000000000000af","service":"a",)"
      R"("address":"127.0.0.1:1","slots":0})",
      "slots" },
    { R"({"incarnation":"00000000000000af","service":"a",)"
      R"("address":"127.0.0.1:1","verifies_tokens":"yes"})",
      "verifies_tokens" },
    { R"({"incarnation":"00000000000000af","service":"a",)"
      R"("address":"127.0.0.1:1","draining":1})",
      "draining" },
  };
  for (const auto& testCase : cases) {
    const auto parsed = ParseAnnouncement(testCase.m_json);
    REQUIRE_FALSE(parsed);
    REQUIRE(parsed.error().find(testCase.m_field) != std::string::npos);
  }
}

} // namespace rattanloft::node
