#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "AttemptPolicy.h"
#include "BackendHandler.h"
#include "EndpointSelector.h"
#include "FleetDirectory.h"
#include "FleetRetryBudget.h"
#include "OverloadThrottle.h"
#include "PeerHeaders.h"
#include "StopSchedule.h"
#include "SyncClient.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/TransitDelay.h"
#include "rattanloft/fleet/RequestRouter.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/Sidecar.h"

namespace rattanloft::sidecar {

// Number of requests received, of requests by their final outcome, and of
// retries, since the start of the process.
struct EntryCounters
{
  uint64_t m_requests = 0;
  uint64_t m_answered = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
  uint64_t m_retries = 0;
  // The requests in m_notRun by the reason of the refusal.
  std::map<std::string, uint64_t> m_notRunByReason;
};

// Serves the requests that originate on this instance: selects the route, the
// service and the backend server, forwards the request, retries it if that is
// allowed, and returns the result to the caller. Used on the traffic thread.
class EntryHandler
{
public:
  // All references must outlive the handler.
  EntryHandler(boost::asio::io_context& aContext,
               const Clock& aClock,
               const SidecarOptions& aOptions,
               const BackendProtocol& aProtocol,
               http::Client& aPeerClient,
               const FleetDirectory& aDirectory,
               EndpointSelector& aEndpointSelector,
               BackendHandler& aLocalHandler,
               const BackendQuarantine& aQuarantine,
               LoadCounter& aLoadCounter);

  boost::asio::awaitable<http::Response> Serve(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel);
  // From now on refuses requests that would not end before the process does.
  void SetStopSchedule(const StopSchedule& aSchedule)
  {
    m_stopSchedule = aSchedule;
  }
  const EntryCounters& Counters() const { return m_counters; }

private:
  // State of one request while it is being served.
  struct RequestState
  {
    std::string m_id;
    // Identifies copies of the same work; see http::ComputeHostFingerprint.
    uint64_t m_fingerprint = 0;
    // Owns the route that m_route points to.
    std::shared_ptr<const fleet::RequestRouter> m_router;
    const wire::RouteSpec* m_route = nullptr;
    std::string m_service;
    bool m_keyed = false;
    std::optional<uint32_t> m_key;
    size_t m_bodyBytes = 0;
    TimePoint m_arrivedAt;
    // End of the time in which the caller waits for a response.
    TimePoint m_deadline;
    // A response after this time is worth less to the caller.
    TimePoint m_targetTime;
    // Instance of the current or last attempt.
    std::string m_instance;
    // Counts of all attempts, set after the last one.
    uint32_t m_backendAttempts = 0;
    uint32_t m_sidecarAttempts = 0;
    std::set<std::string> m_triedInstances;
    // Time that the last attempt spent on its way to another sidecar and back.
    std::optional<Duration> m_transit;
    // Of the body, at the sidecar that the attempt goes to.
    std::optional<int64_t> m_reservation;
    // An instance in the own zone has refused the request for lack of room.
    bool m_refusedByOwnZone = false;
  };

  std::optional<http::Response> PrepareRequest(const http::Request& aRequest,
                                               RequestState& aState);
  boost::asio::awaitable<AttemptResult> RunAttempts(
    const http::Request& aRequest,
    RequestState& aState,
    std::shared_ptr<http::CancelToken> aCancel);
  // Whether all known endpoints of the service are in zones under evacuation.
  bool IsServiceEvacuated(const std::string& aService) const;
  bool IsInstanceEvacuated(const std::string& aInstance) const;
  // Keeps the request from further instances in the zone of this one.
  void ExcludeZoneOf(const std::string& aInstance, RequestState& aState) const;
  // Returns an empty string if there is no suitable instance.
  std::string ChooseInstance(RequestState& aState);
  boost::asio::awaitable<AttemptResult> SendToInstance(
    const http::Request& aRequest,
    RequestState& aState,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<AttemptResult> SendToPeer(
    http::Request aRequest,
    RequestState& aState,
    const std::string& aAddress,
    const RequestAttributes& aAttributes,
    std::shared_ptr<http::CancelToken> aCancel);
  // Asks the peer whether the body may be sent. Returns a result if it must
  // not.
  boost::asio::awaitable<std::optional<AttemptResult>> ReserveBody(
    RequestState& aState,
    std::string aAddress,
    std::shared_ptr<http::CancelToken> aCancel);
  // Returns the result of an exchange with a peer that has failed.
  AttemptResult MakeFailureResult(const http::HttpError& aError,
                                  const RequestState& aState);
  // Compares the delay that a peer has estimated with the round trip.
  void CheckEstimate(const http::Response& aResponse,
                     const RequestState& aState);
  // Tells the choice of zones how the last attempt of an unkeyed request ended.
  void RecordZoneResult(RequestState& aState, const AttemptResult& aResult);
  void RecordAcceptance(const std::string& aTarget,
                        const AttemptResult& aResult);
  AttemptPolicy MakeAttemptPolicy(const RequestState& aState) const;
  // Takes one retry from the budget of the service; returns false if the budget
  // is used up.
  bool TryTakeRetry(const std::string& aService);
  boost::asio::awaitable<void> Sleep(Duration aDuration);
  RequestAttributes MakeAttributes(const RequestState& aState) const;
  http::Response MakeFinalResponse(AttemptResult aResult,
                                   const RequestState& aState);
  http::Response MakeRefusal(boost::beast::http::status aStatus,
                             std::string_view aReason,
                             Duration aRetryAfter) const;
  void LogOutcome(const RequestState& aState,
                  const AttemptResult& aResult,
                  unsigned aStatus) const;
  void CountNotRun(const std::string& aReason);
  FleetRetryBudget& FindRetryBudget(const std::string& aService);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const SidecarOptions& m_options;
  const BackendProtocol& m_protocol;
  http::Client& m_peerClient;
  const FleetDirectory& m_directory;
  EndpointSelector& m_endpointSelector;
  BackendHandler& m_localHandler;
  const BackendQuarantine& m_quarantine;
  LoadCounter& m_loadCounter;
  fleet::TargetPicker m_targetPicker;
  std::map<std::string, FleetRetryBudget> m_retryBudgets;
  OverloadThrottle m_overloadThrottle;
  // Stamps the requests to peers.
  TransitSender m_transitSender;
  EntryCounters m_counters;
  std::optional<StopSchedule> m_stopSchedule;
};

} // namespace rattanloft::sidecar
