#include "TestPeer.h"

namespace rattanloft::http {

namespace {

asio::awaitable<Response>
Echo(Request aRequest, std::shared_ptr<CancelToken>)
{
  Response response;
  response.body() = std::string(aRequest.target()) + "|" + aRequest.body();
  co_return response;
}

std::unique_ptr<Server>
MakeServer(asio::io_context& aContext,
           ServerOptions aOptions = {},
           Server::Handler aHandler = Echo)
{
  auto server = Server::Make(aContext, aOptions, std::move(aHandler));
  REQUIRE(server);
  return std::move(*server);
}

// The status line of the answer to bytes sent as they are, and whether the
// handler was called. The server must close afterwards.
struct RawAnswer
{
  std::string m_text;
  int m_calls = 0;
};

RawAnswer
AnswerTo(std::string aBytes, ServerOptions aOptions = {})
{
  asio::io_context context;
  RawAnswer answer;
  const auto server = MakeServer(
    context,
    aOptions,
    [&](Request aRequest,
        std::shared_ptr<CancelToken> aCancel) -> asio::awaitable<Response> {
      ++answer.m_calls;
      return Echo(std::move(aRequest), std::move(aCancel));
    });
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await client.Send(aBytes);
    answer.m_text = co_await client.ReadAll();
  });
  return answer;
}

void
RequireRefused(const std::string& aBytes,
               const std::string& aStatus,
               ServerOptions aOptions = {})
{
  INFO(aBytes.substr(0, 200));
  aOptions.m_refusalHeaderFields = { { "Rattanloft-Outcome", "not-run" } };
  const RawAnswer answer = AnswerTo(aBytes, aOptions);
  CHECK(answer.m_text.substr(0, 12) == "HTTP/1.1 " + aStatus);
  CHECK(answer.m_text.find("Rattanloft-Outcome: not-run") != std::string::npos);
  CHECK(answer.m_calls == 0);
}

const std::string kHost = "Host: a\r\n";

} // namespace

// Guards against malformed requests reaching the handler.
TEST_CASE("Malformed requests are refused")
{
  RequireRefused("nonsense\r\n\r\n", "400");
  RequireRefused("GET / HTTP/1.1\r\n\r\n", "400");
  RequireRefused("GET / HTTP/1.1\r\n" + kHost + kHost + "\r\n", "400");
  RequireRefused("GET / HTTP/1.1\r\n" + kHost + "bad name: x\r\n\r\n", "400");
  RequireRefused("GET / HTTP/3.7\r\n" + kHost + "\r\n", "400");
}

// Guards against request smuggling: the end of a request must not be open to
// two readings.
TEST_CASE("Requests of ambiguous length are refused")
{
  const std::string start = "POST / HTTP/1.1\r\n" + kHost;
  const std::string length = "Content-Length: 5\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  RequireRefused(start + length + chunked + "\r\n0\r\n\r\n", "400");
  RequireRefused(start + chunked + length + "\r\n0\r\n\r\n", "400");
  RequireRefused(start + length + length + "\r\nhello", "400");
  RequireRefused(start + "Content-Length: 5, 5\r\n\r\nhello", "400");
  RequireRefused(start + "Content-Length: +5\r\n\r\nhello", "400");
  RequireRefused(start + "Content-Length: -5\r\n\r\nhello", "400");
  RequireRefused(start + "Content-Length: 0x5\r\n\r\nhello", "400");
  RequireRefused(start + "Content-Length:\r\n\r\nhello", "400");
  RequireRefused(start + chunked + chunked + "\r\n0\r\n\r\n", "400");
  RequireRefused(start + "Transfer-Encoding: xchunked\r\n\r\n", "400");
  RequireRefused(start + "Transfer-Encoding: identity\r\n\r\n", "400");
  RequireRefused("POST / HTTP/1.0\r\n" + chunked + "\r\n0\r\n\r\n", "400");
  RequireRefused(start + chunked + "\r\n0\r\nRattanloft-Epoch: 9\r\n\r\n",
                 "400");
  RequireRefused(start + chunked + "\r\nzz\r\nhello\r\n0\r\n\r\n", "400");
}

// Guards against unbounded memory.
TEST_CASE("Oversize requests are refused")
{
  ServerOptions options;
  options.m_maxHeaderBytes = 1024;
  options.m_maxBodyBytes = 100;
  RequireRefused("GET / HTTP/1.1\r\n" + kHost + "X: " + std::string(2000, 'x') +
                   "\r\n\r\n",
                 "431",
                 options);
  RequireRefused("POST / HTTP/1.1\r\n" + kHost + "Content-Length: 101\r\n\r\n" +
                   std::string(101, 'x'),
                 "413",
                 options);
  RequireRefused("POST / HTTP/1.1\r\n" + kHost +
                   "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
                   std::string(101, 'x') + "\r\n0\r\n\r\n",
                 "413",
                 options);
}

// Guards against senders that hold a connection with a trickle of bytes.
TEST_CASE("Slow requests and idle connections end")
{
  ServerOptions options;
  options.m_readTimeout = Milliseconds(40);
  RequireRefused("GET / HTTP/1.1\r\nHo", "408", options);
  RequireRefused("POST / HTTP/1.1\r\n" + kHost + "Content-Length: 5\r\n\r\nhe",
                 "408",
                 options);
  options.m_idleTimeout = Milliseconds(40);
  CHECK(AnswerTo("", options).m_text.empty());
}

TEST_CASE("Pipelined requests are answered one after the other")
{
  const std::string get = "GET /a HTTP/1.1\r\n" + kHost + "\r\n";
  const std::string last =
    "GET /b HTTP/1.1\r\n" + kHost + "Connection: close\r\n\r\n";
  const RawAnswer answer = AnswerTo(get + get + last);
  CHECK(answer.m_calls == 3);
  CHECK(answer.m_text.find("/b|") > answer.m_text.rfind("/a|"));
  CHECK(answer.m_text.find("/b|") != std::string::npos);
}

TEST_CASE("Bodies arrive whole and framed by length")
{
  const RawAnswer chunked =
    AnswerTo("POST /c HTTP/1.1\r\n" + kHost +
             "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  CHECK(chunked.m_text.find("/c|hello") != std::string::npos);
  const RawAnswer head =
    AnswerTo("HEAD /h HTTP/1.1\r\n" + kHost + "Connection: close\r\n\r\n");
  CHECK(head.m_text.find("Content-Length: 3\r\n") != std::string::npos);
  CHECK(head.m_text.substr(head.m_text.size() - 4) == "\r\n\r\n");
  const RawAnswer expect =
    AnswerTo("POST /e HTTP/1.0\r\nContent-Length: 1\r\n\r\nx");
  CHECK(expect.m_text.substr(0, 12) == "HTTP/1.0 200");
}

// Guards against clients that wait in vain for leave to send the body.
TEST_CASE("An expected 100 Continue is sent before the body")
{
  asio::io_context context;
  const auto server = MakeServer(context);
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await client.Send("POST /x HTTP/1.1\r\n" + kHost +
                         "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    const std::string interim = co_await client.ReadUntil("\r\n\r\n");
    CHECK(interim.substr(0, 12) == "HTTP/1.1 100");
    co_await client.Send("ok");
    const std::string answer = co_await client.ReadUntil("/x|ok");
    CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
  });
}

// Guards against a refusal that is lost because the server closes while the
// client still sends.
TEST_CASE("A refusal reaches a client that is still sending")
{
  asio::io_context context;
  const auto server = MakeServer(context);
  const auto client = Client::Make(context, {});
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/", std::string(3 * 1024 * 1024, 'x'));
    const Result result = co_await client->Exchange(
      PeerName(server->Port()), std::move(request), Seconds(5), nullptr);
    REQUIRE(result);
    CHECK(result->result_int() == 413);
    CHECK(client->ConnectionCount() == 0);
  });
}

// Guards against a trickle of bytes that keeps a read alive past its limit.
TEST_CASE("A steady trickle does not extend the read limit")
{
  asio::io_context context;
  ServerOptions options;
  options.m_readTimeout = Milliseconds(60);
  const auto server = MakeServer(context, options);
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await client.Send("GET / HTTP/1.1\r\nX: ");
    for (int i = 0; i < 100; ++i) {
      co_await client.Send("x");
      co_await Sleep(Milliseconds(2));
    }
    const std::string answer = co_await client.ReadUntil("\r\n\r\n");
    CHECK(answer.substr(0, 12) == "HTTP/1.1 408");
  });
}

// Guards against unbounded connections.
TEST_CASE("Connections above the bound get 503")
{
  asio::io_context context;
  ServerOptions options;
  options.m_maxConnections = 1;
  const auto server = MakeServer(context, options);
  RawClient first(context, server->Port());
  RawClient second(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    const std::string text = co_await second.ReadAll();
    CHECK(text.substr(0, 12) == "HTTP/1.1 503");
    co_await first.Send("GET /x HTTP/1.1\r\n" + kHost + "\r\n");
    const std::string served = co_await first.ReadUntil("/x|");
    CHECK(served.substr(0, 12) == "HTTP/1.1 200");
  });
}

namespace {

// A server whose handler waits until cancelled, at most aLimit.
struct CancelProbe
{
  asio::io_context m_context;
  int m_started = 0;
  int m_cancelled = 0;
  int m_finished = 0;
  std::unique_ptr<Server> m_server;

  explicit CancelProbe(Duration aLimit)
  {
    m_server =
      MakeServer(m_context,
                 {},
                 [this, aLimit](Request, std::shared_ptr<CancelToken> aCancel)
                   -> asio::awaitable<Response> {
                   ++m_started;
                   asio::steady_timer timer(
                     m_context, std::chrono::milliseconds(aLimit.m_ms));
                   aCancel->SetCancelCallback([&] { timer.cancel(); });
                   co_await timer.async_wait(kToken);
                   aCancel->SetCancelCallback({});
                   m_cancelled += aCancel->IsCancelled() ? 1 : 0;
                   ++m_finished;
                   Response response;
                   response.body() = "done";
                   co_return response;
                 });
  }

  asio::awaitable<void> UntilFinished(int aCount)
  {
    while (m_finished < aCount) {
      co_await Sleep(Milliseconds(2));
    }
  }
};

} // namespace

// Guards against work that goes on for a client that has left.
TEST_CASE("A close cancels the running request")
{
  CancelProbe probe(Seconds(5));
  const bool reset = GENERATE(false, true);
  RunTest(probe.m_context, [&]() -> asio::awaitable<void> {
    RawClient client(probe.m_context, probe.m_server->Port());
    co_await client.Send("GET / HTTP/1.1\r\n" + kHost + "\r\n");
    co_await Sleep(Milliseconds(20));
    CHECK(probe.m_started == 1);
    if (reset) {
      client.m_socket.set_option(asio::socket_base::linger(true, 0));
    }
    client.m_socket.close();
    co_await probe.UntilFinished(1);
    CHECK(probe.m_cancelled == 1);
  });
}

// Guards against cancelling a request whose client still waits.
TEST_CASE("A half-close or an early request does not cancel")
{
  CancelProbe probe(Milliseconds(60));
  RunTest(probe.m_context, [&]() -> asio::awaitable<void> {
    RawClient half(probe.m_context, probe.m_server->Port());
    co_await half.Send("GET / HTTP/1.1\r\n" + kHost + "\r\n");
    half.m_socket.shutdown(tcp::socket::shutdown_send);
    const std::string text = co_await half.ReadAll();
    CHECK(text.find("done") != std::string::npos);

    RawClient early(probe.m_context, probe.m_server->Port());
    const std::string get = "GET / HTTP/1.1\r\n" + kHost + "\r\n";
    co_await early.Send(get);
    co_await Sleep(Milliseconds(10));
    co_await early.Send(get);
    co_await Sleep(Milliseconds(10));
    CHECK(probe.m_started == 2);
    co_await probe.UntilFinished(3);
    CHECK(probe.m_cancelled == 0);
  });
}

// Guards against a planned stop that cuts off requests.
TEST_CASE("Stop cuts off no request")
{
  asio::io_context context;
  ServerOptions options;
  options.m_stopGrace = Milliseconds(100);
  const auto server = MakeServer(
    context,
    options,
    [](Request, std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
      co_await Sleep(Milliseconds(15));
      co_return Response();
    });
  const auto client = Client::Make(context, {});
  int answered = 0;
  int cutOff = 0;
  int running = 0;
  bool stopped = false;
  const auto caller = [&]() -> asio::awaitable<void> {
    ++running;
    while (!stopped) {
      Request request = MakeRequest("/");
      const Result result = co_await client->Exchange(
        PeerName(server->Port()), std::move(request), Seconds(2));
      if (!result && !result.error().m_maybeSent) {
        break;
      }
      (result ? answered : cutOff) += 1;
    }
    --running;
  };
  RunTest(context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 20; ++i) {
      asio::co_spawn(context, caller(), asio::detached);
    }
    RawClient idle(context, server->Port());
    co_await Sleep(Milliseconds(100));
    co_await server->Stop();
    stopped = true;
    CHECK(server->ConnectionCount() == 0);
    while (running > 0) {
      co_await Sleep(Milliseconds(5));
    }
    const std::string unasked = co_await idle.ReadAll();
    CHECK(unasked.empty());
  });
  CHECK(cutOff == 0);
  CHECK(answered > 100);
}

// Guards against a stop that closes a connection between the client's connect
// and its first request, seen as requests cut off on a busy machine.
TEST_CASE("A stop waits for the first request of a new connection")
{
  asio::io_context context;
  ServerOptions options;
  options.m_stopGrace = Milliseconds(20);
  const auto server = MakeServer(
    context,
    options,
    [](Request, std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
      co_return Response();
    });
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    asio::co_spawn(context, server->Stop(), asio::detached);
    co_await Sleep(Milliseconds(100));
    co_await client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string answer = co_await client.ReadAll();
    CHECK(answer.find("HTTP/1.1 200") == 0);
  });
}

TEST_CASE("A handler's exception is answered with 500")
{
  asio::io_context context;
  const auto server = MakeServer(
    context,
    {},
    [](Request, std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
      throw std::runtime_error("test");
      co_return Response();
    });
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await client.Send("GET / HTTP/1.1\r\n" + kHost + "\r\n");
    const std::string text = co_await client.ReadUntil("\r\n\r\n");
    CHECK(text.substr(0, 12) == "HTTP/1.1 500");
  });
}

TEST_CASE("A bad address or a taken port is an error")
{
  asio::io_context context;
  ServerOptions options;
  options.m_address = "nowhere";
  CHECK(Server::Make(context, options, Echo).error().m_code ==
        HttpErrorCode::kAddress);
  const auto server = MakeServer(context);
  options.m_address = "127.0.0.1";
  options.m_port = server->Port();
  CHECK(Server::Make(context, options, Echo).error().m_code ==
        HttpErrorCode::kBind);
}

} // namespace rattanloft::http
