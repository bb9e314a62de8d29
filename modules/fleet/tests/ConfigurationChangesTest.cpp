#include "rattanloft/fleet/ConfigurationChanges.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "rattanloft/fleet/RequestRouter.h"

namespace rattanloft::fleet {

namespace {

void
SetRoute(wire::Configuration& aConfiguration,
         const std::string& aName,
         uint32_t aTimeoutMs)
{
  wire::RouteSpec* target = nullptr;
  for (wire::RouteSpec& route : *aConfiguration.mutable_routes()) {
    target = route.name() == aName ? &route : target;
  }
  if (target == nullptr) {
    target = aConfiguration.add_routes();
    target->set_name(aName);
  }
  target->set_timeout_ms(aTimeoutMs);
  std::ranges::sort(
    *aConfiguration.mutable_routes(), {}, &wire::RouteSpec::name);
}

wire::Configuration
MakeConfiguration(int aRouteCount)
{
  wire::Configuration configuration;
  configuration.set_version(1);
  configuration.add_services()->set_name("s");
  configuration.mutable_limits()->set_max_header_bytes(1000);
  for (int i = 0; i < aRouteCount; ++i) {
    SetRoute(configuration, "r" + std::to_string(i), 100);
  }
  return configuration;
}

std::map<std::string, uint32_t>
TimeoutsByRoute(const wire::Configuration& aConfiguration)
{
  std::map<std::string, uint32_t> timeouts;
  for (const wire::RouteSpec& route : aConfiguration.routes()) {
    timeouts[route.name()] = route.timeout_ms();
  }
  CHECK(static_cast<int>(timeouts.size()) == aConfiguration.routes_size());
  return timeouts;
}

} // namespace

// Guards against a change of one route that costs as much as all routes.
TEST_CASE("the changes contain only the routes that differ")
{
  const wire::Configuration base = MakeConfiguration(1000);
  wire::Configuration next = base;
  next.set_version(2);
  SetRoute(next, "r7", 200);
  SetRoute(next, "added", 300);
  const std::string removedName = next.routes(20).name();
  next.mutable_routes()->DeleteSubrange(20, 1);
  const wire::ConfigurationChanges changes = CompareConfigurations(base, next);
  CHECK(changes.routes_size() == 2);
  REQUIRE(changes.removed_routes_size() == 1);
  CHECK(changes.removed_routes(0) == removedName);
  const auto applied = ApplyConfigurationChanges(base, changes);
  REQUIRE(applied);
  CHECK(applied->version() == 2);
  CHECK(TimeoutsByRoute(*applied) == TimeoutsByRoute(next));
  CHECK(applied->limits().max_header_bytes() == 1000);
  CHECK(applied->services_size() == 1);
}

// Guards against a sidecar that routes by a mixture of versions.
TEST_CASE("changes are rejected if the result is not the later version")
{
  const wire::Configuration base = MakeConfiguration(3);
  wire::Configuration next = base;
  next.set_version(2);
  SetRoute(next, "r1", 200);
  const wire::ConfigurationChanges changes = CompareConfigurations(base, next);
  wire::Configuration otherContent = base;
  SetRoute(otherContent, "r2", 900);
  CHECK_FALSE(ApplyConfigurationChanges(otherContent, changes));
  wire::Configuration otherVersion = base;
  otherVersion.set_version(9);
  CHECK_FALSE(ApplyConfigurationChanges(otherVersion, changes));
  // Names are not unique in this one, so changes by name cannot describe it.
  wire::Configuration doubled = next;
  *doubled.add_routes() = doubled.routes(0);
  CHECK_FALSE(
    ApplyConfigurationChanges(base, CompareConfigurations(base, doubled)));
  ConfigurationHistory history;
  history.Observe(base);
  history.Observe(doubled);
  CHECK(history.FindChangesSince(1) == nullptr);
}

// Guards against a sidecar that prefers another one of two routes for the same
// host than those that got the whole configuration.
TEST_CASE("changes keep the order of routes whose hosts differ in case only")
{
  wire::Configuration base = MakeConfiguration(0);
  for (const auto& [name, host] :
       { std::pair{ "r1", "a.example" }, std::pair{ "r2", "A.example" } }) {
    SetRoute(base, name, 100);
    wire::RouteSpec& route = *base.mutable_routes()->rbegin();
    route.set_host(host);
    route.set_path_prefix("/");
  }
  wire::Configuration next = base;
  next.set_version(2);
  next.mutable_routes(0)->set_timeout_ms(200);
  const auto applied =
    ApplyConfigurationChanges(base, CompareConfigurations(base, next));
  REQUIRE(applied);
  CHECK(RequestRouter::Make(next)->Match("a.example", "/")->name() ==
        RequestRouter::Make(*applied)->Match("a.example", "/")->name());
}

TEST_CASE("random changes from any known version lead to the current one")
{
  const uint64_t seed = GENERATE(range(1, 11));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  ConfigurationHistory history;
  std::vector<wire::Configuration> versions = { MakeConfiguration(20) };
  history.Observe(versions.back());
  for (int i = 0; i < 60; ++i) {
    wire::Configuration next = versions.back();
    next.set_version(next.version() + 1 + random() % 3);
    const uint64_t action = random() % 3;
    if (action == 0 && next.routes_size() > 1) {
      next.mutable_routes()->DeleteSubrange(
        static_cast<int>(random() % next.routes_size()), 1);
    } else {
      SetRoute(next,
               "r" + std::to_string(random() % 40),
               static_cast<uint32_t>(1 + random() % 5));
    }
    versions.push_back(next);
    history.Observe(next);
    const wire::Configuration& known = versions[random() % versions.size()];
    const wire::ConfigurationChanges* const changes =
      history.FindChangesSince(known.version());
    if (changes == nullptr) {
      CHECK(versions.size() > 32);
      continue;
    }
    const auto applied = ApplyConfigurationChanges(known, *changes);
    REQUIRE(applied);
    CHECK(TimeoutsByRoute(*applied) == TimeoutsByRoute(next));
  }
}

} // namespace rattanloft::fleet
