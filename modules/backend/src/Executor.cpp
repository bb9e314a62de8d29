#include "Executor.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::backend {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::http::status;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxTrackedKeys = 1'000'000;
// Deadline of requests that name none, such as those of a manual test. Also the
// upper limit of all deadlines.
constexpr Duration kDefaultDeadline = Seconds(600);
constexpr std::string_view kRetryAfterSeconds = "1";

template<typename Number>
bool
ReadNumber(beast::string_view aText, Number& aNumber)
{
  const char* const end = aText.data() + aText.size();
  return std::from_chars(aText.data(), end, aNumber).ptr == end &&
         !aText.empty();
}

struct SlotGuard
{
  std::function<void()> m_release;
  ~SlotGuard() { m_release(); }
};

std::string
BodyDigest(std::string_view aBody)
{
  return fmt::format("{:016x}", Hash64(aBody));
}

} // namespace

Executor::Executor(asio::io_context& aContext,
                   const BackendOptions& aOptions,
                   std::string aIncarnation,
                   std::unique_ptr<ExecutionLog> aLog)
  : m_context(aContext)
  , m_options(aOptions)
  , m_incarnation(std::move(aIncarnation))
  , m_log(std::move(aLog))
  , m_startedAt(m_clock.Now())
  , m_serviceTimeModel(aOptions)
{
}

Executor::Job
Executor::MakeJob(http::Request& aRequest, TimePoint aNow)
{
  Job job;
  Execution& execution = job.m_execution;
  execution.m_requestId = aRequest["Rattanloft-Request-Id"];
  execution.m_entry = aRequest["Rattanloft-Entry"];
  execution.m_key = aRequest["Rattanloft-Key"];
  execution.m_idempotencyKey = aRequest["Idempotency-Key"];
  execution.m_method = aRequest.method_string();
  execution.m_target = aRequest.target();
  execution.m_keyed = aRequest.count("Rattanloft-Shard") > 0;
  ReadNumber(aRequest["Rattanloft-Shard"], execution.m_shard);
  ReadNumber(aRequest["Rattanloft-Epoch"], execution.m_epoch);
  ReadNumber(aRequest["Rattanloft-Expires"], job.m_tokenExpiry.m_ms);
  Duration left = kDefaultDeadline;
  ReadNumber(aRequest["Rattanloft-Deadline-Ms"], left.m_ms);
  job.m_deadline = aNow + std::min(left, kDefaultDeadline);
  job.m_isWrite = aRequest.method() != beast::http::verb::get &&
                  aRequest.method() != beast::http::verb::head;
  job.m_crashRequested = aRequest["X-Standin-Crash"] == "1";
  job.m_body = aRequest.body().View();
  return job;
}

http::Response
Executor::MakeShedResponse()
{
  ++m_counts.m_shed;
  http::Response response;
  response.result(status::service_unavailable);
  response.set("Rattanloft-Shed", "1");
  response.set(
    beast::http::field::retry_after,
    beast::string_view(kRetryAfterSeconds.data(), kRetryAfterSeconds.size()));
  return response;
}

http::Response
Executor::MakeRefusedResponse(std::string_view aReason)
{
  ++(aReason == "token" ? m_counts.m_refusedForToken
                        : m_counts.m_refusedAsExpired);
  http::Response response;
  response.result(status::conflict);
  response.set("Rattanloft-Refused", std::string(aReason));
  return response;
}

std::unique_ptr<http::Response>
Executor::CheckStartAllowed(const Job& aJob)
{
  const TimePoint now = m_clock.Now();
  if (now < m_faults.m_shedUntil || now >= aJob.m_deadline) {
    return std::make_unique<http::Response>(MakeShedResponse());
  }
  if (!aJob.m_execution.m_keyed || !m_options.m_verifyTokens) {
    return nullptr;
  }
  const std::string_view reason =
    m_grantTable.RefusalReason(aJob.m_execution.m_shard,
                               aJob.m_execution.m_epoch,
                               aJob.m_tokenExpiry,
                               now);
  if (reason.empty()) {
    return nullptr;
  }
  return std::make_unique<http::Response>(MakeRefusedResponse(reason));
}

asio::awaitable<std::unique_ptr<http::Response>>
Executor::WaitForSlot(const Job& aJob, http::CancelToken& aCancel)
{
  if (m_runningCount < m_options.m_slots) {
    ++m_runningCount;
    co_return nullptr;
  }
  if (m_waitingTimers.size() >= m_options.m_maxWaitingRequests) {
    co_return std::make_unique<http::Response>(MakeShedResponse());
  }
  const Duration left = aJob.m_deadline - m_clock.Now();
  const auto timer =
    std::make_shared<Timer>(m_context, std::chrono::milliseconds(left.m_ms));
  m_waitingTimers.push_back(timer);
  aCancel.SetCancelCallback([timer] { timer->cancel(); });
  co_await timer->async_wait(kToken);
  aCancel.SetCancelCallback({});
  const auto found =
    std::find(m_waitingTimers.begin(), m_waitingTimers.end(), timer);
  if (found == m_waitingTimers.end()) {
    // ReleaseSlot() removed the timer and handed its slot to this job.
    co_return nullptr;
  }
  m_waitingTimers.erase(found);
  if (aCancel.IsCancelled()) {
    ++m_counts.m_cancelledWhileWaiting;
  }
  co_return std::make_unique<http::Response>(MakeShedResponse());
}

void
Executor::ReleaseSlot()
{
  if (m_waitingTimers.empty()) {
    --m_runningCount;
    return;
  }
  const std::shared_ptr<Timer> next = m_waitingTimers.front();
  m_waitingTimers.pop_front();
  next->cancel();
}

asio::awaitable<http::Response>
Executor::Execute(http::Request aRequest,
                  std::shared_ptr<http::CancelToken> aCancel)
{
  Job job = MakeJob(aRequest, m_clock.Now());
  std::unique_ptr<http::Response> refusal = CheckStartAllowed(job);
  if (refusal) {
    co_return std::move(*refusal);
  }
  refusal = co_await WaitForSlot(job, *aCancel);
  if (refusal) {
    co_return std::move(*refusal);
  }
  const SlotGuard guard{ [this] { ReleaseSlot(); } };
  // The grant may have expired while the job waited for a slot.
  refusal = CheckStartAllowed(job);
  if (refusal) {
    co_return std::move(*refusal);
  }
  http::Response response = co_await RunJob(job, *aCancel);
  co_return response;
}

asio::awaitable<http::Response>
Executor::RunJob(Job& aJob, http::CancelToken& aCancel)
{
  const TimePoint now = m_clock.Now();
  aJob.m_execution.m_number = ++m_counts.m_started;
  m_log->Write("start", "", aJob.m_execution);
  if (aJob.m_crashRequested) {
    m_log->Write("end", "crash", aJob.m_execution);
    LogError("backend",
             "request {} asks for a crash; exiting",
             aJob.m_execution.m_requestId);
    std::_Exit(EXIT_FAILURE);
  }
  double serviceTimeMs = m_serviceTimeModel.DrawServiceTimeMs(
    aJob.m_execution.m_entry, now - m_startedAt);
  if (now < m_faults.m_slowUntil) {
    serviceTimeMs *= m_faults.m_slowFactor;
  }
  const auto left = static_cast<double>((aJob.m_deadline - now).m_ms);
  const bool exceedsDeadline = serviceTimeMs > left;
  const auto runTime = std::chrono::microseconds(
    static_cast<int64_t>(std::min(serviceTimeMs, left) * 1000));
  Timer timer(m_context, runTime);
  aCancel.SetCancelCallback([&timer] { timer.cancel(); });
  co_await timer.async_wait(kToken);
  aCancel.SetCancelCallback({});
  if (aCancel.IsCancelled() || exceedsDeadline) {
    const bool cancelled = aCancel.IsCancelled();
    ++(cancelled ? m_counts.m_cancelled : m_counts.m_deadlineExceeded);
    m_log->Write("end", cancelled ? "cancelled" : "deadline", aJob.m_execution);
    http::Response response;
    response.result(status::gateway_timeout);
    co_return response;
  }
  co_return FinishJob(aJob);
}

http::Response
Executor::FinishJob(const Job& aJob)
{
  const Execution& execution = aJob.m_execution;
  ++m_counts.m_completed;
  nlohmann::json body = { { "backend", m_options.m_service },
                          { "incarnation", m_incarnation },
                          { "execution", execution.m_number },
                          { "digest", BodyDigest(aJob.m_body) } };
  if (!execution.m_key.empty()) {
    body["key"] = execution.m_key;
    const bool isTracked = m_keyStates.count(execution.m_key) > 0;
    if (isTracked || (aJob.m_isWrite && m_keyStates.size() < kMaxTrackedKeys)) {
      KeyState& state = m_keyStates[execution.m_key];
      if (aJob.m_isWrite) {
        ++state.m_writes;
        state.m_lastWriter = execution.m_requestId;
      }
      body["writes"] = state.m_writes;
      body["last_writer"] = state.m_lastWriter;
    }
  }
  m_log->Write("end", "done", execution);
  http::Response response;
  response.result(status::ok);
  response.set(beast::http::field::content_type, "application/json");
  response.body() =
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

} // namespace rattanloft::backend
