#include "rattanloft/fleet/RequestRouter.h"

#include <algorithm>
#include <cctype>

namespace rattanloft::fleet {

namespace {

// Counts of removed routes are kept until this many routes are counted; then
// all counts restart.
constexpr size_t kMaxCountedRoutes = 4096;

// Returns the host in lower case and without its port.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return host;
}

} // namespace

RequestRouter::RequestRouter(wire::Configuration aConfiguration)
  : m_configuration(std::move(aConfiguration))
{
  for (const wire::RouteSpec& route : m_configuration.routes()) {
    m_routesByHost[NormalizeHost(route.host())][route.path_prefix()] = &route;
  }
  for (const wire::ServiceSpec& service : m_configuration.services()) {
    m_servicesByName[service.name()] = &service;
  }
}

std::shared_ptr<const RequestRouter>
RequestRouter::Make(wire::Configuration aConfiguration)
{
  return std::shared_ptr<const RequestRouter>(
    new RequestRouter(std::move(aConfiguration)));
}

const wire::RouteSpec*
RequestRouter::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto host = m_routesByHost.find(NormalizeHost(aHost));
  if (host == m_routesByHost.end()) {
    return nullptr;
  }
  std::string_view path = aPath.substr(0, aPath.find('?'));
  while (!path.empty()) {
    if (path.back() == '/') {
      const auto route = host->second.find(path);
      if (route != host->second.end()) {
        return route->second;
      }
    }
    path.remove_suffix(1);
    path = path.substr(0, path.rfind('/') + 1);
  }
  return nullptr;
}

const wire::ServiceSpec*
RequestRouter::FindService(std::string_view aName) const
{
  const auto found = m_servicesByName.find(aName);
  return found == m_servicesByName.end() ? nullptr : found->second;
}

std::string_view
TargetPicker::Pick(const wire::RouteSpec& aRoute)
{
  if (aRoute.targets_size() == 1) {
    return aRoute.targets(0).service();
  }
  std::string targets;
  double weightSum = 0;
  for (const wire::WeightedTarget& target : aRoute.targets()) {
    targets += target.service() + '=' + std::to_string(target.weight()) + ';';
    weightSum += target.weight();
  }
  if (weightSum <= 0) {
    return {};
  }
  if (m_progressByRoute.size() >= kMaxCountedRoutes) {
    m_progressByRoute.clear();
  }
  RouteProgress& progress = m_progressByRoute[aRoute.name()];
  if (progress.m_targetsKey != targets) {
    progress.m_targetsKey = targets;
    progress.m_credits.assign(static_cast<size_t>(aRoute.targets_size()), 0);
  }
  size_t furthestBehind = 0;
  for (size_t i = 0; i < progress.m_credits.size(); ++i) {
    progress.m_credits[i] +=
      aRoute.targets(static_cast<int>(i)).weight() / weightSum;
    if (progress.m_credits[i] > progress.m_credits[furthestBehind]) {
      furthestBehind = i;
    }
  }
  progress.m_credits[furthestBehind] -= 1;
  return aRoute.targets(static_cast<int>(furthestBehind)).service();
}

} // namespace rattanloft::fleet
