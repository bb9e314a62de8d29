#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "ColdEndpointShare.h"
#include "ZoneRouter.h"
#include "fleet.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Load of a backend server. Its sidecar reports it with each response.
struct ReportedLoad
{
  uint32_t m_runningRequests = 0;
  uint32_t m_waitingRequests = 0;
  uint32_t m_slots = 1;
  uint32_t m_serviceTimeMs = 0;
};

// Properties of a request that matter for the choice of an endpoint.
struct EndpointQuery
{
  std::string m_service;
  // Availability zone in which the request originated.
  std::string m_zone;
  size_t m_bodyBytes = 0;
  // Instance at which the request originated.
  std::string m_instance;
  // The own zone has refused the request for lack of room.
  bool m_refusedByOwnZone = false;
  // Requests a second that a cold backend server of the service takes; 0 for no
  // bound.
  double m_coldBound = 0;
  // Number of sidecars that may send to it.
  uint32_t m_sidecarCount = 1;
};

// Load balancer for the requests of unkeyed services. Lets ZoneRouter pick the
// availability zone if endpoints are in several. Compares a few random
// candidates in this zone, the own instance first, and chooses the one with the
// lowest expected response time. Takes into account backend
// servers of different speed, cold and failing backend servers, and sidecars
// that do not respond. Does no I/O; used on the traffic thread.
class EndpointSelector
{
public:
  explicit EndpointSelector(uint64_t aSeed, ZoneRoutingOptions aOptions = {})
    : m_coldShare(aSeed)
    , m_random(aSeed)
    , m_zoneRouter(aOptions, aSeed)
  {
  }

  // Replaces the endpoints. Keeps the state of endpoints that remain.
  void SetEndpoints(std::span<const wire::Endpoint> aEndpoints, TimePoint aNow);
  // Endpoints in these zones are not chosen.
  void SetEvacuatedZones(std::set<std::string> aZones)
  {
    m_evacuatedZones = std::move(aZones);
  }
  // Returns null if no endpoint of the service is left that is ready and was
  // not tried. A suspect endpoint is chosen only if there is no other. The
  // pointer is valid until the next SetEndpoints().
  const wire::Endpoint* Choose(const EndpointQuery& aQuery,
                               const std::set<std::string>& aTriedInstances,
                               TimePoint aNow);
  // Set if the last Choose() returned null because the endpoints are cold and
  // this entry has used its part of their bound: when the caller is to come
  // back.
  std::optional<Duration> ColdRetryAfter() const { return m_coldRetryAfter; }
  // Returns null if the instance is unknown.
  const wire::Endpoint* FindEndpoint(const std::string& aInstance) const;
  // Returns true for some time after the instance failed to respond.
  bool IsSuspect(const std::string& aInstance, TimePoint aNow) const;
  // Returns true if several requests are in flight and none was answered for a
  // while, as happens with a frozen instance.
  bool IsStalled(const std::string& aInstance, TimePoint aNow) const;

  void OnRequestSent(const std::string& aInstance, TimePoint aNow);
  // The request has ended, with or without a response.
  void OnRequestEnded(const std::string& aInstance);
  void OnLoadReport(const std::string& aInstance,
                    ReportedLoad aReportedLoad,
                    TimePoint aNow);
  // The request reached the backend server. aFailed is true if it refused the
  // request, gave no usable response or answered with a server error.
  void OnBackendResponse(const std::string& aInstance, bool aFailed);
  // The sidecar did not respond or could not be reached.
  void OnNoResponse(const std::string& aInstance, TimePoint aNow);
  // Current load of the backend server on the own instance. Used only for the
  // state of the own zone.
  void SetLocalLoad(const std::string& aInstance,
                    ReportedLoad aLoad,
                    TimePoint aNow);

  ZoneRouter& Zones() { return m_zoneRouter; }
  const ZoneRouter& Zones() const { return m_zoneRouter; }

private:
  static constexpr TimePoint kNeverReported{ -1'000'000'000 };

  struct EndpointState
  {
    wire::Endpoint m_endpoint;
    TimePoint m_coldUntil;
    uint32_t m_inFlightRequests = 0;
    // Time at which the oldest request without a response was sent, or of the
    // last load report if that is later.
    TimePoint m_unansweredSince;
    ReportedLoad m_load;
    TimePoint m_loadReportedAt = kNeverReported;
    // Moving average, from 0 to 1.
    double m_failureRate = 0;
    int m_noResponseCount = 0;
    TimePoint m_suspectUntil;
  };

  enum class Usability
  {
    kUnusable,
    // Used only if there is no other.
    kSuspect,
    kUsable,
  };

  // Whether the endpoint may get requests of the service. Applies to candidates
  // and to the state of the zones alike.
  Usability Classify(const std::string& aInstance,
                     const EndpointState& aState,
                     const std::string& aService,
                     TimePoint aNow) const;
  void UpdateZones(const EndpointQuery& aQuery, TimePoint aNow);
  // Reduces the candidates to those in the zone that the request goes to.
  void SelectZone(std::vector<const EndpointState*>& aCandidates,
                  const EndpointQuery& aQuery,
                  TimePoint aNow);
  double EstimateCostMs(const EndpointState& aState,
                        const EndpointQuery& aQuery,
                        TimePoint aNow) const;
  static bool IsCold(const EndpointState& aState, TimePoint aNow);
  // Removes cold candidates to which this entry may not send now, and sets
  // m_coldRetryAfter if that leaves none.
  void RemoveColdWithoutRoom(std::vector<const EndpointState*>& aCandidates,
                             const EndpointQuery& aQuery,
                             TimePoint aNow);

  std::map<std::string, EndpointState> m_endpointStates;
  std::set<std::string> m_evacuatedZones;
  // Number of instances in each availability zone.
  std::map<std::string, uint32_t> m_instanceCounts;
  ColdEndpointShare m_coldShare;
  std::optional<Duration> m_coldRetryAfter;
  std::mt19937_64 m_random;
  ZoneRouter m_zoneRouter;
  std::string m_localInstance;
  ReportedLoad m_localLoad;
  TimePoint m_localLoadAt;
};

} // namespace rattanloft::sidecar
