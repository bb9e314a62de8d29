#include "BackendHandler.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "rattanloft/base/Log.h"
#include "rattanloft/http/Fingerprint.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;
using boost::beast::http::field;
using boost::beast::http::status;

// Time after the deadline for which the response is awaited, since the backend
// server may respond exactly at the deadline.
constexpr Duration kResponseGracePeriod = Milliseconds(60);
// Retry delay that is reported if the backend server cannot serve the request
// at the moment.
constexpr Duration kNotServingRetryDelay = Milliseconds(200);
constexpr Duration kHealthCheckTimeout = Milliseconds(500);
// A backend server that stays cold for longer says so again.
constexpr double kMaxColdMs = 60'000;

AttemptResult
MakeUnknownResult(std::string_view aReason)
{
  AttemptResult result;
  result.m_outcome = AttemptOutcome::kUnknown;
  result.m_reason = aReason;
  result.m_reachedBackend = true;
  return result;
}

AttemptResult
MakeOverloadedResult(Duration aRetryAfter)
{
  AttemptResult result = MakeNotRunResult(kOverloadedReason, aRetryAfter);
  result.m_kind = ResultKind::kOverloaded;
  return result;
}

// Calls the function on destruction, so that a slot is freed on every return
// path.
class FinishGuard
{
public:
  explicit FinishGuard(std::function<void()> aFinish)
    : m_finish(std::move(aFinish))
  {
  }
  FinishGuard(const FinishGuard&) = delete;
  FinishGuard& operator=(const FinishGuard&) = delete;
  ~FinishGuard() { m_finish(); }

private:
  std::function<void()> m_finish;
};

} // namespace

BackendHandler::BackendHandler(asio::io_context& aContext,
                               const Clock& aClock,
                               const BackendProtocol& aProtocol,
                               http::Client& aBackendClient,
                               LocalBackend& aLocalBackend,
                               WorkQueue& aWorkQueue,
                               BackendQuarantine& aQuarantine,
                               const FleetDirectory& aDirectory,
                               std::string aZone,
                               std::string aBackendAddress)
  : m_context(aContext)
  , m_clock(aClock)
  , m_protocol(aProtocol)
  , m_backendClient(aBackendClient)
  , m_localBackend(aLocalBackend)
  , m_workQueue(aWorkQueue)
  , m_quarantine(aQuarantine)
  , m_directory(aDirectory)
  , m_zone(std::move(aZone))
  , m_backendAddress(std::move(aBackendAddress))
{
}

ReportedLoad
BackendHandler::CurrentLoad() const
{
  return { m_workQueue.RunningCount(),
           static_cast<uint32_t>(m_workQueue.WaitingCount()),
           m_workQueue.Slots(),
           static_cast<uint32_t>(m_workQueue.MeanServiceTime().m_ms) };
}

std::optional<AttemptResult>
BackendHandler::RefuseIfNotServable(const RequestAttributes& aAttributes) const
{
  if (m_localBackend.View().service() != aAttributes.m_service) {
    return MakeNotRunResult("other-service", kNotServingRetryDelay);
  }
  if (m_directory.IsEvacuated(m_zone)) {
    return MakeZoneEvacuatedResult(aAttributes.m_keyed);
  }
  // The zone may be under evacuation since before this process started.
  if (!m_directory.KnowsEvacuations()) {
    return MakeNotRunResult(ServeVerdictName(ServeVerdict::kAwaitsLeader),
                            kNotServingRetryDelay);
  }
  const ServeVerdict verdict = m_localBackend.CheckServable(
    aAttributes.m_key, aAttributes.m_keyed, m_clock.Now());
  if (verdict != ServeVerdict::kServe) {
    AttemptResult result =
      MakeNotRunResult(ServeVerdictName(verdict), kNotServingRetryDelay);
    if (IsOwnershipVerdict(verdict)) {
      result.m_kind = ResultKind::kOwnerMoved;
    }
    return result;
  }
  return std::nullopt;
}

void
BackendHandler::DequeueWaiting()
{
  for (const WorkQueue::DequeuedWork& item :
       m_workQueue.Dequeue(m_clock.Now())) {
    const auto found = m_waiters.find(item.m_id);
    if (found == m_waiters.end()) {
      // The caller is gone, so its slot goes to the next item.
      if (item.m_mayStart) {
        m_workQueue.ColdStart().OnNotSent(item.m_id);
        m_workQueue.Finish({}, {});
      }
      continue;
    }
    found->second->m_mayStart = item.m_mayStart;
    found->second->m_retryAfter =
      item.m_retryAfter.value_or(kNotServingRetryDelay);
    found->second->m_wakeTimer.cancel();
    m_waiters.erase(found);
  }
}

void
BackendHandler::Tick()
{
  m_workQueue.SetSlots(std::max(1U, m_localBackend.View().slots()));
  m_workQueue.ColdStart().Tick(m_clock.Now());
  DequeueWaiting();
}

void
BackendHandler::OnEvacuationStarted()
{
  for (const auto& [id, waiter] : m_waiters) {
    m_workQueue.Cancel(id);
    waiter->m_isEvacuated = true;
    waiter->m_wakeTimer.cancel();
  }
  m_waiters.clear();
}

// Waits for a slot. Returns the refusal, or nullopt once the request holds a
// slot.
asio::awaitable<std::optional<AttemptResult>>
BackendHandler::AcquireSlot(WorkId aId,
                            const RequestAttributes& aAttributes,
                            std::shared_ptr<http::CancelToken> aCancel)
{
  const TimePoint now = m_clock.Now();
  const SubmitResult submitted =
    m_workQueue.Submit({ aId,
                         aAttributes.m_kind,
                         aAttributes.m_rank,
                         now + aAttributes.m_timeToTarget,
                         now + aAttributes.m_timeToDeadline },
                       now);
  if (submitted.m_decision == WorkDecision::kStart) {
    co_return std::nullopt;
  }
  if (submitted.m_decision == WorkDecision::kRefuse) {
    co_return MakeOverloadedResult(submitted.m_retryAfter);
  }
  const auto waiter = std::make_shared<Waiter>(m_context);
  waiter->m_wakeTimer.expires_at(asio::steady_timer::time_point::max());
  m_waiters[aId] = waiter;
  if (aCancel) {
    aCancel->SetCancelCallback([waiter] { waiter->m_wakeTimer.cancel(); });
  }
  co_await waiter->m_wakeTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  if (aCancel) {
    aCancel->SetCancelCallback({});
  }
  if (waiter->m_isEvacuated) {
    co_return MakeZoneEvacuatedResult(aAttributes.m_keyed);
  }
  if (!waiter->m_mayStart) {
    m_waiters.erase(aId);
    m_workQueue.Cancel(aId);
    co_return MakeNotRunResult("caller-left", {});
  }
  if (!*waiter->m_mayStart) {
    co_return MakeOverloadedResult(waiter->m_retryAfter);
  }
  co_return std::nullopt;
}

void
BackendHandler::LogRefusal(std::string_view aRequestId,
                           const RequestAttributes& aAttributes,
                           const AttemptResult& aResult) const
{
  LogInfo("backend",
          "event=refused id={} service={} reason={} running={} waiting={} "
          "slots={} service_ms={} rank={} target_ms={} left_ms={} "
          "retry_after_ms={}",
          aRequestId,
          aAttributes.m_service,
          aResult.m_reason,
          m_workQueue.RunningCount(),
          m_workQueue.WaitingCount(),
          m_workQueue.Slots(),
          m_workQueue.MeanServiceTime(aAttributes.m_kind).m_ms,
          aAttributes.m_rank,
          aAttributes.m_timeToTarget.m_ms,
          aAttributes.m_timeToDeadline.m_ms,
          aResult.m_retryAfter.m_ms);
}

asio::awaitable<AttemptResult>
BackendHandler::RunRequest(http::Request aRequest,
                           RequestAttributes aAttributes,
                           std::shared_ptr<http::CancelToken> aCancel)
{
  const TimePoint arrivedAt = m_clock.Now();
  const uint64_t fingerprint = http::ComputeHostFingerprint(aRequest);
  const std::string id(FieldValue(aRequest, m_protocol.Headers().m_requestId));
  std::optional<AttemptResult> refusal = RefuseIfNotServable(aAttributes);
  if (!refusal) {
    refusal = m_quarantine.RefuseIfBlocked(fingerprint);
  }
  if (refusal) {
    co_return std::move(*refusal);
  }
  const WorkId workId = m_nextWorkId++;
  std::optional<AttemptResult> notStarted =
    co_await AcquireSlot(workId, aAttributes, aCancel);
  if (notStarted) {
    LogRefusal(id, aAttributes, *notStarted);
    co_return std::move(*notStarted);
  }
  const TimePoint startedAt = m_clock.Now();
  Duration serviceTime;
  const FinishGuard finishGuard(
    [this, &serviceTime, workId, kind = aAttributes.m_kind] {
      m_workQueue.ColdStart().ReleaseIfNotSent(workId);
      m_workQueue.Finish(kind, serviceTime);
      DequeueWaiting();
    });
  // The state of the backend server may have changed while the request waited.
  refusal = RefuseIfNotServable(aAttributes);
  if (refusal) {
    co_return std::move(*refusal);
  }
  const Duration timeLeft =
    aAttributes.m_timeToDeadline - (startedAt - arrivedAt);
  if (timeLeft <= Milliseconds(0) || (aCancel && aCancel->IsCancelled())) {
    co_return MakeNotRunResult("deadline", {});
  }
  const auto run = m_quarantine.Start(fingerprint, aAttributes.m_service);
  if (!run) {
    LogRefusal(id, aAttributes, run.error());
    co_return run.error();
  }
  quarantine::RunOutcome runOutcome = quarantine::RunOutcome::kNoAnswer;
  const FinishGuard endRunGuard([&] { m_quarantine.End(*run, runOutcome); });
  AttemptResult result = co_await SendToBackend(workId,
                                                std::move(aRequest),
                                                aAttributes,
                                                fingerprint,
                                                timeLeft,
                                                std::move(aCancel));
  runOutcome = ToRunOutcome(result);
  if (result.m_outcome == AttemptOutcome::kAnswered) {
    serviceTime = std::max(m_clock.Now() - startedAt, Milliseconds(1));
  }
  co_return result;
}

asio::awaitable<AttemptResult>
BackendHandler::SendToBackend(WorkId aId,
                              http::Request aRequest,
                              const RequestAttributes& aAttributes,
                              uint64_t aFingerprint,
                              Duration aTimeLeft,
                              std::shared_ptr<http::CancelToken> aCancel)
{
  const HeaderNames& names = m_protocol.Headers();
  const std::string id(FieldValue(aRequest, names.m_requestId));
  RemovePeerFields(aRequest);
  SetField(
    aRequest, names.m_expectedBackend, m_localBackend.View().backend_id());
  SetField(aRequest, names.m_deadlineMs, std::to_string(aTimeLeft.m_ms));
  const std::string holder = m_localBackend.View().holder();
  const TimePoint startedAt = m_clock.Now();
  m_workQueue.ColdStart().OnSent(aId, startedAt);
  tl::expected<http::Response, http::HttpError> response =
    co_await m_backendClient.Exchange(m_backendAddress,
                                      std::move(aRequest),
                                      aTimeLeft + kResponseGracePeriod,
                                      std::move(aCancel));
  const TimePoint now = m_clock.Now();
  if (response) {
    m_workQueue.ColdStart().OnAnswered(aId, now);
    m_localBackend.OnContactResult(true, now);
    if (holder == m_localBackend.View().holder()) {
      ApplyAnnouncements(*response);
      if (response->result() == status::misdirected_request) {
        const std::string_view responder =
          FieldValue(*response, names.m_respondingBackend);
        if (!responder.empty() &&
            responder != m_localBackend.View().backend_id()) {
          m_workQueue.ColdStart().OnConnectionLost(now);
        }
        m_localBackend.OnMisdirected(responder, aAttributes.m_key);
      }
    }
    co_return ClassifyResponse(std::move(*response), id);
  }
  const http::HttpError& error = response.error();
  if (!error.m_maybeSent) {
    m_workQueue.ColdStart().OnNotSent(aId);
  }
  OnExchangeError(error.m_code);
  if (error.m_code == http::HttpErrorCode::kCancelled) {
    LogInfo("backend",
            "event=caller-left id={} service={} maybe_sent={} ms={}",
            id,
            aAttributes.m_service,
            error.m_maybeSent,
            (now - startedAt).m_ms);
    co_return error.m_maybeSent ? MakeUnknownResult("caller-left")
                                : MakeNotRunResult("caller-left", {});
  }
  LogInfo(
    "backend",
    "event=exchange-failed id={} fingerprint={:016x} service={} holder={} "
    "maybe_sent={} reason=\"{}\"",
    id,
    aFingerprint,
    aAttributes.m_service,
    holder,
    error.m_maybeSent,
    error.m_message);
  m_quarantine.OnExchangeError(error.m_code);
  if (!error.m_maybeSent) {
    if (error.m_code == http::HttpErrorCode::kConnectFailed) {
      m_localBackend.OnContactResult(false, now);
    }
    co_return MakeNotRunResult("backend-unreachable", kNotServingRetryDelay);
  }
  co_return MakeUnknownResult(error.m_code == http::HttpErrorCode::kTimeout
                                ? "backend-timeout"
                                : "backend-broke-off");
}

// Counts a backend server that refused or broke a connection as possibly cold,
// since it may have restarted under the same id.
void
BackendHandler::OnExchangeError(http::HttpErrorCode aError)
{
  if (aError == http::HttpErrorCode::kConnectFailed ||
      aError == http::HttpErrorCode::kConnectionBroken) {
    m_workQueue.ColdStart().OnConnectionLost(m_clock.Now());
  }
}

void
BackendHandler::ApplyColdAnnouncement(const http::Response& aResponse)
{
  const double remainingMs =
    ParseDecimalField(aResponse, m_protocol.Headers().m_coldRemainingMs)
      .value_or(0);
  if (remainingMs <= 0) {
    return;
  }
  m_workQueue.ColdStart().OnColdAnnounced(m_clock.Now());
  // Without a bound, others learn of cold phases from heartbeats alone.
  if (m_workQueue.ColdStart().Bound() > 0) {
    m_localBackend.OnColdAnnounced(
      Milliseconds(static_cast<int64_t>(std::min(remainingMs, kMaxColdMs))),
      m_clock.Now());
  }
}

asio::awaitable<void>
BackendHandler::CheckColdState(http::Client& aClient,
                               std::string aHealthCheckTarget)
{
  http::Request request;
  request.version(11);
  request.method(boost::beast::http::verb::get);
  request.target(aHealthCheckTarget);
  request.prepare_payload();
  const std::string holder = m_localBackend.View().holder();
  const tl::expected<http::Response, http::HttpError> response =
    co_await aClient.Exchange(
      m_backendAddress, std::move(request), kHealthCheckTimeout);
  if (!response) {
    // A broken connection is no sign here: a server that breaks off its health
    // checks would never count as warm. If it has restarted, the next check is
    // refused.
    if (response.error().m_code == http::HttpErrorCode::kConnectFailed) {
      m_workQueue.ColdStart().OnConnectionLost(m_clock.Now());
    }
  } else if (holder == m_localBackend.View().holder()) {
    ApplyColdAnnouncement(*response);
  }
}

// Adopts what the backend server states about itself in a response: that it is
// about to stop, that it is cold, and its request limit, or that it has none
// any more.
void
BackendHandler::ApplyAnnouncements(const http::Response& aResponse)
{
  if (FieldValue(aResponse, m_protocol.Headers().m_leaving) == "1") {
    m_localBackend.OnLeavingAnnounced(m_clock.Now());
  }
  ApplyColdAnnouncement(aResponse);
  const std::string& limitName = m_protocol.Headers().m_requestLimit;
  const std::optional<double> limit = ParseDecimalField(aResponse, limitName);
  const std::string_view limitText = FieldValue(aResponse, limitName);
  if (!limit && !limitText.empty()) {
    LogWarning("backend",
               "event=request-limit-unreadable holder={} bytes={}",
               m_localBackend.View().holder(),
               limitText.size());
    return;
  }
  const bool hadLimit = m_workQueue.RateLimit().has_value();
  m_workQueue.SetRateLimit(limit, m_clock.Now());
  if (hadLimit != limit.has_value()) {
    LogInfo("backend",
            "event=request-limit holder={} per_second={}",
            m_localBackend.View().holder(),
            limit ? fmt::format("{:.1f}", *limit) : "none");
  }
}

void
BackendHandler::OnNewLifetime()
{
  m_workQueue.SetRateLimit(std::nullopt, m_clock.Now());
  m_workQueue.ColdStart().OnNewLifetime(m_clock.Now());
  m_quarantine.OnNewLifetime();
}

// Passes a response on only if it is certainly the response of the backend
// server to this request.
AttemptResult
BackendHandler::ClassifyResponse(http::Response aResponse,
                                 const std::string& aRequestId)
{
  const HeaderNames& names = m_protocol.Headers();
  const bool isMisdirected = aResponse.result() == status::misdirected_request;
  // The connection may still deliver a copy of the answer to an earlier
  // request.
  if (FieldValue(aResponse, names.m_requestId) != aRequestId) {
    return MakeUnknownResult("answer-of-another-request");
  }
  if (isMisdirected || !FieldValue(aResponse, names.m_notRun).empty()) {
    const bool isFull = aResponse.result() == status::service_unavailable ||
                        aResponse.result() == status::too_many_requests;
    return MakeNotRunResult(isMisdirected ? "backend-misdirected"
                            : isFull      ? "backend-full"
                                          : "backend-refused",
                            kNotServingRetryDelay,
                            true);
  }
  // Compares the number, since Beast has no name for most statuses.
  constexpr unsigned kMinSuccess = 200;
  constexpr unsigned kMaxSuccess = 299;
  const bool isSuccess = kMinSuccess <= aResponse.result_int() &&
                         aResponse.result_int() <= kMaxSuccess;
  if (isSuccess && (FieldValue(aResponse, names.m_signature).empty() ||
                    aResponse.count(field::content_encoding) > 0)) {
    return MakeUnknownResult("answer-without-signature");
  }
  AttemptResult result;
  result.m_outcome = AttemptOutcome::kAnswered;
  result.m_reachedBackend = true;
  RemovePeerFields(aResponse);
  result.m_response = std::move(aResponse);
  return result;
}

} // namespace rattanloft::sidecar
