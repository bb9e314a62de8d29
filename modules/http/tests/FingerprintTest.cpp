#include "rattanloft/http/Fingerprint.h"

#include <catch2/catch.hpp>

namespace rattanloft::http {

// Guards against replaying a stored answer to a request with a different
// payload.
TEST_CASE("The fingerprint covers method, target and body")
{
  Request base{ boost::beast::http::verb::post, "/deposits/a", 11 };
  base.body() = "1";
  auto body = base;
  body.body() = "2";
  auto target = base;
  target.target("/deposits/b");
  auto method = base;
  method.method_string("PUT");
  REQUIRE(ComputeFingerprint(base) == ComputeFingerprint(base));
  REQUIRE(ComputeFingerprint(base) != ComputeFingerprint(body));
  REQUIRE(ComputeFingerprint(base) != ComputeFingerprint(target));
  REQUIRE(ComputeFingerprint(base) != ComputeFingerprint(method));
}

// Guards against treating requests for two hosts as the same work.
TEST_CASE("The host fingerprint also covers the host")
{
  Request base{ boost::beast::http::verb::get, "/stands/a", 11 };
  base.set(boost::beast::http::field::host, "a.example");
  Request other = base;
  other.set(boost::beast::http::field::host, "b.example");
  Request headers = base;
  headers.set("Id", "1");
  REQUIRE(ComputeHostFingerprint(base) != ComputeHostFingerprint(other));
  REQUIRE(ComputeHostFingerprint(base) == ComputeHostFingerprint(headers));
}

} // namespace rattanloft::http
