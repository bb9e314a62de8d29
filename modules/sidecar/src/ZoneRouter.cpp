#include "ZoneRouter.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <fmt/format.h>

#include "rattanloft/base/Log.h"

namespace rattanloft::sidecar {

namespace {

// Load reports arrive every few tens of milliseconds; computing the state for
// each request would cost time on small instances and add little.
constexpr Duration kUpdateInterval = Milliseconds(30);
// Service time if no endpoint of the service has reported one.
constexpr double kAssumedServiceTimeMs = 100;
// Round trip to a zone before the first measurement; within the range of 1 to
// 8 ms between zones.
constexpr double kAssumedRoundTripMs = 4;
// Weight of a measurement above the minimum, so that the minimum follows a
// route that has become longer within about 20 exchanges.
constexpr double kRoundTripRise = 0.05;
// The slowest link between zones, 2.5 Mbit/s. The rate is not measured.
constexpr double kSlowestLinkBytesPerMs = 312.5;
// Change of the share that is logged.
constexpr double kLoggedChange = 0.1;
// Shares below this are not logged as a start, since single probes and short
// peaks cause them.
constexpr double kLoggedStart = 0.02;
// Shortest time between two lines about one service.
constexpr Duration kLogInterval = Milliseconds(1000);
// Bound the labels of the metrics.
constexpr size_t kMaxZones = 64;
constexpr size_t kMaxServices = 64;

void
AddTo(std::map<std::string, uint64_t>& aCounts,
      const std::string& aZone,
      uint64_t aValue)
{
  if (aCounts.contains(aZone) || aCounts.size() < kMaxZones) {
    aCounts[aZone] += aValue;
  }
}

// Mean of the reported service times, weighted with the slots.
double
MeanServiceTimeMs(std::span<const EndpointLoad> aEndpoints)
{
  double total = 0;
  double slots = 0;
  for (const EndpointLoad& endpoint : aEndpoints) {
    if (endpoint.m_serviceTimeMs > 0) {
      total += static_cast<double>(endpoint.m_serviceTimeMs) * endpoint.m_slots;
      slots += endpoint.m_slots;
    }
  }
  return slots > 0 ? total / slots : kAssumedServiceTimeMs;
}

} // namespace

bool
ZoneRouter::NeedsUpdate(const std::string& aService, TimePoint aNow) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ||
         aNow - found->second.m_updatedAt >= kUpdateInterval;
}

void
ZoneRouter::Update(const std::string& aService,
                   const std::string& aOwnZone,
                   std::span<const EndpointLoad> aEndpoints,
                   const std::map<std::string, uint32_t>& aInstanceCounts,
                   TimePoint aNow)
{
  const double meanServiceMs = MeanServiceTimeMs(aEndpoints);
  uint32_t instances = 0;
  std::vector<locality::ZoneState> zones;
  for (const auto& [zone, count] : aInstanceCounts) {
    instances += count;
    zones.emplace_back().m_zone = zone;
  }
  for (locality::ZoneState& zone : zones) {
    zone.m_roundTripMs = RoundTripMs(zone.m_zone);
    zone.m_senders = instances - aInstanceCounts.at(zone.m_zone);
    for (const EndpointLoad& endpoint : aEndpoints) {
      if (endpoint.m_zone != zone.m_zone) {
        continue;
      }
      const double slots = std::max(1U, endpoint.m_slots);
      const double serviceMs =
        endpoint.m_serviceTimeMs > 0 ? endpoint.m_serviceTimeMs : meanServiceMs;
      const double weight = locality::NewsWeight(endpoint.m_age);
      zone.m_slots += slots;
      zone.m_capacityPerSecond += slots * 1000 / serviceMs;
      zone.m_reportedSlots += weight * slots;
      zone.m_reportedRunning += weight * endpoint.m_running;
      zone.m_reportedWaiting += weight * endpoint.m_waiting;
    }
  }
  auto found = m_services.find(aService);
  if (found == m_services.end()) {
    locality::SpilloverOptions options;
    options.m_crossingCostMsPerMb = m_options.m_crossingCostMsPerMb;
    options.m_linkBytesPerMs = kSlowestLinkBytesPerMs;
    ServiceState state{
      locality::ZoneSpillover(aOwnZone, options, m_nextSeed++), {}, 0, {}
    };
    found = m_services.emplace(aService, std::move(state)).first;
  }
  found->second.m_updatedAt = aNow;
  found->second.m_spillover.Update(zones, aNow);
  LogShare(aService, found->second, zones);
}

void
ZoneRouter::LogShare(const std::string& aService,
                     ServiceState& aState,
                     std::span<const locality::ZoneState> aZones)
{
  const double share = aState.m_spillover.Share();
  const bool starts = aState.m_loggedShare == 0 && share >= kLoggedStart;
  const bool ends = aState.m_loggedShare > 0 && share == 0;
  const bool changes = std::abs(share - aState.m_loggedShare) > kLoggedChange;
  if ((!starts && !ends && !changes) ||
      aState.m_updatedAt - aState.m_loggedAt < kLogInterval) {
    return;
  }
  aState.m_loggedShare = share;
  aState.m_loggedAt = aState.m_updatedAt;
  std::string zones;
  for (const locality::ZoneState& zone : aZones) {
    const auto zoneShare = aState.m_spillover.ZoneShares().find(zone.m_zone);
    zones += fmt::format("{}{}:{:.2f}/{:.0f}/{:.0f}/{:.0f}/{:.1f}",
                         zones.empty() ? "" : ",",
                         zone.m_zone,
                         zoneShare == aState.m_spillover.ZoneShares().end()
                           ? 0.0
                           : zoneShare->second,
                         zone.m_capacityPerSecond,
                         zone.m_reportedRunning + zone.m_reportedWaiting,
                         zone.m_reportedSlots,
                         zone.m_roundTripMs);
  }
  LogInfo("zones",
          "event=spillover service={} share={:.2f} own_occupancy={:.2f} "
          "zones={}",
          aService,
          share,
          aState.m_spillover.OwnOccupancy(),
          zones);
}

std::string
ZoneRouter::Pick(const std::string& aService, size_t aBodyBytes, bool aRefused)
{
  locality::ZoneSpillover& spillover = m_services.at(aService).m_spillover;
  return aRefused ? spillover.PickAfterRefusal(aBodyBytes)
                  : spillover.Pick(aBodyBytes);
}

void
ZoneRouter::OnRoundTrip(const std::string& aZone,
                        Duration aTotal,
                        Duration aHandling)
{
  const double measuredMs =
    static_cast<double>(std::max(Milliseconds(0), aTotal - aHandling).m_ms);
  const auto [known, isNew] = m_roundTripMs.try_emplace(aZone, measuredMs);
  double& minimumMs = known->second;
  if (!isNew) {
    minimumMs = measuredMs < minimumMs
                  ? measuredMs
                  : minimumMs + kRoundTripRise * (measuredMs - minimumMs);
  }
}

void
ZoneRouter::OnExchange(const std::string& aService,
                       const std::string& aZone,
                       size_t aBytes,
                       bool aIsLocal)
{
  if (!aIsLocal) {
    AddTo(m_bytesByZone, aZone, aBytes);
  }
  if (m_requests.contains(aService) || m_requests.size() < kMaxServices) {
    AddTo(m_requests[aService], aZone, 1);
  }
  const auto found = m_services.find(aService);
  if (found != m_services.end()) {
    found->second.m_spillover.OnExchange(aBytes);
  }
}

void
ZoneRouter::OnOwnZoneResult(const std::string& aService, bool aRefused)
{
  const auto found = m_services.find(aService);
  if (found != m_services.end()) {
    found->second.m_spillover.OnOwnZoneResult(aRefused);
  }
}

double
ZoneRouter::RoundTripMs(const std::string& aZone) const
{
  const auto found = m_roundTripMs.find(aZone);
  return found == m_roundTripMs.end() ? kAssumedRoundTripMs : found->second;
}

double
ZoneRouter::Share(const std::string& aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? 0 : found->second.m_spillover.Share();
}

std::string
ZoneRouter::FormatMetrics() const
{
  std::string text;
  for (const auto& [service, state] : m_services) {
    for (const auto& [zone, share] : state.m_spillover.ZoneShares()) {
      text += fmt::format(
        "rattanloft_zone_spillover_share{{service=\"{}\",zone=\"{}\"}} "
        "{:.3f}\n",
        service,
        zone,
        share);
    }
  }
  for (const auto& [service, counts] : m_requests) {
    for (const auto& [zone, count] : counts) {
      text +=
        fmt::format("rattanloft_zone_requests{{service=\"{}\",zone=\"{}\"}} "
                    "{}\n",
                    service,
                    zone,
                    count);
    }
  }
  for (const auto& [zone, bytes] : m_bytesByZone) {
    text +=
      fmt::format("rattanloft_zone_bytes{{zone=\"{}\"}} {}\n", zone, bytes);
  }
  return text;
}

} // namespace rattanloft::sidecar
