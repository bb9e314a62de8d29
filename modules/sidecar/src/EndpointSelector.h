#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Load that a sidecar reports with each answer.
struct ReportedLoad
{
  uint32_t m_runningRequests = 0;
  uint32_t m_waitingRequests = 0;
  uint32_t m_slots = 1;
  uint32_t m_serviceTimeMs = 0;
};

// What a request asks of an endpoint.
struct EndpointQuery
{
  std::string m_service;
  // Availability zone in which the request began.
  std::string m_zone;
  size_t m_bodyBytes = 0;
};

// Chooses the sidecar to which a request of a service without keys goes, by the
// time that it would probably take there and the bytes that it would carry
// between availability zones. Answers backend servers of different speed, slow
// and failing ones, and sidecars that cannot be reached. Pure; traffic thread.
class EndpointSelector
{
public:
  explicit EndpointSelector(uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  void SetEndpoints(std::span<const wire::Endpoint> aEndpoints, TimePoint aNow);
  // Null if there is none that was not tried. A suspect endpoint is chosen only
  // if there is no other.
  const wire::Endpoint* Choose(const EndpointQuery& aQuery,
                               const std::set<std::string>& aTriedInstances,
                               TimePoint aNow);
  const wire::Endpoint* FindEndpoint(const std::string& aInstance) const;
  bool IsSuspect(const std::string& aInstance, TimePoint aNow) const;
  // Several requests are out and none was answered for a while, as by a frozen
  // instance.
  bool IsStalled(const std::string& aInstance, TimePoint aNow) const;

  void OnRequestSent(const std::string& aInstance, TimePoint aNow);
  // The request has ended, with an answer or without.
  void OnRequestEnded(const std::string& aInstance);
  void OnLoadReport(const std::string& aInstance,
                    ReportedLoad aReportedLoad,
                    TimePoint aNow);
  // The backend server answered; aFailed if with a failure of its own.
  void OnBackendResponse(const std::string& aInstance, bool aFailed);
  // The sidecar did not answer or could not be reached.
  void OnNoResponse(const std::string& aInstance, TimePoint aNow);

private:
  struct EndpointState
  {
    wire::Endpoint m_endpoint;
    TimePoint m_coldUntil;
    uint32_t m_inFlightRequests = 0;
    // First request that was sent after the last answer.
    TimePoint m_unansweredSince;
    ReportedLoad m_load;
    TimePoint m_loadReportedAt;
    double m_failureRate = 0;
    int m_noResponseCount = 0;
    TimePoint m_suspectUntil;
  };

  double EstimateCostMs(const EndpointState& aState,
                        const EndpointQuery& aQuery,
                        TimePoint aNow) const;

  std::map<std::string, EndpointState> m_endpointStates;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::sidecar
