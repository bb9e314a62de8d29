#include "EndpointSelector.h"

#include <map>

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

wire::Endpoint
MakeEndpoint(const std::string& aInstance,
             const std::string& aZone = "z1",
             wire::BackendPhase aPhase = wire::BACKEND_PHASE_READY)
{
  wire::Endpoint endpoint;
  endpoint.set_instance(aInstance);
  endpoint.set_zone(aZone);
  endpoint.mutable_backend()->set_service("s");
  endpoint.mutable_backend()->set_slots(10);
  endpoint.mutable_backend()->set_phase(aPhase);
  endpoint.mutable_backend()->set_reachable(true);
  return endpoint;
}

std::map<std::string, int>
CountChoices(EndpointSelector& aEndpointSelector,
             TimePoint aNow,
             size_t aBodyBytes = 0)
{
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    const wire::Endpoint* const endpoint =
      aEndpointSelector.Choose({ "s", "z1", aBodyBytes, "" }, {}, aNow);
    ++chosen[endpoint == nullptr ? "" : endpoint->instance()];
  }
  return chosen;
}

} // namespace

TEST_CASE(
  "endpoints that drain, were tried or serve another service are not chosen")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = {
    MakeEndpoint("a"), MakeEndpoint("b", "z1", wire::BACKEND_PHASE_DRAINING)
  };
  selector.SetEndpoints(endpoints, {});
  CHECK(CountChoices(selector, {})["a"] == 300);
  CHECK(selector.Choose({ "s", "z1", 0, "" }, { "a" }, {}) == nullptr);
  CHECK(selector.Choose({ "t", "z1", 0, "" }, {}, {}) == nullptr);
  CHECK(selector.FindEndpoint("b") != nullptr);
}

// Guards against a slow backend server that gets as many requests as a fast
// one.
TEST_CASE("a slow backend server gets fewer requests")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = { MakeEndpoint("fast"),
                                                  MakeEndpoint("slow") };
  selector.SetEndpoints(endpoints, {});
  selector.OnLoadReport("fast", { 5, 0, 10, 50 }, {});
  selector.OnLoadReport("slow", { 5, 0, 10, 600 }, {});
  CHECK(CountChoices(selector, {})["slow"] == 0);
}

// Guards against requests that keep going to a sidecar that does not respond.
TEST_CASE("an endpoint that does not respond is suspect for some time")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = { MakeEndpoint("a"),
                                                  MakeEndpoint("b", "z2") };
  selector.SetEndpoints(endpoints, {});
  selector.OnNoResponse("a", TimePoint{ 1000 });
  CHECK(CountChoices(selector, TimePoint{ 1100 })["a"] == 0);
  CHECK(CountChoices(selector, TimePoint{ 1600 })["a"] > 0);
  // A suspect endpoint is chosen if there is no other.
  CHECK(selector.Choose({ "s", "z1", 0, "" }, { "b" }, TimePoint{ 1100 }) !=
        nullptr);
}

// Guards against a backend server that fails quickly and therefore attracts
// most requests, since it seems fast and idle.
TEST_CASE("a failing backend server gets fewer requests")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = { MakeEndpoint("bad"),
                                                  MakeEndpoint("good") };
  selector.SetEndpoints(endpoints, {});
  selector.OnLoadReport("bad", { 0, 0, 10, 20 }, {});
  selector.OnLoadReport("good", { 8, 0, 10, 100 }, {});
  for (int i = 0; i < 20; ++i) {
    selector.OnBackendResponse("bad", true);
  }
  CHECK(CountChoices(selector, {})["bad"] == 0);
}

// Guards against requests that cross availability zones while their own has
// room, against requests that wait there while another zone is idle, and
// against large bodies that take longer to cross than they would wait.
TEST_CASE("requests leave their zone only if it is full, large bodies later")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = { MakeEndpoint("near", "z1"),
                                                  MakeEndpoint("far", "z2") };
  selector.SetEndpoints(endpoints, {});
  TimePoint now{ 10'000 };
  // Counts the requests to the other zone in 3 s, one each 30 ms, after 2 s in
  // which the choice may adapt.
  const auto countFar = [&](ReportedLoad aNear, size_t aBodyBytes) {
    int count = 0;
    for (int i = 0; i < 167; ++i) {
      now = now + Milliseconds(30);
      selector.OnLoadReport("near", aNear, now);
      selector.OnLoadReport("far", { 2, 0, 10, 60 }, now);
      const wire::Endpoint* const chosen =
        selector.Choose({ "s", "z1", aBodyBytes, "" }, {}, now);
      count += i >= 67 && chosen->instance() == "far" ? 1 : 0;
      selector.Zones().OnExchange("s", chosen->zone(), 1000, false);
    }
    return count;
  };
  CHECK(countFar({ 5, 0, 10, 100 }, 100) == 0);
  CHECK(countFar({ 5, 0, 10, 500 }, 6000) == 0);
  CHECK(countFar({ 10, 8, 10, 100 }, 100) >= 50);
  CHECK(countFar({ 10, 8, 10, 100 }, 600'000) == 0);
  CHECK(countFar({ 5, 0, 10, 100 }, 100) == 0);
}

// Guards against requests that take two hops while a slot is free beside them,
// and against requests that wait there while other instances are idle.
TEST_CASE("the own instance is preferred while it has a free slot")
{
  EndpointSelector selector(1);
  std::vector<wire::Endpoint> endpoints;
  for (int i = 0; i < 20; ++i) {
    endpoints.push_back(MakeEndpoint("n" + std::to_string(i)));
  }
  selector.SetEndpoints(endpoints, {});
  for (const wire::Endpoint& endpoint : endpoints) {
    selector.OnLoadReport(endpoint.instance(), { 5, 0, 10, 100 }, {});
  }
  const auto countOwnChoices = [&] {
    int count = 0;
    for (int i = 0; i < 300; ++i) {
      const wire::Endpoint* const chosen =
        selector.Choose({ "s", "z1", 0, "n7" }, {}, {});
      count += chosen->instance() == "n7" ? 1 : 0;
    }
    return count;
  };
  CHECK(countOwnChoices() == 300);
  selector.OnLoadReport("n7", { 10, 2, 10, 100 }, {});
  CHECK(countOwnChoices() == 0);
  selector.OnLoadReport("n7", { 5, 0, 10, 300 }, {});
  CHECK(countOwnChoices() == 0);
}

// Guards against requests that wait for a frozen instance until their callers
// give up.
TEST_CASE("an instance that answers none of several requests counts as stalled")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = { MakeEndpoint("a", "z1"),
                                                  MakeEndpoint("b", "z2") };
  selector.SetEndpoints(endpoints, {});
  selector.OnRequestSent("a", TimePoint{ 1000 });
  CHECK_FALSE(selector.IsStalled("a", TimePoint{ 3000 }));
  selector.OnRequestSent("a", TimePoint{ 1200 });
  CHECK_FALSE(selector.IsStalled("a", TimePoint{ 1600 }));
  CHECK(selector.IsStalled("a", TimePoint{ 1800 }));
  CHECK(CountChoices(selector, TimePoint{ 1800 })["b"] == 300);
  selector.OnLoadReport("a", { 1, 0, 4, 50 }, TimePoint{ 1900 });
  CHECK_FALSE(selector.IsStalled("a", TimePoint{ 2000 }));
  selector.OnRequestEnded("a");
  selector.OnRequestEnded("a");
  CHECK_FALSE(selector.IsStalled("a", TimePoint{ 5000 }));
}

// Guards against a warm backend server that counts as cold again whenever
// another endpoint changes.
TEST_CASE("a change of another endpoint does not restart the cold time")
{
  EndpointSelector selector(1);
  std::vector<wire::Endpoint> endpoints = { MakeEndpoint("a"),
                                            MakeEndpoint("b") };
  endpoints[0].mutable_backend()->set_cold_remaining_ms(1000);
  selector.SetEndpoints(endpoints, TimePoint{ 0 });
  CHECK(CountChoices(selector, TimePoint{ 500 })["a"] == 0);
  endpoints.push_back(MakeEndpoint("c", "z2"));
  selector.SetEndpoints(endpoints, TimePoint{ 900 });
  CHECK(CountChoices(selector, TimePoint{ 1100 })["a"] > 50);
}

// Guards against requests to an evacuated zone, also as the last resort.
TEST_CASE("endpoints in evacuated zones are not chosen")
{
  EndpointSelector selector(1);
  const std::vector<wire::Endpoint> endpoints = { MakeEndpoint("a", "z1"),
                                                  MakeEndpoint("b", "z2") };
  selector.SetEndpoints(endpoints, {});
  selector.SetEvacuatedZones({ "z1" });
  selector.OnNoResponse("b", TimePoint{ 1000 });
  CHECK(CountChoices(selector, TimePoint{ 1100 })["b"] == 300);
  CHECK(selector.Choose({ "s", "z1", 0, "" }, { "b" }, {}) == nullptr);
  selector.SetEvacuatedZones({});
  CHECK(CountChoices(selector, TimePoint{ 1100 })["a"] == 300);
}

// Guards against a zone that returns cold and attracts requests which it must
// refuse while other zones are warm.
TEST_CASE("cold endpoints get this entry's part of their bound")
{
  EndpointSelector selector(1);
  std::vector<wire::Endpoint> endpoints = { MakeEndpoint("cold-1"),
                                            MakeEndpoint("cold-2"),
                                            MakeEndpoint("warm", "z2") };
  for (size_t number : { 0, 1 }) {
    endpoints[number].mutable_backend()->set_cold_remaining_ms(3000);
  }
  selector.SetEndpoints(endpoints, TimePoint{ 0 });
  EndpointQuery query{ "s", "z1", 0, "" };
  query.m_coldBound = 26;
  query.m_sidecarCount = 52;
  std::map<std::string, int> chosen;
  for (int64_t nowMs = 0; nowMs < 3000; nowMs += 10) {
    // Requests wait there, so that the cold ones would be preferred.
    selector.OnLoadReport("warm", { 10, 30, 10, 100 }, TimePoint{ nowMs });
    ++chosen[selector.Choose(query, {}, TimePoint{ nowMs })->instance()];
  }
  // Twice 26 / 52 a second for each of them, and one at once.
  CHECK(chosen["cold-1"] >= 2);
  CHECK(chosen["cold-1"] <= 4);
  CHECK(chosen["cold-2"] <= 4);
  CHECK(chosen["warm"] >= 292);
  // A service without a bound goes to its own zone.
  query.m_coldBound = 0;
  CHECK(selector.Choose(query, {}, TimePoint{ 3000 })->instance() != "warm");
}

// Guards against callers that are all told to come back at the same time, and
// against endpoints that stay cold for this entry if no leader replies.
TEST_CASE("without room at cold endpoints callers are told times of their own")
{
  EndpointSelector selector(1);
  std::vector<wire::Endpoint> endpoints = { MakeEndpoint("cold") };
  endpoints[0].mutable_backend()->set_cold_remaining_ms(3000);
  selector.SetEndpoints(endpoints, TimePoint{ 0 });
  EndpointQuery query{ "s", "z1", 0, "" };
  query.m_coldBound = 20;
  query.m_sidecarCount = 20;
  std::map<int64_t, int> returnsPerSecond;
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    if (selector.Choose(query, {}, TimePoint{ 10 }) != nullptr) {
      CHECK_FALSE(selector.ColdRetryAfter());
      ++sent;
      continue;
    }
    REQUIRE(selector.ColdRetryAfter());
    CHECK(*selector.ColdRetryAfter() >= Milliseconds(50));
    CHECK(*selector.ColdRetryAfter() <= Seconds(3));
    ++returnsPerSecond[selector.ColdRetryAfter()->m_ms / 1000];
  }
  CHECK(sent == 2);
  // There is room for two a second.
  CHECK(returnsPerSecond[0] <= 2);
  CHECK(returnsPerSecond[2] > returnsPerSecond[1]);
  CHECK(selector.Choose(query, { "cold" }, TimePoint{ 10 }) == nullptr);
  CHECK_FALSE(selector.ColdRetryAfter());
  for (int i = 0; i < 20; ++i) {
    CHECK(selector.Choose(query, {}, TimePoint{ 5100 }) != nullptr);
  }
}

} // namespace rattanloft::sidecar
