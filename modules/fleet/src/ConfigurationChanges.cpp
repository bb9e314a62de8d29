#include "rattanloft/fleet/ConfigurationChanges.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "rattanloft/base/Hash.h"

namespace rattanloft::fleet {

namespace {

// Bounds of the history. A sidecar that is further behind gets the whole
// configuration. The number of routes bounds the memory to about 20 MB.
constexpr size_t kMaxVersions = 32;
constexpr int kMaxRoutes = 50'000;

// Depends on the order of routes, since a router prefers the later one of two
// that match the same requests.
uint64_t
Fingerprint(const wire::Configuration& aConfiguration)
{
  uint64_t hash = Hash64(aConfiguration.limits().SerializeAsString());
  for (const wire::RouteSpec& route : aConfiguration.routes()) {
    hash = Hash64(route.SerializeAsString(), hash);
  }
  for (const wire::ServiceSpec& service : aConfiguration.services()) {
    hash = Hash64(service.SerializeAsString(), hash);
  }
  return hash;
}

} // namespace

wire::ConfigurationChanges
CompareConfigurations(const wire::Configuration& aBase,
                      const wire::Configuration& aNext)
{
  wire::ConfigurationChanges changes;
  changes.set_base_version(aBase.version());
  changes.set_version(aNext.version());
  std::unordered_map<std::string_view, const wire::RouteSpec*> removed;
  for (const wire::RouteSpec& route : aBase.routes()) {
    removed[route.name()] = &route;
  }
  for (const wire::RouteSpec& route : aNext.routes()) {
    const auto found = removed.find(route.name());
    if (found == removed.end() ||
        found->second->SerializeAsString() != route.SerializeAsString()) {
      *changes.add_routes() = route;
    }
    if (found != removed.end()) {
      removed.erase(found);
    }
  }
  for (const auto& [name, route] : removed) {
    changes.add_removed_routes(std::string(name));
  }
  *changes.mutable_services() = aNext.services();
  *changes.mutable_limits() = aNext.limits();
  changes.set_fingerprint(Fingerprint(aNext));
  return changes;
}

std::optional<wire::Configuration>
ApplyConfigurationChanges(const wire::Configuration& aBase,
                          const wire::ConfigurationChanges& aChanges)
{
  if (aBase.version() != aChanges.base_version()) {
    return std::nullopt;
  }
  // Operators send routes as a table by name, so they are in this order.
  std::map<std::string_view, const wire::RouteSpec*> routes;
  for (const wire::RouteSpec& route : aBase.routes()) {
    routes[route.name()] = &route;
  }
  for (const std::string& name : aChanges.removed_routes()) {
    routes.erase(name);
  }
  for (const wire::RouteSpec& route : aChanges.routes()) {
    routes[route.name()] = &route;
  }
  wire::Configuration next;
  next.set_version(aChanges.version());
  for (const auto& [name, route] : routes) {
    *next.add_routes() = *route;
  }
  *next.mutable_services() = aChanges.services();
  *next.mutable_limits() = aChanges.limits();
  if (Fingerprint(next) != aChanges.fingerprint()) {
    return std::nullopt;
  }
  return next;
}

void
ConfigurationHistory::Observe(const wire::Configuration& aCurrent)
{
  if (aCurrent.version() == 0 ||
      (!m_versions.empty() &&
       m_versions.back().version() == aCurrent.version())) {
    return;
  }
  m_changesByBase.clear();
  m_versions.push_back(aCurrent);
  m_routeCount += aCurrent.routes_size();
  while (m_versions.size() > 1 &&
         (m_versions.size() > kMaxVersions || m_routeCount > kMaxRoutes)) {
    m_routeCount -= m_versions.front().routes_size();
    m_versions.pop_front();
  }
}

const wire::ConfigurationChanges*
ConfigurationHistory::FindChangesSince(uint64_t aVersion)
{
  const auto base =
    std::ranges::find(m_versions, aVersion, &wire::Configuration::version);
  if (base == m_versions.end()) {
    return nullptr;
  }
  const auto [changes, isNew] = m_changesByBase.try_emplace(aVersion);
  if (isNew) {
    changes->second = CompareConfigurations(*base, m_versions.back());
    if (!ApplyConfigurationChanges(*base, *changes->second)) {
      changes->second.reset();
    }
  }
  return changes->second ? &*changes->second : nullptr;
}

} // namespace rattanloft::fleet
