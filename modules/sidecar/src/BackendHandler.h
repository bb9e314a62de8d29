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

#include "LocalBackend.h"
#include "PeerHeaders.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

// What the entry sidecar tells of a request besides the request itself.
struct RequestAttributes
{
  std::string m_service;
  // Name of the route; work of one route takes about the same time.
  std::string m_kind;
  bool m_keyed = false;
  std::optional<uint32_t> m_key;
  uint32_t m_rank = 0;
  Duration m_timeToTarget;
  Duration m_timeToDeadline;
};

// Runs requests on the backend server beside this sidecar. Only this class
// states whether a request ran there. Traffic thread.
class BackendHandler
{
public:
  // The arguments outlive the handler.
  BackendHandler(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 const BackendProtocol& aProtocol,
                 http::Client& aBackendClient,
                 LocalBackend& aLocalBackend,
                 WorkQueue& aWorkQueue,
                 std::string aBackendAddress);

  boost::asio::awaitable<AttemptResult> RunRequest(
    http::Request aRequest,
    RequestAttributes aAttributes,
    std::shared_ptr<http::CancelToken> aCancel);
  // Starts and refuses waiting work; to be called every 20 ms.
  void Tick();
  ReportedLoad CurrentLoad() const;

private:
  struct Waiter
  {
    explicit Waiter(boost::asio::io_context& aContext)
      : m_wakeTimer(aContext)
    {
    }

    boost::asio::steady_timer m_wakeTimer;
    std::optional<bool> m_mayStart;
  };

  boost::asio::awaitable<std::optional<AttemptResult>> AcquireSlot(
    const RequestAttributes& aAttributes,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<AttemptResult> SendToBackend(
    http::Request aRequest,
    const RequestAttributes& aAttributes,
    Duration aTimeLeft,
    std::shared_ptr<http::CancelToken> aCancel);
  AttemptResult ClassifyResponse(http::Response aResponse,
                                 const std::string& aRequestId);
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
  std::string m_backendAddress;
  WorkId m_nextWorkId = 1;
  std::map<WorkId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace rattanloft::sidecar
