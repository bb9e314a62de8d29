#include "rattanloft/backend/Backend.h"

#include <chrono>
#include <cstdio>
#include <fstream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "rattanloft/backend/Load.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::backend {

namespace {

namespace asio = boost::asio;
using boost::beast::http::verb;
using http::Request;
using http::Response;
using Result = tl::expected<Response, http::HttpError>;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void>
SleepMs(int aMs)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aMs));
  co_await timer.async_wait(kToken);
}

struct BackendFixture
{
  asio::io_context m_context;
  std::unique_ptr<http::Client> m_client = http::Client::Make(m_context, {});
  std::unique_ptr<Backend> m_backend;

  explicit BackendFixture(BackendOptions aOptions)
  {
    aOptions.m_logNormalTimes = false;
    auto created = Backend::Make(m_context, aOptions);
    REQUIRE(created);
    m_backend = std::move(*created);
  }

  template<typename Body>
  void Run(Body aBody)
  {
    bool done = false;
    asio::co_spawn(m_context, aBody(), [&](const std::exception_ptr&) {
      done = true;
      m_context.stop();
    });
    m_context.run_for(std::chrono::seconds(10));
    REQUIRE(done);
  }

  asio::awaitable<Result> Send(Request aRequest, Duration aTimeout = Seconds(5))
  {
    std::string peer = "127.0.0.1:" + std::to_string(m_backend->Port());
    Result result = co_await m_client->Exchange(
      std::move(peer), std::move(aRequest), aTimeout, nullptr);
    co_return result;
  }

  asio::awaitable<Result> SendFaultPortRequest(verb aMethod,
                                               std::string aTarget)
  {
    Request request;
    request.method(aMethod);
    request.target(aTarget);
    std::string peer = "127.0.0.1:" + std::to_string(m_backend->FaultPort());
    Result result = co_await m_client->Exchange(
      std::move(peer), std::move(request), Seconds(5), nullptr);
    co_return result;
  }

  asio::awaitable<nlohmann::json> Statistics()
  {
    Result result = co_await SendFaultPortRequest(verb::get, "/stats");
    nlohmann::json counts = nlohmann::json::parse(result->body());
    co_return counts;
  }
};

Request
MakeWriteRequest(const std::string& aKey, const std::string& aBody)
{
  Request request;
  request.method(verb::post);
  request.target("/orders/" + aKey);
  request.set("Rattanloft-Request-Id", "r-" + aBody);
  request.set("Rattanloft-Key", aKey);
  request.set("Rattanloft-Shard", "12");
  request.set("Rattanloft-Epoch", "77");
  request.set("Rattanloft-Expires", "99999999999");
  request.body() = aBody;
  return request;
}

BackendOptions
MakeOptions()
{
  BackendOptions options;
  options.m_defaultServiceTimeMs = 1;
  return options;
}

} // namespace

// Guards against responses from which a test cannot detect that a write was
// lost or executed twice.
TEST_CASE("Responses name the execution and count the writes of each key")
{
  BackendOptions options = MakeOptions();
  options.m_verifyTokens = false;
  options.m_executionLogPath =
    "/tmp/rattanloft-executions-" + std::to_string(getpid());
  BackendFixture fixture(options);
  fixture.Run([&]() -> asio::awaitable<void> {
    for (int i = 1; i <= 3; ++i) {
      const std::string body = std::to_string(i);
      Request request = MakeWriteRequest("k", body);
      const Result result = co_await fixture.Send(std::move(request));
      REQUIRE(result);
      const auto answer = nlohmann::json::parse(result->body());
      CHECK(answer["execution"] == i);
      CHECK(answer["writes"] == i);
      CHECK(answer["last_writer"] == "r-" + body);
      CHECK(answer["key"] == "k");
      CHECK(answer["digest"] == fmt::format("{:016x}", Hash64(body)));
    }
  });
  std::ifstream log(options.m_executionLogPath);
  std::string line;
  int lines = 0;
  while (std::getline(log, line)) {
    const auto entry = nlohmann::json::parse(line);
    CHECK(entry["event"] == (lines % 2 == 0 ? "start" : "end"));
    CHECK(entry["epoch"] == 77);
    ++lines;
  }
  CHECK(lines == 6);
  std::remove(options.m_executionLogPath.c_str());
}

// Guards against a simulated backend server that accepts requests which a real
// one would refuse: without a grant, or after the grant has expired.
TEST_CASE("The backend server refuses requests for shards that are not granted")
{
  BackendFixture fixture(MakeOptions());
  fixture.Run([&]() -> asio::awaitable<void> {
    Request early = MakeWriteRequest("k", "1");
    const Result refused = co_await fixture.Send(std::move(early));
    CHECK(refused->result_int() == 409);
    CHECK((*refused)["Rattanloft-Refused"] == "token");

    Request grants;
    grants.method(verb::put);
    grants.target("/rattanloft/grants");
    const int64_t expires = (BootClock().Now() + Milliseconds(200)).m_ms;
    grants.body() = nlohmann::json{
      { "revision", 1 },
      { "expires_ms", expires },
      { "grants", nlohmann::json::array({ nlohmann::json::array({ 12, 77 }) }) }
    }.dump();
    const Result accepted = co_await fixture.Send(std::move(grants));
    CHECK(accepted->result_int() == 200);
    Request granted = MakeWriteRequest("k", "2");
    const Result served = co_await fixture.Send(std::move(granted));
    CHECK(served->result_int() == 200);

    co_await SleepMs(220);
    Request late = MakeWriteRequest("k", "3");
    const Result expired = co_await fixture.Send(std::move(late));
    CHECK((*expired)["Rattanloft-Refused"] == "expired");
    const nlohmann::json counts = co_await fixture.Statistics();
    CHECK(counts["started"] == 1);
  });
}

// Guards against more executions at the same time than slots, and against an
// execution that goes on after its caller has disconnected.
TEST_CASE("Slots limit executions, and a disconnect cancels its execution")
{
  BackendOptions options = MakeOptions();
  options.m_verifyTokens = false;
  options.m_slots = 2;
  options.m_maxWaitingRequests = 1;
  options.m_defaultServiceTimeMs = 100;
  BackendFixture fixture(options);
  int shed = 0;
  int served = 0;
  int disconnected = 0;
  int finished = 0;
  fixture.Run([&]() -> asio::awaitable<void> {
    for (int i = 0; i < 4; ++i) {
      asio::co_spawn(
        fixture.m_context,
        [&, i]() -> asio::awaitable<void> {
          Request request = MakeWriteRequest("k", std::to_string(i));
          // The first caller disconnects while its request runs.
          const Duration timeout = i == 0 ? Milliseconds(30) : Seconds(5);
          const Result result =
            co_await fixture.Send(std::move(request), timeout);
          disconnected += result ? 0 : 1;
          if (result) {
            ++(result->count("Rattanloft-Shed") > 0 ? shed : served);
          }
          ++finished;
        },
        asio::detached);
    }
    while (finished < 4) {
      co_await SleepMs(5);
    }
    const nlohmann::json counts = co_await fixture.Statistics();
    CHECK(counts["cancelled"] == 1);
    CHECK(counts["started"] == 3);
    CHECK(counts["in_flight"] == 0);
  });
  CHECK(disconnected == 1);
  CHECK(shed == 1);
  CHECK(served == 2);
}

// Guards against injected faults that have no effect, or that affect more
// responses than the command asked for.
TEST_CASE("Fault commands affect the responses that follow")
{
  BackendOptions options = MakeOptions();
  options.m_verifyTokens = false;
  BackendFixture fixture(options);
  fixture.Run([&]() -> asio::awaitable<void> {
    for (const std::string fault : { "/short?count=1", "/close?count=1" }) {
      co_await fixture.SendFaultPortRequest(verb::post, fault);
      Request spoiled = MakeWriteRequest("k", "1");
      const Result broken = co_await fixture.Send(std::move(spoiled));
      REQUIRE_FALSE(broken);
      CHECK(broken.error().m_code == http::HttpErrorCode::kConnectionBroken);
      Request next = MakeWriteRequest("k", "2");
      const Result whole = co_await fixture.Send(std::move(next));
      CHECK(whole);
    }
    co_await fixture.SendFaultPortRequest(verb::post, "/shed?ms=50");
    Request request = MakeWriteRequest("k", "3");
    const Result shed = co_await fixture.Send(std::move(request));
    CHECK(shed->count("Rattanloft-Shed") == 1);
    const Result unknown =
      co_await fixture.SendFaultPortRequest(verb::post, "/other");
    CHECK(unknown->result_int() == 404);
  });
}

// Guards against announcements that a node would refuse, and against an
// incarnation that keeps running after it has been replaced.
TEST_CASE("The backend server announces itself until it is replaced")
{
  BackendOptions options = MakeOptions();
  asio::io_context context;
  std::vector<nlohmann::json> seen;
  auto node = http::Server::Make(
    context,
    {},
    [&](Request aRequest,
        std::shared_ptr<http::CancelToken>) -> asio::awaitable<Response> {
      seen.push_back(nlohmann::json::parse(aRequest.body()));
      Response response;
      response.result(seen.size() < 2 ? 200u : 409u);
      co_return response;
    });
  REQUIRE(node);
  options.m_agentAddress = "127.0.0.1:" + std::to_string((*node)->Port());
  auto backend = Backend::Make(context, options);
  REQUIRE(backend);
  int status = -1;
  asio::co_spawn(
    context, (*backend)->Run(), [&](const std::exception_ptr&, int aStatus) {
      status = aStatus;
      context.stop();
    });
  context.run_for(std::chrono::seconds(5));
  CHECK(status == 1);
  REQUIRE(seen.size() == 2);
  CHECK(seen[0]["incarnation"].get<std::string>().size() == 16);
  CHECK(seen[0]["slots"] == 12);
  CHECK(seen[0]["draining"] == false);
  CHECK(seen[0]["address"] ==
        "127.0.0.1:" + std::to_string((*backend)->Port()));
}

// Guards against load whose rate or mix of request kinds differs from the
// options, and against false reports of mismatched responses.
TEST_CASE("The load generator follows its rate, demand step and request mix")
{
  BackendOptions options = MakeOptions();
  options.m_verifyTokens = false;
  BackendFixture fixture(options);
  LoadOptions load;
  load.m_targetAddresses = { "127.0.0.1:" +
                             std::to_string(fixture.m_backend->Port()) };
  load.m_requestsPerSecond = 200;
  load.m_duration = Milliseconds(1500);
  load.m_demandStepStart = Milliseconds(500);
  load.m_demandStepRamp = Milliseconds(1);
  auto generator = LoadGenerator::Make(fixture.m_context, load);
  REQUIRE(generator);
  LoadReport report;
  fixture.Run(
    [&]() -> asio::awaitable<void> { report = co_await (*generator)->Run(); });
  uint64_t arrivals = 0;
  for (const auto& [name, kind] : report.m_kinds) {
    arrivals += kind.m_arrivals;
    CHECK(kind.m_attempts == kind.m_arrivals);
  }
  // 0.5 s at 200 requests/s and 1 s at 1000 requests/s; the seed is fixed.
  CHECK(arrivals > 1000);
  CHECK(arrivals < 1200);
  CHECK(report.m_kinds.size() == 4);
  CHECK_FALSE(report.HasMismatch());
  CHECK(report.m_unsentArrivals == 0);
}

// Guards against a load profile whose shares do not add up to 1.
TEST_CASE("The shares of each load profile add up to 1")
{
  for (const char* name : { "adwoa", "tidewater" }) {
    double sum = 0;
    for (const RequestKind& kind : ProfileRequestKinds(name)) {
      sum += kind.m_share;
    }
    CHECK(sum == Approx(1));
  }
  CHECK(ProfileRequestKinds("other").empty());
}

} // namespace rattanloft::backend
