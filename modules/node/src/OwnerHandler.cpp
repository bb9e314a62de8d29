#include "OwnerHandler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Headers.h"
#include "RecordCodec.h"
#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/http/Fingerprint.h"

namespace rattanloft::node {

using admission::JobResult;
using idempotency::BeginOutcome;

namespace {

// The answer to an at-most-once request is awaited for this long after its
// caller's deadline, so that a repeated request gets the answer and not an
// unknown outcome.
constexpr Duration kAtMostOnceGrace = Seconds(10);
// With less time than this, no answer can come back before the deadline.
constexpr Duration kMinExchangeTime = Milliseconds(1);
// Retry-After of refusals for states that usually pass soon.
constexpr Duration kDefaultRetryAfter = Seconds(1);
// How long to wait for routes that the entry node already has. They reach all
// nodes within a few batches of 20 ms, unless this node is cut off.
constexpr Duration kMaxRouteWait = Milliseconds(500);
// While this many requests wait for routes, further ones do not wait.
constexpr size_t kMaxWaitingRequests = 1000;

Refusal
NotRunRefusal(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kNotRun, std::move(aReason), kDefaultRetryAfter };
}

Refusal
UnknownOutcomeRefusal(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kUnknown, std::move(aReason), kDefaultRetryAfter };
}

Refusal
RefusalFromError(const http::HttpError& aError)
{
  if (!aError.m_maybeSent) {
    return NotRunRefusal(503, "backend_unreachable");
  }
  if (aError.m_code == http::HttpErrorCode::kTimeout) {
    return UnknownOutcomeRefusal(504, "deadline_passed");
  }
  return UnknownOutcomeRefusal(502, "connection_failed");
}

http::Response
ResponseFromStored(const idempotency::StoredAnswer& aAnswer)
{
  if (aAnswer.m_bodyDropped) {
    return MakeRefusalResponse(
      { 504, Outcome::kUnknown, "answer_not_stored", std::nullopt });
  }
  http::Response response;
  response.version(11);
  response.result(aAnswer.m_status);
  if (!aAnswer.m_contentType.empty()) {
    response.set("Content-Type", aAnswer.m_contentType);
  }
  response.body() = aAnswer.m_body;
  response.set("Idempotency-Replayed", "true");
  SetOutcome(response, Outcome::kAnswered);
  response.prepare_payload();
  return response;
}

// Returns a refusal if the response says that the backend server did not run
// the request.
std::optional<Refusal>
BackendRefusal(const http::Response& aResponse)
{
  if (aResponse.find(header::kRefused) != aResponse.end()) {
    return NotOwnerRefusal();
  }
  if (aResponse.find(header::kShed) != aResponse.end()) {
    return NotRunRefusal(503, "backend_shed");
  }
  return std::nullopt;
}

} // namespace

struct OwnerHandler::BackendRun
{
  http::Request m_request;
  RequestTerms m_terms;
  ClassifiedRequest m_classified;
  std::optional<ShardTracker::Hold> m_shardHold;
  // Epoch of the shard when the request was classified, 0 without a shard.
  uint64_t m_epoch = 0;
  // Added to the timeout of the exchange with the backend server.
  Duration m_deadlineGrace;
  // True if another node may hold a copy of the record.
  bool m_copySent = false;
};

struct OwnerHandler::AtMostOnceRun
{
  explicit AtMostOnceRun(boost::asio::io_context& aContext)
    : m_done(aContext)
  {
  }

  std::shared_ptr<BackendRun> m_run;
  // Notified when m_response is set.
  AsyncCondition m_done;
  std::optional<http::Response> m_response;
};

OwnerHandler::OwnerHandler(TrafficContext& aContext,
                           RecordService& aRecordService,
                           ShardTracker& aShardTracker)
  : m_context(aContext)
  , m_recordService(aRecordService)
  , m_shardTracker(aShardTracker)
  , m_quarantineGate(aContext)
{
}

boost::asio::awaitable<http::Response>
OwnerHandler::Handle(http::Request aRequest,
                     RequestTerms aTerms,
                     std::shared_ptr<http::CancelToken> aCancelToken)
{
  co_await WaitForEpoch(aRequest, aTerms);
  auto classified = CheckOwnership(aRequest, aTerms);
  if (!classified) {
    if (classified.error().m_status == kStatusMisdirected) {
      ++m_context.m_counters.m_requestsMisdirected;
    }
    co_return MakeRefusalResponse(classified.error());
  }
  auto run = std::make_shared<BackendRun>();
  run->m_request = std::move(aRequest);
  run->m_terms = std::move(aTerms);
  run->m_classified = std::move(*classified);
  if (run->m_classified.m_shard) {
    const ShardNumber shard = *run->m_classified.m_shard;
    run->m_shardHold.emplace(
      m_shardTracker, run->m_classified.m_service, shard);
    if (!run->m_classified.m_key.empty()) {
      m_context.m_keyCounter.Add(run->m_classified.m_key);
    }
    run->m_epoch = run->m_classified.m_view->m_routes
                     ->Find(run->m_classified.m_service, shard)
                     ->m_epoch;
  }
  if (run->m_classified.IsAtMostOnce()) {
    co_return co_await HandleAtMostOnce(std::move(run),
                                        std::move(aCancelToken));
  }
  co_return co_await RunOnBackend(std::move(run), std::move(aCancelToken));
}

bool
OwnerHandler::IsBehindEntryNode(const http::Request& aRequest,
                                const RequestTerms& aTerms) const
{
  const auto classified = Classify(aRequest, m_context.m_view);
  if (aTerms.m_epoch == 0 || !classified || !classified->m_shard) {
    return false;
  }
  const routing::ShardRoute* route = m_context.m_view->m_routes->Find(
    classified->m_service, *classified->m_shard);
  return route != nullptr && route->m_epoch < aTerms.m_epoch;
}

// If the entry node learns of a move before the new owner does, the new owner
// would refuse the request, and the entry node would then wait for routes that
// are newer still.
boost::asio::awaitable<void>
OwnerHandler::WaitForEpoch(const http::Request& aRequest,
                           const RequestTerms& aTerms)
{
  const TimePoint end =
    std::min(aTerms.m_deadline, m_context.m_clock.Now() + kMaxRouteWait);
  while (IsBehindEntryNode(aRequest, aTerms) &&
         m_context.m_viewChanged.WaiterCount() < kMaxWaitingRequests) {
    const Duration timeLeft = end - m_context.m_clock.Now();
    if (timeLeft <= Milliseconds(0)) {
      break;
    }
    co_await m_context.m_viewChanged.Wait(timeLeft);
  }
}

tl::expected<ClassifiedRequest, Refusal>
OwnerHandler::CheckOwnership(const http::Request& aRequest,
                             const RequestTerms& aTerms) const
{
  const auto view = m_context.m_view;
  const TimePoint now = m_context.m_clock.Now();
  if (view->IsStale(now)) {
    return tl::unexpected(NotRunRefusal(503, "stale"));
  }
  auto classified = Classify(aRequest, view);
  if (!classified) {
    return classified;
  }
  const wire::Backend* ownBackend =
    view->m_routes->FindBackend(view->m_backend);
  if (ownBackend == nullptr || ownBackend->service() != classified->m_service) {
    return tl::unexpected(NotOwnerRefusal());
  }
  if (!m_context.m_backendHealthy) {
    return tl::unexpected(NotRunRefusal(503, "backend_unhealthy"));
  }
  if (!classified->m_shard) {
    if (view->m_draining || view->m_operatorDrain) {
      return tl::unexpected(NotOwnerRefusal());
    }
    return classified;
  }
  const ShardNumber shard = *classified->m_shard;
  if (!view->MayServe(classified->m_service, shard, now)) {
    return tl::unexpected(NotOwnerRefusal());
  }
  const uint64_t epoch =
    view->m_routes->Find(classified->m_service, shard)->m_epoch;
  if (aTerms.m_epoch > epoch) {
    return tl::unexpected(NotOwnerRefusal());
  }
  if (classified->IsAtMostOnce()) {
    if (m_recordService.IsFenced(classified->m_service, shard, epoch)) {
      return tl::unexpected(NotOwnerRefusal());
    }
    if (!m_recordService.IsReady(classified->m_service, shard, epoch)) {
      return tl::unexpected(NotRunRefusal(503, "records_not_ready"));
    }
  }
  return classified;
}

// Called again after each wait. If a release has begun meanwhile, it waits for
// this request, so only the lease and the epoch matter.
bool
OwnerHandler::IsStillOwner(const ClassifiedRequest& aRequest) const
{
  if (!aRequest.m_shard) {
    return true;
  }
  const routing::RoutingView& view = *m_context.m_view;
  const routing::ShardRoute* classifiedRoute =
    aRequest.m_view->m_routes->Find(aRequest.m_service, *aRequest.m_shard);
  const routing::ShardRoute* route =
    view.m_routes->Find(aRequest.m_service, *aRequest.m_shard);
  return route != nullptr && route->m_owner == view.m_backend &&
         view.m_backend != 0 && route->m_epoch == classifiedRoute->m_epoch &&
         m_context.m_clock.Now() < view.m_leaseEnd;
}

boost::asio::awaitable<http::Response>
OwnerHandler::HandleAtMostOnce(std::shared_ptr<BackendRun> aRun,
                               std::shared_ptr<http::CancelToken> aCancelToken)
{
  const ClassifiedRequest& request = aRun->m_classified;
  const auto beginResult =
    m_context.m_recordTable.Begin(request.m_service,
                                  *request.m_shard,
                                  request.m_idempotencyKey,
                                  http::ComputeFingerprint(aRun->m_request),
                                  m_context.m_clock.Now());
  switch (beginResult.m_outcome) {
    case BeginOutcome::kNew:
      break;
    case BeginOutcome::kInProgress:
      co_return MakeRefusalResponse(UnknownOutcomeRefusal(409, "in_progress"));
    case BeginOutcome::kAnswered:
      co_return ResponseFromStored(*beginResult.m_answer);
    case BeginOutcome::kUnknown:
      co_return MakeRefusalResponse(
        { 504, Outcome::kUnknown, "outcome_unknown", std::nullopt });
    case BeginOutcome::kMismatch:
      co_return MakeRefusalResponse(
        { 422, Outcome::kNotRun, "idempotency_key_reused", std::nullopt });
    case BeginOutcome::kFull:
      co_return MakeRefusalResponse(NotRunRefusal(503, "record_table_full"));
  }
  auto atMostOnce = std::make_shared<AtMostOnceRun>(m_context.m_ioContext);
  atMostOnce->m_run = aRun;
  aRun->m_deadlineGrace = kAtMostOnceGrace;
  boost::asio::co_spawn(m_context.m_ioContext,
                        RunAtMostOnce(atMostOnce, std::move(aCancelToken)),
                        boost::asio::detached);
  while (!atMostOnce->m_response) {
    const Duration timeLeft =
      aRun->m_terms.m_deadline - m_context.m_clock.Now();
    if (timeLeft <= Milliseconds(0)) {
      co_return MakeRefusalResponse(
        UnknownOutcomeRefusal(504, "deadline_passed"));
    }
    co_await atMostOnce->m_done.Wait(timeLeft);
  }
  co_return *atMostOnce->m_response;
}

boost::asio::awaitable<void>
OwnerHandler::RunAtMostOnce(std::shared_ptr<AtMostOnceRun> aRun,
                            std::shared_ptr<http::CancelToken> aCancelToken)
{
  const std::shared_ptr<BackendRun> run = aRun->m_run;
  const ClassifiedRequest& request = run->m_classified;
  http::Response response = co_await RunOnBackend(run, std::move(aCancelToken));
  const Outcome outcome = OutcomeOf(response).value_or(Outcome::kUnknown);
  auto& recordTable = m_context.m_recordTable;
  switch (outcome) {
    case Outcome::kAnswered:
      recordTable.Complete(request.m_service,
                           request.m_idempotencyKey,
                           { response.result_int(),
                             std::string(response["Content-Type"]),
                             std::string(response.body().View()),
                             false },
                           m_context.m_clock.Now());
      co_await CopyRecord(run, false);
      break;
    case Outcome::kNotRun:
      // The copies are aborted first. Otherwise a repeated request could find
      // the key free here and start, and the late abort would then remove the
      // copies of its new record.
      if (run->m_copySent) {
        co_await CopyRecord(run, true);
      }
      recordTable.Abort(request.m_service, request.m_idempotencyKey);
      break;
    case Outcome::kUnknown:
      recordTable.MarkUnknown(request.m_service, request.m_idempotencyKey);
      co_await CopyRecord(run, false);
      break;
  }
  aRun->m_response = std::move(response);
  aRun->m_done.NotifyAll();
}

boost::asio::awaitable<bool>
OwnerHandler::CopyRecord(std::shared_ptr<BackendRun> aRun, bool aAbort)
{
  const ClassifiedRequest& request = aRun->m_classified;
  wire::RecordPut put;
  put.set_epoch(aRun->m_epoch);
  put.set_abort(aAbort);
  const auto record = m_context.m_recordTable.Find(
    request.m_service, request.m_idempotencyKey, m_context.m_clock.Now());
  if (!record) {
    co_return false;
  }
  *put.add_records() = ToWire(*record);
  co_return co_await m_recordService.CopyToHolders(std::move(put));
}

boost::asio::awaitable<http::Response>
OwnerHandler::RunOnBackend(std::shared_ptr<BackendRun> aRun,
                           std::shared_ptr<http::CancelToken> aCancelToken)
{
  const ClassifiedRequest& request = aRun->m_classified;
  const uint64_t fingerprint = m_context.m_quarantineEnabled
                                 ? http::ComputeFingerprint(aRun->m_request)
                                 : 0;
  const auto notBlocked = m_quarantineGate.CheckBlocked(fingerprint);
  if (!notBlocked) {
    co_return MakeRefusalResponse(notBlocked.error());
  }
  const auto job = co_await m_context.m_admissionGate.Admit(
    request.m_entry->name(), aRun->m_terms.m_deadline, aCancelToken);
  if (!job) {
    ++m_context.m_counters.m_requestsRefusedByScheduler;
    co_return MakeRefusalResponse(job.error());
  }
  const auto started = co_await m_quarantineGate.Start(
    fingerprint, request.m_service, aRun->m_terms.m_deadline);
  if (!started) {
    m_context.m_admissionGate.Finish(*job, JobResult::kCancelled);
    co_return MakeRefusalResponse(started.error());
  }
  if (request.IsAtMostOnce()) {
    if (aCancelToken && aCancelToken->IsCancelled()) {
      m_quarantineGate.End(*started, Outcome::kNotRun);
      m_context.m_admissionGate.Finish(*job, JobResult::kCancelled);
      co_return MakeRefusalResponse(NotRunRefusal(503, "caller_gone"));
    }
    // Once begun, the work is finished even if the caller leaves, so that a
    // repeated request finds the answer.
    aCancelToken.reset();
  }
  ++m_context.m_counters.m_requestsRunning;
  JobResult result = JobResult::kCancelled;
  http::Response response =
    co_await SendToBackend(std::move(aRun), std::move(aCancelToken), result);
  --m_context.m_counters.m_requestsRunning;
  m_quarantineGate.End(*started,
                       OutcomeOf(response).value_or(Outcome::kUnknown));
  m_context.m_admissionGate.Finish(*job, result);
  co_return response;
}

boost::asio::awaitable<http::Response>
OwnerHandler::SendToBackend(std::shared_ptr<BackendRun> aRun,
                            std::shared_ptr<http::CancelToken> aCancelToken,
                            JobResult& aResult)
{
  const ClassifiedRequest& request = aRun->m_classified;
  if (request.IsAtMostOnce()) {
    aRun->m_copySent = true;
    const bool copied = co_await CopyRecord(aRun, false);
    if (!copied) {
      co_return MakeRefusalResponse(
        NotRunRefusal(503, "no_second_record_holder"));
    }
  }
  const Duration timeLeft = ExchangeTimeLeft(*aRun);
  if (timeLeft < kMinExchangeTime) {
    co_return MakeRefusalResponse(NotRunRefusal(503, "deadline_unreachable"));
  }
  if (!IsStillOwner(request)) {
    co_return MakeRefusalResponse(NotOwnerRefusal());
  }
  SetBackendHeaders(*aRun, timeLeft);
  const TimePoint leaseEnd = m_context.m_view->m_leaseEnd;
  const auto reply = co_await m_context.m_backendClient->Exchange(
    m_context.m_backendAddress,
    std::move(aRun->m_request),
    timeLeft + aRun->m_deadlineGrace,
    std::move(aCancelToken));
  if (!reply) {
    aResult = JobResult::kFailed;
    LogInfo("route",
            "The backend server did not answer the request. request={} "
            "entry={} error={}",
            aRun->m_terms.m_requestId,
            request.m_entry->name(),
            reply.error().m_message);
    m_quarantineGate.OnExchangeError(reply.error().m_code);
    if (request.m_entry->keyed() && reply.error().m_maybeSent) {
      boost::asio::co_spawn(m_context.m_ioContext,
                            HoldShardUntil(aRun, leaseEnd),
                            boost::asio::detached);
    }
    co_return MakeRefusalResponse(RefusalFromError(reply.error()));
  }
  if (const auto refusal = BackendRefusal(*reply)) {
    aResult = JobResult::kShed;
    co_return MakeRefusalResponse(*refusal);
  }
  aResult = JobResult::kAnswered;
  http::Response response = *reply;
  header::RemoveHopByHopFields(response);
  SetOutcome(response, Outcome::kAnswered);
  co_return response;
}

// A frozen backend server that resumes may start an unanswered request until
// the expiry time that the request carries. The shard must not be released to
// another owner before then.
boost::asio::awaitable<void>
OwnerHandler::HoldShardUntil(std::shared_ptr<BackendRun> /*aRun*/,
                             TimePoint aLeaseEnd)
{
  const Duration timeLeft = aLeaseEnd - m_context.m_clock.Now();
  co_await Sleep(m_context.m_ioContext, std::max(timeLeft, Milliseconds(0)));
}

Duration
OwnerHandler::ExchangeTimeLeft(const BackendRun& aRun) const
{
  const ClassifiedRequest& request = aRun.m_classified;
  const TimePoint now = m_context.m_clock.Now();
  TimePoint end = aRun.m_terms.m_deadline;
  if (request.m_entry->keyed()) {
    const routing::RoutingView& view = *m_context.m_view;
    const wire::Backend* ownBackend =
      view.m_routes->FindBackend(view.m_backend);
    // A backend server that does not verify tokens does not notice the end of
    // its lease, so the exchange must end with the lease.
    if (ownBackend == nullptr || !ownBackend->verifies_tokens()) {
      end = std::min(end, view.m_leaseEnd);
    }
  }
  return end - now;
}

void
OwnerHandler::SetBackendHeaders(BackendRun& aRun, Duration aTimeLeft) const
{
  const ClassifiedRequest& request = aRun.m_classified;
  http::Request& out = aRun.m_request;
  out.set(header::kRequestId, aRun.m_terms.m_requestId);
  out.set(header::kEntry, request.m_entry->name());
  out.set(header::kDeadlineMs, std::to_string(aTimeLeft.m_ms));
  out.erase(header::kShard);
  out.erase(header::kEpoch);
  out.erase(header::kSent);
  if (request.m_entry->keyed()) {
    out.set(header::kKey, request.m_key);
    out.set(header::kShard, std::to_string(*request.m_shard));
    out.set(header::kEpoch, std::to_string(aRun.m_epoch));
    out.set(header::kExpires,
            std::to_string(m_context.m_view->m_leaseEnd.m_ms));
  }
  out.erase("Connection");
  out.keep_alive(true);
  out.prepare_payload();
}

} // namespace rattanloft::node
