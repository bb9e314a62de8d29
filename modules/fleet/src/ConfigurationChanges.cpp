#include "rattanloft/fleet/ConfigurationChanges.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "rattanloft/base/Hash.h"

namespace rattanloft::fleet {

namespace {

// Bounds of the history. A sidecar that is further behind gets the whole
// configuration. The number of routes bounds the memory to about 20 MB.
constexpr size_t kMaxVersions = 32;
constexpr int kMaxRoutes = 50'000;

// Seeds that keep the hashes of routes, services and limits apart.
constexpr uint64_t kRouteSeed = 1;
constexpr uint64_t kServiceSeed = 2;
constexpr uint64_t kLimitsSeed = 3;

// Does not depend on the order of routes and services.
uint64_t
Fingerprint(const wire::Configuration& aConfiguration)
{
  uint64_t sum =
    Hash64(aConfiguration.limits().SerializeAsString(), kLimitsSeed);
  for (const wire::RouteSpec& route : aConfiguration.routes()) {
    sum += Hash64(route.SerializeAsString(), kRouteSeed);
  }
  for (const wire::ServiceSpec& service : aConfiguration.services()) {
    sum += Hash64(service.SerializeAsString(), kServiceSeed);
  }
  return sum;
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
  std::unordered_set<std::string_view> replaced(
    aChanges.removed_routes().begin(), aChanges.removed_routes().end());
  for (const wire::RouteSpec& route : aChanges.routes()) {
    replaced.insert(route.name());
  }
  wire::Configuration next;
  next.set_version(aChanges.version());
  for (const wire::RouteSpec& route : aBase.routes()) {
    if (!replaced.contains(route.name())) {
      *next.add_routes() = route;
    }
  }
  for (const wire::RouteSpec& route : aChanges.routes()) {
    *next.add_routes() = route;
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
  }
  return &changes->second;
}

} // namespace rattanloft::fleet
