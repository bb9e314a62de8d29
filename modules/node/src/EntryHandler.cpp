#include "EntryHandler.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "Headers.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

// Nothing ran after a 421, so these attempts cost no backend time.
constexpr size_t kMaxMisdirected = 4;
// How long to wait for a new owner of the shard after each 421. A planned move
// takes tens of milliseconds. The new owner may learn of it later than this
// node, so the same owner is tried again when the wait is over.
constexpr std::array<Duration, kMaxMisdirected> kMoveWaits = {
  Milliseconds(20),
  Milliseconds(80),
  Milliseconds(300),
  Milliseconds(600)
};
// An unreachable owner is lost or restarting. Longer waits would fill the entry
// nodes with requests while the lease of a lost owner ends.
constexpr Duration kUnreachableWait = Milliseconds(500);
// More requests than this are refused in place of waiting for a route.
constexpr size_t kMaxWaiting = 1000;
// The owner's node answers at the deadline; this covers the way back.
constexpr Duration kForwardMargin = Milliseconds(50);
constexpr Duration kRetryAfterRoute = Seconds(1);
constexpr int64_t kHourMs = 3'600'000;
constexpr int kHoursADay = 24;

Refusal
NotRun(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kNotRun, std::move(aReason), kRetryAfterRoute };
}

// Callers must not be able to speak for a node.
void
RemoveInternalHeaders(http::Request& aRequest)
{
  for (auto field = aRequest.begin(); field != aRequest.end();) {
    const auto name = field->name_string();
    const bool internal =
      name.size() >= header::kPrefix.size() &&
      boost::beast::iequals(name.substr(0, header::kPrefix.size()),
                            { header::kPrefix.data(), header::kPrefix.size() });
    field = internal ? aRequest.erase(field) : std::next(field);
  }
}

// Backend number and epoch for the request in a view; a hot key may have got a
// shard of its own since it was classified.
std::pair<uint32_t, uint64_t>
OwnerIn(const routing::RoutingView& aView, const ClassifiedRequest& aRequest)
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

// One request of a caller with what was tried so far.
struct EntryHandler::Attempt
{
  http::Request m_request;
  std::string m_requestId;
  TimePoint m_deadline;
  ClassifiedRequest m_classified;
  size_t m_misdirected = 0;
  // Backends that have refused or could not be reached.
  std::vector<uint32_t> m_excluded;
  // Answer to an earlier attempt that may have run.
  std::optional<http::Response> m_unknown;

  // A refusal of the last attempt says nothing about the earlier ones.
  http::Response Result(http::Response aLast)
  {
    const bool refused = OutcomeOf(aLast) == Outcome::kNotRun;
    return refused && m_unknown ? std::move(*m_unknown) : std::move(aLast);
  }
};

EntryHandler::EntryHandler(TrafficContext& aContext, OwnerHandler& aOwner)
  : m_context(aContext)
  , m_owner(aOwner)
  , m_picker(aContext)
{
}

boost::asio::awaitable<http::Response>
EntryHandler::Handle(http::Request aRequest,
                     std::shared_ptr<http::CancelToken> aCancel)
{
  ++m_context.m_counters.m_received;
  RemoveInternalHeaders(aRequest);
  header::RemoveHopHeaders(aRequest);
  const TimePoint now = m_context.m_clock.Now();
  if (m_context.m_view->IsStale(now)) {
    ++m_context.m_counters.m_refusedStale;
    http::Response response = MakeResponse(NotRun(503, "stale"));
    Count(response);
    co_return response;
  }
  const auto classified = Classify(aRequest, m_context.m_view);
  const auto admitted = classified
                          ? Admit(*classified)
                          : tl::expected<void, Refusal>(
                              tl::unexpected<Refusal>(classified.error()));
  if (!admitted) {
    http::Response response = MakeResponse(admitted.error());
    Count(response);
    co_return response;
  }
  const int hour =
    static_cast<int>(m_context.m_clock.UnixMs() / kHourMs % kHoursADay);
  const TimePoint deadline =
    now + routing::DeadlineAt(classified->m_entry->limits(), hour);
  http::Response response =
    co_await Route(std::move(aRequest), deadline, std::move(aCancel));
  m_context.m_latency.Add(m_context.m_clock.Now() - now);
  Count(response);
  co_return response;
}

tl::expected<void, Refusal>
EntryHandler::Admit(const ClassifiedRequest& aRequest)
{
  const wire::CatalogueEntry& entry = *aRequest.m_entry;
  if (!m_rates.TryTake(entry.name(),
                       entry.limits().requests_per_second(),
                       m_context.m_clock.Now())) {
    return tl::unexpected(NotRun(429, "rate_limit"));
  }
  m_budgets[aRequest.m_service].OnFirstAttempt(m_context.m_clock.Now());
  return {};
}

boost::asio::awaitable<http::Response>
EntryHandler::Route(http::Request aRequest,
                    TimePoint aDeadline,
                    std::shared_ptr<http::CancelToken> aCancel)
{
  Attempt attempt;
  attempt.m_request = std::move(aRequest);
  attempt.m_requestId =
    fmt::format("{}-{}", m_context.m_nodeId, ++m_lastRequest);
  attempt.m_deadline = aDeadline;
  for (;;) {
    // Catalogue and routes may have changed since the last attempt.
    auto classified = Classify(attempt.m_request, m_context.m_view);
    if (!classified) {
      co_return attempt.Result(MakeResponse(classified.error()));
    }
    attempt.m_classified = std::move(*classified);
    const auto target = m_picker.Pick(attempt.m_classified, attempt.m_excluded);
    if (!target) {
      bool routed = false;
      if (attempt.m_classified.m_shard) {
        routed = co_await WaitForOwner(attempt, kUnreachableWait);
      }
      if (routed) {
        continue;
      }
      co_return attempt.Result(MakeResponse(NotRun(503, "no_owner")));
    }
    LogInfo("route",
            "Chose a backend server. request={} entry={} key={} backend={} "
            "node={} epoch={}",
            attempt.m_requestId,
            attempt.m_classified.m_entry->name(),
            attempt.m_classified.m_key,
            target->m_backend,
            target->m_nodeId,
            target->m_epoch);
    http::Response response = co_await SendTo(*target, attempt, aCancel);
    bool again = false;
    if (!aCancel->IsCancelled()) {
      again = co_await MayTryAgain(attempt, *target, response);
    }
    if (!again && response.result_int() == kStatusMisdirected) {
      co_return attempt.Result(MakeResponse(NotRun(503, "owner_moving")));
    }
    if (!again) {
      co_return attempt.Result(std::move(response));
    }
    if (OutcomeOf(response).value_or(Outcome::kUnknown) == Outcome::kUnknown) {
      attempt.m_unknown = std::move(response);
    }
  }
}

boost::asio::awaitable<http::Response>
EntryHandler::SendTo(const Target& aTarget,
                     const Attempt& aAttempt,
                     std::shared_ptr<http::CancelToken> aCancel)
{
  TargetPicker::Load load(m_picker, aTarget);
  http::Response response;
  if (aTarget.m_own) {
    // GCC 12 copies a braced temporary in a co_await expression bit by bit, so
    // the arguments are named objects.
    OwnerCall call{ aAttempt.m_requestId,
                    aAttempt.m_deadline,
                    aTarget.m_epoch };
    response = co_await m_owner.Handle(
      aAttempt.m_request, std::move(call), std::move(aCancel));
  } else {
    ++m_context.m_counters.m_forwarded;
    response = co_await Forward(aTarget, aAttempt, std::move(aCancel));
  }
  load.SetResult(response);
  co_return response;
}

boost::asio::awaitable<http::Response>
EntryHandler::Forward(const Target& aTarget,
                      const Attempt& aAttempt,
                      std::shared_ptr<http::CancelToken> aCancel)
{
  const Duration left = aAttempt.m_deadline - m_context.m_clock.Now();
  if (left <= Milliseconds(0)) {
    co_return MakeResponse(NotRun(503, "deadline_unreachable"));
  }
  http::Request request = aAttempt.m_request;
  request.set(header::kRequestId, aAttempt.m_requestId);
  request.set(header::kDeadlineMs, std::to_string(left.m_ms));
  request.set(header::kEpoch, std::to_string(aTarget.m_epoch));
  request.keep_alive(true);
  request.prepare_payload();
  // A node finishes at-most-once work although its caller has gone, so that a
  // repeat finds the answer.
  // Named, because GCC 12 destroys a conditional temporary in a co_await
  // expression twice.
  const auto token = aAttempt.m_classified.IsAtMostOnce()
                       ? std::shared_ptr<http::CancelToken>()
                       : aCancel;
  auto reply = co_await m_context.m_peers->Exchange(
    aTarget.m_peerAddress, std::move(request), left + kForwardMargin, token);
  if (!reply) {
    const http::HttpError& error = reply.error();
    LogInfo("route",
            "The node has not answered. request={} node={} error={}",
            aAttempt.m_requestId,
            aTarget.m_nodeId,
            error.m_message);
    if (!error.m_maybeSent) {
      co_return MakeResponse(NotRun(503, "node_unreachable"));
    }
    const bool late = error.m_code == http::HttpErrorCode::kTimeout;
    co_return MakeResponse({ late ? 504U : 502U,
                             Outcome::kUnknown,
                             late ? "deadline_passed" : "connection_failed",
                             kRetryAfterRoute });
  }
  if (!OutcomeOf(*reply)) {
    co_return MakeResponse(
      { 502, Outcome::kUnknown, "outcome_not_stated", kRetryAfterRoute });
  }
  co_return std::move(*reply);
}

// True once the owner of the request's shard has changed. Other shards change
// all the time while many move.
boost::asio::awaitable<bool>
EntryHandler::WaitForOwner(const Attempt& aAttempt, Duration aLimit)
{
  const ClassifiedRequest& request = aAttempt.m_classified;
  const auto before = OwnerIn(*request.m_view, request);
  const TimePoint end =
    std::min(aAttempt.m_deadline, m_context.m_clock.Now() + aLimit);
  while (OwnerIn(*m_context.m_view, request) == before) {
    const Duration left = end - m_context.m_clock.Now();
    if (left <= Milliseconds(0) ||
        m_context.m_viewChanged.Waiting() >= kMaxWaiting) {
      co_return false;
    }
    co_await m_context.m_viewChanged.Wait(left);
  }
  co_return true;
}

boost::asio::awaitable<bool>
EntryHandler::MayTryAgain(Attempt& aAttempt,
                          const Target& aTarget,
                          const http::Response& aResponse)
{
  const Outcome outcome = OutcomeOf(aResponse).value_or(Outcome::kUnknown);
  if (outcome == Outcome::kAnswered) {
    co_return false;
  }
  const ClassifiedRequest& request = aAttempt.m_classified;
  if (aResponse.result_int() == kStatusMisdirected) {
    if (++aAttempt.m_misdirected > kMaxMisdirected) {
      co_return false;
    }
    if (!request.m_shard) {
      aAttempt.m_excluded.push_back(aTarget.m_backend);
      co_return true;
    }
    co_await WaitForOwner(aAttempt, kMoveWaits[aAttempt.m_misdirected - 1]);
    co_return m_context.m_clock.Now() < aAttempt.m_deadline;
  }
  if (outcome == Outcome::kUnknown) {
    co_return request.m_entry->idempotent() &&
      m_context.m_clock.Now() < aAttempt.m_deadline&& TakeRetry(aAttempt);
  }
  if (aResponse[header::kReason] == "node_unreachable" && request.m_shard) {
    co_return co_await WaitForOwner(aAttempt, kUnreachableWait);
  }
  const bool elsewhere = !request.m_shard && aResponse.result_int() >= 429;
  if (!elsewhere || !TakeRetry(aAttempt)) {
    co_return false;
  }
  aAttempt.m_excluded.push_back(aTarget.m_backend);
  co_return true;
}

bool
EntryHandler::TakeRetry(const Attempt& aAttempt)
{
  const bool allowed = m_budgets[aAttempt.m_classified.m_service].TryRetry(
    m_context.m_clock.Now());
  if (allowed) {
    ++m_context.m_counters.m_retries;
  }
  return allowed;
}

void
EntryHandler::Count(const http::Response& aResponse)
{
  switch (OutcomeOf(aResponse).value_or(Outcome::kUnknown)) {
    case Outcome::kAnswered:
      ++m_context.m_counters.m_answered;
      break;
    case Outcome::kNotRun:
      ++m_context.m_counters.m_notRun;
      break;
    case Outcome::kUnknown:
      ++m_context.m_counters.m_unknown;
      break;
  }
}

} // namespace rattanloft::node
