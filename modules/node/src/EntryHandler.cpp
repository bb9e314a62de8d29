#include "EntryHandler.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "Headers.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/base/TransitDelay.h"

namespace rattanloft::node {

namespace {

// Attempts of one request that may be answered with 421. A request has not run
// after a 421, so these attempts cost no time at a backend server.
constexpr size_t kMaxMisdirectedAttempts = 4;
// How long to wait for a new owner of the shard after each 421. A planned move
// takes tens of milliseconds. The new owner may learn of it later than this
// node, so the request is sent to the same owner again if no other is known
// after the wait.
constexpr std::array<Duration, kMaxMisdirectedAttempts> kOwnerChangeWaits = {
  Milliseconds(20),
  Milliseconds(80),
  Milliseconds(300),
  Milliseconds(600)
};
// How long to wait for a new owner of the shard if the present one is
// unreachable, because it is lost or restarts. Longer waits would fill the
// entry nodes with requests until the lease of a lost owner ends.
constexpr Duration kUnreachableOwnerWait = Milliseconds(500);
// While this many requests wait for a route, further ones are refused instead
// of waiting too.
constexpr size_t kMaxWaitingRequests = 1000;
// The owner node answers at the deadline at the latest. This time is added for
// the way back.
constexpr Duration kForwardTimeoutMargin = Milliseconds(50);
// Retry-After of the refusals by this entry node.
constexpr Duration kDefaultRetryAfter = Seconds(1);
constexpr int64_t kMsPerHour = 3'600'000;
constexpr int kHoursPerDay = 24;

Refusal
NotRunRefusal(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kNotRun, std::move(aReason), kDefaultRetryAfter };
}

// Removes the headers that only nodes may set, so that a caller cannot pose as
// a node.
void
RemoveInternalHeaders(http::Request& aRequest)
{
  for (auto field = aRequest.begin(); field != aRequest.end();) {
    const auto name = field->name_string();
    const bool isInternal =
      name.size() >= header::kInternalPrefix.size() &&
      boost::beast::iequals(
        name.substr(0, header::kInternalPrefix.size()),
        { header::kInternalPrefix.data(), header::kInternalPrefix.size() });
    field = isInternal ? aRequest.erase(field) : std::next(field);
  }
}

// Backend number and epoch of the owner in the given view, 0 if there is none.
// The shard is looked up again, because a hot key may have been given a shard
// of its own since the request was classified.
std::pair<uint32_t, uint64_t>
FindOwner(const routing::RoutingView& aView, const ClassifiedRequest& aRequest)
{
  const ShardNumber shard =
    aRequest.m_key.empty()
      ? *aRequest.m_shard
      : aView.m_routes->ShardOf(aRequest.m_service, aRequest.m_key);
  const routing::ShardRoute* route =
    aView.m_routes->Find(aRequest.m_service, shard);
  return route == nullptr ? std::make_pair(uint32_t{ 0 }, uint64_t{ 0 })
                          : std::make_pair(route->m_owner, route->m_epoch);
}

} // namespace

struct EntryHandler::RoutedRequest
{
  http::Request m_request;
  std::string m_requestId;
  TimePoint m_deadline;
  ClassifiedRequest m_classified;
  size_t m_misdirectedCount = 0;
  // Numbers of the backend servers that have refused the request or could not
  // be reached.
  std::vector<uint32_t> m_excludedBackends;
  // Response to an earlier attempt that may have run.
  std::optional<http::Response> m_unknownOutcomeResponse;

  // Response for the caller. A refusal of the last attempt does not mean that
  // no earlier attempt has run, so an earlier unknown outcome takes precedence.
  http::Response FinalResponse(http::Response aLastResponse)
  {
    const bool refused = OutcomeOf(aLastResponse) == Outcome::kNotRun;
    return refused && m_unknownOutcomeResponse
             ? std::move(*m_unknownOutcomeResponse)
             : std::move(aLastResponse);
  }
};

EntryHandler::EntryHandler(TrafficContext& aContext,
                           OwnerHandler& aOwnerHandler)
  : m_context(aContext)
  , m_ownerHandler(aOwnerHandler)
  , m_targetPicker(aContext)
  , m_transitSender(RandomId())
{
}

boost::asio::awaitable<http::Response>
EntryHandler::Handle(http::Request aRequest,
                     std::shared_ptr<http::CancelToken> aCancelToken)
{
  ++m_context.m_counters.m_requestsReceived;
  RemoveInternalHeaders(aRequest);
  header::RemoveHopByHopFields(aRequest);
  const TimePoint now = m_context.m_clock.Now();
  if (m_context.m_view->IsStale(now)) {
    ++m_context.m_counters.m_requestsRefusedStale;
    http::Response response = MakeRefusalResponse(NotRunRefusal(503, "stale"));
    CountOutcome(response);
    co_return response;
  }
  const auto classified = Classify(aRequest, m_context.m_view);
  const auto admitted = classified
                          ? Admit(*classified)
                          : tl::expected<void, Refusal>(
                              tl::unexpected<Refusal>(classified.error()));
  if (!admitted) {
    http::Response response = MakeRefusalResponse(admitted.error());
    CountOutcome(response);
    co_return response;
  }
  const int hour =
    static_cast<int>(m_context.m_clock.UnixMs() / kMsPerHour % kHoursPerDay);
  const TimePoint deadline =
    now + routing::DeadlineAt(classified->m_entry->limits(), hour);
  http::Response response = co_await RouteRequest(
    std::move(aRequest), deadline, std::move(aCancelToken));
  m_context.m_callerLatency.Add(m_context.m_clock.Now() - now);
  CountOutcome(response);
  co_return response;
}

tl::expected<void, Refusal>
EntryHandler::Admit(const ClassifiedRequest& aRequest)
{
  const wire::CatalogueEntry& entry = *aRequest.m_entry;
  if (!m_rateLimiter.TryTake(entry.name(),
                             entry.limits().requests_per_second(),
                             m_context.m_clock.Now())) {
    return tl::unexpected(NotRunRefusal(429, "rate_limit"));
  }
  m_retryBudgets[aRequest.m_service].OnFirstAttempt(m_context.m_clock.Now());
  return {};
}

boost::asio::awaitable<http::Response>
EntryHandler::RouteRequest(http::Request aRequest,
                           TimePoint aDeadline,
                           std::shared_ptr<http::CancelToken> aCancelToken)
{
  RoutedRequest routedRequest;
  routedRequest.m_request = std::move(aRequest);
  routedRequest.m_requestId =
    fmt::format("{}-{}", m_context.m_nodeId, ++m_lastRequestNumber);
  routedRequest.m_deadline = aDeadline;
  for (;;) {
    if (aCancelToken->IsCancelled()) {
      co_return routedRequest.FinalResponse(
        MakeRefusalResponse(NotRunRefusal(503, "caller_gone")));
    }
    // The catalogue and the routes may have changed since the last attempt.
    auto classified = Classify(routedRequest.m_request, m_context.m_view);
    if (!classified) {
      co_return routedRequest.FinalResponse(
        MakeRefusalResponse(classified.error()));
    }
    routedRequest.m_classified = std::move(*classified);
    const auto target = m_targetPicker.Pick(routedRequest.m_classified,
                                            routedRequest.m_excludedBackends);
    if (!target) {
      bool ownerChanged = false;
      if (routedRequest.m_classified.m_shard) {
        ownerChanged =
          co_await WaitForOwnerChange(routedRequest, kUnreachableOwnerWait);
      }
      if (ownerChanged) {
        continue;
      }
      co_return routedRequest.FinalResponse(
        MakeRefusalResponse(NotRunRefusal(503, "no_owner")));
    }
    LogInfo("route",
            "Selected a backend server for the request. request={} entry={} "
            "key={} backend={} "
            "node={} epoch={}",
            routedRequest.m_requestId,
            routedRequest.m_classified.m_entry->name(),
            routedRequest.m_classified.m_key,
            target->m_backendNumber,
            target->m_nodeId,
            target->m_epoch);
    http::Response response =
      co_await SendToTarget(*target, routedRequest, aCancelToken);
    bool retry = false;
    if (!aCancelToken->IsCancelled()) {
      retry = co_await ShouldRetry(routedRequest, *target, response);
    }
    if (!retry && response.result_int() == kStatusMisdirected) {
      co_return routedRequest.FinalResponse(
        MakeRefusalResponse(NotRunRefusal(503, "owner_moving")));
    }
    if (!retry) {
      co_return routedRequest.FinalResponse(std::move(response));
    }
    if (OutcomeOf(response).value_or(Outcome::kUnknown) == Outcome::kUnknown) {
      routedRequest.m_unknownOutcomeResponse = std::move(response);
    }
  }
}

boost::asio::awaitable<http::Response>
EntryHandler::SendToTarget(const Target& aTarget,
                           const RoutedRequest& aRoutedRequest,
                           std::shared_ptr<http::CancelToken> aCancelToken)
{
  TargetPicker::AttemptScope scope(m_targetPicker, aTarget);
  http::Response response;
  if (aTarget.m_isLocal) {
    // GCC 12 copies a braced temporary in a co_await expression bit by bit, so
    // the arguments are named objects.
    RequestTerms terms{ aRoutedRequest.m_requestId,
                        aRoutedRequest.m_deadline,
                        aTarget.m_epoch };
    response = co_await m_ownerHandler.Handle(
      aRoutedRequest.m_request, std::move(terms), std::move(aCancelToken));
  } else {
    ++m_context.m_counters.m_requestsForwarded;
    response =
      co_await ForwardToPeer(aTarget, aRoutedRequest, std::move(aCancelToken));
  }
  scope.SetResult(response);
  co_return response;
}

boost::asio::awaitable<http::Response>
EntryHandler::ForwardToPeer(const Target& aTarget,
                            const RoutedRequest& aRoutedRequest,
                            std::shared_ptr<http::CancelToken> aCancelToken)
{
  const Duration timeLeft = aRoutedRequest.m_deadline - m_context.m_clock.Now();
  if (timeLeft <= Milliseconds(0)) {
    co_return MakeRefusalResponse(NotRunRefusal(503, "deadline_unreachable"));
  }
  http::Request request = aRoutedRequest.m_request;
  request.set(header::kRequestId, aRoutedRequest.m_requestId);
  request.set(header::kDeadlineMs, std::to_string(timeLeft.m_ms));
  request.set(header::kEpoch, std::to_string(aTarget.m_epoch));
  const TimePoint sentAt = m_context.m_clock.Now();
  request.set(header::kSent, FormatTransitStamp(m_transitSender.Stamp(sentAt)));
  request.keep_alive(true);
  request.prepare_payload();
  auto reply =
    co_await m_context.m_peerClient->Exchange(aTarget.m_peerAddress,
                                              std::move(request),
                                              timeLeft + kForwardTimeoutMargin,
                                              std::move(aCancelToken));
  if (!reply) {
    const http::HttpError& error = reply.error();
    LogInfo(
      "route",
      "The owner node did not answer the request. request={} node={} error={}",
      aRoutedRequest.m_requestId,
      aTarget.m_nodeId,
      error.m_message);
    if (!error.m_maybeSent) {
      co_return MakeRefusalResponse(NotRunRefusal(503, "node_unreachable"));
    }
    const bool timedOut = error.m_code == http::HttpErrorCode::kTimeout;
    co_return MakeRefusalResponse(
      { timedOut ? 504U : 502U,
        Outcome::kUnknown,
        timedOut ? "deadline_passed" : "connection_failed",
        kDefaultRetryAfter });
  }
  const auto lateMs =
    header::ParseNumberField<int64_t>(*reply, header::kLateMs);
  reply->erase(header::kLateMs);
  if (lateMs && m_transitSender.OnEstimate(Milliseconds(*lateMs),
                                           m_context.m_clock.Now() - sentAt)) {
    LogInfo("route",
            "A clock has jumped, as a request cannot have been so late. "
            "request={} node={} late_ms={}",
            aRoutedRequest.m_requestId,
            aTarget.m_nodeId,
            *lateMs);
  }
  if (!OutcomeOf(*reply)) {
    co_return MakeRefusalResponse(
      { 502, Outcome::kUnknown, "outcome_not_stated", kDefaultRetryAfter });
  }
  co_return std::move(*reply);
}

// Compares the owner of this request's shard only: while many shards move, the
// routes of others change all the time.
boost::asio::awaitable<bool>
EntryHandler::WaitForOwnerChange(const RoutedRequest& aRoutedRequest,
                                 Duration aMaxWait)
{
  const ClassifiedRequest& request = aRoutedRequest.m_classified;
  const auto ownerBefore = FindOwner(*request.m_view, request);
  const TimePoint waitEnd =
    std::min(aRoutedRequest.m_deadline, m_context.m_clock.Now() + aMaxWait);
  while (FindOwner(*m_context.m_view, request) == ownerBefore) {
    const Duration timeLeft = waitEnd - m_context.m_clock.Now();
    if (timeLeft <= Milliseconds(0) ||
        m_context.m_viewChanged.WaiterCount() >= kMaxWaitingRequests) {
      co_return false;
    }
    co_await m_context.m_viewChanged.Wait(timeLeft);
  }
  co_return true;
}

boost::asio::awaitable<bool>
EntryHandler::ShouldRetry(RoutedRequest& aRoutedRequest,
                          const Target& aTarget,
                          const http::Response& aResponse)
{
  const Outcome outcome = OutcomeOf(aResponse).value_or(Outcome::kUnknown);
  if (outcome == Outcome::kAnswered) {
    co_return false;
  }
  const ClassifiedRequest& request = aRoutedRequest.m_classified;
  if (aResponse.result_int() == kStatusMisdirected) {
    if (++aRoutedRequest.m_misdirectedCount > kMaxMisdirectedAttempts) {
      co_return false;
    }
    if (!request.m_shard) {
      aRoutedRequest.m_excludedBackends.push_back(aTarget.m_backendNumber);
      co_return true;
    }
    co_await WaitForOwnerChange(
      aRoutedRequest, kOwnerChangeWaits[aRoutedRequest.m_misdirectedCount - 1]);
    co_return m_context.m_clock.Now() < aRoutedRequest.m_deadline;
  }
  if (outcome == Outcome::kUnknown) {
    co_return request.m_entry->idempotent() &&
      m_context.m_clock.Now() <
        aRoutedRequest.m_deadline&& TryTakeRetry(aRoutedRequest);
  }
  if (aResponse[header::kReason] == "node_unreachable" && request.m_shard) {
    co_return co_await WaitForOwnerChange(aRoutedRequest,
                                          kUnreachableOwnerWait);
  }
  const bool otherBackendAllowed =
    !request.m_shard && aResponse.result_int() >= 429;
  if (!otherBackendAllowed || !TryTakeRetry(aRoutedRequest)) {
    co_return false;
  }
  aRoutedRequest.m_excludedBackends.push_back(aTarget.m_backendNumber);
  co_return true;
}

bool
EntryHandler::TryTakeRetry(const RoutedRequest& aRoutedRequest)
{
  const bool allowed =
    m_retryBudgets[aRoutedRequest.m_classified.m_service].TryTakeRetry(
      m_context.m_clock.Now());
  if (allowed) {
    ++m_context.m_counters.m_retriesSent;
  }
  return allowed;
}

void
EntryHandler::CountOutcome(const http::Response& aResponse)
{
  switch (OutcomeOf(aResponse).value_or(Outcome::kUnknown)) {
    case Outcome::kAnswered:
      ++m_context.m_counters.m_requestsAnswered;
      break;
    case Outcome::kNotRun:
      ++m_context.m_counters.m_requestsNotRun;
      break;
    case Outcome::kUnknown:
      ++m_context.m_counters.m_requestsUnknown;
      break;
  }
}

} // namespace rattanloft::node
