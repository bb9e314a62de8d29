#include "EntryHandler.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/base/TransitDelay.h"
#include "rattanloft/http/Fingerprint.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;
using boost::beast::http::field;
using boost::beast::http::status;

// Deadline of requests that do not specify one.
constexpr int64_t kDefaultDeadlineMs = 30'000;
// The peer gets this much less time than is left, so that its final response
// still reaches the caller.
constexpr Duration kHopTimeReserve = Milliseconds(4);
// Time after the deadline for which the response of a peer is awaited, since
// the backend server may respond exactly at the deadline.
constexpr Duration kResponseGracePeriod = Milliseconds(120);
// If the last reply of a leader is older than this, a route that is missing
// from the directory may exist, and keys get no other owner for some time.
constexpr Duration kDirectoryFreshnessLimit = Milliseconds(2500);
// Share of the time until its deadline for which a request waits while its key
// moves to another owner. The rest is left for running the request, which may
// be slow on the new owner.
constexpr int64_t kMoveWaitPercent = 60;
// Retry delays that are reported with refusals.
constexpr Duration kNoConfigurationRetryDelay = Milliseconds(300);
constexpr Duration kNoBackendRetryDelay = Milliseconds(200);
constexpr Duration kStalledOwnerRetryDelay = Milliseconds(400);
constexpr Duration kThrottledRetryDelay = Milliseconds(400);
constexpr std::string_view kPeerUnreachableReason = "peer-unreachable";
// A peer is asked before a body of this size or more is sent to it. Smaller
// ones take less of its link than the question.
constexpr size_t kReservedBodyBytes = 16 * 1024;
// A peer answers within less, unless its link is full of other traffic.
constexpr Duration kReservationTimeout = Milliseconds(1500);
// Requests with at most this target latency get the lowest rank and start
// first. They are typically nested calls of a running request; refusing them
// wastes the work of that request.
constexpr uint32_t kUrgentTargetLatencyMs = 200;

} // namespace

EntryHandler::EntryHandler(asio::io_context& aContext,
                           const Clock& aClock,
                           const SidecarOptions& aOptions,
                           const BackendProtocol& aProtocol,
                           http::Client& aPeerClient,
                           const FleetDirectory& aDirectory,
                           EndpointSelector& aEndpointSelector,
                           BackendHandler& aLocalHandler,
                           const BackendQuarantine& aQuarantine,
                           LoadCounter& aLoadCounter)
  : m_context(aContext)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_protocol(aProtocol)
  , m_peerClient(aPeerClient)
  , m_directory(aDirectory)
  , m_endpointSelector(aEndpointSelector)
  , m_localHandler(aLocalHandler)
  , m_quarantine(aQuarantine)
  , m_loadCounter(aLoadCounter)
  , m_overloadThrottle(RandomId())
  , m_transitSender(RandomId())
{
}

FleetRetryBudget&
EntryHandler::FindRetryBudget(const std::string& aService)
{
  return m_retryBudgets
    .try_emplace(aService, m_options.m_retryRatio, m_options.m_retrySlack)
    .first->second;
}

http::Response
EntryHandler::MakeRefusal(status aStatus,
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

// Determines the route, deadline and service of the request. Returns a response
// if the request must be refused.
std::optional<http::Response>
EntryHandler::PrepareRequest(const http::Request& aRequest,
                             RequestState& aState)
{
  const HeaderNames& names = m_protocol.Headers();
  aState.m_id = FieldValue(aRequest, names.m_requestId);
  aState.m_fingerprint = http::ComputeHostFingerprint(aRequest);
  aState.m_arrivedAt = m_clock.Now();
  aState.m_router = m_directory.Router();
  if (aState.m_router == nullptr) {
    return MakeRefusal(status::service_unavailable,
                       "no-configuration",
                       kNoConfigurationRetryDelay);
  }
  const auto host = aRequest[field::host];
  const auto target = aRequest.target();
  aState.m_route = aState.m_router->Match({ host.data(), host.size() },
                                          { target.data(), target.size() });
  if (aState.m_route == nullptr) {
    if (m_directory.TimeSinceLastReply(aState.m_arrivedAt) >
        kDirectoryFreshnessLimit) {
      return MakeRefusal(status::service_unavailable,
                         "stale-routes",
                         kNoConfigurationRetryDelay);
    }
    return MakeRefusal(status::not_found, "no-route", {});
  }
  const std::optional<AttemptResult> blocked =
    m_quarantine.RefuseIfBlocked(aState.m_fingerprint);
  if (blocked) {
    return MakeRefusal(
      status::service_unavailable, blocked->m_reason, blocked->m_retryAfter);
  }
  const int64_t requestedMs =
    ParseNumberField(aRequest, names.m_deadlineMs).value_or(kDefaultDeadlineMs);
  const int64_t allowedMs =
    std::min<int64_t>(requestedMs, aState.m_route->timeout_ms());
  aState.m_deadline = aState.m_arrivedAt + Milliseconds(allowedMs);
  if (m_stopSchedule &&
      !m_stopSchedule->MayServe(aState.m_arrivedAt, aState.m_deadline)) {
    return MakeRefusal(status::service_unavailable,
                       kStoppingReason,
                       m_stopSchedule->RetryDelay(aState.m_arrivedAt));
  }
  const uint32_t targetMs = aState.m_route->target_latency_ms();
  aState.m_targetTime =
    targetMs > 0
      ? std::min(aState.m_arrivedAt + Milliseconds(targetMs), aState.m_deadline)
      : aState.m_deadline;
  aState.m_service = m_targetPicker.Pick(*aState.m_route);
  const wire::ServiceSpec* const service =
    aState.m_router->FindService(aState.m_service);
  const auto key = ParseNumberField(aRequest, names.m_key);
  aState.m_keyed = service != nullptr && service->keyed() && key.has_value();
  if (aState.m_keyed) {
    aState.m_key = static_cast<uint32_t>(*key);
    m_loadCounter.CountRequest(aState.m_service, *aState.m_key);
  }
  return std::nullopt;
}

asio::awaitable<http::Response>
EntryHandler::Serve(http::Request aRequest,
                    std::shared_ptr<http::CancelToken> aCancel)
{
  ++m_counters.m_requests;
  RequestState state;
  std::optional<http::Response> refusal = PrepareRequest(aRequest, state);
  if (refusal) {
    AttemptResult result;
    result.m_outcome = AttemptOutcome::kNotRun;
    result.m_reason =
      refusal->body().View().substr(0, refusal->body().size() - 1);
    CountNotRun(result.m_reason);
    LogOutcome(state, result, refusal->result_int());
    co_return std::move(*refusal);
  }
  FindRetryBudget(state.m_service).OnRequest(state.m_arrivedAt);
  RemovePeerFields(aRequest);
  SetField(aRequest, m_protocol.Headers().m_callerService, m_options.m_service);
  state.m_bodyBytes = aRequest.body().size();
  AttemptResult result =
    co_await RunAttempts(aRequest, state, std::move(aCancel));
  co_return MakeFinalResponse(std::move(result), state);
}

std::string
EntryHandler::ChooseInstance(RequestState& aState)
{
  const TimePoint now = m_clock.Now();
  if (aState.m_keyed) {
    const wire::OwnedRange* const owner =
      m_directory.FindOwner(aState.m_service, *aState.m_key);
    return owner == nullptr
             ? std::string()
             : owner->holder().substr(0, owner->holder().find('/'));
  }
  m_endpointSelector.SetLocalLoad(
    m_options.m_instance, m_localHandler.CurrentLoad(), now);
  const wire::ServiceSpec* const service =
    aState.m_router->FindService(aState.m_service);
  const wire::Endpoint* const endpoint =
    m_endpointSelector.Choose({ aState.m_service,
                                m_options.m_zone,
                                aState.m_bodyBytes,
                                m_options.m_instance,
                                aState.m_refusedByOwnZone,
                                FindColdBound(m_options, service),
                                m_directory.SidecarCount() },
                              aState.m_triedInstances,
                              now);
  return endpoint == nullptr ? std::string() : endpoint->instance();
}

bool
EntryHandler::IsServiceEvacuated(const std::string& aService) const
{
  if (m_directory.EvacuatedZones().empty()) {
    return false;
  }
  bool isKnown = false;
  for (const wire::Endpoint& endpoint : m_directory.Endpoints()) {
    if (endpoint.backend().service() != aService) {
      continue;
    }
    if (!m_directory.IsEvacuated(endpoint.zone())) {
      return false;
    }
    isKnown = true;
  }
  return isKnown;
}

bool
EntryHandler::IsInstanceEvacuated(const std::string& aInstance) const
{
  const wire::Endpoint* const endpoint =
    m_endpointSelector.FindEndpoint(aInstance);
  return endpoint != nullptr && m_directory.IsEvacuated(endpoint->zone());
}

void
EntryHandler::ExcludeZoneOf(const std::string& aInstance,
                            RequestState& aState) const
{
  const wire::Endpoint* const refusing =
    m_endpointSelector.FindEndpoint(aInstance);
  if (refusing == nullptr) {
    return;
  }
  for (const wire::Endpoint& endpoint : m_directory.Endpoints()) {
    if (endpoint.zone() == refusing->zone()) {
      aState.m_triedInstances.insert(endpoint.instance());
    }
  }
}

asio::awaitable<void>
EntryHandler::Sleep(Duration aDuration)
{
  asio::steady_timer timer(m_context,
                           std::chrono::milliseconds(aDuration.m_ms));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool
EntryHandler::TryTakeRetry(const std::string& aService)
{
  const bool isAllowed = FindRetryBudget(aService).TryTakeRetry(
    m_directory.SidecarCount(), m_clock.Now());
  m_counters.m_retries += isAllowed ? 1 : 0;
  return isAllowed;
}

AttemptPolicy
EntryHandler::MakeAttemptPolicy(const RequestState& aState) const
{
  AttemptLimits limits;
  limits.m_keyed = aState.m_keyed;
  limits.m_idempotent = aState.m_route->idempotent();
  limits.m_maxBackendAttempts = std::max(1U, aState.m_route->max_attempts());
  limits.m_deadline = aState.m_deadline;
  // After its target latency a response is worth less than that to a new
  // request.
  limits.m_ownerWaitDeadline = aState.m_targetTime;
  limits.m_moveWaitDeadline =
    aState.m_arrivedAt +
    (aState.m_deadline - aState.m_arrivedAt) * kMoveWaitPercent / 100;
  limits.m_leaderSilent = m_directory.TimeSinceLastReply(aState.m_arrivedAt) >
                          kDirectoryFreshnessLimit;
  return AttemptPolicy(limits);
}

asio::awaitable<AttemptResult>
EntryHandler::RunAttempts(const http::Request& aRequest,
                          RequestState& aState,
                          std::shared_ptr<http::CancelToken> aCancel)
{
  AttemptPolicy policy = MakeAttemptPolicy(aState);
  AttemptResult last;
  last.m_outcome = AttemptOutcome::kNotRun;
  last.m_reason = "no-backend";
  last.m_retryAfter = kNoBackendRetryDelay;
  NextStep step = NextStep::kSend;
  while (step != NextStep::kFinish) {
    if (step == NextStep::kWaitForOwner) {
      co_await Sleep(kOwnerPollInterval);
    }
    if (aCancel && aCancel->IsCancelled()) {
      break;
    }
    if (IsServiceEvacuated(aState.m_service)) {
      last = MakeZoneEvacuatedResult(aState.m_keyed);
      break;
    }
    aState.m_instance = ChooseInstance(aState);
    if (aState.m_keyed && IsInstanceEvacuated(aState.m_instance)) {
      last = MakeZoneEvacuatedResult(true);
      step = policy.OnOwnerMoving(m_clock.Now());
      continue;
    }
    if (aState.m_instance.empty()) {
      if (!aState.m_keyed && m_endpointSelector.ColdRetryAfter()) {
        last =
          MakeNotRunResult("cold-start", *m_endpointSelector.ColdRetryAfter());
        break;
      }
      step = policy.OnNoEndpoint(m_clock.Now());
      continue;
    }
    step = policy.OnInstanceChosen(
      m_endpointSelector.IsStalled(aState.m_instance, m_clock.Now()));
    if (step == NextStep::kFinish) {
      last.m_reason = "owner-stalled";
      last.m_retryAfter = kStalledOwnerRetryDelay;
      break;
    }
    const std::string target = aState.m_instance + '|' + aState.m_route->name();
    if (aState.m_keyed && !m_overloadThrottle.MaySend(target, m_clock.Now())) {
      last = MakeNotRunResult("owner-overloaded", kThrottledRetryDelay);
      break;
    }
    aState.m_triedInstances.insert(aState.m_instance);
    AttemptResult result = co_await SendToInstance(aRequest, aState, aCancel);
    last = std::move(result);
    if (last.m_reason == kZoneEvacuatedReason) {
      // Its sidecar has learned of the evacuation before this one.
      ExcludeZoneOf(aState.m_instance, aState);
    }
    if (aState.m_keyed) {
      RecordAcceptance(target, last);
    } else {
      RecordZoneResult(aState, last);
    }
    step = policy.OnResult(last, m_clock.Now(), [&] {
      return !(aCancel && aCancel->IsCancelled()) &&
             TryTakeRetry(aState.m_service);
    });
  }
  aState.m_sidecarAttempts = policy.SidecarAttempts();
  aState.m_backendAttempts = policy.BackendAttempts();
  if (policy.MayHaveRun() && last.m_outcome == AttemptOutcome::kNotRun) {
    last.m_outcome = AttemptOutcome::kUnknown;
  }
  co_return last;
}

void
EntryHandler::RecordZoneResult(RequestState& aState,
                               const AttemptResult& aResult)
{
  const wire::Endpoint* const endpoint =
    m_endpointSelector.FindEndpoint(aState.m_instance);
  if (endpoint == nullptr) {
    return;
  }
  ZoneRouter& zones = m_endpointSelector.Zones();
  zones.OnExchange(aState.m_service,
                   endpoint->zone(),
                   aState.m_bodyBytes + aResult.m_response.body().size(),
                   aState.m_instance == m_options.m_instance);
  if (endpoint->zone() != m_options.m_zone) {
    return;
  }
  const bool isRefused = aResult.m_kind == ResultKind::kOverloaded;
  if (isRefused || aResult.m_outcome == AttemptOutcome::kAnswered) {
    zones.OnOwnZoneResult(aState.m_service, isRefused);
  }
  aState.m_refusedByOwnZone = isRefused;
}

// Refusals for other reasons than load, such as a move of the key, and failures
// of the backend server say nothing about the load.
void
EntryHandler::RecordAcceptance(const std::string& aTarget,
                               const AttemptResult& aResult)
{
  const bool isAccepted = aResult.m_outcome == AttemptOutcome::kAnswered;
  if (isAccepted || aResult.m_kind == ResultKind::kOverloaded ||
      aResult.m_reason == kPeerUnreachableReason) {
    m_overloadThrottle.OnResult(aTarget, isAccepted, m_clock.Now());
  }
}

RequestAttributes
EntryHandler::MakeAttributes(const RequestState& aState) const
{
  const TimePoint now = m_clock.Now();
  RequestAttributes attributes;
  attributes.m_service = aState.m_service;
  attributes.m_kind = aState.m_route->name();
  attributes.m_keyed = aState.m_keyed;
  attributes.m_key = aState.m_key;
  const bool isUrgent =
    aState.m_route->target_latency_ms() <= kUrgentTargetLatencyMs;
  attributes.m_rank = isUrgent ? 0 : 1 + aState.m_route->priority();
  attributes.m_timeToTarget = aState.m_targetTime - now;
  attributes.m_timeToDeadline = aState.m_deadline - now;
  return attributes;
}

asio::awaitable<AttemptResult>
EntryHandler::SendToInstance(const http::Request& aRequest,
                             RequestState& aState,
                             std::shared_ptr<http::CancelToken> aCancel)
{
  http::Request copy = aRequest;
  if (aState.m_instance == m_options.m_instance) {
    const RequestAttributes attributes = MakeAttributes(aState);
    m_endpointSelector.OnRequestSent(aState.m_instance, m_clock.Now());
    AttemptResult result = co_await m_localHandler.RunRequest(
      std::move(copy), attributes, std::move(aCancel));
    m_endpointSelector.OnRequestEnded(aState.m_instance);
    m_endpointSelector.OnLoadReport(
      aState.m_instance, m_localHandler.CurrentLoad(), m_clock.Now());
    co_return result;
  }
  const wire::Endpoint* const endpoint =
    m_endpointSelector.FindEndpoint(aState.m_instance);
  if (endpoint == nullptr) {
    AttemptResult result;
    result.m_outcome = AttemptOutcome::kNotRun;
    result.m_reason = "unknown-instance";
    result.m_retryAfter = kNoBackendRetryDelay;
    co_return result;
  }
  const std::string address = endpoint->peer_address();
  aState.m_transit.reset();
  aState.m_reservation.reset();
  if (aState.m_bodyBytes >= kReservedBodyBytes) {
    std::optional<AttemptResult> refusal =
      co_await ReserveBody(aState, address, aCancel);
    if (refusal) {
      co_return std::move(*refusal);
    }
  }
  const RequestAttributes attributes = MakeAttributes(aState);
  if (attributes.m_timeToDeadline <= Duration{}) {
    co_return MakeNotRunResult("deadline", {});
  }
  m_endpointSelector.OnRequestSent(aState.m_instance, m_clock.Now());
  AttemptResult result = co_await SendToPeer(
    std::move(copy), aState, address, attributes, std::move(aCancel));
  m_endpointSelector.OnRequestEnded(aState.m_instance);
  co_return result;
}

asio::awaitable<std::optional<AttemptResult>>
EntryHandler::ReserveBody(RequestState& aState,
                          std::string aAddress,
                          std::shared_ptr<http::CancelToken> aCancel)
{
  http::Request request;
  request.method(boost::beast::http::verb::post);
  request.target("/");
  SetField(request, kReserveBytesField, std::to_string(aState.m_bodyBytes));
  const Duration timeLeft = aState.m_deadline - m_clock.Now();
  SetField(request,
           m_protocol.Headers().m_deadlineMs,
           std::to_string(std::max<int64_t>(0, timeLeft.m_ms)));
  const Duration timeout =
    std::min(timeLeft + kResponseGracePeriod, kReservationTimeout);
  tl::expected<http::Response, http::HttpError> response =
    co_await m_peerClient.Exchange(
      std::move(aAddress), std::move(request), timeout, std::move(aCancel));
  if (!response) {
    // No part of the request was sent.
    AttemptResult result = MakeFailureResult(response.error(), aState);
    result.m_outcome = AttemptOutcome::kNotRun;
    result.m_reachedBackend = false;
    co_return result;
  }
  aState.m_reservation = ParseNumberField(*response, kReservationField);
  if (FieldValue(*response, kResultKindField) ==
      ResultKindName(ResultKind::kOverloaded)) {
    co_return DecodeAttemptResult(std::move(*response));
  }
  co_return std::nullopt;
}

asio::awaitable<AttemptResult>
EntryHandler::SendToPeer(http::Request aRequest,
                         RequestState& aState,
                         const std::string& aAddress,
                         const RequestAttributes& aAttributes,
                         std::shared_ptr<http::CancelToken> aCancel)
{
  const std::string instance = aState.m_instance;
  const TimePoint sentAt = m_clock.Now();
  SetField(aRequest, kServiceField, aAttributes.m_service);
  SetField(aRequest, kKindField, aAttributes.m_kind);
  SetField(aRequest, kKeyedField, aAttributes.m_keyed ? "1" : "0");
  SetField(
    aRequest, kTargetMsField, std::to_string(aAttributes.m_timeToTarget.m_ms));
  SetField(aRequest, kRankField, std::to_string(aAttributes.m_rank));
  SetField(
    aRequest, kSentField, FormatTransitStamp(m_transitSender.Stamp(sentAt)));
  if (aState.m_reservation) {
    SetField(
      aRequest, kReservationField, std::to_string(*aState.m_reservation));
  }
  SetField(aRequest,
           m_protocol.Headers().m_deadlineMs,
           std::to_string(std::max<int64_t>(
             1, (aAttributes.m_timeToDeadline - kHopTimeReserve).m_ms)));
  tl::expected<http::Response, http::HttpError> response =
    co_await m_peerClient.Exchange(aAddress,
                                   std::move(aRequest),
                                   aAttributes.m_timeToDeadline +
                                     kResponseGracePeriod,
                                   std::move(aCancel));
  const TimePoint now = m_clock.Now();
  if (response) {
    // A listener that refuses a request does not know the load.
    if (!FieldValue(*response, kLoadField).empty()) {
      m_endpointSelector.OnLoadReport(
        instance, DecodeReportedLoad(*response), now);
    }
    const std::optional<int64_t> handlingMs =
      ParseNumberField(*response, kHandlingMsField);
    if (handlingMs) {
      aState.m_transit = now - sentAt - Milliseconds(*handlingMs);
      CheckEstimate(*response, aState);
    }
    const wire::Endpoint* const endpoint =
      m_endpointSelector.FindEndpoint(instance);
    if (handlingMs && endpoint != nullptr) {
      m_endpointSelector.Zones().OnRoundTrip(
        endpoint->zone(), now - sentAt, Milliseconds(*handlingMs));
    }
    AttemptResult result = DecodeAttemptResult(std::move(*response));
    if (result.m_reachedBackend) {
      m_endpointSelector.OnBackendResponse(
        instance,
        result.m_outcome != AttemptOutcome::kAnswered ||
          result.m_response.result_int() >= 500);
    }
    co_return result;
  }
  co_return MakeFailureResult(response.error(), aState);
}

AttemptResult
EntryHandler::MakeFailureResult(const http::HttpError& aError,
                                const RequestState& aState)
{
  AttemptResult result;
  result.m_reason = kPeerUnreachableReason;
  result.m_retryAfter = kNoBackendRetryDelay;
  result.m_reachedBackend = aError.m_maybeSent;
  result.m_outcome =
    aError.m_maybeSent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotRun;
  if (aError.m_code == http::HttpErrorCode::kCancelled) {
    result.m_reason = "caller-left";
  } else {
    m_endpointSelector.OnNoResponse(aState.m_instance, m_clock.Now());
    LogInfo("entry",
            "event=peer-failed id={} instance={} maybe_sent={} reason=\"{}\"",
            aState.m_id,
            aState.m_instance,
            aError.m_maybeSent,
            aError.m_message);
  }
  return result;
}

void
EntryHandler::CheckEstimate(const http::Response& aResponse,
                            const RequestState& aState)
{
  const std::optional<int64_t> lateMs =
    ParseNumberField(aResponse, kLateMsField);
  if (lateMs &&
      m_transitSender.OnEstimate(Milliseconds(*lateMs), *aState.m_transit)) {
    LogInfo("entry",
            "event=clock-jump id={} instance={} late_ms={} transit_ms={}",
            aState.m_id,
            aState.m_instance,
            *lateMs,
            aState.m_transit->m_ms);
  }
}

http::Response
EntryHandler::MakeFinalResponse(AttemptResult aResult,
                                const RequestState& aState)
{
  http::Response response;
  switch (aResult.m_outcome) {
    case AttemptOutcome::kAnswered:
      ++m_counters.m_answered;
      response = std::move(aResult.m_response);
      break;
    case AttemptOutcome::kNotRun:
      CountNotRun(aResult.m_reason);
      response = MakeRefusal(status::service_unavailable,
                             aResult.m_reason,
                             std::max(aResult.m_retryAfter, Milliseconds(20)));
      break;
    case AttemptOutcome::kUnknown:
      ++m_counters.m_unknown;
      response =
        MakeRefusal(m_clock.Now() >= aState.m_deadline ? status::gateway_timeout
                                                       : status::bad_gateway,
                    aResult.m_reason,
                    {});
      break;
  }
  LogOutcome(aState, aResult, response.result_int());
  return response;
}

// A reason may come from another sidecar, so their number is bounded.
void
EntryHandler::CountNotRun(const std::string& aReason)
{
  constexpr size_t kMaxReasons = 64;
  ++m_counters.m_notRun;
  auto& counts = m_counters.m_notRunByReason;
  if (counts.contains(aReason) || counts.size() < kMaxReasons) {
    ++counts[aReason];
  }
}

void
EntryHandler::LogOutcome(const RequestState& aState,
                         const AttemptResult& aResult,
                         unsigned aStatus) const
{
  const TimePoint now = m_clock.Now();
  LogInfo("entry",
          "event=request id={} fingerprint={:016x} route={} service={} key={} "
          "instance={} hops={} arrivals={} outcome={} reason={} status={} "
          "ms={} transit_ms={} left_ms={} "
          "version={} ranges={} directory_age_ms={}",
          aState.m_id,
          aState.m_fingerprint,
          aState.m_route != nullptr ? aState.m_route->name() : "-",
          aState.m_service,
          aState.m_key ? static_cast<int64_t>(*aState.m_key) : -1,
          aState.m_instance,
          aState.m_sidecarAttempts,
          aState.m_backendAttempts,
          AttemptOutcomeName(aResult.m_outcome),
          aResult.m_reason,
          aStatus,
          (now - aState.m_arrivedAt).m_ms,
          aState.m_transit ? aState.m_transit->m_ms : -1,
          (aState.m_deadline - now).m_ms,
          aState.m_router ? aState.m_router->Version() : 0,
          m_directory.RangesIndex(),
          m_directory.TimeSinceLastReply(now).m_ms);
}

} // namespace rattanloft::sidecar
