#include "TestPeer.h"

#include <array>

namespace rattanloft::http {

namespace {

asio::awaitable<Response>
EchoHandler(Request aRequest, std::shared_ptr<CancelToken>)
{
  Response response;
  std::string text = std::string(aRequest.target()) + "|";
  response.body() = text.append(aRequest.body().View());
  co_return response;
}

std::unique_ptr<Server>
MakeServer(asio::io_context& aContext,
           ServerOptions aOptions = {},
           Server::Handler aHandler = EchoHandler)
{
  auto server = Server::Make(aContext, aOptions, std::move(aHandler));
  REQUIRE(server);
  return std::move(*server);
}

// The response to raw bytes, and how often the handler was called for them.
struct RawResponse
{
  std::string m_text;
  int m_handlerCalls = 0;
};

// Sends the bytes as they are to a new server and reads until it closes the
// connection, which it must do.
RawResponse
SendRawBytes(std::string aBytes, ServerOptions aOptions = {})
{
  asio::io_context context;
  RawResponse response;
  const auto server = MakeServer(
    context,
    aOptions,
    [&](Request aRequest,
        std::shared_ptr<CancelToken> aCancel) -> asio::awaitable<Response> {
      ++response.m_handlerCalls;
      return EchoHandler(std::move(aRequest), std::move(aCancel));
    });
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await client.Send(aBytes);
    response.m_text = co_await client.ReadAll();
  });
  return response;
}

// Checks that the request is refused with the status, with the header fields
// for refusals, and without calling the handler.
void
RequireRefusedWith(const std::string& aBytes,
                   const std::string& aStatusCode,
                   ServerOptions aOptions = {})
{
  INFO(aBytes.substr(0, 200));
  aOptions.m_refusalHeaderFields = { { "Rattanloft-Outcome", "not-run" } };
  const RawResponse response = SendRawBytes(aBytes, aOptions);
  CHECK(response.m_text.substr(0, 12) == "HTTP/1.1 " + aStatusCode);
  CHECK(response.m_text.find("Rattanloft-Outcome: not-run") !=
        std::string::npos);
  CHECK(response.m_handlerCalls == 0);
}

const std::string kHostField = "Host: a\r\n";

} // namespace

// Guards against malformed requests that reach the handler.
TEST_CASE("Malformed requests are refused with 400")
{
  RequireRefusedWith("nonsense\r\n\r\n", "400");
  RequireRefusedWith("GET / HTTP/1.1\r\n\r\n", "400");
  RequireRefusedWith("GET / HTTP/1.1\r\n" + kHostField + kHostField + "\r\n",
                     "400");
  RequireRefusedWith("GET / HTTP/1.1\r\n" + kHostField + "bad name: x\r\n\r\n",
                     "400");
  RequireRefusedWith("GET / HTTP/3.7\r\n" + kHostField + "\r\n", "400");
}

// Guards against request smuggling: two parties must not be able to disagree on
// where a request ends.
TEST_CASE("Requests of ambiguous length are refused with 400")
{
  const std::string start = "POST / HTTP/1.1\r\n" + kHostField;
  const std::string length = "Content-Length: 5\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  RequireRefusedWith(start + length + chunked + "\r\n0\r\n\r\n", "400");
  RequireRefusedWith(start + chunked + length + "\r\n0\r\n\r\n", "400");
  RequireRefusedWith(start + length + length + "\r\nhello", "400");
  RequireRefusedWith(start + "Content-Length: 5, 5\r\n\r\nhello", "400");
  RequireRefusedWith(start + "Content-Length: +5\r\n\r\nhello", "400");
  RequireRefusedWith(start + "Content-Length: -5\r\n\r\nhello", "400");
  RequireRefusedWith(start + "Content-Length: 0x5\r\n\r\nhello", "400");
  RequireRefusedWith(start + "Content-Length:\r\n\r\nhello", "400");
  RequireRefusedWith(start + chunked + chunked + "\r\n0\r\n\r\n", "400");
  RequireRefusedWith(start + "Transfer-Encoding: xchunked\r\n\r\n", "400");
  RequireRefusedWith(start + "Transfer-Encoding: identity\r\n\r\n", "400");
  RequireRefusedWith("POST / HTTP/1.0\r\n" + chunked + "\r\n0\r\n\r\n", "400");
  RequireRefusedWith(start + chunked + "\r\n0\r\nRattanloft-Epoch: 9\r\n\r\n",
                     "400");
  RequireRefusedWith(start + chunked + "\r\nzz\r\nhello\r\n0\r\n\r\n", "400");
}

// Guards against clients that make the server use unbounded memory.
TEST_CASE("Oversize headers are refused with 431 and oversize bodies with 413")
{
  ServerOptions options;
  options.m_maxHeaderBytes = 1024;
  options.m_maxBodyBytes = 100;
  RequireRefusedWith("GET / HTTP/1.1\r\n" + kHostField +
                       "X: " + std::string(2000, 'x') + "\r\n\r\n",
                     "431",
                     options);
  RequireRefusedWith("POST / HTTP/1.1\r\n" + kHostField +
                       "Content-Length: 101\r\n\r\n" + std::string(101, 'x'),
                     "413",
                     options);
  RequireRefusedWith("POST / HTTP/1.1\r\n" + kHostField +
                       "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
                       std::string(101, 'x') + "\r\n0\r\n\r\n",
                     "413",
                     options);
}

// Guards against clients that keep a connection open without sending a complete
// request.
TEST_CASE("Incomplete requests get 408 and idle connections are closed")
{
  ServerOptions options;
  options.m_readTimeout = Milliseconds(40);
  RequireRefusedWith("GET / HTTP/1.1\r\nHo", "408", options);
  RequireRefusedWith("POST / HTTP/1.1\r\n" + kHostField +
                       "Content-Length: 5\r\n\r\nhe",
                     "408",
                     options);
  options.m_idleTimeout = Milliseconds(40);
  CHECK(SendRawBytes("", options).m_text.empty());
}

// Guards against pipelined requests that are lost or answered out of order.
TEST_CASE("Pipelined requests are answered one after the other")
{
  const std::string get = "GET /a HTTP/1.1\r\n" + kHostField + "\r\n";
  const std::string last =
    "GET /b HTTP/1.1\r\n" + kHostField + "Connection: close\r\n\r\n";
  const RawResponse response = SendRawBytes(get + get + last);
  CHECK(response.m_handlerCalls == 3);
  CHECK(response.m_text.find("/b|") > response.m_text.rfind("/a|"));
  CHECK(response.m_text.find("/b|") != std::string::npos);
}

// Guards against request bodies that are not decoded, and against responses
// whose framing does not fit the method or the HTTP version.
TEST_CASE("Chunked bodies are decoded and responses are framed by length")
{
  const RawResponse chunked =
    SendRawBytes("POST /c HTTP/1.1\r\n" + kHostField +
                 "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  CHECK(chunked.m_text.find("/c|hello") != std::string::npos);
  const RawResponse head = SendRawBytes("HEAD /h HTTP/1.1\r\n" + kHostField +
                                        "Connection: close\r\n\r\n");
  CHECK(head.m_text.find("Content-Length: 3\r\n") != std::string::npos);
  CHECK(head.m_text.substr(head.m_text.size() - 4) == "\r\n\r\n");
  const RawResponse expect =
    SendRawBytes("POST /e HTTP/1.0\r\nContent-Length: 1\r\n\r\nx");
  CHECK(expect.m_text.substr(0, 12) == "HTTP/1.0 200");
}

// Guards against clients that wait for 100 Continue before they send the body
// and never get it.
TEST_CASE("An expected 100 Continue is sent before the body")
{
  asio::io_context context;
  const auto server = MakeServer(context);
  RawClient client(context, server->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await client.Send("POST /x HTTP/1.1\r\n" + kHostField +
                         "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    const std::string interim = co_await client.ReadUntil("\r\n\r\n");
    CHECK(interim.substr(0, 12) == "HTTP/1.1 100");
    co_await client.Send("ok");
    const std::string response = co_await client.ReadUntil("/x|ok");
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
  });
}

// Guards against a refusal that the client never sees because the server closes
// the connection while the client is still sending.
TEST_CASE("A refusal reaches a client that is still sending")
{
  asio::io_context context;
  const auto server = MakeServer(context);
  const auto client = Client::Make(context, {});
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/", std::string(3 * 1024 * 1024, 'x'));
    const ExchangeResult result = co_await client->Exchange(
      LoopbackAddress(server->Port()), std::move(request), Seconds(5), nullptr);
    REQUIRE(result);
    CHECK(result->result_int() == 413);
    CHECK(client->ConnectionCount() == 0);
  });
}

// Guards against a read timeout that starts again with each byte, so that a
// client could keep a request open for any time by sending single bytes.
TEST_CASE("Single bytes sent slowly do not extend the read timeout")
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
    const std::string response = co_await client.ReadUntil("\r\n\r\n");
    CHECK(response.substr(0, 12) == "HTTP/1.1 408");
  });
}

// Guards against an unbounded number of connections.
TEST_CASE("Connections above the maximum get 503")
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
    co_await first.Send("GET /x HTTP/1.1\r\n" + kHostField + "\r\n");
    const std::string served = co_await first.ReadUntil("/x|");
    CHECK(served.substr(0, 12) == "HTTP/1.1 200");
  });
}

namespace {

// A server whose handler waits until it is cancelled, at most aMaxDuration.
struct CancellableHandlerServer
{
  asio::io_context m_context;
  int m_startedCount = 0;
  int m_cancelledCount = 0;
  int m_finishedCount = 0;
  std::unique_ptr<Server> m_server;

  explicit CancellableHandlerServer(Duration aMaxDuration)
  {
    m_server = MakeServer(
      m_context,
      {},
      [this, aMaxDuration](Request, std::shared_ptr<CancelToken> aCancel)
        -> asio::awaitable<Response> {
        ++m_startedCount;
        asio::steady_timer timer(m_context,
                                 std::chrono::milliseconds(aMaxDuration.m_ms));
        aCancel->SetCancelCallback([&] { timer.cancel(); });
        co_await timer.async_wait(kUseAwaitableTuple);
        aCancel->SetCancelCallback({});
        m_cancelledCount += aCancel->IsCancelled() ? 1 : 0;
        ++m_finishedCount;
        Response response;
        response.body() = "done";
        co_return response;
      });
  }

  asio::awaitable<void> WaitUntilFinished(int aCount)
  {
    while (m_finishedCount < aCount) {
      co_await Sleep(Milliseconds(2));
    }
  }
};

} // namespace

// Guards against a handler that keeps working for a client that has
// disconnected.
TEST_CASE("Closing or resetting the connection cancels the running request")
{
  CancellableHandlerServer testServer(Seconds(5));
  const bool reset = GENERATE(false, true);
  RunTest(testServer.m_context, [&]() -> asio::awaitable<void> {
    RawClient client(testServer.m_context, testServer.m_server->Port());
    co_await client.Send("GET / HTTP/1.1\r\n" + kHostField + "\r\n");
    co_await Sleep(Milliseconds(20));
    CHECK(testServer.m_startedCount == 1);
    if (reset) {
      client.m_socket.set_option(asio::socket_base::linger(true, 0));
    }
    client.m_socket.close();
    co_await testServer.WaitUntilFinished(1);
    CHECK(testServer.m_cancelledCount == 1);
  });
}

// Guards against work that goes on since the close lies behind unread input.
TEST_CASE("Closing behind unread input cancels the running request")
{
  CancellableHandlerServer testServer(Seconds(5));
  const std::string get = "GET / HTTP/1.1\r\n" + kHostField + "\r\n";
  const std::string longRequest = "POST / HTTP/1.1\r\n" + kHostField +
                                  "Content-Length: 100000\r\n\r\n" +
                                  std::string(100000, 'x');
  const std::array<std::string, 4> inputs = {
    get, get.substr(0, 8), Repeat(get, 20'000), longRequest
  };
  const std::string unread = inputs[GENERATE(0, 1, 2, 3)];
  const bool inOneWrite = GENERATE(false, true);
  const std::string firstWrite = inOneWrite ? get + unread : get;
  const std::string secondWrite = inOneWrite ? std::string() : unread;
  INFO(unread.size() << " bytes, in one write: " << inOneWrite);
  RunTest(testServer.m_context, [&]() -> asio::awaitable<void> {
    RawClient client(testServer.m_context, testServer.m_server->Port());
    co_await client.Send(firstWrite);
    co_await Sleep(Milliseconds(20));
    co_await client.Send(secondWrite);
    co_await Sleep(Milliseconds(20));
    CHECK(testServer.m_startedCount == 1);
    client.m_socket.close();
    co_await testServer.WaitUntilFinished(1);
    CHECK(testServer.m_cancelledCount == 1);
    while (testServer.m_server->ConnectionCount() > 0) {
      co_await Sleep(Milliseconds(2));
    }
    CHECK(testServer.m_startedCount == 1);
  });
}

// Guards against work that goes on for a client that leaves after a half-close.
TEST_CASE("Closing after a half-close cancels the running request")
{
  CancellableHandlerServer testServer(Seconds(5));
  RunTest(testServer.m_context, [&]() -> asio::awaitable<void> {
    RawClient client(testServer.m_context, testServer.m_server->Port());
    co_await client.Send("GET / HTTP/1.1\r\n" + kHostField + "\r\n");
    client.m_socket.shutdown(tcp::socket::shutdown_send);
    // Without unread input the close sends nothing, not even a reset.
    co_await client.ReadUntil("\r\n\r\n");
    co_await Sleep(Milliseconds(150));
    CHECK(testServer.m_startedCount == 1);
    client.m_socket.close();
    co_await testServer.WaitUntilFinished(1);
    CHECK(testServer.m_cancelledCount == 1);
  });
}

// The request and the end of its connection are found in the same poll.
TEST_CASE("A request whose client has already left is not run")
{
  CancellableHandlerServer testServer(Seconds(5));
  const bool reset = GENERATE(false, true);
  RunTest(testServer.m_context, [&]() -> asio::awaitable<void> {
    RawClient client(testServer.m_context, testServer.m_server->Port());
    while (testServer.m_server->ConnectionCount() == 0) {
      co_await Sleep(Milliseconds(2));
    }
    const std::string request = "GET / HTTP/1.1\r\n" + kHostField + "\r\n";
    asio::write(client.m_socket, asio::buffer(request));
    if (reset) {
      client.m_socket.set_option(asio::socket_base::linger(true, 0));
    }
    client.m_socket.close();
    while (testServer.m_server->ConnectionCount() > 0) {
      co_await Sleep(Milliseconds(2));
    }
    CHECK(testServer.m_startedCount == 0);
  });
}

// Guards against cancelling a request while its client still waits for the
// response.
TEST_CASE("A half-closed connection or a pipelined request does not cancel")
{
  CancellableHandlerServer testServer(Milliseconds(60));
  RunTest(testServer.m_context, [&]() -> asio::awaitable<void> {
    RawClient halfClosed(testServer.m_context, testServer.m_server->Port());
    co_await halfClosed.Send("GET / HTTP/1.1\r\n" + kHostField + "\r\n");
    halfClosed.m_socket.shutdown(tcp::socket::shutdown_send);
    const std::string text = co_await halfClosed.ReadAll();
    CHECK(text.find("done") != std::string::npos);

    RawClient pipelining(testServer.m_context, testServer.m_server->Port());
    const std::string get = "GET / HTTP/1.1\r\n" + kHostField + "\r\n";
    co_await pipelining.Send(get);
    co_await Sleep(Milliseconds(10));
    co_await pipelining.Send(get);
    co_await Sleep(Milliseconds(10));
    CHECK(testServer.m_startedCount == 2);
    co_await testServer.WaitUntilFinished(3);
    CHECK(testServer.m_cancelledCount == 0);
  });
}

// Guards against requests that are lost since their client has ended its input.
TEST_CASE("All requests before a half-close are answered")
{
  CancellableHandlerServer testServer(Milliseconds(60));
  const std::string get = "GET / HTTP/1.1\r\n" + kHostField +
                          "X: " + std::string(1000, 'x') + "\r\n\r\n";
  const int pipelinedCount = GENERATE(1, 8);
  std::string more;
  for (int i = 0; i < pipelinedCount; ++i) {
    more += get;
  }
  RunTest(testServer.m_context, [&]() -> asio::awaitable<void> {
    RawClient client(testServer.m_context, testServer.m_server->Port());
    co_await client.Send(get);
    co_await Sleep(Milliseconds(10));
    co_await client.Send(more);
    client.m_socket.shutdown(tcp::socket::shutdown_send);
    const std::string text = co_await client.ReadAll();
    int answeredCount = 0;
    for (size_t at = text.find("done"); at != std::string::npos;
         at = text.find("done", at + 1)) {
      ++answeredCount;
    }
    CHECK(answeredCount == 1 + pipelinedCount);
    CHECK(testServer.m_cancelledCount == 0);
  });
}

// Guards against a graceful stop that closes the connection of a request before
// the response.
TEST_CASE("Stop closes no connection before the response to its request")
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
  int answeredCount = 0;
  int cutOffCount = 0;
  int runningCallers = 0;
  bool stopped = false;
  const auto caller = [&]() -> asio::awaitable<void> {
    ++runningCallers;
    while (!stopped) {
      Request request = MakeRequest("/");
      const ExchangeResult result = co_await client->Exchange(
        LoopbackAddress(server->Port()), std::move(request), Seconds(2));
      if (!result && !result.error().m_maybeSent) {
        break;
      }
      (result ? answeredCount : cutOffCount) += 1;
    }
    --runningCallers;
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
    while (runningCallers > 0) {
      co_await Sleep(Milliseconds(5));
    }
    const std::string unsolicited = co_await idle.ReadAll();
    CHECK(unsolicited.empty());
  });
  CHECK(cutOffCount == 0);
  CHECK(answeredCount > 100);
}

// Guards against a stop that closes a connection between the connect of the
// client and its first request. On a busy machine this made requests fail.
TEST_CASE("Stop waits for the first request of a new connection")
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
    const std::string response = co_await client.ReadAll();
    CHECK(response.find("HTTP/1.1 200") == 0);
  });
}

// Guards against a handler exception that ends the server or leaves the client
// without a response.
TEST_CASE("An exception thrown by the handler is answered with 500")
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
    co_await client.Send("GET / HTTP/1.1\r\n" + kHostField + "\r\n");
    const std::string text = co_await client.ReadUntil("\r\n\r\n");
    CHECK(text.substr(0, 12) == "HTTP/1.1 500");
  });
}

// Guards against a server that seems to start but does not listen.
TEST_CASE("A malformed address or a port in use is an error")
{
  asio::io_context context;
  ServerOptions options;
  options.m_address = "nowhere";
  CHECK(Server::Make(context, options, EchoHandler).error().m_code ==
        HttpErrorCode::kInvalidAddress);
  const auto server = MakeServer(context);
  options.m_address = "127.0.0.1";
  options.m_port = server->Port();
  CHECK(Server::Make(context, options, EchoHandler).error().m_code ==
        HttpErrorCode::kListenFailed);
}

} // namespace rattanloft::http
