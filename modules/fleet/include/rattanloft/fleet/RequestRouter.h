#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"

namespace rattanloft::fleet {

// Selects routes of one configuration. Immutable.
class RequestRouter
{
public:
  static std::shared_ptr<const RequestRouter> Make(
    wire::Configuration aConfiguration);

  uint64_t Version() const { return m_configuration.version(); }
  const wire::Configuration& SourceConfiguration() const
  {
    return m_configuration;
  }

  // The route of this host with the longest prefix of the path; null for none.
  // A port in the host and a query in the path are disregarded.
  const wire::RouteSpec* Match(std::string_view aHost,
                               std::string_view aPath) const;
  // Null if there is no such service.
  const wire::ServiceSpec* FindService(std::string_view aName) const;

private:
  explicit RequestRouter(wire::Configuration aConfiguration);

  wire::Configuration m_configuration;
  std::map<std::string,
           std::map<std::string, const wire::RouteSpec*, std::less<>>,
           std::less<>>
    m_routesByHost;
  std::map<std::string, const wire::ServiceSpec*, std::less<>> m_servicesByName;
};

// Spreads the requests of a route over its targets so that every share is met
// after few requests: each pick goes to the target that is furthest behind its
// share. Picks of a route are counted by name, so a change of the weights
// starts a new count.
class TargetPicker
{
public:
  // Empty if the route has no target with a positive weight.
  std::string_view Pick(const wire::RouteSpec& aRoute);

private:
  struct RouteProgress
  {
    std::string m_targetsKey;
    std::vector<double> m_credits;
  };

  std::map<std::string, RouteProgress> m_progressByRoute;
};

} // namespace rattanloft::fleet
