#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <ctime>
#include <fstream>
#include <random>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "rattanloft/backend/Load.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::backend {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Clock = std::chrono::steady_clock;
using ExchangeResult = tl::expected<http::Response, http::HttpError>;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// Added to the deadline by which a node must answer, to allow for the time that
// the response takes to arrive.
constexpr Duration kResponseMargin = Milliseconds(500);
constexpr auto kRetryDelay = std::chrono::milliseconds(200);
constexpr auto kDrainPollInterval = std::chrono::milliseconds(10);
constexpr size_t kMaxConnections = 2048;

// One request of a simulated caller, across all its attempts.
struct Call
{
  const RequestKind* m_kind = nullptr;
  std::string m_requestId;
  std::string m_key;
  std::string m_body;
  uint32_t m_attemptNumber = 0;
};

struct AttemptResult
{
  // The outcome header says that a backend server answered.
  bool m_answered = false;
  // The request was certainly not executed.
  bool m_refused = false;
  std::string m_outcome;
  std::string m_body;
  unsigned m_status = 0;
};

int64_t
BootTimeMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return int64_t{ time.tv_sec } * 1'000'000 + time.tv_nsec / 1000;
}

std::string
BodyDigest(const std::string& aBody)
{
  return fmt::format("{:016x}", Hash64(aBody));
}

std::string
ErrorOutcome(const http::HttpError& aError)
{
  if (!aError.m_maybeSent) {
    return "transport-not-sent";
  }
  return aError.m_code == http::HttpErrorCode::kTimeout ? "transport-timeout"
                                                        : "transport-broken";
}

double
MillisecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

class LoadGeneratorImpl final : public LoadGenerator
{
public:
  LoadGeneratorImpl(asio::io_context& aContext,
                    LoadOptions aOptions,
                    std::span<const RequestKind> aKinds)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_kinds(aKinds)
    , m_random(m_options.m_seed)
  {
    http::ClientOptions client;
    client.m_maxConnectionsPerPeer = kMaxConnections;
    client.m_maxTotalConnections = kMaxConnections;
    client.m_maxWaitingExchanges = m_options.m_maxOutstandingRequests;
    m_client = http::Client::Make(aContext, client);
    std::vector<double> weights;
    for (uint32_t rank = 1; rank <= m_options.m_keyCount; ++rank) {
      weights.push_back(std::pow(rank, -m_options.m_zipfExponent));
    }
    m_keyRankDistribution.param({ weights.begin(), weights.end() });
    std::vector<double> shares;
    for (const RequestKind& kind : m_kinds) {
      shares.push_back(kind.m_share);
    }
    m_kindDistribution.param({ shares.begin(), shares.end() });
  }

  tl::expected<void, std::string> OpenHistory();
  asio::awaitable<LoadReport> Run() override;
  void Stop() override { m_stopped = true; }

private:
  double RateAt(double aElapsedMs) const;
  Call MakeCall();
  std::string PickTarget();
  http::Request MakeRequest(const Call& aCall) const;
  asio::awaitable<void> RunCall(Call aCall);
  asio::awaitable<AttemptResult> SendAttempt(Call& aCall);
  asio::awaitable<void> SendRepeat(Call& aCall, const AttemptResult& aFirst);
  AttemptResult ReadAttemptResult(const Call& aCall,
                                  const ExchangeResult& aResult);
  void RecordHistoryEvent(std::string_view aEvent,
                          const Call& aCall,
                          const std::string& aTarget,
                          const AttemptResult* aAttemptResult,
                          double aElapsedMs);
  RequestKindReport& ReportFor(const Call& aCall)
  {
    return m_report.m_kinds[std::string(aCall.m_kind->m_name)];
  }

  asio::io_context& m_context;
  LoadOptions m_options;
  std::span<const RequestKind> m_kinds;
  std::mt19937_64 m_random;
  std::discrete_distribution<uint32_t> m_keyRankDistribution;
  std::discrete_distribution<size_t> m_kindDistribution;
  std::unique_ptr<http::Client> m_client;
  std::ofstream m_historyFile;
  LoadReport m_report;
  uint64_t m_callCount = 0;
  size_t m_outstandingCalls = 0;
  bool m_stopped = false;
};

tl::expected<void, std::string>
LoadGeneratorImpl::OpenHistory()
{
  if (m_options.m_historyPath.empty()) {
    return {};
  }
  m_historyFile.open(m_options.m_historyPath, std::ios::app);
  if (!m_historyFile) {
    return tl::unexpected(fmt::format(
      "cannot open {}: {}", m_options.m_historyPath, std::strerror(errno)));
  }
  return {};
}

double
LoadGeneratorImpl::RateAt(double aElapsedMs) const
{
  const auto stepAt = static_cast<double>(m_options.m_demandStepStart.m_ms);
  if (stepAt < 0 || aElapsedMs < stepAt) {
    return m_options.m_requestsPerSecond;
  }
  const auto ramp =
    static_cast<double>(std::max<int64_t>(m_options.m_demandStepRamp.m_ms, 1));
  const double progress = std::min((aElapsedMs - stepAt) / ramp, 1.0);
  return m_options.m_requestsPerSecond *
         (1 + (m_options.m_demandStepFactor - 1) * progress);
}

Call
LoadGeneratorImpl::MakeCall()
{
  Call call;
  call.m_kind = &m_kinds[m_kindDistribution(m_random)];
  call.m_requestId = fmt::format("{:x}-{}", m_options.m_seed, m_callCount++);
  // Multiplies by a large odd number, which maps ranks to distinct keys and
  // spreads the popular ones over the key space.
  const uint64_t rank = m_keyRankDistribution(m_random);
  call.m_key = fmt::format("k{:08x}", (rank * 2654435761U) & 0xffffffffU);
  if (call.m_kind->m_method != "GET") {
    call.m_body = fmt::format("{:x}-", m_random());
    call.m_body.resize(
      std::max<size_t>(call.m_body.size(), m_options.m_bodyBytes), 'b');
  }
  return call;
}

std::string
LoadGeneratorImpl::PickTarget()
{
  return m_options
    .m_targetAddresses[m_random() % m_options.m_targetAddresses.size()];
}

http::Request
LoadGeneratorImpl::MakeRequest(const Call& aCall) const
{
  http::Request request;
  request.method_string(beast::string_view(aCall.m_kind->m_method.data(),
                                           aCall.m_kind->m_method.size()));
  // The id in the target lets checks match this history with the execution
  // logs of the backend servers.
  request.target(fmt::format(
    "/{}/{}/{}", aCall.m_kind->m_service, aCall.m_key, aCall.m_requestId));
  if (!aCall.m_kind->m_idempotent) {
    request.set("Idempotency-Key", fmt::format("\"{}\"", aCall.m_requestId));
  }
  request.body() = aCall.m_body;
  return request;
}

void
LoadGeneratorImpl::RecordHistoryEvent(std::string_view aEvent,
                                      const Call& aCall,
                                      const std::string& aTarget,
                                      const AttemptResult* aAttemptResult,
                                      double aElapsedMs)
{
  if (!m_historyFile.is_open()) {
    return;
  }
  nlohmann::json line = { { "time_us", BootTimeMicroseconds() },
                          { "event", aEvent },
                          { "request_id", aCall.m_requestId },
                          { "attempt", aCall.m_attemptNumber },
                          { "entry", aCall.m_kind->m_name },
                          { "key", aCall.m_key },
                          { "target", aTarget },
                          { "digest", BodyDigest(aCall.m_body) } };
  if (!aCall.m_kind->m_idempotent) {
    line["idempotency_key"] = aCall.m_requestId;
  }
  if (aAttemptResult != nullptr) {
    line["status"] = aAttemptResult->m_status;
    line["outcome"] = aAttemptResult->m_outcome;
    line["latency_ms"] = aElapsedMs;
    const auto body =
      nlohmann::json::parse(aAttemptResult->m_body, nullptr, false);
    if (aAttemptResult->m_answered && body.is_object()) {
      line["answer"] = body;
    }
  }
  m_historyFile << line.dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace)
                << '\n';
}

// Returns true if the response body belongs to this call, that is, if it echoes
// the call's key and the digest of its body.
bool
IsResponseToCall(const Call& aCall, const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() &&
         body.value("digest", "") == BodyDigest(aCall.m_body) &&
         body.value("key", aCall.m_key) == aCall.m_key;
}

AttemptResult
LoadGeneratorImpl::ReadAttemptResult(const Call& aCall,
                                     const ExchangeResult& aResult)
{
  AttemptResult attempt;
  if (!aResult) {
    attempt.m_outcome = ErrorOutcome(aResult.error());
    attempt.m_refused = !aResult.error().m_maybeSent;
    LogDebug("load",
             "request {} failed: {}",
             aCall.m_requestId,
             aResult.error().m_message);
    return attempt;
  }
  attempt.m_status = aResult->result_int();
  attempt.m_body = aResult->body().View();
  const auto header = (*aResult)["Rattanloft-Outcome"];
  attempt.m_outcome = header.empty() ? "unmarked" : std::string(header);
  attempt.m_answered = attempt.m_outcome == "answered";
  attempt.m_refused = attempt.m_outcome == "not-run";
  if (attempt.m_status == 200 && !IsResponseToCall(aCall, attempt.m_body)) {
    ++ReportFor(aCall).m_digestMismatches;
    LogError("load",
             "request {} received the response to another request: {}",
             aCall.m_requestId,
             attempt.m_body);
  }
  return attempt;
}

asio::awaitable<AttemptResult>
LoadGeneratorImpl::SendAttempt(Call& aCall)
{
  ++aCall.m_attemptNumber;
  const std::string target = PickTarget();
  RecordHistoryEvent("invoke", aCall, target, nullptr, 0);
  const Clock::time_point start = Clock::now();
  http::Request request = MakeRequest(aCall);
  const Duration timeout = aCall.m_kind->m_deadline + kResponseMargin;
  const ExchangeResult result =
    co_await m_client->Exchange(target, std::move(request), timeout, nullptr);
  const double latencyMs = MillisecondsSince(start);
  AttemptResult attempt = ReadAttemptResult(aCall, result);
  RecordHistoryEvent("return", aCall, target, &attempt, latencyMs);
  RequestKindReport& report = ReportFor(aCall);
  ++report.m_attempts;
  if (aCall.m_attemptNumber == 1) {
    ++report.m_outcomes[attempt.m_outcome];
    ++report.m_statuses[attempt.m_status];
    if (attempt.m_answered) {
      report.m_latenciesMs.push_back(static_cast<float>(latencyMs));
    }
  }
  co_return attempt;
}

asio::awaitable<void>
LoadGeneratorImpl::SendRepeat(Call& aCall, const AttemptResult& aFirst)
{
  const AttemptResult again = co_await SendAttempt(aCall);
  RequestKindReport& report = ReportFor(aCall);
  ++report.m_repeats;
  // Each response body holds the number of its execution, so an equal body
  // proves that the request was not executed again.
  if (again.m_status == aFirst.m_status && again.m_body != aFirst.m_body) {
    ++report.m_repeatMismatches;
    LogError("load", "request {} was executed twice", aCall.m_requestId);
  }
}

asio::awaitable<void>
LoadGeneratorImpl::RunCall(Call aCall)
{
  ++m_outstandingCalls;
  AttemptResult attempt = co_await SendAttempt(aCall);
  asio::steady_timer pause(m_context);
  for (uint32_t retry = 0;
       retry < m_options.m_maxRetries && !attempt.m_answered;
       ++retry) {
    if (!attempt.m_refused && attempt.m_outcome == "unmarked") {
      break;
    }
    pause.expires_after(kRetryDelay);
    co_await pause.async_wait(kToken);
    attempt = co_await SendAttempt(aCall);
  }
  std::uniform_real_distribution<double> uniformShare(0, 1);
  if (!aCall.m_kind->m_idempotent && attempt.m_answered &&
      attempt.m_status == 200 &&
      uniformShare(m_random) < m_options.m_repeatShare) {
    co_await SendRepeat(aCall, attempt);
  }
  --m_outstandingCalls;
}

asio::awaitable<LoadReport>
LoadGeneratorImpl::Run()
{
  const Clock::time_point start = Clock::now();
  const auto end = start + std::chrono::milliseconds(m_options.m_duration.m_ms);
  Clock::time_point nextArrival = start;
  asio::steady_timer timer(m_context);
  while (!m_stopped) {
    std::exponential_distribution<double> interarrivalSeconds(RateAt(
      std::chrono::duration<double, std::milli>(nextArrival - start).count()));
    nextArrival += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(interarrivalSeconds(m_random)));
    if (nextArrival >= end) {
      break;
    }
    if (nextArrival > Clock::now()) {
      timer.expires_at(nextArrival);
      co_await timer.async_wait(kToken);
    }
    Call call = MakeCall();
    ++ReportFor(call).m_arrivals;
    if (m_outstandingCalls >= m_options.m_maxOutstandingRequests) {
      ++m_report.m_unsentArrivals;
      continue;
    }
    asio::co_spawn(m_context, RunCall(std::move(call)), asio::detached);
  }
  m_report.m_durationSeconds = MillisecondsSince(start) / 1000;
  while (m_outstandingCalls > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(kToken);
  }
  m_historyFile.flush();
  co_return std::move(m_report);
}

} // namespace

tl::expected<std::unique_ptr<LoadGenerator>, std::string>
LoadGenerator::Make(asio::io_context& aContext, LoadOptions aOptions)
{
  const auto kinds = ProfileRequestKinds(aOptions.m_profile);
  if (kinds.empty()) {
    return tl::unexpected(
      fmt::format("unknown load profile '{}'", aOptions.m_profile));
  }
  if (aOptions.m_targetAddresses.empty() || aOptions.m_requestsPerSecond <= 0 ||
      aOptions.m_keyCount == 0 || aOptions.m_demandStepFactor <= 0) {
    return tl::unexpected(
      std::string("--targets must not be empty, and --rate, --keys and "
                  "--step_factor must be positive"));
  }
  auto generator =
    std::make_unique<LoadGeneratorImpl>(aContext, std::move(aOptions), kinds);
  const auto opened = generator->OpenHistory();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<LoadGenerator>(std::move(generator));
}

} // namespace rattanloft::backend
