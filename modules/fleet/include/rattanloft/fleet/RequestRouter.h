#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"

namespace rattanloft::fleet {

// Selects the route of a request within one configuration. Immutable; the
// pointers that it returns are valid as long as the router.
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

  // Returns the route of the host with the longest prefix of the path; null if
  // there is none. Ignores the case of the host, its port and the query of the
  // path.
  const wire::RouteSpec* Match(std::string_view aHost,
                               std::string_view aPath) const;
  // Returns null if there is no such service.
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

// Distributes the requests of a route over its weighted targets. Each pick goes
// to the target that is furthest behind its share, so all shares are met after
// few requests. Picks are counted by the name of the route, and a change of its
// targets or weights restarts the count.
class TargetPicker
{
public:
  // Returns the service of the chosen target, a view into aRoute; empty if no
  // target has a positive weight.
  std::string_view Pick(const wire::RouteSpec& aRoute);

private:
  struct RouteProgress
  {
    // Targets and weights for which the credits were counted.
    std::string m_targetsKey;
    // Number of picks that each target is behind its share.
    std::vector<double> m_credits;
  };

  std::map<std::string, RouteProgress> m_progressByRoute;
};

} // namespace rattanloft::fleet
