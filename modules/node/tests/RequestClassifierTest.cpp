#include "RequestClassifier.h"

#include <catch2/catch.hpp>

namespace rattanloft::node {

namespace {

wire::CatalogueEntry
MakeEntry(const char* aService,
          const char* aMethod,
          bool aKeyed,
          bool aAtMostOnce)
{
  wire::CatalogueEntry entry;
  entry.set_name(std::string(aService) + "." + aMethod);
  entry.set_service(aService);
  entry.add_methods(aMethod);
  entry.set_keyed(aKeyed);
  entry.set_idempotent(!aAtMostOnce);
  entry.mutable_limits()->set_max_body_bytes(10);
  return entry;
}

std::shared_ptr<const routing::RoutingView>
MakeView()
{
  auto view = std::make_shared<routing::RoutingView>();
  view->m_routes = routing::RouteTable::MakeEmpty();
  view->m_catalogue =
    routing::Catalogue::Make(1,
                             { MakeEntry("catalogue", "GET", true, false),
                               MakeEntry("deposits", "POST", false, true),
                               MakeEntry("status", "GET", false, false) });
  return view;
}

http::Request
MakeRequest(const char* aMethod, const char* aTarget)
{
  http::Request request;
  request.method_string(aMethod);
  request.target(aTarget);
  return request;
}

unsigned
RefusalStatus(const http::Request& aRequest)
{
  const auto result = Classify(aRequest, MakeView());
  return result ? 0 : result.error().m_status;
}

} // namespace

// Guards against requests for a key that are routed by another part of their
// path.
TEST_CASE("The key and shard of a keyed service are taken from the path")
{
  const auto result =
    Classify(MakeRequest("GET", "/catalogue/stand-17/free?day=2"), MakeView());
  REQUIRE(result);
  REQUIRE(result->m_key == "stand-17");
  REQUIRE(result->m_shard == HashedShard("stand-17"));
}

// Guards against a repeated request that reaches another record owner because
// the quotes of the header value were taken as part of the key.
TEST_CASE("The shard is determined by the idempotency key without its quotes")
{
  auto quoted = MakeRequest("POST", "/deposits");
  quoted.set("Idempotency-Key", "\"d-1\"");
  auto plain = MakeRequest("POST", "/deposits");
  plain.set("Idempotency-Key", "d-1");
  const auto first = Classify(quoted, MakeView());
  const auto second = Classify(plain, MakeView());
  REQUIRE(first);
  REQUIRE(second);
  REQUIRE(first->m_idempotencyKey == "d-1");
  REQUIRE(first->m_shard == second->m_shard);
}

// Guards against binding requests to one owner that any node may run.
TEST_CASE("Idempotent requests of a service without keys have no shard")
{
  const auto result = Classify(MakeRequest("GET", "/status/x"), MakeView());
  REQUIRE(result);
  REQUIRE_FALSE(result->m_shard);
}

// Guards against running requests that the catalogue does not describe.
TEST_CASE("Requests that the catalogue does not allow are refused")
{
  REQUIRE(RefusalStatus(MakeRequest("GET", "/nothing")) == 404);
  REQUIRE(RefusalStatus(MakeRequest("GET", "/")) == 404);
  REQUIRE(RefusalStatus(MakeRequest("DELETE", "/catalogue/k")) == 405);
  REQUIRE(RefusalStatus(MakeRequest("GET", "/catalogue")) == 400);
  REQUIRE(RefusalStatus(MakeRequest("POST", "/deposits")) == 400);
  auto large = MakeRequest("GET", "/status/x");
  large.body() = "12345678901";
  REQUIRE(RefusalStatus(large) == 413);
}

} // namespace rattanloft::node
