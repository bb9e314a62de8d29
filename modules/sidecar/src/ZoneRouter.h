#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "rattanloft/base/Time.h"
#include "rattanloft/locality/ZoneSpillover.h"
#include "rattanloft/sidecar/ZoneRouting.h"

namespace rattanloft::sidecar {

// What this sidecar knows of an endpoint that can take requests now: not
// draining, suspect, stalled, cold, or in an evacuated zone.
struct EndpointLoad
{
  std::string m_zone;
  uint32_t m_slots = 1;
  // 0 if it has not reported one.
  uint32_t m_serviceTimeMs = 0;
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  // Age of the load report.
  Duration m_age;
};

// Sums the load of endpoints by availability zone, measures the round trips
// between zones, and lets a ZoneSpillover for each service pick the zone of a
// request. Does no I/O; used on the traffic thread.
class ZoneRouter
{
public:
  ZoneRouter(ZoneRoutingOptions aOptions, uint64_t aSeed)
    : m_options(aOptions)
    , m_nextSeed(aSeed)
  {
  }

  ZoneSpilloverMode Mode() const { return m_options.m_mode; }
  // Returns true if the state of the zones was computed too long ago.
  bool NeedsUpdate(const std::string& aService, TimePoint aNow) const;
  // aInstanceCounts has the number of instances in each zone.
  void Update(const std::string& aService,
              const std::string& aOwnZone,
              std::span<const EndpointLoad> aEndpoints,
              const std::map<std::string, uint32_t>& aInstanceCounts,
              TimePoint aNow);
  // Returns the zone for a request. aRefused is true if the own zone has
  // refused it for lack of room. Update() must have been called before.
  std::string Pick(const std::string& aService,
                   size_t aBodyBytes,
                   bool aRefused);

  // A peer in the zone answered after aTotal, of which it needed aHandling.
  void OnRoundTrip(const std::string& aZone,
                   Duration aTotal,
                   Duration aHandling);
  // A request was sent to a zone. aBytes is the size of the bodies of the
  // request and its response; aIsLocal is true if they did not leave this
  // instance.
  void OnExchange(const std::string& aService,
                  const std::string& aZone,
                  size_t aBytes,
                  bool aIsLocal);
  void OnOwnZoneResult(const std::string& aService, bool aRefused);

  double RoundTripMs(const std::string& aZone) const;
  // Share of the requests of the service that leave the own zone.
  double Share(const std::string& aService) const;
  // Metrics as text, one line for each value.
  std::string FormatMetrics() const;

private:
  struct ServiceState
  {
    locality::ZoneSpillover m_spillover;
    TimePoint m_updatedAt;
    double m_loggedShare = 0;
    TimePoint m_loggedAt;
  };

  static void LogShare(const std::string& aService,
                       ServiceState& aState,
                       std::span<const locality::ZoneState> aZones);

  ZoneRoutingOptions m_options;
  uint64_t m_nextSeed;
  std::map<std::string, ServiceState> m_services;
  std::map<std::string, double> m_roundTripMs;
  // Requests by service and zone.
  std::map<std::string, std::map<std::string, uint64_t>> m_requests;
  std::map<std::string, uint64_t> m_bytesByZone;
};

} // namespace rattanloft::sidecar
