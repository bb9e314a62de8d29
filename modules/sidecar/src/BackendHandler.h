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

#include "BackendAgent.h"
#include "PeerHeaders.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

// What the entry sidecar tells of a request besides the request itself.
struct RequestTerms
{
  std::string m_service;
  // Name of the route; work of one route takes about the same time.
  std::string m_kind;
  bool m_keyed = false;
  std::optional<uint32_t> m_key;
  uint32_t m_rank = 0;
  Duration m_target;
  Duration m_left;
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
                 http::Client& aClient,
                 BackendAgent& aAgent,
                 WorkQueue& aQueue,
                 std::string aBackendAddress);

  boost::asio::awaitable<AttemptResult> Run(
    http::Request aRequest,
    RequestTerms aTerms,
    std::shared_ptr<http::CancelToken> aCancel);
  // Starts and refuses waiting work; to be called every 20 ms.
  void Tick();
  ReportedLoad Load() const;

private:
  struct Waiter
  {
    explicit Waiter(boost::asio::io_context& aContext)
      : m_wake(aContext)
    {
    }

    boost::asio::steady_timer m_wake;
    std::optional<bool> m_start;
  };

  boost::asio::awaitable<std::optional<AttemptResult>> Admit(
    const RequestTerms& aTerms,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<AttemptResult> Send(
    http::Request aRequest,
    const RequestTerms& aTerms,
    Duration aLeft,
    std::shared_ptr<http::CancelToken> aCancel);
  AttemptResult Judge(http::Response aResponse, const std::string& aId);
  std::optional<AttemptResult> Check(const RequestTerms& aTerms) const;
  void ReleaseWaiting();
  void LogRefusal(std::string_view aId,
                  const RequestTerms& aTerms,
                  const AttemptResult& aResult) const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const BackendProtocol& m_protocol;
  http::Client& m_client;
  BackendAgent& m_agent;
  WorkQueue& m_queue;
  std::string m_backendAddress;
  WorkId m_nextWork = 1;
  std::map<WorkId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace rattanloft::sidecar
