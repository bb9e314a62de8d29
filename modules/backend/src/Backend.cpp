#include "rattanloft/backend/Backend.h"

#include <chrono>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include "Executor.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::backend {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::http::status;
using beast::http::verb;
using http::Request;
using http::Response;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr Duration kAnnounceInterval = Milliseconds(500);
constexpr Duration kAnnounceTimeout = Milliseconds(400);
// Nodes stop sending requests within 2 s of a drain, so a draining server that
// has been idle for longer than that receives no more requests.
constexpr Duration kDrainQuietPeriod = Milliseconds(3000);
constexpr int64_t kMaxFaultDurationMs = 600'000;

Response
MakeJsonResponse(status aStatus,
                 const nlohmann::json& aBody = nlohmann::json::object())
{
  Response response;
  response.result(aStatus);
  response.set(beast::http::field::content_type, "application/json");
  response.body() = aBody.dump();
  return response;
}

// Returns the value of a numeric parameter in the query of a request target, or
// aDefault if the parameter is missing.
double
QueryNumber(std::string_view aTarget, std::string_view aName, double aDefault)
{
  const size_t query = aTarget.find('?');
  if (query == std::string_view::npos) {
    return aDefault;
  }
  std::istringstream items{ std::string(aTarget.substr(query + 1)) };
  std::string item;
  while (std::getline(items, item, '&')) {
    const std::string start = std::string(aName) + "=";
    if (item.starts_with(start)) {
      return std::strtod(item.c_str() + start.size(), nullptr);
    }
  }
  return aDefault;
}

std::string_view
RequestPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string_view
RequestTarget(const Request& aRequest)
{
  return { aRequest.target().data(), aRequest.target().size() };
}

class BackendImpl final : public Backend
{
public:
  BackendImpl(asio::io_context& aContext,
              BackendOptions aOptions,
              std::string aIncarnation,
              std::unique_ptr<ExecutionLog> aLog)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_incarnation(std::move(aIncarnation))
    , m_random(m_options.m_seed)
    , m_executor(aContext, m_options, m_incarnation, std::move(aLog))
    , m_client(http::Client::Make(aContext, {}))
  {
  }

  tl::expected<void, std::string> Listen();
  uint16_t Port() const override { return m_requestServer->Port(); }
  uint16_t FaultPort() const override { return m_faultServer->Port(); }
  void Drain() override { m_draining = true; }
  asio::awaitable<int> Run() override;

private:
  asio::awaitable<Response> HandleRequest(
    Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel);
  Response HandleGrants(const Request& aRequest);
  Response HandleFaultPortRequest(const Request& aRequest);
  bool IsDraining() const { return m_draining || m_drainedByOperator; }
  bool InjectFault(std::string_view aName, std::string_view aTarget);
  bool ApplyResponseFault(const Response& aResponse, int aSocket);
  nlohmann::json StatisticsJson() const;
  nlohmann::json AnnouncementJson();
  asio::awaitable<bool> Announce();

  asio::io_context& m_context;
  BackendOptions m_options;
  std::string m_incarnation;
  std::mt19937_64 m_random;
  BootClock m_clock;
  Executor m_executor;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<http::Server> m_requestServer;
  std::unique_ptr<http::Server> m_faultServer;
  bool m_draining = false;
  // Set by a drain request of the node. An operator can undo it, unlike a drain
  // by Drain().
  bool m_drainedByOperator = false;
};

tl::expected<void, std::string>
BackendImpl::Listen()
{
  http::ServerOptions options;
  options.m_address = m_options.m_address;
  options.m_port = m_options.m_port;
  options.m_maxConnections = m_options.m_connections;
  options.m_beforeWrite = [this](const Response& aResponse, int aSocket) {
    return ApplyResponseFault(aResponse, aSocket);
  };
  auto server = http::Server::Make(
    m_context,
    options,
    [this](Request aRequest, std::shared_ptr<http::CancelToken> aCancel) {
      return HandleRequest(std::move(aRequest), std::move(aCancel));
    });
  if (!server) {
    return tl::unexpected(server.error().m_message);
  }
  m_requestServer = std::move(*server);
  http::ServerOptions faultOptions;
  faultOptions.m_address = m_options.m_address;
  faultOptions.m_port = m_options.m_faultPort;
  auto faultServer = http::Server::Make(
    m_context,
    faultOptions,
    [this](Request aRequest,
           std::shared_ptr<http::CancelToken>) -> asio::awaitable<Response> {
      co_return HandleFaultPortRequest(aRequest);
    });
  if (!faultServer) {
    return tl::unexpected(faultServer.error().m_message);
  }
  m_faultServer = std::move(*faultServer);
  return {};
}

asio::awaitable<Response>
BackendImpl::HandleRequest(Request aRequest,
                           std::shared_ptr<http::CancelToken> aCancel)
{
  const std::string_view path = RequestPath(RequestTarget(aRequest));
  if (path == "/rattanloft/health") {
    co_return MakeJsonResponse(status::ok);
  }
  if (path == "/rattanloft/grants") {
    co_return HandleGrants(aRequest);
  }
  if (path == "/rattanloft/drain") {
    m_drainedByOperator = aRequest.method() != verb::delete_;
    co_return MakeJsonResponse(status::ok);
  }
  Response response =
    co_await m_executor.Execute(std::move(aRequest), std::move(aCancel));
  co_return response;
}

Response
BackendImpl::HandleGrants(const Request& aRequest)
{
  if (aRequest.method() != verb::put) {
    return MakeJsonResponse(status::method_not_allowed);
  }
  const auto message = nlohmann::json::parse(aRequest.body(), nullptr, false);
  switch (m_executor.Grants().Apply(message)) {
    case GrantTable::ApplyResult::kAccepted:
      return MakeJsonResponse(status::ok);
    case GrantTable::ApplyResult::kConflict:
      return MakeJsonResponse(status::conflict,
                              { { "error", "other revision held" } });
    case GrantTable::ApplyResult::kMalformed:
      break;
  }
  return MakeJsonResponse(status::bad_request,
                          { { "error", "malformed grants" } });
}

Response
BackendImpl::HandleFaultPortRequest(const Request& aRequest)
{
  const std::string_view path = RequestPath(RequestTarget(aRequest));
  if (path == "/stats" && aRequest.method() == verb::get) {
    return MakeJsonResponse(status::ok, StatisticsJson());
  }
  if (aRequest.method() != verb::post || path.empty() ||
      !InjectFault(path.substr(1), RequestTarget(aRequest))) {
    return MakeJsonResponse(status::not_found,
                            { { "error", "unknown command" } });
  }
  return MakeJsonResponse(status::ok);
}

// Executes a fault command; returns false if its name is unknown. The commands
// are POST requests:
//   /freeze?ms=N         blocks the whole process for N ms
//   /shed?ms=N           sheds all requests for N ms
//   /slow?factor=F&ms=N  multiplies service times by F for N ms
//   /short?count=N       cuts off the next N responses in their body
//   /close?count=N       closes the connection instead of the next N responses
//   /crash               ends the process
bool
BackendImpl::InjectFault(std::string_view aName, std::string_view aTarget)
{
  const int64_t durationMs =
    std::clamp(static_cast<int64_t>(QueryNumber(aTarget, "ms", 1000)),
               int64_t{ 0 },
               kMaxFaultDurationMs);
  const auto count =
    static_cast<uint32_t>(std::max(0.0, QueryNumber(aTarget, "count", 1)));
  const TimePoint until = m_clock.Now() + Milliseconds(durationMs);
  InjectedFaults& faults = m_executor.ActiveFaults();
  LogInfo("backend", "received fault command {}", aTarget);
  if (aName == "freeze") {
    // Freezes after the response has been sent, so that the caller learns that
    // the command was accepted.
    auto timer = std::make_shared<asio::steady_timer>(
      m_context, std::chrono::milliseconds(5));
    timer->async_wait([timer, durationMs](boost::system::error_code) {
      std::this_thread::sleep_for(std::chrono::milliseconds(durationMs));
    });
  } else if (aName == "shed") {
    faults.m_shedUntil = until;
  } else if (aName == "slow") {
    faults.m_slowUntil = until;
    faults.m_slowFactor = std::max(0.0, QueryNumber(aTarget, "factor", 10));
  } else if (aName == "short") {
    faults.m_shortAnswers = count;
  } else if (aName == "close") {
    faults.m_closedAnswers = count;
  } else if (aName == "crash") {
    std::_Exit(EXIT_FAILURE);
  } else {
    return false;
  }
  return true;
}

// Returns true to send the response as it is, or false to close the connection.
bool
BackendImpl::ApplyResponseFault(const Response& aResponse, int aSocket)
{
  InjectedFaults& faults = m_executor.ActiveFaults();
  if (aResponse.count(beast::http::field::content_type) == 0 ||
      aResponse.body().size() < 4) {
    // Faults do not apply to responses to health checks, shed and refused
    // requests.
    return true;
  }
  if (faults.m_closedAnswers > 0) {
    --faults.m_closedAnswers;
    return false;
  }
  if (faults.m_shortAnswers > 0) {
    --faults.m_shortAnswers;
    std::ostringstream text;
    text << aResponse;
    const std::string all = text.str();
    const size_t part = all.size() - aResponse.body().size() / 2;
    send(aSocket, all.data(), part, MSG_DONTWAIT | MSG_NOSIGNAL);
    return false;
  }
  return true;
}

nlohmann::json
BackendImpl::StatisticsJson() const
{
  const ExecutorCounts& counts = m_executor.Counts();
  return { { "incarnation", m_incarnation },
           { "draining", IsDraining() },
           { "in_flight", m_executor.InFlightCount() },
           { "waiting", m_executor.WaitingCount() },
           { "started", counts.m_started },
           { "done", counts.m_completed },
           { "cancelled", counts.m_cancelled },
           { "cancelled_waiting", counts.m_cancelledWhileWaiting },
           { "deadline", counts.m_deadlineExceeded },
           { "shed", counts.m_shed },
           { "refused_token", counts.m_refusedForToken },
           { "refused_expired", counts.m_refusedAsExpired } };
}

nlohmann::json
BackendImpl::AnnouncementJson()
{
  size_t load = m_executor.InFlightCount();
  if (m_options.m_reportedLoad == "zero") {
    load = 0;
  } else if (m_options.m_reportedLoad == "double") {
    load *= 2;
  } else if (m_options.m_reportedLoad == "random") {
    load = m_random() % (m_options.m_slots + 1);
  }
  return { { "incarnation", m_incarnation },
           { "service", m_options.m_service },
           { "address",
             fmt::format(
               "{}:{}", m_options.m_address, m_requestServer->Port()) },
           { "slots", m_options.m_slots },
           { "connections", m_options.m_connections },
           { "verifies_tokens", m_options.m_verifyTokens },
           { "draining", IsDraining() },
           { "load", { { "in_flight", load } } } };
}

// Returns false if the node reports that a newer incarnation has replaced this
// one.
asio::awaitable<bool>
BackendImpl::Announce()
{
  Request request;
  request.method(verb::post);
  request.target("/announce");
  request.set(beast::http::field::content_type, "application/json");
  request.body() = AnnouncementJson().dump();
  std::string peer = m_options.m_agentAddress;
  const tl::expected<Response, http::HttpError> result =
    co_await m_client->Exchange(
      std::move(peer), std::move(request), kAnnounceTimeout, nullptr);
  if (!result) {
    LogDebug("backend",
             "announcement to the node failed: {}",
             result.error().m_message);
    co_return true;
  }
  if (result->result() == status::conflict) {
    LogWarning("backend",
               "a newer incarnation has replaced this one; stopping");
    co_return false;
  }
  if (result->result() != status::ok) {
    LogWarning("backend",
               "the node rejected the announcement with status {}: {}",
               result->result_int(),
               result->body());
  }
  co_return true;
}

asio::awaitable<int>
BackendImpl::Run()
{
  LogInfo("backend",
          "incarnation {} of service {} accepts requests on port {} and fault "
          "commands on port {}",
          m_incarnation,
          m_options.m_service,
          Port(),
          FaultPort());
  int exitStatus = 0;
  TimePoint quietSince = m_clock.Now();
  asio::steady_timer timer(m_context);
  while (true) {
    if (!m_options.m_agentAddress.empty()) {
      const bool isCurrentIncarnation = co_await Announce();
      if (!isCurrentIncarnation) {
        exitStatus = 1;
        break;
      }
    }
    const TimePoint now = m_clock.Now();
    if (!IsDraining() ||
        m_executor.InFlightCount() + m_executor.WaitingCount() > 0) {
      quietSince = now;
    }
    if (IsDraining() && now - quietSince >= kDrainQuietPeriod) {
      break;
    }
    timer.expires_after(std::chrono::milliseconds(kAnnounceInterval.m_ms));
    co_await timer.async_wait(kToken);
  }
  co_await m_requestServer->Stop();
  co_await m_faultServer->Stop();
  LogInfo("backend", "stopped: {}", StatisticsJson().dump());
  co_return exitStatus;
}

} // namespace

tl::expected<std::unique_ptr<Backend>, std::string>
Backend::Make(asio::io_context& aContext, BackendOptions aOptions)
{
  if (aOptions.m_slots == 0 || aOptions.m_speedFactor <= 0 ||
      aOptions.m_coldPeriodMs <= 0) {
    return tl::unexpected(
      std::string("--slots, --speed and --cold_ms must be positive"));
  }
  const std::string incarnation = fmt::format("{:016x}", RandomId());
  auto log = ExecutionLog::Make(aOptions.m_executionLogPath, incarnation);
  if (!log) {
    return tl::unexpected(log.error());
  }
  auto backend = std::make_unique<BackendImpl>(
    aContext, std::move(aOptions), incarnation, std::move(*log));
  const auto listening = backend->Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<Backend>(std::move(backend));
}

} // namespace rattanloft::backend
