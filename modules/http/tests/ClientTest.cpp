#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>

#include "TestPeer.h"

namespace rattanloft::http {

namespace {

const std::string kOkResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Responds to every request on the connection.
asio::awaitable<void>
RespondToAllRequests(tcp::socket& aSocket)
{
  bool open = co_await ReadRequestHeader(aSocket);
  while (open) {
    co_await SendText(aSocket, kOkResponse);
    open = co_await ReadRequestHeader(aSocket);
  }
}

// Never responds; returns when the connection ends.
asio::awaitable<void>
ReadWithoutResponding(tcp::socket& aSocket)
{
  bool open = true;
  while (open) {
    open = co_await ReadRequestHeader(aSocket);
  }
}

// Returns the result of one exchange with a peer that sends aText and then
// closes the connection.
ExchangeResult
ExchangeWithPeerSending(std::string aText, ClientOptions aOptions = {})
{
  asio::io_context context;
  ScriptedPeer peer(context,
                    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                      co_await ReadRequestHeader(aSocket);
                      co_await SendText(aSocket, aText);
                    });
  const auto client = Client::Make(context, aOptions);
  ExchangeResult result;
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/");
    result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), Seconds(2));
  });
  CHECK(client->ConnectionCount() == 0);
  return result;
}

// Checks that the text, sent as a response, is rejected.
void
RequireConnectionBroken(const std::string& aText, ClientOptions aOptions = {})
{
  INFO(aText.substr(0, 100));
  const ExchangeResult result = ExchangeWithPeerSending(aText, aOptions);
  REQUIRE_FALSE(result);
  CHECK(result.error().m_code == HttpErrorCode::kConnectionBroken);
  CHECK(result.error().m_maybeSent);
}

// A client and one peer, whose behaviour the script defines.
struct ClientFixture
{
  asio::io_context m_context;
  ScriptedPeer m_peer;
  std::unique_ptr<Client> m_client;

  explicit ClientFixture(ScriptedPeer::Script aScript,
                         ClientOptions aOptions = {})
    : m_peer(m_context, std::move(aScript))
    , m_client(Client::Make(m_context, aOptions))
  {
  }

  asio::awaitable<ExchangeResult> Exchange(Duration aTimeout)
  {
    Request request = MakeRequest("/");
    ExchangeResult result =
      co_await Exchange(aTimeout, std::move(request), nullptr);
    co_return result;
  }
  asio::awaitable<ExchangeResult> Exchange(Duration aTimeout,
                                           Request aRequest,
                                           std::shared_ptr<CancelToken> aCancel)
  {
    std::string peer = LoopbackAddress(m_peer.Port());
    ExchangeResult result = co_await m_client->Exchange(
      std::move(peer), std::move(aRequest), aTimeout, std::move(aCancel));
    co_return result;
  }
};

// A listener whose backlog is full, so that the system repeats the handshake of
// the next client after 1 s.
class FullListener
{
public:
  explicit FullListener(asio::io_context& aContext)
    : m_acceptor(aContext)
    , m_filler(aContext)
  {
    m_acceptor.open(tcp::v4());
    m_acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    m_acceptor.listen(0);
    m_filler.connect(m_acceptor.local_endpoint());
  }

  std::string Address() const
  {
    return LoopbackAddress(m_acceptor.local_endpoint().port());
  }
  // Empties the backlog and blocks the thread until the next client has
  // connected.
  tcp::socket BlockUntilConnected()
  {
    constexpr int kHandshakeRepeatTimeoutMs = 5000;
    m_acceptor.accept();
    pollfd readable{ m_acceptor.native_handle(), POLLIN, 0 };
    REQUIRE(poll(&readable, 1, kHandshakeRepeatTimeoutMs) == 1);
    return m_acceptor.accept();
  }

private:
  tcp::acceptor m_acceptor;
  tcp::socket m_filler;
};

} // namespace

// Guards against a truncated or ambiguous response that is returned as
// complete.
TEST_CASE("Truncated, malformed and oversize responses are errors")
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  RequireConnectionBroken("");
  RequireConnectionBroken("HTTP/1.1 20");
  RequireConnectionBroken(head + "Content-Length: 10\r\n\r\nshort");
  RequireConnectionBroken(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel");
  RequireConnectionBroken(head +
                          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  RequireConnectionBroken(head + "\r\nthe length is not declared");
  RequireConnectionBroken(head +
                          "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok");
  RequireConnectionBroken(head +
                          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n0\r\n\r\n");
  RequireConnectionBroken("garbage\r\n\r\n");
  ClientOptions options;
  options.m_maxBodyBytes = 10;
  RequireConnectionBroken(head + "Content-Length: 11\r\n\r\nhello world",
                          options);
  RequireConnectionBroken(head + "Transfer-Encoding: chunked\r\n\r\n"
                                 "b\r\nhello world\r\n0\r\n\r\n",
                          options);
  options.m_maxHeaderBytes = 100;
  RequireConnectionBroken(head + "X: " + std::string(200, 'x') + "\r\n\r\n",
                          options);
}

// Guards against an interim response that is returned as the final one, and
// against chunked bodies that are not decoded.
TEST_CASE("Interim responses are skipped and chunked bodies decoded")
{
  const ExchangeResult result = ExchangeWithPeerSending(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\no \r\n1\r\nk\r\n0\r\n\r\n");
  REQUIRE(result);
  CHECK(result->body() == "o k");
  CHECK(result->count(field::transfer_encoding) == 0);
}

// Guards against a pool that opens a new connection for each request.
TEST_CASE("Connections are reused")
{
  ClientFixture fixture([](tcp::socket& aSocket, int) -> asio::awaitable<void> {
    co_await RespondToAllRequests(aSocket);
  });
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 10; ++i) {
      const ExchangeResult result = co_await fixture.Exchange(Seconds(1));
      CHECK(result);
    }
    CHECK(fixture.m_peer.AcceptedCount() == 1);
    CHECK(fixture.m_client->ConnectionCount() == 1);
    fixture.m_client->CloseIdleConnections(
      LoopbackAddress(fixture.m_peer.Port()));
    CHECK(fixture.m_client->ConnectionCount() == 0);
  });
}

// Guards against a request that is lost on a connection that the peer has
// closed, and against a stray response that is taken for that of the next
// request.
TEST_CASE("Connections that are closed or have unread input are not reused")
{
  const std::string tail = GENERATE("", "x", "stale");
  const std::string text = tail == "x" ? kOkResponse + "x" : kOkResponse;
  ClientFixture fixture(
    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, text);
      if (tail == "stale") {
        co_await Sleep(Milliseconds(10));
        co_await SendText(aSocket, kOkResponse);
        co_await ReadRequestHeader(aSocket);
      }
    });
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 3; ++i) {
      const ExchangeResult result = co_await fixture.Exchange(Seconds(1));
      CHECK(result);
      co_await Sleep(Milliseconds(30));
    }
    CHECK(fixture.m_peer.AcceptedCount() == 3);
  });
}

// Guards against connections that are used past their idle timeout or their
// maximum age.
TEST_CASE("Connections idle too long or too old are not reused")
{
  ClientOptions options;
  const bool byAge = GENERATE(false, true);
  (byAge ? options.m_maxConnectionAge : options.m_idleTimeout) =
    Milliseconds(20);
  ClientFixture fixture(
    [](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await RespondToAllRequests(aSocket);
    },
    options);
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 3; ++i) {
      const ExchangeResult result = co_await fixture.Exchange(Seconds(1));
      CHECK(result);
      co_await Sleep(Milliseconds(30));
    }
    CHECK(fixture.m_peer.AcceptedCount() == 3);
  });
}

// Guards against a failed network path that costs one timeout for each idle
// connection in the pool.
TEST_CASE("A timeout closes all idle connections to the peer")
{
  bool silent = false;
  ClientFixture fixture(
    [&](tcp::socket& aSocket, int aConnectionIndex) -> asio::awaitable<void> {
      bool open = co_await ReadRequestHeader(aSocket);
      while (open) {
        // Only the connections that were opened before the failure are silent.
        if (silent && aConnectionIndex < 8) {
          co_await ReadWithoutResponding(aSocket);
          co_return;
        }
        co_await Sleep(Milliseconds(5));
        co_await SendText(aSocket, kOkResponse);
        open = co_await ReadRequestHeader(aSocket);
      }
    });
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    int answeredCount = 0;
    for (int i = 0; i < 8; ++i) {
      asio::co_spawn(
        fixture.m_context,
        [&]() -> asio::awaitable<void> {
          const ExchangeResult result = co_await fixture.Exchange(Seconds(1));
          answeredCount += result ? 1 : 0;
        },
        asio::detached);
    }
    co_await Sleep(Milliseconds(50));
    CHECK(answeredCount == 8);
    CHECK(fixture.m_client->ConnectionCount() == 8);
    silent = true;
    const ExchangeResult first = co_await fixture.Exchange(Milliseconds(30));
    REQUIRE_FALSE(first);
    CHECK(first.error().m_code == HttpErrorCode::kTimeout);
    CHECK(first.error().m_maybeSent);
    CHECK(fixture.m_client->ConnectionCount() == 0);
    for (int i = 0; i < 8; ++i) {
      const ExchangeResult next = co_await fixture.Exchange(Milliseconds(500));
      CHECK(next);
    }
  });
}

// Guards against errors that tell wrongly whether the peer may have executed
// the request: a retry could then execute it a second time.
TEST_CASE("Errors tell whether bytes may have been sent")
{
  ClientFixture fixture([](tcp::socket& aSocket, int) -> asio::awaitable<void> {
    co_await ReadWithoutResponding(aSocket);
  });
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/");
    const ExchangeResult malformedAddress =
      co_await fixture.m_client->Exchange("nowhere:1", request, Seconds(1));
    CHECK(malformedAddress.error().m_code == HttpErrorCode::kInvalidAddress);
    CHECK_FALSE(malformedAddress.error().m_maybeSent);

    uint16_t unusedPort = 0;
    {
      tcp::acceptor closed(fixture.m_context,
                           { asio::ip::address_v4::loopback(), 0 });
      unusedPort = closed.local_endpoint().port();
    }
    const ExchangeResult refused = co_await fixture.m_client->Exchange(
      LoopbackAddress(unusedPort), request, Seconds(1));
    CHECK(refused.error().m_code == HttpErrorCode::kConnectFailed);
    CHECK_FALSE(refused.error().m_maybeSent);

    auto cancelled = std::make_shared<CancelToken>();
    cancelled->Cancel();
    const ExchangeResult cancelledEarly =
      co_await fixture.Exchange(Seconds(1), request, cancelled);
    CHECK(cancelledEarly.error().m_code == HttpErrorCode::kCancelled);
    CHECK_FALSE(cancelledEarly.error().m_maybeSent);

    // Larger than the socket buffers, so that the timeout interrupts the write.
    Request large = MakeRequest("/", std::string(64 * 1024 * 1024, 'x'));
    const ExchangeResult partlySent =
      co_await fixture.Exchange(Milliseconds(30), std::move(large), nullptr);
    CHECK(partlySent.error().m_code == HttpErrorCode::kTimeout);
    CHECK(partlySent.error().m_maybeSent);
    CHECK(fixture.m_client->ConnectionCount() == 0);
  });
}

// Guards against a peer that accepts no connections and delays a request for
// its whole timeout. On loopback, a full listen backlog drops further
// handshakes.
TEST_CASE("The connect timeout limits the time to connect")
{
  asio::io_context context;
  tcp::acceptor acceptor(context);
  acceptor.open(tcp::v4());
  acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
  acceptor.listen(0);
  const tcp::endpoint endpoint = acceptor.local_endpoint();
  std::vector<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(context);
    fillers.back().async_connect(endpoint, [](boost::system::error_code) {});
  }
  ClientOptions options;
  options.m_connectTimeout = Milliseconds(50);
  const auto client = Client::Make(context, options);
  RunTest(context, [&]() -> asio::awaitable<void> {
    co_await Sleep(Milliseconds(20));
    Request request = MakeRequest("/");
    const auto start = std::chrono::steady_clock::now();
    const ExchangeResult result = co_await client->Exchange(
      LoopbackAddress(endpoint.port()), std::move(request), Seconds(5));
    REQUIRE_FALSE(result);
    CHECK(result.error().m_code == HttpErrorCode::kConnectFailed);
    CHECK_FALSE(result.error().m_maybeSent);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    CHECK(client->ConnectionCount() == 0);
  });
}

// The handshake completes and the timeout expires while the thread is blocked.
TEST_CASE("A connect timeout does not break off a request that was sent")
{
  asio::io_context context;
  FullListener listener(context);
  tcp::socket accepted(context);
  ClientOptions options;
  options.m_connectTimeout = Milliseconds(50);
  const auto client = Client::Make(context, options);
  RunTest(context, [&]() -> asio::awaitable<void> {
    asio::post(context, [&] {
      accepted = listener.BlockUntilConnected();
      asio::co_spawn(context, RespondToAllRequests(accepted), asio::detached);
    });
    Request request = MakeRequest("/");
    const ExchangeResult result = co_await client->Exchange(
      listener.Address(), std::move(request), Seconds(8));
    INFO((result ? "" : result.error().m_message));
    REQUIRE(result);
    CHECK(result->body() == "ok");
  });
}

// The handshake completes and the deadline passes while the thread is blocked.
TEST_CASE("A request is not sent after the deadline of its exchange")
{
  asio::io_context context;
  FullListener listener(context);
  tcp::socket accepted(context);
  auto client = Client::Make(context, {});
  RunTest(context, [&]() -> asio::awaitable<void> {
    asio::post(context, [&] { accepted = listener.BlockUntilConnected(); });
    Request request = MakeRequest("/");
    const ExchangeResult result = co_await client->Exchange(
      listener.Address(), std::move(request), Milliseconds(50));
    REQUIRE_FALSE(result);
    CHECK(result.error().m_code == HttpErrorCode::kTimeout);
    CHECK_FALSE(result.error().m_maybeSent);
    client.reset();
    std::string received;
    co_await asio::async_read(
      accepted, asio::dynamic_buffer(received), kUseAwaitableTuple);
    CHECK(received.empty());
  });
}

// Guards against an exchange that continues after its caller has cancelled it.
TEST_CASE("Cancelling an exchange closes its connection at once")
{
  bool closed = false;
  ClientFixture fixture(
    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadWithoutResponding(aSocket);
      closed = true;
    });
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    auto token = std::make_shared<CancelToken>();
    asio::steady_timer timer(fixture.m_context, std::chrono::milliseconds(20));
    timer.async_wait([&](boost::system::error_code) { token->Cancel(); });
    Request request = MakeRequest("/");
    const ExchangeResult result =
      co_await fixture.Exchange(Seconds(5), std::move(request), token);
    REQUIRE_FALSE(result);
    CHECK(result.error().m_code == HttpErrorCode::kCancelled);
    CHECK(result.error().m_maybeSent);
    co_await Sleep(Milliseconds(10));
    CHECK(closed);
    CHECK(fixture.m_client->ConnectionCount() == 0);
  });
}

// Guards against more connections than a backend server accepts, and against
// waiting exchanges that are never resumed.
TEST_CASE("Exchanges wait for a connection when the pool has reached its bound")
{
  ClientOptions options;
  options.m_maxConnectionsPerPeer = 2;
  options.m_maxWaitingExchanges = 10;
  ClientFixture fixture(
    [](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      bool open = co_await ReadRequestHeader(aSocket);
      while (open) {
        co_await Sleep(Milliseconds(20));
        co_await SendText(aSocket, kOkResponse);
        open = co_await ReadRequestHeader(aSocket);
      }
    },
    options);
  int answeredCount = 0;
  int poolFullCount = 0;
  int timeoutCount = 0;
  int finishedCount = 0;
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 14; ++i) {
      asio::co_spawn(
        fixture.m_context,
        [&, i]() -> asio::awaitable<void> {
          // 2 exchanges get a connection and 10 may wait. The last 2 of those
          // have a timeout too short to be served; the remaining 2 are
          // rejected.
          const Duration timeout = Milliseconds(i < 10 ? 2000 : 10);
          const ExchangeResult result = co_await fixture.Exchange(timeout);
          ++finishedCount;
          answeredCount += result ? 1 : 0;
          if (!result) {
            const auto code = result.error().m_code;
            CHECK_FALSE(result.error().m_maybeSent);
            poolFullCount += code == HttpErrorCode::kPoolFull ? 1 : 0;
            timeoutCount += code == HttpErrorCode::kTimeout ? 1 : 0;
          }
        },
        asio::detached);
    }
    while (finishedCount < 14) {
      CHECK(fixture.m_client->ConnectionCount() <= 2);
      co_await Sleep(Milliseconds(2));
    }
  });
  CHECK(answeredCount == 10);
  CHECK(poolFullCount == 2);
  CHECK(timeoutCount == 2);
  CHECK(fixture.m_peer.AcceptedCount() == 2);
}

// Guards against idle connections to one peer that block exchanges with
// another.
TEST_CASE("At the total bound an idle connection is closed for another peer")
{
  ClientOptions options;
  options.m_maxTotalConnections = 1;
  const auto script = [](tcp::socket& aSocket, int) -> asio::awaitable<void> {
    co_await RespondToAllRequests(aSocket);
  };
  ClientFixture fixture(script, options);
  ScriptedPeer other(fixture.m_context, script);
  RunTest(fixture.m_context, [&]() -> asio::awaitable<void> {
    int finishedCount = 0;
    for (int i = 0; i < 20; ++i) {
      const uint16_t port = i % 2 == 0 ? fixture.m_peer.Port() : other.Port();
      asio::co_spawn(
        fixture.m_context,
        [&, port]() -> asio::awaitable<void> {
          Request request = MakeRequest("/");
          const ExchangeResult result = co_await fixture.m_client->Exchange(
            LoopbackAddress(port), std::move(request), Seconds(2));
          CHECK(result);
          ++finishedCount;
        },
        asio::detached);
    }
    while (finishedCount < 20) {
      CHECK(fixture.m_client->ConnectionCount() <= 1);
      co_await Sleep(Milliseconds(1));
    }
  });
}

// Guards against a response that is returned for the wrong request after
// timeouts.
TEST_CASE("Responses match their requests when some requests time out")
{
  asio::io_context context;
  auto server = Server::Make(
    context,
    {},
    [](Request aRequest,
       std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
      const int number = std::stoi(std::string(aRequest.body().View()));
      co_await Sleep(Milliseconds(number % 7 == 0 ? 40 : number % 5));
      Response response;
      response.body() = aRequest.body();
      co_return response;
    });
  REQUIRE(server);
  ClientOptions options;
  options.m_maxConnectionsPerPeer = 8;
  const auto client = Client::Make(context, options);
  int nextNumber = 0;
  int finishedCount = 0;
  int timeoutCount = 0;
  const auto caller = [&]() -> asio::awaitable<void> {
    while (nextNumber < 600) {
      const std::string body = std::to_string(nextNumber++);
      Request request = MakeRequest("/", body);
      const ExchangeResult result =
        co_await client->Exchange(LoopbackAddress((*server)->Port()),
                                  std::move(request),
                                  Milliseconds(30));
      timeoutCount += result ? 0 : 1;
      if (result) {
        CHECK(result->body() == body);
      }
    }
    ++finishedCount;
  };
  RunTest(context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 16; ++i) {
      asio::co_spawn(context, caller(), asio::detached);
    }
    while (finishedCount < 16) {
      co_await Sleep(Milliseconds(2));
    }
  });
  CHECK(timeoutCount >= 80);
}

// Guards against a request whose content is outdated because the process was
// stopped between its preparation and the write.
TEST_CASE("A request that could not be written in time is not sent")
{
  const bool isStopped = GENERATE(false, true);
  asio::io_context context;
  int requestCount = 0;
  ScriptedPeer peer(context,
                    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                      while (co_await ReadRequestHeader(aSocket)) {
                        ++requestCount;
                        co_await SendText(aSocket, kOkResponse);
                      }
                    });
  ClientOptions options;
  options.m_maxSendDelay = Milliseconds(1000);
  const auto client = Client::Make(context, options);
  ExchangeResult result;
  RunTest(context, [&]() -> asio::awaitable<void> {
    if (isStopped) {
      asio::post(context, [] {
        std::this_thread::sleep_for(std::chrono::milliseconds(1300));
      });
    }
    result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), MakeRequest("/"), Seconds(2));
  });
  CHECK(result.has_value() != isStopped);
  CHECK(requestCount == (isStopped ? 0 : 1));
  if (!result) {
    CHECK_FALSE(result.error().m_maybeSent);
  }
}

} // namespace rattanloft::http
