#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "BackendQuarantine.h"
#include "FleetDirectory.h"
#include "LocalBackend.h"
#include "PeerHeaders.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

// Routing attributes of a request. The sidecar at which the request originated
// determines them; they accompany the request to the sidecar of the chosen
// backend server.
struct RequestAttributes
{
  std::string m_service;
  // Name of the route. Requests of one route take about the same time.
  std::string m_kind;
  bool m_keyed = false;
  // Set only if m_keyed is true.
  std::optional<uint32_t> m_key;
  // Requests with a lower rank start first.
  uint32_t m_rank = 0;
  // Time until a response is worth less to the caller.
  Duration m_timeToTarget;
  // Time until a response is of no use to the caller.
  Duration m_timeToDeadline;
};

// Runs requests on the backend server next to this sidecar: checks that it may
// serve the request, queues the request for a slot and forwards it. Only this
// class determines whether a request ran there. Used on the traffic thread.
class BackendHandler
{
public:
  // All references must outlive the handler.
  BackendHandler(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 const BackendProtocol& aProtocol,
                 http::Client& aBackendClient,
                 LocalBackend& aLocalBackend,
                 WorkQueue& aWorkQueue,
                 BackendQuarantine& aQuarantine,
                 const FleetDirectory& aDirectory,
                 std::string aZone,
                 std::string aBackendAddress);

  // aCancel is cancelled when the caller goes away; it may be null.
  boost::asio::awaitable<AttemptResult> RunRequest(
    http::Request aRequest,
    RequestAttributes aAttributes,
    std::shared_ptr<http::CancelToken> aCancel);
  // Adopts the slot count of the backend server, and starts or refuses waiting
  // requests. Must be called every 25 ms while requests wait.
  void Tick();
  // Sends a health check and adopts what it shows about whether the backend
  // server is cold. Responses to health checks need not repeat a request id, so
  // aClient must not expect that.
  boost::asio::awaitable<void> CheckColdState(http::Client& aClient,
                                              std::string aHealthCheckTarget);
  // Must be called when another lifetime of the backend server runs.
  void OnNewLifetime();
  // Refuses all waiting requests. Must be called when the evacuation of the own
  // zone starts; requests that run are not affected.
  void OnEvacuationStarted();
  ReportedLoad CurrentLoad() const;

private:
  // A request that waits for a slot.
  struct Waiter
  {
    explicit Waiter(boost::asio::io_context& aContext)
      : m_wakeTimer(aContext)
    {
    }

    boost::asio::steady_timer m_wakeTimer;
    // False if the queue refused the request; empty until it has decided.
    std::optional<bool> m_mayStart;
    // Set if m_mayStart is false.
    Duration m_retryAfter;
    // Set if the evacuation of the zone has ended the wait.
    bool m_isEvacuated = false;
  };

  boost::asio::awaitable<std::optional<AttemptResult>> AcquireSlot(
    WorkId aId,
    const RequestAttributes& aAttributes,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<AttemptResult> SendToBackend(
    WorkId aId,
    http::Request aRequest,
    const RequestAttributes& aAttributes,
    uint64_t aFingerprint,
    Duration aTimeLeft,
    std::shared_ptr<http::CancelToken> aCancel);
  // Records what the failure of an exchange tells about the backend server.
  void OnExchangeError(http::HttpErrorCode aError);
  void ApplyAnnouncements(const http::Response& aResponse);
  void ApplyColdAnnouncement(const http::Response& aResponse);
  AttemptResult ClassifyResponse(http::Response aResponse,
                                 const std::string& aRequestId);
  // Returns the refusal if the backend server may not serve the request now.
  std::optional<AttemptResult> RefuseIfNotServable(
    const RequestAttributes& aAttributes) const;
  void DequeueWaiting();
  void LogRefusal(std::string_view aRequestId,
                  const RequestAttributes& aAttributes,
                  const AttemptResult& aResult) const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const BackendProtocol& m_protocol;
  http::Client& m_backendClient;
  LocalBackend& m_localBackend;
  WorkQueue& m_workQueue;
  BackendQuarantine& m_quarantine;
  const FleetDirectory& m_directory;
  std::string m_zone;
  std::string m_backendAddress;
  WorkId m_nextWorkId = 1;
  std::map<WorkId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace rattanloft::sidecar
