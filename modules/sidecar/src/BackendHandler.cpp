#include "BackendHandler.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rattanloft/base/Log.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;
using boost::beast::http::field;
using boost::beast::http::status;
using boost::beast::http::status_class;

// An answer that the backend server gives at its deadline is waited for.
constexpr Duration kAnswerSlack = Milliseconds(60);
// Time to come back after a request met a backend server that is not ready.
constexpr Duration kNotServingRetry = Milliseconds(200);

AttemptResult
NotRun(std::string_view aReason, Duration aRetryAfter, bool aArrived = false)
{
  AttemptResult result;
  result.m_outcome = Outcome::kNotRun;
  result.m_reason = aReason;
  result.m_retryAfter = aRetryAfter;
  result.m_arrived = aArrived;
  return result;
}

AttemptResult
Unknown(std::string_view aReason)
{
  AttemptResult result;
  result.m_outcome = Outcome::kUnknown;
  result.m_reason = aReason;
  result.m_arrived = true;
  return result;
}

// Counts a started work as finished on every way out.
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
                               http::Client& aClient,
                               BackendAgent& aAgent,
                               WorkQueue& aQueue,
                               std::string aBackendAddress)
  : m_context(aContext)
  , m_clock(aClock)
  , m_protocol(aProtocol)
  , m_client(aClient)
  , m_agent(aAgent)
  , m_queue(aQueue)
  , m_backendAddress(std::move(aBackendAddress))
{
}

ReportedLoad
BackendHandler::Load() const
{
  return { m_queue.Running(),
           static_cast<uint32_t>(m_queue.Waiting()),
           m_queue.Slots(),
           static_cast<uint32_t>(m_queue.ServiceTime().m_ms) };
}

std::optional<AttemptResult>
BackendHandler::Check(const RequestTerms& aTerms) const
{
  if (m_agent.View().service() != aTerms.m_service) {
    return NotRun("other-service", kNotServingRetry);
  }
  const ServeVerdict verdict =
    m_agent.MayServe(aTerms.m_key, aTerms.m_keyed, m_clock.Now());
  if (verdict != ServeVerdict::kServe) {
    return NotRun(VerdictName(verdict), kNotServingRetry);
  }
  return std::nullopt;
}

void
BackendHandler::ReleaseWaiting()
{
  for (const WorkQueue::Release& release : m_queue.Next(m_clock.Now())) {
    const auto found = m_waiters.find(release.m_id);
    if (found == m_waiters.end()) {
      // The caller has left; the slot goes to the next one.
      if (release.m_start) {
        m_queue.Finish({}, {});
      }
      continue;
    }
    found->second->m_start = release.m_start;
    found->second->m_wake.cancel();
    m_waiters.erase(found);
  }
}

void
BackendHandler::Tick()
{
  m_queue.SetSlots(std::max(1U, m_agent.View().slots()));
  ReleaseWaiting();
}

// Empty once the work holds a slot.
asio::awaitable<std::optional<AttemptResult>>
BackendHandler::Admit(const RequestTerms& aTerms,
                      std::shared_ptr<http::CancelToken> aCancel)
{
  const TimePoint now = m_clock.Now();
  const WorkId id = m_nextWork++;
  const WorkVerdict verdict = m_queue.Submit({ id,
                                               aTerms.m_kind,
                                               aTerms.m_rank,
                                               now + aTerms.m_target,
                                               now + aTerms.m_left },
                                             now);
  if (verdict.m_decision == WorkDecision::kStart) {
    co_return std::nullopt;
  }
  if (verdict.m_decision == WorkDecision::kRefuse) {
    co_return NotRun(kOverloadedReason, verdict.m_retryAfter);
  }
  const auto waiter = std::make_shared<Waiter>(m_context);
  waiter->m_wake.expires_at(asio::steady_timer::time_point::max());
  m_waiters[id] = waiter;
  if (aCancel) {
    aCancel->OnCancel([waiter] { waiter->m_wake.cancel(); });
  }
  co_await waiter->m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
  if (aCancel) {
    aCancel->OnCancel({});
  }
  if (!waiter->m_start) {
    m_waiters.erase(id);
    m_queue.Cancel(id);
    co_return NotRun("caller-left", {});
  }
  if (!*waiter->m_start) {
    co_return NotRun(kOverloadedReason, kNotServingRetry);
  }
  co_return std::nullopt;
}

void
BackendHandler::LogRefusal(std::string_view aId,
                           const RequestTerms& aTerms,
                           const AttemptResult& aResult) const
{
  LogInfo("backend",
          "event=refused id={} service={} reason={} running={} waiting={} "
          "slots={} service_ms={} rank={} target_ms={} left_ms={} "
          "retry_after_ms={}",
          aId,
          aTerms.m_service,
          aResult.m_reason,
          m_queue.Running(),
          m_queue.Waiting(),
          m_queue.Slots(),
          m_queue.ServiceTime(aTerms.m_kind).m_ms,
          aTerms.m_rank,
          aTerms.m_target.m_ms,
          aTerms.m_left.m_ms,
          aResult.m_retryAfter.m_ms);
}

asio::awaitable<AttemptResult>
BackendHandler::Run(http::Request aRequest,
                    RequestTerms aTerms,
                    std::shared_ptr<http::CancelToken> aCancel)
{
  const TimePoint arrived = m_clock.Now();
  std::optional<AttemptResult> refused = Check(aTerms);
  if (refused) {
    co_return std::move(*refused);
  }
  std::optional<AttemptResult> notAdmitted = co_await Admit(aTerms, aCancel);
  if (notAdmitted) {
    LogRefusal(FieldValue(aRequest, m_protocol.Headers().m_requestId),
               aTerms,
               *notAdmitted);
    co_return std::move(*notAdmitted);
  }
  const TimePoint started = m_clock.Now();
  Duration measured;
  const FinishGuard guard([this, &measured, kind = aTerms.m_kind] {
    m_queue.Finish(kind, measured);
    ReleaseWaiting();
  });
  // Much may have changed while the work waited.
  refused = Check(aTerms);
  if (refused) {
    co_return std::move(*refused);
  }
  const Duration left = aTerms.m_left - (started - arrived);
  if (left <= Milliseconds(0) || (aCancel && aCancel->IsCancelled())) {
    co_return NotRun("deadline", {});
  }
  AttemptResult result =
    co_await Send(std::move(aRequest), aTerms, left, std::move(aCancel));
  if (result.m_outcome == Outcome::kAnswered) {
    measured = std::max(m_clock.Now() - started, Milliseconds(1));
  }
  co_return result;
}

asio::awaitable<AttemptResult>
BackendHandler::Send(http::Request aRequest,
                     const RequestTerms& aTerms,
                     Duration aLeft,
                     std::shared_ptr<http::CancelToken> aCancel)
{
  const HeaderNames& names = m_protocol.Headers();
  const std::string id(FieldValue(aRequest, names.m_requestId));
  RemovePeerFields(aRequest);
  SetField(aRequest, names.m_expectedBackend, m_agent.View().backend_id());
  SetField(aRequest, names.m_deadlineMs, std::to_string(aLeft.m_ms));
  const std::string holder = m_agent.View().holder();
  tl::expected<http::Response, http::HttpError> response =
    co_await m_client.Exchange(m_backendAddress,
                               std::move(aRequest),
                               aLeft + kAnswerSlack,
                               std::move(aCancel));
  const TimePoint now = m_clock.Now();
  if (response) {
    m_agent.OnContact(true, now);
    co_return Judge(std::move(*response), id);
  }
  const http::HttpError& error = response.error();
  if (error.m_code == http::HttpErrorCode::kCancelled) {
    co_return error.m_maybeSent ? Unknown("caller-left")
                                : NotRun("caller-left", {});
  }
  LogInfo("backend",
          "event=exchange-failed id={} service={} holder={} maybe_sent={} "
          "reason=\"{}\"",
          id,
          aTerms.m_service,
          holder,
          error.m_maybeSent,
          error.m_message);
  if (!error.m_maybeSent) {
    if (error.m_code == http::HttpErrorCode::kConnect) {
      m_agent.OnContact(false, now);
    }
    co_return NotRun("backend-unreachable", kNotServingRetry);
  }
  co_return Unknown(error.m_code == http::HttpErrorCode::kTimeout
                      ? "backend-timeout"
                      : "backend-broke-off");
}

// Only an answer that is certainly the backend server's own for this request is
// passed on.
AttemptResult
BackendHandler::Judge(http::Response aResponse, const std::string& aId)
{
  const HeaderNames& names = m_protocol.Headers();
  const bool misdirected = aResponse.result() == status::misdirected_request;
  if (misdirected || !FieldValue(aResponse, names.m_notRun).empty()) {
    const bool full = aResponse.result() == status::service_unavailable ||
                      aResponse.result() == status::too_many_requests;
    return NotRun(misdirected ? "backend-misdirected"
                  : full      ? "backend-full"
                              : "backend-refused",
                  kNotServingRetry,
                  true);
  }
  if (FieldValue(aResponse, names.m_requestId) != aId) {
    return Unknown("answer-of-another-request");
  }
  const bool success =
    to_status_class(aResponse.result()) == status_class::successful;
  if (success && (FieldValue(aResponse, names.m_signature).empty() ||
                  aResponse.count(field::content_encoding) > 0)) {
    return Unknown("answer-without-signature");
  }
  AttemptResult result;
  result.m_outcome = Outcome::kAnswered;
  result.m_arrived = true;
  RemovePeerFields(aResponse);
  result.m_response = std::move(aResponse);
  return result;
}

} // namespace rattanloft::sidecar
