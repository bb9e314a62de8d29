#include "TestPeer.h"

namespace rattanloft::http {

namespace {

// Room for one body of kBodyBytes and not for two.
constexpr size_t kLimitBytes = 2 * 1024 * 1024;
constexpr size_t kBodyBytes = 1024 * 1024;

// A server with a small budget that answers with the size of the body.
struct Fixture
{
  explicit Fixture(ServerOptions aOptions = {})
  {
    aOptions.m_memoryBudget = m_budget;
    auto made = Server::Make(
      m_context,
      aOptions,
      [this](Request aRequest,
             std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
        ++m_handlerCalls;
        Response response;
        response.body() = std::to_string(aRequest.body().size());
        co_return response;
      });
    REQUIRE(made);
    m_server = std::move(*made);
  }

  BootClock m_clock;
  std::shared_ptr<overload::MemoryBudget> m_budget =
    std::make_shared<overload::MemoryBudget>(kLimitBytes, m_clock);
  asio::io_context m_context;
  int m_handlerCalls = 0;
  std::unique_ptr<Server> m_server;
};

std::string
MakeHead(const std::string& aField)
{
  return "POST / HTTP/1.1\r\nHost: a\r\n" + aField + "\r\n\r\n";
}

const std::string kSizedHead =
  MakeHead("Content-Length: " + std::to_string(kBodyBytes));
const std::string kChunkedHead = MakeHead("Transfer-Encoding: chunked");
const Duration kStall =
  overload::ReclaimPolicy::kMinRequestStall + Milliseconds(50);

} // namespace

// Guards against a process that is killed for lack of memory.
TEST_CASE("A body that does not fit is refused before it is read")
{
  Fixture fixture;
  RawClient client(fixture.m_context, fixture.m_server->Port());
  RawClient other(fixture.m_context, fixture.m_server->Port());
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    co_await client.Send(kSizedHead);
    co_await Sleep(Milliseconds(50));
    CHECK(fixture.m_budget->ChargedBytes() >= kBodyBytes);
    co_await other.Send(kSizedHead);
    const std::string refusal = co_await other.ReadUntil("\r\n\r\n");
    CHECK(refusal.substr(0, 12) == "HTTP/1.1 503");
    CHECK(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    // The one that was admitted is not affected.
    co_await client.Send(std::string(kBodyBytes, 'x'));
    const std::string response = co_await client.ReadUntil("1048576");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
  });
  CHECK(fixture.m_handlerCalls == 1);
  CHECK(fixture.m_server->Counters().m_bodiesRefused == 1);
}

// Guards against clients that stop short of the end of their body and so lock
// out others.
TEST_CASE("A stalled request is answered 408 to make room for another")
{
  Fixture fixture;
  RawClient stalled(fixture.m_context, fixture.m_server->Port());
  RawClient other(fixture.m_context, fixture.m_server->Port());
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    co_await stalled.Send(kSizedHead + std::string(kBodyBytes - 1, 'x'));
    co_await Sleep(kStall);
    co_await other.Send(kSizedHead + std::string(kBodyBytes, 'x'));
    const std::string response = co_await other.ReadUntil("1048576");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
    const std::string refusal = co_await stalled.ReadUntil("\r\n\r\n");
    CHECK(refusal.substr(0, 12) == "HTTP/1.1 408");
  });
  CHECK(fixture.m_handlerCalls == 1);
  CHECK(fixture.m_server->Counters().m_requestsReclaimed == 1);
}

// Guards against the loss of a request on a slow link.
TEST_CASE("A request that makes progress is not reclaimed")
{
  Fixture fixture;
  RawClient slow(fixture.m_context, fixture.m_server->Port());
  RawClient other(fixture.m_context, fixture.m_server->Port());
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    co_await slow.Send(kSizedHead + std::string(kBodyBytes - 8, 'x'));
    for (int i = 0; i < 7; ++i) {
      co_await Sleep(Milliseconds(100));
      co_await slow.Send("x");
    }
    co_await other.Send(kSizedHead);
    const std::string refusal = co_await other.ReadUntil("\r\n\r\n");
    CHECK(refusal.substr(0, 12) == "HTTP/1.1 503");
    co_await slow.Send("x");
    const std::string response = co_await slow.ReadUntil("1048576");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
  });
  CHECK(fixture.m_server->Counters().m_requestsReclaimed == 0);
}

TEST_CASE("A chunked body that cannot grow is refused and freed")
{
  ServerOptions options;
  options.m_maxBodyBytes = 2 * kLimitBytes;
  Fixture large(options);
  RawClient client(large.m_context, large.m_server->Port());
  RunTest(large.m_context, [&]() -> asio::awaitable<void> {
    co_await client.Send(kChunkedHead + "200000\r\n" +
                         std::string(0x200000, 'x'));
    const std::string refusal = co_await client.ReadUntil("\r\n\r\n");
    CHECK(refusal.substr(0, 12) == "HTTP/1.1 503");
    CHECK(large.m_budget->ChargedBytes() < 64 * 1024);
  });
  CHECK(large.m_handlerCalls == 0);
}

TEST_CASE("The limit of the body may change while the server runs")
{
  uint64_t limit = 1000;
  ServerOptions options;
  options.m_currentMaxBodyBytes = [&limit] { return limit; };
  Fixture fixture(options);
  RawClient client(fixture.m_context, fixture.m_server->Port());
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    const std::string request =
      MakeHead("Content-Length: 1000") + std::string(1000, 'x');
    co_await client.Send(request);
    const std::string response = co_await client.ReadUntil("1000");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
    limit = 999;
    co_await client.Send(request);
    const std::string refusal = co_await client.ReadUntil("\r\n\r\n");
    CHECK(refusal.substr(0, 12) == "HTTP/1.1 413");
  });
  CHECK(fixture.m_handlerCalls == 1);
}

// Guards against idle connections that lock out ordinary callers.
TEST_CASE("At the limit a stalled connection makes room for a new one")
{
  ServerOptions options;
  options.m_maxConnections = 2;
  Fixture fixture(options);
  const uint16_t port = fixture.m_server->Port();
  RawClient served(fixture.m_context, port);
  RawClient idle(fixture.m_context, port);
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    co_await served.Send(request);
    std::string response = co_await served.ReadUntil("\r\n\r\n0");
    // None has stalled yet.
    RawClient early(fixture.m_context, port);
    response = co_await early.ReadUntil("\r\n\r\n");
    CHECK(response.substr(0, 12) == "HTTP/1.1 503");
    early.m_socket.close();
    co_await Sleep(kStall);
    RawClient late(fixture.m_context, port);
    co_await late.Send(request);
    response = co_await late.ReadUntil("\r\n\r\n0");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
    const std::string closed = co_await idle.ReadAll();
    CHECK(closed.empty());
    co_await served.Send(request);
    response = co_await served.ReadUntil("\r\n\r\n0");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
  });
  CHECK(fixture.m_server->Counters().m_connectionsReclaimed == 1);
}

// Guards against a process that is killed for lack of memory by responses.
TEST_CASE("A response that does not fit is an error of the exchange")
{
  BootClock clock;
  const auto budget = std::make_shared<overload::MemoryBudget>(1000, clock);
  asio::io_context context;
  const auto server =
    Server::Make(context,
                 {},
                 [](Request aRequest,
                    std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
                   Response response;
                   response.body() = std::string(aRequest.body().size(), 'x');
                   co_return response;
                 });
  REQUIRE(server);
  ClientOptions options;
  options.m_memoryBudget = budget;
  const auto client = Client::Make(context, options);
  RunTest(context, [&]() -> asio::awaitable<void> {
    const std::string address = LoopbackAddress((*server)->Port());
    ExchangeResult result = co_await client->Exchange(
      address, MakeRequest("/", std::string(1000, 'x')), Seconds(5));
    REQUIRE(result);
    CHECK(budget->ChargedBytes() == 1000);
    result = co_await client->Exchange(
      address, MakeRequest("/", std::string(1, 'x')), Seconds(5));
    REQUIRE(!result);
    CHECK(result.error().m_code == HttpErrorCode::kConnectionBroken);
    CHECK(result.error().m_maybeSent);
  });
  CHECK(budget->ChargedBytes() == 0);
}

} // namespace rattanloft::http
