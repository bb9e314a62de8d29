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
  EntryHandler(TrafficContext& aContext, OwnerHandler& aOwner);

  boost::asio::awaitable<http::Response> Handle(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel);

private:
  struct Attempt;
  enum class Next;

  tl::expected<void, Refusal> Admit(const ClassifiedRequest& aRequest);
  boost::asio::awaitable<http::Response> Route(
    http::Request aRequest,
    TimePoint aDeadline,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<http::Response> SendTo(
    const Target& aTarget,
    const Attempt& aAttempt,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<http::Response> Forward(
    const Target& aTarget,
    const Attempt& aAttempt,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<bool> WaitForRoutes(uint64_t aRevision,
                                             TimePoint aDeadline,
                                             Duration aLimit);
  boost::asio::awaitable<bool> WaitForOwner(const Attempt& aAttempt,
                                            Duration aLimit);
  boost::asio::awaitable<bool> MayTryAgain(Attempt& aAttempt,
                                           const Target& aTarget,
                                           const http::Response& aResponse);
  bool TakeRetry(const Attempt& aAttempt);
  void Count(const http::Response& aResponse);

  TrafficContext& m_context;
  OwnerHandler& m_owner;
  TargetPicker m_picker;
  RateLimiter m_rates;
  std::unordered_map<std::string, routing::RetryBudget> m_budgets;
  uint64_t m_lastRequest = 0;
};

} // namespace rattanloft::node
