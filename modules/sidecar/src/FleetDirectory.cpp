#include "FleetDirectory.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>

#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/ConfigurationChanges.h"
#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::sidecar {

void
FleetDirectory::ApplyReply(const wire::FleetSyncReply& aReply,
                           TimePoint aSentAt)
{
  const Duration silence = TimeSinceLastReply(aSentAt);
  m_lastRepliedRequestAt = std::max(m_lastRepliedRequestAt, aSentAt);
  if (aReply.sidecars() > 0) {
    m_sidecarCount = aReply.sidecars();
  }
  if (aReply.has_evacuated_zones()) {
    ApplyEvacuations(aReply);
  }
  ApplyConfiguration(aReply, silence);
  if (aReply.has_ranges() && aReply.ranges_index() > m_rangesIndex) {
    ApplyRanges(aReply);
  }
  if (aReply.has_endpoints()) {
    ApplyEndpoints(aReply);
  }
}

void
FleetDirectory::ApplyEvacuations(const wire::FleetSyncReply& aReply)
{
  const bool isOutdated = aReply.term() != m_evacuationsTerm
                            ? aReply.term() < m_evacuationsTerm
                            : aReply.sequence() < m_evacuationsSequence;
  if (isOutdated) {
    return;
  }
  m_evacuationsTerm = aReply.term();
  m_evacuationsSequence = aReply.sequence();
  std::set<std::string> zones(aReply.evacuated_zones().begin(),
                              aReply.evacuated_zones().end());
  std::vector<std::string> changed;
  std::ranges::set_symmetric_difference(
    zones, m_evacuatedZones, std::back_inserter(changed));
  m_evacuatedZones = std::move(zones);
  for (const std::string& zone : changed) {
    LogInfo("directory",
            "event=evacuation zone=\"{}\" active={} evacuated_zones={} term={} "
            "sequence={}",
            zone,
            IsEvacuated(zone),
            m_evacuatedZones.size(),
            m_evacuationsTerm,
            m_evacuationsSequence);
  }
}

void
FleetDirectory::ApplyConfiguration(const wire::FleetSyncReply& aReply,
                                   Duration aSilence)
{
  const uint64_t version = m_router ? m_router->Version() : 0;
  const wire::ConfigurationChanges& changes = aReply.configuration_changes();
  int changed = aReply.configuration().routes_size();
  if (aReply.configuration().version() > version) {
    m_router = fleet::RequestRouter::Make(aReply.configuration());
    m_needsWholeConfiguration = false;
  } else if (m_router && changes.base_version() == version &&
             changes.version() > version) {
    auto next = fleet::ApplyConfigurationChanges(
      m_router->SourceConfiguration(), changes);
    if (!next) {
      LogWarning("directory",
                 "event=configuration-mismatch version={} before={}",
                 changes.version(),
                 version);
      m_needsWholeConfiguration = true;
      return;
    }
    m_router = fleet::RequestRouter::Make(std::move(*next));
    changed = changes.routes_size() + changes.removed_routes_size();
  } else {
    return;
  }
  LogInfo("directory",
          "event=configuration version={} before={} routes={} changed={} "
          "term={} since_last_reply_ms={}",
          m_router->Version(),
          version,
          m_router->SourceConfiguration().routes_size(),
          changed,
          aReply.term(),
          version > 0 ? aSilence.m_ms : 0);
}

void
FleetDirectory::ApplyEndpoints(const wire::FleetSyncReply& aReply)
{
  const bool sameTerm = aReply.term() == m_endpointsTerm;
  const bool isNewer = sameTerm
                         ? aReply.endpoints_revision() > m_endpointsRevision
                         : aReply.term() > m_endpointsTerm;
  const uint64_t base = aReply.endpoints_base_revision();
  // Changes apply only to a list that has all earlier changes.
  const bool isComplete =
    base == 0 || (sameTerm && base <= m_endpointsRevision);
  if (!isNewer || !isComplete) {
    return;
  }
  if (base == 0) {
    m_endpoints.assign(aReply.endpoints().begin(), aReply.endpoints().end());
  } else {
    MergeEndpoints(aReply);
  }
  m_endpointsRevision = aReply.endpoints_revision();
  m_endpointsTerm = aReply.term();
  LogInfo("directory",
          "event=endpoints term={} revision={} base={} changed={} removed={} "
          "count={}",
          m_endpointsTerm,
          m_endpointsRevision,
          base,
          aReply.endpoints_size(),
          aReply.removed_endpoints_size(),
          m_endpoints.size());
}

// Takes time in proportion to the endpoints, since this runs on the traffic
// thread.
void
FleetDirectory::MergeEndpoints(const wire::FleetSyncReply& aReply)
{
  const std::unordered_set<std::string_view> removed(
    aReply.removed_endpoints().begin(), aReply.removed_endpoints().end());
  std::erase_if(m_endpoints, [&](const wire::Endpoint& aKnown) {
    return removed.contains(aKnown.instance());
  });
  std::map<std::string_view, const wire::Endpoint*> changed;
  for (const wire::Endpoint& endpoint : aReply.endpoints()) {
    changed[endpoint.instance()] = &endpoint;
  }
  for (wire::Endpoint& known : m_endpoints) {
    const auto found = changed.find(known.instance());
    if (found != changed.end()) {
      known = *found->second;
      changed.erase(found);
    }
  }
  for (const auto& [instance, endpoint] : changed) {
    m_endpoints.push_back(*endpoint);
  }
}

void
FleetDirectory::ApplyRanges(const wire::FleetSyncReply& aReply)
{
  int changed = 0;
  for (const wire::ServiceRanges& service : aReply.services()) {
    wire::ServiceRanges& known = m_ranges[service.service()];
    if (known.ranges().empty()) {
      known.add_ranges()->set_last(fleet::kLastKey);
    }
    for (const wire::OwnedRange& range : service.ranges()) {
      fleet::AssignRange(known, range);
    }
    changed += service.ranges_size();
  }
  LogInfo("directory",
          "event=ranges index={} before={} changed={}",
          aReply.ranges_index(),
          m_rangesIndex,
          changed);
  m_rangesIndex = aReply.ranges_index();
}

const wire::OwnedRange*
FleetDirectory::FindOwner(const std::string& aService, uint32_t aKey) const
{
  const auto found = m_ranges.find(aService);
  if (found == m_ranges.end()) {
    return nullptr;
  }
  const auto& ranges = found->second.ranges();
  const auto range = std::ranges::lower_bound(
    ranges, aKey, {}, [](const wire::OwnedRange& aRange) {
      return aRange.last();
    });
  if (range == ranges.end() || range->holder().empty()) {
    return nullptr;
  }
  return &*range;
}

} // namespace rattanloft::sidecar
