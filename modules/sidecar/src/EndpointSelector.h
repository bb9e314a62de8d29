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
  // Requests a second that a cold backend server of the service takes; 0 for no
  // bound.
  double m_coldBound = 0;
  // Number of sidecars that may send to it.
  uint32_t m_sidecarCount = 1;
};

// Load balancer for the requests of unkeyed services. Compares a few random
// candidates, the own instance and those in the own availability zone first,
// and chooses the one with the lowest estimated cost: the expected response
// time, plus a penalty for traffic between zones. Takes into account backend
// servers of different speed, cold and failing backend servers, and sidecars
// that do not respond. Does no I/O; used on the traffic thread.
class EndpointSelector
{
public:
  explicit EndpointSelector(uint64_t aSeed)
    : m_coldShare(aSeed)
    , m_random(aSeed)
  {
  }

  // Replaces the endpoints. Keeps the state of endpoints that remain.
  void SetEndpoints(std::span<const wire::Endpoint> aEndpoints, TimePoint aNow);
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

private:
  struct EndpointState
  {
    wire::Endpoint m_endpoint;
    TimePoint m_coldUntil;
    uint32_t m_inFlightRequests = 0;
    // Time at which the oldest request without a response was sent, or of the
    // last load report if that is later.
    TimePoint m_unansweredSince;
    ReportedLoad m_load;
    TimePoint m_loadReportedAt;
    // Moving average, from 0 to 1.
    double m_failureRate = 0;
    int m_noResponseCount = 0;
    TimePoint m_suspectUntil;
  };

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
  ColdEndpointShare m_coldShare;
  std::optional<Duration> m_coldRetryAfter;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::sidecar
