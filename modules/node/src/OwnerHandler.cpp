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

namespace rattanloft::node {

using admission::JobResult;
using idempotency::BeginOutcome;

namespace {

// At-most-once work is waited for after its caller's deadline, so that a repeat
// gets the answer in place of an unknown outcome.
constexpr Duration kOnceGrace = Seconds(10);
// Less than this leaves no time for an answer to come back.
constexpr Duration kMinTimeToSend = Milliseconds(1);
constexpr Duration kRetrySoon = Seconds(1);
// Routes reach all nodes within a few batches of 20 ms, unless this node is cut
// off.
constexpr Duration kBehindWait = Milliseconds(500);
constexpr size_t kMaxWaiting = 1000;

Refusal
NotRun(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kNotRun, std::move(aReason), kRetrySoon };
}

Refusal
Unknown(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kUnknown, std::move(aReason), kRetrySoon };
}

Refusal
FromError(const http::HttpError& aError)
{
  if (!aError.m_maybeSent) {
    return NotRun(503, "backend_unreachable");
  }
  if (aError.m_code == http::HttpErrorCode::kTimeout) {
    return Unknown(504, "deadline_passed");
  }
  return Unknown(502, "connection_failed");
}

http::Response
FromStored(const idempotency::StoredAnswer& aAnswer)
{
  if (aAnswer.m_bodyDropped) {
    return MakeResponse(
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

// An answer by which the backend server says that nothing ran, else none.
std::optional<Refusal>
BackendRefusal(const http::Response& aResponse)
{
  if (aResponse.find(header::kRefused) != aResponse.end()) {
    return NotOwner();
  }
  if (aResponse.find(header::kShed) != aResponse.end()) {
    return NotRun(503, "backend_shed");
  }
  return std::nullopt;
}

} // namespace

// One request on its way through this node.
struct OwnerHandler::Run
{
  http::Request m_request;
  OwnerCall m_call;
  ClassifiedRequest m_classified;
  std::optional<ShardTracker::Hold> m_hold;
  uint64_t m_epoch = 0;
  // Added to the deadline of the exchange with the backend server.
  Duration m_grace;
  // A second node may hold a copy of the record.
  bool m_copySent = false;
};

struct OwnerHandler::OnceRun
{
  explicit OnceRun(boost::asio::io_context& aContext)
    : m_done(aContext)
  {
  }

  std::shared_ptr<Run> m_run;
  Signal m_done;
  std::optional<http::Response> m_response;
};

OwnerHandler::OwnerHandler(TrafficContext& aContext,
                           RecordService& aRecords,
                           ShardTracker& aShards)
  : m_context(aContext)
  , m_records(aRecords)
  , m_shards(aShards)
  , m_quarantine(aContext)
{
}

boost::asio::awaitable<http::Response>
OwnerHandler::Handle(http::Request aRequest,
                     OwnerCall aCall,
                     std::shared_ptr<http::CancelToken> aCancel)
{
  co_await WaitForEpoch(aRequest, aCall);
  auto classified = CheckOwnership(aRequest, aCall);
  if (!classified) {
    if (classified.error().m_status == kStatusMisdirected) {
      ++m_context.m_counters.m_misdirected;
    }
    co_return MakeResponse(classified.error());
  }
  auto run = std::make_shared<Run>();
  run->m_request = std::move(aRequest);
  run->m_call = std::move(aCall);
  run->m_classified = std::move(*classified);
  if (run->m_classified.m_shard) {
    const ShardNumber shard = *run->m_classified.m_shard;
    run->m_hold.emplace(m_shards, run->m_classified.m_service, shard);
    if (!run->m_classified.m_key.empty()) {
      m_context.m_keys.Add(run->m_classified.m_key);
    }
    run->m_epoch = run->m_classified.m_view->m_routes
                     ->Find(run->m_classified.m_service, shard)
                     ->m_epoch;
  }
  if (run->m_classified.IsAtMostOnce()) {
    co_return co_await HandleOnce(std::move(run));
  }
  co_return co_await RunOnBackend(std::move(run), std::move(aCancel));
}

// The entry node has seen an assignment of the shard that this node has not.
bool
OwnerHandler::IsBehind(const http::Request& aRequest,
                       const OwnerCall& aCall) const
{
  const auto classified = Classify(aRequest, m_context.m_view);
  if (aCall.m_epoch == 0 || !classified || !classified->m_shard) {
    return false;
  }
  const routing::ShardRoute* route = m_context.m_view->m_routes->Find(
    classified->m_service, *classified->m_shard);
  return route != nullptr && route->m_epoch < aCall.m_epoch;
}

// Without this, an entry node that learns of a move before the new owner is
// refused and then waits for routes that are newer still.
boost::asio::awaitable<void>
OwnerHandler::WaitForEpoch(const http::Request& aRequest,
                           const OwnerCall& aCall)
{
  const TimePoint end =
    std::min(aCall.m_deadline, m_context.m_clock.Now() + kBehindWait);
  while (IsBehind(aRequest, aCall) &&
         m_context.m_viewChanged.Waiting() < kMaxWaiting) {
    const Duration left = end - m_context.m_clock.Now();
    if (left <= Milliseconds(0)) {
      break;
    }
    co_await m_context.m_viewChanged.Wait(left);
  }
}

tl::expected<ClassifiedRequest, Refusal>
OwnerHandler::CheckOwnership(const http::Request& aRequest,
                             const OwnerCall& aCall) const
{
  const auto view = m_context.m_view;
  const TimePoint now = m_context.m_clock.Now();
  if (view->IsStale(now)) {
    return tl::unexpected(NotRun(503, "stale"));
  }
  auto classified = Classify(aRequest, view);
  if (!classified) {
    return classified;
  }
  const wire::Backend* own = view->m_routes->FindBackend(view->m_backend);
  if (own == nullptr || own->service() != classified->m_service) {
    return tl::unexpected(NotOwner());
  }
  if (!m_context.m_backendHealthy) {
    return tl::unexpected(NotRun(503, "backend_unhealthy"));
  }
  if (!classified->m_shard) {
    if (view->m_draining || view->m_operatorDrain) {
      return tl::unexpected(NotOwner());
    }
    return classified;
  }
  const ShardNumber shard = *classified->m_shard;
  if (!view->MayServe(classified->m_service, shard, now)) {
    return tl::unexpected(NotOwner());
  }
  const uint64_t epoch =
    view->m_routes->Find(classified->m_service, shard)->m_epoch;
  if (aCall.m_epoch > epoch) {
    return tl::unexpected(NotOwner());
  }
  if (classified->IsAtMostOnce()) {
    if (m_records.IsFenced(classified->m_service, shard, epoch)) {
      return tl::unexpected(NotOwner());
    }
    if (!m_records.IsReady(classified->m_service, shard, epoch)) {
      return tl::unexpected(NotRun(503, "records_not_ready"));
    }
  }
  return classified;
}

// Checked again after each wait. A release that began meanwhile waits for this
// request, so only the lease and the epoch matter.
bool
OwnerHandler::StillOwner(const ClassifiedRequest& aRequest) const
{
  if (!aRequest.m_shard) {
    return true;
  }
  const routing::RoutingView& view = *m_context.m_view;
  const routing::ShardRoute* before =
    aRequest.m_view->m_routes->Find(aRequest.m_service, *aRequest.m_shard);
  const routing::ShardRoute* route =
    view.m_routes->Find(aRequest.m_service, *aRequest.m_shard);
  return route != nullptr && route->m_owner == view.m_backend &&
         view.m_backend != 0 && route->m_epoch == before->m_epoch &&
         m_context.m_clock.Now() < view.m_leaseEnd;
}

boost::asio::awaitable<http::Response>
OwnerHandler::HandleOnce(std::shared_ptr<Run> aRun)
{
  const ClassifiedRequest& request = aRun->m_classified;
  const auto begin = m_context.m_records.Begin(request.m_service,
                                               *request.m_shard,
                                               request.m_idempotencyKey,
                                               Fingerprint(aRun->m_request),
                                               m_context.m_clock.Now());
  switch (begin.m_outcome) {
    case BeginOutcome::kNew:
      break;
    case BeginOutcome::kInProgress:
      co_return MakeResponse(Unknown(409, "in_progress"));
    case BeginOutcome::kAnswered:
      co_return FromStored(*begin.m_answer);
    case BeginOutcome::kUnknown:
      co_return MakeResponse(
        { 504, Outcome::kUnknown, "outcome_unknown", std::nullopt });
    case BeginOutcome::kMismatch:
      co_return MakeResponse(
        { 422, Outcome::kNotRun, "idempotency_key_reused", std::nullopt });
    case BeginOutcome::kFull:
      co_return MakeResponse(NotRun(503, "record_table_full"));
  }
  auto once = std::make_shared<OnceRun>(m_context.m_context);
  once->m_run = aRun;
  aRun->m_grace = kOnceGrace;
  boost::asio::co_spawn(
    m_context.m_context, RunOnce(once), boost::asio::detached);
  while (!once->m_response) {
    const Duration left = aRun->m_call.m_deadline - m_context.m_clock.Now();
    if (left <= Milliseconds(0)) {
      co_return MakeResponse(Unknown(504, "deadline_passed"));
    }
    co_await once->m_done.Wait(left);
  }
  co_return *once->m_response;
}

// Runs to its end whether or not the caller still waits.
boost::asio::awaitable<void>
OwnerHandler::RunOnce(std::shared_ptr<OnceRun> aRun)
{
  const std::shared_ptr<Run> run = aRun->m_run;
  const ClassifiedRequest& request = run->m_classified;
  http::Response response = co_await RunOnBackend(run, nullptr);
  const Outcome outcome = OutcomeOf(response).value_or(Outcome::kUnknown);
  auto& records = m_context.m_records;
  switch (outcome) {
    case Outcome::kAnswered:
      records.Complete(request.m_service,
                       request.m_idempotencyKey,
                       { response.result_int(),
                         std::string(response["Content-Type"]),
                         response.body(),
                         false },
                       m_context.m_clock.Now());
      co_await CopyRecord(run, false);
      break;
    case Outcome::kNotRun:
      // The copy goes first: a repeat that comes in between must not find the
      // key free here and then be undone by the late abort of the copy.
      if (run->m_copySent) {
        co_await CopyRecord(run, true);
      }
      records.Abort(request.m_service, request.m_idempotencyKey);
      break;
    case Outcome::kUnknown:
      records.MarkUnknown(request.m_service, request.m_idempotencyKey);
      co_await CopyRecord(run, false);
      break;
  }
  aRun->m_response = std::move(response);
  aRun->m_done.Notify();
}

boost::asio::awaitable<bool>
OwnerHandler::CopyRecord(std::shared_ptr<Run> aRun, bool aAbort)
{
  const ClassifiedRequest& request = aRun->m_classified;
  wire::RecordPut put;
  put.set_epoch(aRun->m_epoch);
  put.set_abort(aAbort);
  const auto record = m_context.m_records.Find(
    request.m_service, request.m_idempotencyKey, m_context.m_clock.Now());
  if (!record) {
    co_return false;
  }
  *put.add_records() = ToWire(*record);
  co_return co_await m_records.Copy(std::move(put));
}

boost::asio::awaitable<http::Response>
OwnerHandler::RunOnBackend(std::shared_ptr<Run> aRun,
                           std::shared_ptr<http::CancelToken> aCancel)
{
  const ClassifiedRequest& request = aRun->m_classified;
  const uint64_t fingerprint =
    m_context.m_quarantine ? Fingerprint(aRun->m_request) : 0;
  const auto allowed = m_quarantine.Check(fingerprint);
  if (!allowed) {
    co_return MakeResponse(allowed.error());
  }
  const auto job = co_await m_context.m_gate.Admit(
    request.m_entry->name(), aRun->m_call.m_deadline, aCancel);
  if (!job) {
    ++m_context.m_counters.m_refusedQueue;
    co_return MakeResponse(job.error());
  }
  const auto started = co_await m_quarantine.Start(
    fingerprint, request.m_service, aRun->m_call.m_deadline);
  if (!started) {
    m_context.m_gate.Finish(*job, JobResult::kCancelled);
    co_return MakeResponse(started.error());
  }
  ++m_context.m_counters.m_running;
  JobResult result = JobResult::kCancelled;
  http::Response response =
    co_await Send(std::move(aRun), std::move(aCancel), result);
  --m_context.m_counters.m_running;
  m_quarantine.End(*started, OutcomeOf(response).value_or(Outcome::kUnknown));
  m_context.m_gate.Finish(*job, result);
  co_return response;
}

boost::asio::awaitable<http::Response>
OwnerHandler::Send(std::shared_ptr<Run> aRun,
                   std::shared_ptr<http::CancelToken> aCancel,
                   JobResult& aResult)
{
  const ClassifiedRequest& request = aRun->m_classified;
  if (request.IsAtMostOnce()) {
    aRun->m_copySent = true;
    const bool copied = co_await CopyRecord(aRun, false);
    if (!copied) {
      co_return MakeResponse(NotRun(503, "no_second_record_holder"));
    }
  }
  const Duration left = TimeToSend(*aRun);
  if (left < kMinTimeToSend) {
    co_return MakeResponse(NotRun(503, "deadline_unreachable"));
  }
  if (!StillOwner(request)) {
    co_return MakeResponse(NotOwner());
  }
  PrepareHeaders(*aRun, left);
  const TimePoint expires = m_context.m_view->m_leaseEnd;
  const auto reply =
    co_await m_context.m_backends->Exchange(m_context.m_backendAddress,
                                            std::move(aRun->m_request),
                                            left + aRun->m_grace,
                                            std::move(aCancel));
  if (!reply) {
    aResult = JobResult::kFailed;
    LogInfo("route",
            "The backend server gave no answer. request={} entry={} error={}",
            aRun->m_call.m_requestId,
            request.m_entry->name(),
            reply.error().m_message);
    m_quarantine.OnError(reply.error().m_code);
    if (request.m_entry->keyed() && reply.error().m_maybeSent) {
      boost::asio::co_spawn(
        m_context.m_context, HoldUntil(aRun, expires), boost::asio::detached);
    }
    co_return MakeResponse(FromError(reply.error()));
  }
  if (const auto refusal = BackendRefusal(*reply)) {
    aResult = JobResult::kShed;
    co_return MakeResponse(*refusal);
  }
  aResult = JobResult::kAnswered;
  http::Response response = *reply;
  header::RemoveHopHeaders(response);
  SetOutcome(response, Outcome::kAnswered);
  co_return response;
}

// A frozen backend server may start an unanswered request after its return,
// until the expiry that the request carries. The shard must not be released to
// another owner before.
boost::asio::awaitable<void>
OwnerHandler::HoldUntil(std::shared_ptr<Run> /*aRun*/, TimePoint aExpires)
{
  const Duration left = aExpires - m_context.m_clock.Now();
  co_await Sleep(m_context.m_context, std::max(left, Milliseconds(0)));
}

Duration
OwnerHandler::TimeToSend(const Run& aRun) const
{
  const ClassifiedRequest& request = aRun.m_classified;
  const TimePoint now = m_context.m_clock.Now();
  TimePoint end = aRun.m_call.m_deadline;
  if (request.m_entry->keyed()) {
    const routing::RoutingView& view = *m_context.m_view;
    const wire::Backend* own = view.m_routes->FindBackend(view.m_backend);
    // Nothing else keeps a backend server that does not verify tokens from
    // working on a key after its lease has ended.
    if (own == nullptr || !own->verifies_tokens()) {
      end = std::min(end, view.m_leaseEnd);
    }
  }
  return end - now;
}

void
OwnerHandler::PrepareHeaders(Run& aRun, Duration aLeft) const
{
  const ClassifiedRequest& request = aRun.m_classified;
  http::Request& out = aRun.m_request;
  out.set(header::kRequestId, aRun.m_call.m_requestId);
  out.set(header::kEntry, request.m_entry->name());
  out.set(header::kDeadlineMs, std::to_string(aLeft.m_ms));
  out.erase(header::kShard);
  out.erase(header::kEpoch);
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
