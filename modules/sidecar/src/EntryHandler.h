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
#include "Directory.h"
#include "EndpointSelector.h"
#include "PeerHeaders.h"
#include "RetryAllowance.h"
#include "SyncClient.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/fleet/RequestRouter.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/Sidecar.h"

namespace rattanloft::sidecar {

struct EntryCounters
{
  uint64_t m_requests = 0;
  uint64_t m_answered = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
  uint64_t m_retries = 0;
};

// Serves the requests that begin on this instance: selects the route, the
// service and the backend server, passes the request on, and tells the caller
// what became of it. Traffic thread.
class EntryHandler
{
public:
  // The arguments outlive the handler.
  EntryHandler(boost::asio::io_context& aContext,
               const Clock& aClock,
               const SidecarOptions& aOptions,
               const BackendProtocol& aProtocol,
               http::Client& aPeers,
               const Directory& aDirectory,
               EndpointSelector& aSelector,
               BackendHandler& aLocal,
               LoadCounter& aLoads);

  boost::asio::awaitable<http::Response> Serve(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel);
  const EntryCounters& Counters() const { return m_counters; }

private:
  // One request on its way through this sidecar.
  struct Passage
  {
    std::string m_id;
    // Keeps the route alive.
    std::shared_ptr<const fleet::RequestRouter> m_router;
    const wire::RouteSpec* m_route = nullptr;
    std::string m_service;
    bool m_keyed = false;
    std::optional<uint32_t> m_key;
    size_t m_bodyBytes = 0;
    TimePoint m_arrived;
    TimePoint m_deadline;
    TimePoint m_target;
    std::string m_instance;
    // Of all attempts, once they have ended.
    uint32_t m_arrivals = 0;
    uint32_t m_hops = 0;
    std::set<std::string> m_tried;
  };

  std::optional<http::Response> Open(const http::Request& aRequest,
                                     Passage& aPassage);
  boost::asio::awaitable<AttemptResult> RunAttempts(
    const http::Request& aRequest,
    Passage& aPassage,
    std::shared_ptr<http::CancelToken> aCancel);
  std::string ChooseInstance(Passage& aPassage);
  boost::asio::awaitable<AttemptResult> Attempt(
    const http::Request& aRequest,
    Passage& aPassage,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<AttemptResult> SendToPeer(
    http::Request aRequest,
    const Passage& aPassage,
    const std::string& aAddress,
    const RequestTerms& aTerms,
    std::shared_ptr<http::CancelToken> aCancel);
  static AttemptPolicy MakePolicy(const Passage& aPassage);
  // Takes one retry from the budget of the service.
  bool TryRetry(const std::string& aService);
  boost::asio::awaitable<void> Pause(Duration aTime);
  RequestTerms Terms(const Passage& aPassage) const;
  http::Response Finish(AttemptResult aResult, const Passage& aPassage);
  http::Response Refuse(boost::beast::http::status aStatus,
                        std::string_view aReason,
                        Duration aRetryAfter) const;
  void LogOutcome(const Passage& aPassage,
                  const AttemptResult& aResult,
                  unsigned aStatus) const;
  RetryAllowance& Allowance(const std::string& aService);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const SidecarOptions& m_options;
  const BackendProtocol& m_protocol;
  http::Client& m_peers;
  const Directory& m_directory;
  EndpointSelector& m_selector;
  BackendHandler& m_local;
  LoadCounter& m_loads;
  fleet::TargetPicker m_picker;
  std::map<std::string, RetryAllowance> m_allowances;
  EntryCounters m_counters;
};

} // namespace rattanloft::sidecar
