#include "rattanloft/fleet/ConfigurationRules.h"

#include <cmath>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace rattanloft::fleet {

namespace {

using ServiceNames = std::set<std::string_view>;

tl::unexpected<ConfigurationError>
RouteError(const wire::RouteSpec& aRoute,
           std::string_view aField,
           std::string_view aReason)
{
  return tl::unexpected(ConfigurationError{
    fmt::format("route {}: {}", aRoute.name(), aField), std::string(aReason) });
}

tl::expected<void, ConfigurationError>
CheckTargets(const wire::RouteSpec& aRoute, const ServiceNames& aServices)
{
  if (aRoute.targets().empty()) {
    return RouteError(aRoute, "targets", "no service is named");
  }
  double weightSum = 0;
  for (const wire::WeightedTarget& target : aRoute.targets()) {
    if (!aServices.contains(target.service())) {
      return RouteError(
        aRoute, "targets", "unknown service " + target.service());
    }
    if (!std::isfinite(target.weight()) || target.weight() < 0) {
      return RouteError(aRoute, "targets", "a weight must not be negative");
    }
    weightSum += target.weight();
  }
  if (weightSum <= 0) {
    return RouteError(aRoute, "targets", "all weights are zero");
  }
  return {};
}

tl::expected<void, ConfigurationError>
CheckRoute(const wire::RouteSpec& aRoute, const ServiceNames& aServices)
{
  if (aRoute.host().empty()) {
    return RouteError(aRoute, "host", "must not be empty");
  }
  const std::string& prefix = aRoute.path_prefix();
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return RouteError(aRoute, "path prefix", "must begin and end with a slash");
  }
  if (aRoute.timeout_ms() == 0) {
    return RouteError(aRoute, "timeout", "must be above 0");
  }
  return CheckTargets(aRoute, aServices);
}

} // namespace

tl::expected<void, ConfigurationError>
CheckConfiguration(const wire::Configuration& aConfiguration)
{
  if (aConfiguration.version() == 0) {
    return tl::unexpected(ConfigurationError{ "version", "must be above 0" });
  }
  ServiceNames services;
  for (const wire::ServiceSpec& service : aConfiguration.services()) {
    services.insert(service.name());
  }
  std::set<std::pair<std::string_view, std::string_view>> seenHostPrefixes;
  for (const wire::RouteSpec& route : aConfiguration.routes()) {
    if (auto checked = CheckRoute(route, services); !checked) {
      return checked;
    }
    if (!seenHostPrefixes.emplace(route.host(), route.path_prefix()).second) {
      return RouteError(
        route, "path prefix", "another route has this host and prefix");
    }
  }
  return {};
}

} // namespace rattanloft::fleet
