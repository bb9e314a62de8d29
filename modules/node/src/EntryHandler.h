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
#include "rattanloft/routing/RetryBudget.h"

namespace rattanloft::node {

// Takes requests from callers, finds the node that must run them, and tells the
// outcome. The only place that sends a request again. Owned by the traffic
// thread.
class EntryHandler
{
public:
  EntryHandler(TrafficContext& aContext, OwnerHandler& aOwnerHandler);

  boost::asio::awaitable<http::Response> Handle(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);

private:
  struct RoutedRequest;
  enum class Next;

  tl::expected<void, Refusal> Admit(const ClassifiedRequest& aRequest);
  boost::asio::awaitable<http::Response> RouteRequest(
    http::Request aRequest,
    TimePoint aDeadline,
    std::shared_ptr<http::CancelToken> aCancelToken);
  boost::asio::awaitable<http::Response> SendToTarget(
    const Target& aTarget,
    const RoutedRequest& aRoutedRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);
  boost::asio::awaitable<http::Response> ForwardToPeer(
    const Target& aTarget,
    const RoutedRequest& aRoutedRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);
  boost::asio::awaitable<bool> WaitForOwnerChange(
    const RoutedRequest& aRoutedRequest,
    Duration aMaxWait);
  boost::asio::awaitable<bool> ShouldRetry(RoutedRequest& aRoutedRequest,
                                           const Target& aTarget,
                                           const http::Response& aResponse);
  bool TryTakeRetry(const RoutedRequest& aRoutedRequest);
  void CountOutcome(const http::Response& aResponse);

  TrafficContext& m_context;
  OwnerHandler& m_ownerHandler;
  TargetPicker m_targetPicker;
  RateLimiter m_rateLimiter;
  std::unordered_map<std::string, routing::RetryBudget> m_retryBudgets;
  uint64_t m_lastRequestNumber = 0;
};

} // namespace rattanloft::node
