#include "EntryHandler.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "rattanloft/base/Log.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;
using boost::beast::http::field;
using boost::beast::http::status;

// Callers that give no deadline wait at most this long.
constexpr int64_t kDefaultDeadlineMs = 30'000;
// The last hop gets this much less time, so that its final answer still reaches
// the caller.
constexpr Duration kHopTime = Milliseconds(4);
// Final answers of the backend server at its deadline are waited for.
constexpr Duration kAnswerSlack = Milliseconds(120);
// Without word from a leader for longer, a route that is not known may exist.
constexpr Duration kFreshDirectory = Milliseconds(2500);
// Part of its time that a request waits for a key that moves; the rest is for
// the work, which may be slow at the next owner.
constexpr int64_t kMoveWaitPercent = 60;
constexpr Duration kNoConfigurationRetry = Milliseconds(300);
constexpr Duration kNoBackendRetry = Milliseconds(200);
constexpr Duration kStalledRetry = Milliseconds(400);
// Work that a running request waits for has a short target; it goes first,
// since refusing it wastes the work of its parent.
constexpr uint32_t kUrgentTargetMs = 200;

} // namespace

EntryHandler::EntryHandler(asio::io_context& aContext,
                           const Clock& aClock,
                           const SidecarOptions& aOptions,
                           const BackendProtocol& aProtocol,
                           http::Client& aPeers,
                           const Directory& aDirectory,
                           EndpointSelector& aSelector,
                           BackendHandler& aLocal,
                           LoadCounter& aLoads)
  : m_context(aContext)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_protocol(aProtocol)
  , m_peers(aPeers)
  , m_directory(aDirectory)
  , m_selector(aSelector)
  , m_local(aLocal)
  , m_loads(aLoads)
{
}

RetryAllowance&
EntryHandler::Allowance(const std::string& aService)
{
  return m_allowances
    .try_emplace(aService, m_options.m_retryRatio, m_options.m_retrySlack)
    .first->second;
}

http::Response
EntryHandler::Refuse(status aStatus,
                     std::string_view aReason,
                     Duration aRetryAfter) const
{
  http::Response response;
  response.result(aStatus);
  response.set(field::content_type, "text/plain");
  if (aRetryAfter > Milliseconds(0)) {
    response.set(
      field::retry_after,
      fmt::format("{:.3f}", static_cast<double>(aRetryAfter.m_ms) / 1000));
  }
  response.body() = std::string(aReason) + "\n";
  return response;
}

// Fills in the passage; an answer if the request goes no further.
std::optional<http::Response>
EntryHandler::Open(const http::Request& aRequest, Passage& aPassage)
{
  const HeaderNames& names = m_protocol.Headers();
  aPassage.m_id = FieldValue(aRequest, names.m_requestId);
  aPassage.m_arrived = m_clock.Now();
  aPassage.m_router = m_directory.Router();
  if (aPassage.m_router == nullptr) {
    return Refuse(
      status::service_unavailable, "no-configuration", kNoConfigurationRetry);
  }
  const auto host = aRequest[field::host];
  const auto target = aRequest.target();
  aPassage.m_route = aPassage.m_router->Match({ host.data(), host.size() },
                                              { target.data(), target.size() });
  if (aPassage.m_route == nullptr) {
    if (m_directory.Age(aPassage.m_arrived) > kFreshDirectory) {
      return Refuse(
        status::service_unavailable, "stale-routes", kNoConfigurationRetry);
    }
    return Refuse(status::not_found, "no-route", {});
  }
  const int64_t asked =
    NumberField(aRequest, names.m_deadlineMs).value_or(kDefaultDeadlineMs);
  const int64_t allowed =
    std::min<int64_t>(asked, aPassage.m_route->timeout_ms());
  aPassage.m_deadline = aPassage.m_arrived + Milliseconds(allowed);
  const uint32_t targetMs = aPassage.m_route->target_latency_ms();
  aPassage.m_target = targetMs > 0
                        ? std::min(aPassage.m_arrived + Milliseconds(targetMs),
                                   aPassage.m_deadline)
                        : aPassage.m_deadline;
  aPassage.m_service = m_picker.Pick(*aPassage.m_route);
  const wire::ServiceSpec* const service =
    aPassage.m_router->FindService(aPassage.m_service);
  const auto key = NumberField(aRequest, names.m_key);
  aPassage.m_keyed = service != nullptr && service->keyed() && key.has_value();
  if (aPassage.m_keyed) {
    aPassage.m_key = static_cast<uint32_t>(*key);
    m_loads.Count(aPassage.m_service, *aPassage.m_key);
  }
  return std::nullopt;
}

asio::awaitable<http::Response>
EntryHandler::Serve(http::Request aRequest,
                    std::shared_ptr<http::CancelToken> aCancel)
{
  ++m_counters.m_requests;
  Passage passage;
  std::optional<http::Response> refused = Open(aRequest, passage);
  if (refused) {
    AttemptResult result;
    result.m_outcome = Outcome::kNotRun;
    result.m_reason = refused->body().substr(0, refused->body().size() - 1);
    LogOutcome(passage, result, refused->result_int());
    co_return std::move(*refused);
  }
  Allowance(passage.m_service).OnRequest(passage.m_arrived);
  RemovePeerFields(aRequest);
  SetField(aRequest, m_protocol.Headers().m_callerService, m_options.m_service);
  passage.m_bodyBytes = aRequest.body().size();
  AttemptResult result =
    co_await RunAttempts(aRequest, passage, std::move(aCancel));
  co_return Finish(std::move(result), passage);
}

std::string
EntryHandler::ChooseInstance(Passage& aPassage)
{
  const TimePoint now = m_clock.Now();
  if (aPassage.m_keyed) {
    const wire::OwnedRange* const owner =
      m_directory.FindOwner(aPassage.m_service, *aPassage.m_key);
    return owner == nullptr
             ? std::string()
             : owner->holder().substr(0, owner->holder().find('/'));
  }
  const wire::Endpoint* const endpoint = m_selector.Choose(
    { aPassage.m_service, m_options.m_zone, aPassage.m_bodyBytes },
    aPassage.m_tried,
    now);
  return endpoint == nullptr ? std::string() : endpoint->instance();
}

asio::awaitable<void>
EntryHandler::Pause(Duration aTime)
{
  asio::steady_timer timer(m_context, std::chrono::milliseconds(aTime.m_ms));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool
EntryHandler::TryRetry(const std::string& aService)
{
  const bool allowed =
    Allowance(aService).TryRetry(m_directory.Sidecars(), m_clock.Now());
  m_counters.m_retries += allowed ? 1 : 0;
  return allowed;
}

AttemptPolicy
EntryHandler::MakePolicy(const Passage& aPassage)
{
  AttemptLimits limits;
  limits.m_keyed = aPassage.m_keyed;
  limits.m_idempotent = aPassage.m_route->idempotent();
  limits.m_maxArrivals = std::max(1U, aPassage.m_route->max_attempts());
  limits.m_deadline = aPassage.m_deadline;
  // After its target latency an answer is worth less than a new request.
  limits.m_ownerWaitEnd = aPassage.m_target;
  limits.m_moveWaitEnd =
    aPassage.m_arrived +
    (aPassage.m_deadline - aPassage.m_arrived) * kMoveWaitPercent / 100;
  return AttemptPolicy(limits);
}

asio::awaitable<AttemptResult>
EntryHandler::RunAttempts(const http::Request& aRequest,
                          Passage& aPassage,
                          std::shared_ptr<http::CancelToken> aCancel)
{
  AttemptPolicy policy = MakePolicy(aPassage);
  AttemptResult last;
  last.m_outcome = Outcome::kNotRun;
  last.m_reason = "no-backend";
  last.m_retryAfter = kNoBackendRetry;
  NextStep step = NextStep::kSend;
  while (step != NextStep::kFinish) {
    if (step == NextStep::kWaitForOwner) {
      co_await Pause(kOwnerPoll);
    }
    if (aCancel && aCancel->IsCancelled()) {
      break;
    }
    aPassage.m_instance = ChooseInstance(aPassage);
    if (aPassage.m_instance.empty()) {
      step = policy.OnNoTarget(m_clock.Now());
      continue;
    }
    if (aPassage.m_keyed &&
        m_selector.IsStalled(aPassage.m_instance, m_clock.Now())) {
      // Its keys find another owner only after its lease.
      last.m_reason = "owner-stalled";
      last.m_retryAfter = kStalledRetry;
      break;
    }
    aPassage.m_tried.insert(aPassage.m_instance);
    AttemptResult result = co_await Attempt(aRequest, aPassage, aCancel);
    last = std::move(result);
    step = policy.OnResult(
      last, m_clock.Now(), [&] { return TryRetry(aPassage.m_service); });
  }
  aPassage.m_hops = policy.Hops();
  aPassage.m_arrivals = policy.Arrivals();
  if (policy.MayHaveRun() && last.m_outcome == Outcome::kNotRun) {
    last.m_outcome = Outcome::kUnknown;
  }
  co_return last;
}

RequestTerms
EntryHandler::Terms(const Passage& aPassage) const
{
  const TimePoint now = m_clock.Now();
  RequestTerms terms;
  terms.m_service = aPassage.m_service;
  terms.m_kind = aPassage.m_route->name();
  terms.m_keyed = aPassage.m_keyed;
  terms.m_key = aPassage.m_key;
  const bool urgent = aPassage.m_route->target_latency_ms() <= kUrgentTargetMs;
  terms.m_rank = urgent ? 0 : 1 + aPassage.m_route->priority();
  terms.m_target = aPassage.m_target - now;
  terms.m_left = aPassage.m_deadline - now;
  return terms;
}

asio::awaitable<AttemptResult>
EntryHandler::Attempt(const http::Request& aRequest,
                      Passage& aPassage,
                      std::shared_ptr<http::CancelToken> aCancel)
{
  const RequestTerms terms = Terms(aPassage);
  http::Request copy = aRequest;
  if (aPassage.m_instance == m_options.m_instance) {
    m_selector.OnSent(aPassage.m_instance, m_clock.Now());
    AttemptResult result =
      co_await m_local.Run(std::move(copy), terms, std::move(aCancel));
    m_selector.OnDone(aPassage.m_instance);
    m_selector.OnLoad(aPassage.m_instance, m_local.Load(), m_clock.Now());
    co_return result;
  }
  const wire::Endpoint* const endpoint = m_selector.Find(aPassage.m_instance);
  if (endpoint == nullptr) {
    AttemptResult result;
    result.m_outcome = Outcome::kNotRun;
    result.m_reason = "unknown-instance";
    result.m_retryAfter = kNoBackendRetry;
    co_return result;
  }
  const std::string address = endpoint->peer_address();
  m_selector.OnSent(aPassage.m_instance, m_clock.Now());
  AttemptResult result = co_await SendToPeer(
    std::move(copy), aPassage, address, terms, std::move(aCancel));
  m_selector.OnDone(aPassage.m_instance);
  co_return result;
}

asio::awaitable<AttemptResult>
EntryHandler::SendToPeer(http::Request aRequest,
                         const Passage& aPassage,
                         const std::string& aAddress,
                         const RequestTerms& aTerms,
                         std::shared_ptr<http::CancelToken> aCancel)
{
  const std::string instance = aPassage.m_instance;
  SetField(aRequest, kServiceField, aTerms.m_service);
  SetField(aRequest, kKindField, aTerms.m_kind);
  SetField(aRequest, kKeyedField, aTerms.m_keyed ? "1" : "0");
  SetField(aRequest, kTargetField, std::to_string(aTerms.m_target.m_ms));
  SetField(aRequest, kRankField, std::to_string(aTerms.m_rank));
  SetField(
    aRequest,
    m_protocol.Headers().m_deadlineMs,
    std::to_string(std::max<int64_t>(1, (aTerms.m_left - kHopTime).m_ms)));
  tl::expected<http::Response, http::HttpError> response =
    co_await m_peers.Exchange(aAddress,
                              std::move(aRequest),
                              aTerms.m_left + kAnswerSlack,
                              std::move(aCancel));
  const TimePoint now = m_clock.Now();
  if (response) {
    m_selector.OnLoad(instance, DecodeLoad(*response), now);
    AttemptResult result = DecodeResult(std::move(*response));
    if (result.m_arrived) {
      m_selector.OnAnswer(instance,
                          result.m_outcome != Outcome::kAnswered ||
                            result.m_response.result_int() >= 500);
    }
    co_return result;
  }
  const http::HttpError& error = response.error();
  AttemptResult result;
  result.m_reason = "peer-unreachable";
  result.m_retryAfter = kNoBackendRetry;
  result.m_arrived = error.m_maybeSent;
  result.m_outcome = error.m_maybeSent ? Outcome::kUnknown : Outcome::kNotRun;
  if (error.m_code == http::HttpErrorCode::kCancelled) {
    result.m_reason = "caller-left";
  } else {
    m_selector.OnSilence(instance, now);
    LogInfo("entry",
            "event=peer-failed id={} instance={} maybe_sent={} reason=\"{}\"",
            aPassage.m_id,
            instance,
            error.m_maybeSent,
            error.m_message);
  }
  co_return result;
}

http::Response
EntryHandler::Finish(AttemptResult aResult, const Passage& aPassage)
{
  http::Response response;
  switch (aResult.m_outcome) {
    case Outcome::kAnswered:
      ++m_counters.m_answered;
      response = std::move(aResult.m_response);
      break;
    case Outcome::kNotRun:
      ++m_counters.m_notRun;
      response = Refuse(status::service_unavailable,
                        aResult.m_reason,
                        std::max(aResult.m_retryAfter, Milliseconds(20)));
      break;
    case Outcome::kUnknown:
      ++m_counters.m_unknown;
      response =
        Refuse(m_clock.Now() >= aPassage.m_deadline ? status::gateway_timeout
                                                    : status::bad_gateway,
               aResult.m_reason,
               {});
      break;
  }
  LogOutcome(aPassage, aResult, response.result_int());
  return response;
}

void
EntryHandler::LogOutcome(const Passage& aPassage,
                         const AttemptResult& aResult,
                         unsigned aStatus) const
{
  const TimePoint now = m_clock.Now();
  LogInfo("entry",
          "event=request id={} route={} service={} key={} instance={} hops={} "
          "arrivals={} outcome={} reason={} status={} ms={} left_ms={} "
          "version={} ranges={} directory_age_ms={}",
          aPassage.m_id,
          aPassage.m_route != nullptr ? aPassage.m_route->name() : "-",
          aPassage.m_service,
          aPassage.m_key ? static_cast<int64_t>(*aPassage.m_key) : -1,
          aPassage.m_instance,
          aPassage.m_hops,
          aPassage.m_arrivals,
          OutcomeName(aResult.m_outcome),
          aResult.m_reason,
          aStatus,
          (now - aPassage.m_arrived).m_ms,
          (aPassage.m_deadline - now).m_ms,
          aPassage.m_router ? aPassage.m_router->Version() : 0,
          m_directory.RangesIndex(),
          m_directory.Age(now).m_ms);
}

} // namespace rattanloft::sidecar
