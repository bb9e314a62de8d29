#include "ApiTypes.h"
#include "rattanloft/control/GroupText.h"

#include <catch2/catch.hpp>

namespace rattanloft::control {

// Guards against a member list that is read only in part or with the address of
// another replica. The replicas would then form different groups.
TEST_CASE("A list of group members is read in full or refused")
{
  const auto group = ParseGroup("00000000000000ff=10.0.0.1:1/10.0.0.1:2/z1,"
                                "0000000000000100=[::1]:3/[::1]:4/z2");
  REQUIRE(group);
  REQUIRE(group->members_size() == 2);
  CHECK(group->members(0).replica_id() == 255);
  CHECK(group->members(1).grpc_address() == "[::1]:3");
  CHECK(group->members(1).zone() == "z2");
  CHECK(ParseGroup("")->members_size() == 0);
  for (const char* malformed : { "ff=10.0.0.1:1/10.0.0.1:2/z",
                                 "00000000000000ff=10.0.0.1:1/10.0.0.1:2",
                                 "00000000000000ff=host:1/10.0.0.1:2/z",
                                 "00000000000000ff=10.0.0.1:70000/10.0.0.1:2/z",
                                 "0000000000000000=10.0.0.1:1/10.0.0.1:2/z",
                                 "00000000000000ff=10.0.0.1:1/10.0.0.1:2/z,",
                                 "00000000000000ff=10.0.0.1:1/10.0.0.1:2/z,"
                                 "00000000000000ff=10.0.0.2:1/10.0.0.2:2/z" }) {
    INFO(malformed);
    CHECK_FALSE(ParseGroup(malformed));
  }
}

// Guards against a request for an entry with special characters in its name
// that reads or changes another entry.
TEST_CASE("Request targets are percent-decoded and malformed ones are refused")
{
  ApiRequest request;
  REQUIRE(
    ParseRequestTarget("/v1/catalogue/a%2Fb?change_id=x%20y&flag", request));
  CHECK(request.m_path == std::vector<std::string>{ "v1", "catalogue", "a/b" });
  CHECK(GetQueryText(request, "change_id") == "x y");
  CHECK(request.m_query.contains("flag"));
  CHECK_FALSE(GetQueryNumber(request, "change_id"));
  ApiRequest malformed;
  CHECK_FALSE(ParseRequestTarget("v1", malformed));
  CHECK_FALSE(ParseRequestTarget("/a%2", malformed));
  CHECK_FALSE(ParseRequestTarget("/a%zz", malformed));
  CHECK_FALSE(ParseRequestTarget("/a?b=%f", malformed));
}

} // namespace rattanloft::control
