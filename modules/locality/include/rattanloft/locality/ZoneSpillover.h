#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>

#include "rattanloft/base/Time.h"

namespace rattanloft::locality {

// State of one service in one availability zone, summed over the backend
// servers that can take requests now.
struct ZoneState
{
  std::string m_zone;
  // Requests that the ready backend servers can run at once.
  double m_slots = 0;
  // Requests that they can finish in a second.
  double m_capacityPerSecond = 0;
  // Slots of the backend servers that have reported their load, and the
  // running and waiting requests at them, each weighted with NewsWeight().
  double m_reportedSlots = 0;
  double m_reportedRunning = 0;
  double m_reportedWaiting = 0;
  // Round trip between the zones.
  double m_roundTripMs = 0;
  // Instances outside this zone that may send requests to it.
  uint32_t m_senders = 1;
};

struct SpilloverOptions
{
  // Response time that the operator would give up to save a megabyte of traffic
  // between zones.
  double m_crossingCostMsPerMb = 0;
  // Slowest link that a body is expected to cross, in bytes per millisecond.
  double m_linkBytesPerMs = 0;
};

// Weight of a load report of this age, from 1 to 0.
double
NewsWeight(Duration aAge);

// Decides, for one service and one sender, which share of the requests leaves
// the own zone and how it is divided among the other zones.
//
// Requests leave while the own zone has more requests than slots, or refuses
// some, by more than crossing zones costs. A proportional and integral
// controller sets the share. The sender uses only its part of the spare room of
// a zone, so that all senders together do not overload it; the part is what
// this sender already sends there plus the spare room divided by the number of
// senders. A zone without recent load reports has no spare room; under pressure
// a small number of requests probes it.
//
// Does no I/O; deterministic for a given seed.
class ZoneSpillover
{
public:
  ZoneSpillover(std::string aOwnZone, SpilloverOptions aOptions, uint64_t aSeed)
    : m_ownZone(std::move(aOwnZone))
    , m_options(aOptions)
    , m_random(aSeed)
  {
  }

  // Replaces the state of the zones and computes the share. Zones without slots
  // get no requests. Must be called every few tens of milliseconds while
  // requests arrive.
  void Update(std::span<const ZoneState> aZones, TimePoint aNow);

  // Returns the zone for a request; the own zone if no other is better.
  std::string Pick(size_t aBodyBytes);
  // Returns the zone for a request that the own zone has refused for lack of
  // room: another one that has spare room, otherwise the own zone.
  std::string PickAfterRefusal(size_t aBodyBytes);

  // Records whether the own zone accepted a request or refused it for lack of
  // room.
  void OnOwnZoneResult(bool aRefused);
  // Records the size of a request and its response.
  void OnExchange(size_t aBytes);

  // Share of the requests that leave the own zone, from 0 to 1.
  double Share() const { return m_share; }
  // Shares of the other zones; they add up to Share(). Zones without requests
  // may be missing.
  const std::map<std::string, double>& ZoneShares() const
  {
    return m_zoneShares;
  }
  // Requests for each slot of the own zone, as estimated from the load reports.
  double OwnOccupancy() const { return m_ownOccupancy; }
  // True while probes are allowed.
  bool IsUnderPressure() const { return m_isActive; }

private:
  struct RemoteZone
  {
    ZoneState m_state;
    // Requests for each slot.
    double m_occupancy = 0;
    // Requests a second that the zone can take from all senders together.
    double m_sparePerSecond = 0;
    // Requests a second that this sender may send and sends.
    double m_allowedPerSecond = 0;
    double m_sentPerSecond = 0;
    // Expected number of requests, which varies less than the actual one.
    double m_sentSinceUpdate = 0;
    // Expected extra response time of a request sent there.
    double m_costMs = 0;
    TimePoint m_lastProbeAt;
  };

  void UpdateRemoteZones(std::span<const ZoneState> aZones, double aSeconds);
  // Returns the share that would leave if the other zones had enough room.
  double ComputeWantedShare(const ZoneState& aOwn, double aSeconds);
  void LimitAndDivide(double aWantedShare, double aSeconds);
  void DivideEverything();
  bool IsNearlyFull() const;
  double CrossingCostMs(double aBytes) const;
  // Whether a request with this body gains by leaving if that saves aSavedMs.
  bool IsWorthCrossing(const RemoteZone& aZone,
                       size_t aBodyBytes,
                       double aSavedMs) const;
  // Returns null if no zone may be probed now.
  RemoteZone* FindZoneToProbe(size_t aBodyBytes);
  // Returns a zone at random, weighted with aWeight(zone); null if all weights
  // are 0.
  template<typename Weight>
  RemoteZone* PickWeighted(Weight&& aWeight);
  double RandomFraction();

  std::string m_ownZone;
  SpilloverOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_updatedAt;
  bool m_hasState = false;
  std::map<std::string, RemoteZone> m_remoteZones;
  // The own zone has no ready backend server, so that everything leaves it.
  bool m_ownZoneIsEmpty = false;
  double m_ownOccupancy = 0;
  // Expected response time that a request saves if it avoids the own zone.
  double m_ownWaitMs = 0;
  double m_ownServiceMs = 0;
  // Moving average of the refused share of the requests to the own zone.
  double m_refusedShare = 0;
  double m_meanBytes = 0;
  uint32_t m_requestsSinceUpdate = 0;
  double m_requestsPerSecond = 0;
  bool m_isActive = false;
  double m_integral = 0;
  double m_share = 0;
  std::map<std::string, double> m_zoneShares;
  double m_probeTokens = 0;
};

} // namespace rattanloft::locality
