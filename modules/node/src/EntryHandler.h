#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "OwnerHandler.h"
#include "RateLimiter.h"
#include "RequestClassifier.h"
#include "TargetPicker.h"
#include "TrafficContext.h"
#include "rattanloft/base/TransitDelay.h"
#include "rattanloft/routing/RetryBudget.h"

namespace rattanloft::node {

// Handles the requests of callers at an entry node: finds the node that must
// run each one, sends it there and reports the outcome. The only place that
// sends a request again. Owned by the traffic thread.
class EntryHandler
{
public:
  // The arguments outlive the handler.
  EntryHandler(TrafficContext& aContext, OwnerHandler& aOwnerHandler);

  // Completes with the answer for the caller, which always states its outcome.
  boost::asio::awaitable<http::Response> Handle(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);

private:
  // One request of a caller and the state of its attempts.
  struct RoutedRequest;
  enum class Next;

  // Applies the rate limit of the catalogue entry and counts the request as a
  // first attempt in the retry budget of its service.
  tl::expected<void, Refusal> Admit(const ClassifiedRequest& aRequest);
  // Sends the request until it has an answer or may not be sent again.
  boost::asio::awaitable<http::Response> RouteRequest(
    http::Request aRequest,
    TimePoint aDeadline,
    std::shared_ptr<http::CancelToken> aCancelToken);
  // Makes one attempt, at the own backend server or at another node.
  boost::asio::awaitable<http::Response> SendToTarget(
    const Target& aTarget,
    const RoutedRequest& aRoutedRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);
  boost::asio::awaitable<http::Response> ForwardToPeer(
    const Target& aTarget,
    const RoutedRequest& aRoutedRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);
  // Waits until the routes name another owner or a later epoch for the shard of
  // the request. False if aMaxWait or the deadline passes first, or if too many
  // requests wait already.
  boost::asio::awaitable<bool> WaitForOwnerChange(
    const RoutedRequest& aRoutedRequest,
    Duration aMaxWait);
  // Decides after an attempt whether the request may be sent again, and waits
  // for a new owner of its shard where that is needed.
  boost::asio::awaitable<bool> ShouldRetry(RoutedRequest& aRoutedRequest,
                                           const Target& aTarget,
                                           const http::Response& aResponse);
  // Takes one retry from the budget of the service. False if it has none left.
  bool TryTakeRetry(const RoutedRequest& aRoutedRequest);
  void CountOutcome(const http::Response& aResponse);

  TrafficContext& m_context;
  OwnerHandler& m_ownerHandler;
  TargetPicker m_targetPicker;
  // Stamps the requests to other nodes.
  TransitSender m_transitSender;
  RateLimiter m_rateLimiter;
  // Retry budgets by service name.
  std::unordered_map<std::string, routing::RetryBudget> m_retryBudgets;
  // Last number used in a request id.
  uint64_t m_lastRequestNumber = 0;
};

} // namespace rattanloft::node
