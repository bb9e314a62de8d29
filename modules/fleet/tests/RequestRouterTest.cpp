#include "rattanloft/fleet/RequestRouter.h"

#include <catch2/catch.hpp>

#include "rattanloft/fleet/ConfigurationRules.h"

namespace rattanloft::fleet {

namespace {

wire::RouteSpec
MakeRoute(const std::string& aName,
          const std::string& aHost,
          const std::string& aPrefix,
          const std::string& aService = "s")
{
  wire::RouteSpec route;
  route.set_name(aName);
  route.set_host(aHost);
  route.set_path_prefix(aPrefix);
  route.set_timeout_ms(1000);
  wire::WeightedTarget& target = *route.add_targets();
  target.set_service(aService);
  target.set_weight(1);
  return route;
}

wire::Configuration
MakeConfiguration()
{
  wire::Configuration configuration;
  configuration.set_version(1);
  configuration.add_services()->set_name("s");
  *configuration.add_routes() = MakeRoute("root", "a.example", "/");
  *configuration.add_routes() = MakeRoute("short", "a.example", "/x/");
  *configuration.add_routes() = MakeRoute("long", "a.example", "/x/y/");
  *configuration.add_routes() = MakeRoute("other", "b.example", "/x/");
  return configuration;
}

std::string
RouteName(const wire::RouteSpec* aRoute)
{
  return aRoute == nullptr ? "" : aRoute->name();
}

} // namespace

// Guards against a request that is sent to a less specific route or to one of
// another host.
TEST_CASE("the route with the longest matching prefix of the host is selected")
{
  const auto router = RequestRouter::Make(MakeConfiguration());
  CHECK(RouteName(router->Match("a.example", "/x/y/z")) == "long");
  CHECK(RouteName(router->Match("a.example", "/x/y")) == "short");
  CHECK(RouteName(router->Match("a.example", "/x/?q=/x/y/")) == "short");
  CHECK(RouteName(router->Match("A.Example:8080", "/q")) == "root");
  CHECK(RouteName(router->Match("b.example", "/x/1")) == "other");
  CHECK(RouteName(router->Match("b.example", "/y")).empty());
  CHECK(RouteName(router->Match("c.example", "/x/")).empty());
}

// Guards against shares that are met only on average over many requests.
TEST_CASE("the weights of targets are met within a few requests")
{
  wire::RouteSpec route = MakeRoute("r", "h", "/", "a");
  route.mutable_targets(0)->set_weight(90);
  wire::WeightedTarget& second = *route.add_targets();
  second.set_service("b");
  second.set_weight(10);
  wire::WeightedTarget& unweighted = *route.add_targets();
  unweighted.set_service("c");
  unweighted.set_weight(0);
  TargetPicker picker;
  std::map<std::string, int> picks;
  for (int i = 0; i < 100; ++i) {
    ++picks[std::string(picker.Pick(route))];
  }
  CHECK(picks["a"] == 90);
  CHECK(picks["b"] == 10);
  CHECK(picks["c"] == 0);
}

// Guards against an invalid configuration that is put in force.
TEST_CASE("each kind of invalid configuration is refused with its field")
{
  CHECK(CheckConfiguration(MakeConfiguration()));
  const auto fieldOf = [](auto aInvalidate) {
    wire::Configuration configuration = MakeConfiguration();
    aInvalidate(configuration);
    const auto checked = CheckConfiguration(configuration);
    return checked ? std::string() : checked.error().m_field;
  };
  using Config = wire::Configuration;
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.set_version(0);
        }) == "version");
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.mutable_routes(1)->mutable_targets(0)->set_service(
            "t");
        }) == "route short: targets");
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.mutable_routes(1)->mutable_targets(0)->set_weight(-1);
        }) == "route short: targets");
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.mutable_routes(1)->mutable_targets(0)->set_weight(0);
        }) == "route short: targets");
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.mutable_routes(0)->set_timeout_ms(0);
        }) == "route root: timeout");
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.mutable_routes(0)->set_host("");
        }) == "route root: host");
  CHECK(fieldOf([](Config& aConfiguration) {
          aConfiguration.mutable_routes(0)->set_path_prefix("x");
        }) == "route root: path prefix");
  CHECK(fieldOf([](Config& aConfiguration) {
          *aConfiguration.add_routes() = MakeRoute("twin", "a.example", "/x/");
        }) == "route twin: path prefix");
}

} // namespace rattanloft::fleet
