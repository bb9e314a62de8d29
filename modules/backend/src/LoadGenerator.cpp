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
using Result = tl::expected<http::Response, http::HttpError>;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// The system must answer by the deadline; the rest covers the way back.
constexpr Duration kAnswerMargin = Milliseconds(500);
constexpr auto kRetryPause = std::chrono::milliseconds(200);
constexpr auto kDrainPoll = std::chrono::milliseconds(10);
constexpr size_t kMaxConnections = 2048;

// One request of a caller, over all its attempts.
struct Call
{
  const LoadKind* m_kind = nullptr;
  std::string m_id;
  std::string m_key;
  std::string m_body;
  uint32_t m_attempt = 0;
};

struct Reply
{
  bool m_answered = false;
  bool m_refused = false;
  std::string m_outcome;
  std::string m_body;
  unsigned m_status = 0;
};

int64_t
BootMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return int64_t{ time.tv_sec } * 1'000'000 + time.tv_nsec / 1000;
}

std::string
Digest(const std::string& aBody)
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
MsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

class LoadGeneratorImpl final : public LoadGenerator
{
public:
  LoadGeneratorImpl(asio::io_context& aContext,
                    LoadOptions aOptions,
                    std::span<const LoadKind> aKinds)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_kinds(aKinds)
    , m_random(m_options.m_seed)
  {
    http::ClientOptions client;
    client.m_maxConnectionsPerPeer = kMaxConnections;
    client.m_maxTotalConnections = kMaxConnections;
    client.m_maxWaitingExchanges = m_options.m_maxOutstanding;
    m_client = http::Client::Make(aContext, client);
    std::vector<double> weights;
    for (uint32_t rank = 1; rank <= m_options.m_keys; ++rank) {
      weights.push_back(std::pow(rank, -m_options.m_zipf));
    }
    m_keyRanks.param({ weights.begin(), weights.end() });
    std::vector<double> shares;
    for (const LoadKind& kind : m_kinds) {
      shares.push_back(kind.m_share);
    }
    m_kindShares.param({ shares.begin(), shares.end() });
  }

  tl::expected<void, std::string> OpenHistory();
  asio::awaitable<LoadReport> Run() override;
  void Stop() override { m_stopped = true; }

private:
  double RateAt(double aMs) const;
  Call MakeCall();
  std::string PickTarget();
  http::Request MakeRequest(const Call& aCall) const;
  asio::awaitable<void> Serve(Call aCall);
  asio::awaitable<Reply> Attempt(Call& aCall);
  asio::awaitable<void> Repeat(Call& aCall, const Reply& aFirst);
  Reply ReadReply(const Call& aCall, const Result& aResult);
  void Record(std::string_view aEvent,
              const Call& aCall,
              const std::string& aTarget,
              const Reply* aReply,
              double aMs);
  KindReport& Report(const Call& aCall)
  {
    return m_report.m_kinds[std::string(aCall.m_kind->m_name)];
  }

  asio::io_context& m_context;
  LoadOptions m_options;
  std::span<const LoadKind> m_kinds;
  std::mt19937_64 m_random;
  std::discrete_distribution<uint32_t> m_keyRanks;
  std::discrete_distribution<size_t> m_kindShares;
  std::unique_ptr<http::Client> m_client;
  std::ofstream m_history;
  LoadReport m_report;
  uint64_t m_calls = 0;
  size_t m_outstanding = 0;
  bool m_stopped = false;
};

tl::expected<void, std::string>
LoadGeneratorImpl::OpenHistory()
{
  if (m_options.m_history.empty()) {
    return {};
  }
  m_history.open(m_options.m_history, std::ios::app);
  if (!m_history) {
    return tl::unexpected(fmt::format(
      "cannot open {}: {}", m_options.m_history, std::strerror(errno)));
  }
  return {};
}

double
LoadGeneratorImpl::RateAt(double aMs) const
{
  const auto stepAt = static_cast<double>(m_options.m_stepAt.m_ms);
  if (stepAt < 0 || aMs < stepAt) {
    return m_options.m_rate;
  }
  const auto ramp =
    static_cast<double>(std::max<int64_t>(m_options.m_stepRamp.m_ms, 1));
  const double progress = std::min((aMs - stepAt) / ramp, 1.0);
  return m_options.m_rate * (1 + (m_options.m_stepFactor - 1) * progress);
}

Call
LoadGeneratorImpl::MakeCall()
{
  Call call;
  call.m_kind = &m_kinds[m_kindShares(m_random)];
  call.m_id = fmt::format("{:x}-{}", m_options.m_seed, m_calls++);
  // Spreads the popular keys over the key space.
  const uint64_t rank = m_keyRanks(m_random);
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
  return m_options.m_targets[m_random() % m_options.m_targets.size()];
}

http::Request
LoadGeneratorImpl::MakeRequest(const Call& aCall) const
{
  http::Request request;
  request.method_string(beast::string_view(aCall.m_kind->m_method.data(),
                                           aCall.m_kind->m_method.size()));
  // The id in the target joins this history with the execution logs.
  request.target(
    fmt::format("/{}/{}/{}", aCall.m_kind->m_service, aCall.m_key, aCall.m_id));
  if (!aCall.m_kind->m_idempotent) {
    request.set("Idempotency-Key", fmt::format("\"{}\"", aCall.m_id));
  }
  request.body() = aCall.m_body;
  return request;
}

void
LoadGeneratorImpl::Record(std::string_view aEvent,
                          const Call& aCall,
                          const std::string& aTarget,
                          const Reply* aReply,
                          double aMs)
{
  if (!m_history.is_open()) {
    return;
  }
  nlohmann::json line = { { "time_us", BootMicroseconds() },
                          { "event", aEvent },
                          { "request_id", aCall.m_id },
                          { "attempt", aCall.m_attempt },
                          { "entry", aCall.m_kind->m_name },
                          { "key", aCall.m_key },
                          { "target", aTarget },
                          { "digest", Digest(aCall.m_body) } };
  if (!aCall.m_kind->m_idempotent) {
    line["idempotency_key"] = aCall.m_id;
  }
  if (aReply != nullptr) {
    line["status"] = aReply->m_status;
    line["outcome"] = aReply->m_outcome;
    line["latency_ms"] = aMs;
    const auto body = nlohmann::json::parse(aReply->m_body, nullptr, false);
    if (aReply->m_answered && body.is_object()) {
      line["answer"] = body;
    }
  }
  m_history << line.dump(
                 -1, ' ', false, nlohmann::json::error_handler_t::replace)
            << '\n';
}

// Whether the answer is for this call: it echoes the key and the digest of the
// body.
bool
IsOwnAnswer(const Call& aCall, const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() && body.value("digest", "") == Digest(aCall.m_body) &&
         body.value("key", aCall.m_key) == aCall.m_key;
}

Reply
LoadGeneratorImpl::ReadReply(const Call& aCall, const Result& aResult)
{
  Reply reply;
  if (!aResult) {
    reply.m_outcome = ErrorOutcome(aResult.error());
    reply.m_refused = !aResult.error().m_maybeSent;
    LogDebug("load", "{}: {}", aCall.m_id, aResult.error().m_message);
    return reply;
  }
  reply.m_status = aResult->result_int();
  reply.m_body = aResult->body();
  const auto header = (*aResult)["Rattanloft-Outcome"];
  reply.m_outcome = header.empty() ? "unmarked" : std::string(header);
  reply.m_answered = reply.m_outcome == "answered";
  reply.m_refused = reply.m_outcome == "not-run";
  if (reply.m_status == 200 && !IsOwnAnswer(aCall, reply.m_body)) {
    ++Report(aCall).m_digestMismatches;
    LogError("load", "{} got another answer: {}", aCall.m_id, reply.m_body);
  }
  return reply;
}

asio::awaitable<Reply>
LoadGeneratorImpl::Attempt(Call& aCall)
{
  ++aCall.m_attempt;
  const std::string target = PickTarget();
  Record("invoke", aCall, target, nullptr, 0);
  const Clock::time_point start = Clock::now();
  http::Request request = MakeRequest(aCall);
  const Duration timeout = aCall.m_kind->m_deadline + kAnswerMargin;
  const Result result =
    co_await m_client->Exchange(target, std::move(request), timeout, nullptr);
  const double ms = MsSince(start);
  Reply reply = ReadReply(aCall, result);
  Record("return", aCall, target, &reply, ms);
  KindReport& report = Report(aCall);
  ++report.m_attempts;
  if (aCall.m_attempt == 1) {
    ++report.m_outcomes[reply.m_outcome];
    ++report.m_statuses[reply.m_status];
    if (reply.m_answered) {
      report.m_latencies.push_back(static_cast<float>(ms));
    }
  }
  co_return reply;
}

asio::awaitable<void>
LoadGeneratorImpl::Repeat(Call& aCall, const Reply& aFirst)
{
  const Reply again = co_await Attempt(aCall);
  KindReport& report = Report(aCall);
  ++report.m_repeats;
  // Executions have numbers, so an equal body proves that nothing ran again.
  if (again.m_status == aFirst.m_status && again.m_body != aFirst.m_body) {
    ++report.m_repeatMismatches;
    LogError("load", "{} ran twice", aCall.m_id);
  }
}

asio::awaitable<void>
LoadGeneratorImpl::Serve(Call aCall)
{
  ++m_outstanding;
  Reply reply = co_await Attempt(aCall);
  asio::steady_timer pause(m_context);
  for (uint32_t retry = 0; retry < m_options.m_retries && !reply.m_answered;
       ++retry) {
    if (!reply.m_refused && reply.m_outcome == "unmarked") {
      break;
    }
    pause.expires_after(kRetryPause);
    co_await pause.async_wait(kToken);
    reply = co_await Attempt(aCall);
  }
  std::uniform_real_distribution<double> share(0, 1);
  if (!aCall.m_kind->m_idempotent && reply.m_answered &&
      reply.m_status == 200 && share(m_random) < m_options.m_repeatShare) {
    co_await Repeat(aCall, reply);
  }
  --m_outstanding;
}

asio::awaitable<LoadReport>
LoadGeneratorImpl::Run()
{
  const Clock::time_point start = Clock::now();
  const auto end = start + std::chrono::milliseconds(m_options.m_duration.m_ms);
  Clock::time_point next = start;
  asio::steady_timer timer(m_context);
  while (!m_stopped) {
    std::exponential_distribution<double> gap(
      RateAt(std::chrono::duration<double, std::milli>(next - start).count()));
    next += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(gap(m_random)));
    if (next >= end) {
      break;
    }
    if (next > Clock::now()) {
      timer.expires_at(next);
      co_await timer.async_wait(kToken);
    }
    Call call = MakeCall();
    ++Report(call).m_arrivals;
    if (m_outstanding >= m_options.m_maxOutstanding) {
      ++m_report.m_notSent;
      continue;
    }
    asio::co_spawn(m_context, Serve(std::move(call)), asio::detached);
  }
  m_report.m_seconds = MsSince(start) / 1000;
  while (m_outstanding > 0) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(kToken);
  }
  m_history.flush();
  co_return std::move(m_report);
}

} // namespace

tl::expected<std::unique_ptr<LoadGenerator>, std::string>
LoadGenerator::Make(asio::io_context& aContext, LoadOptions aOptions)
{
  const auto kinds = ProfileKinds(aOptions.m_profile);
  if (kinds.empty()) {
    return tl::unexpected(fmt::format("no profile {}", aOptions.m_profile));
  }
  if (aOptions.m_targets.empty() || aOptions.m_rate <= 0 ||
      aOptions.m_keys == 0 || aOptions.m_stepFactor <= 0) {
    return tl::unexpected(
      std::string("targets, rate, keys and step factor must be given"));
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
