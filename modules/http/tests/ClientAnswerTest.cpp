#include <sys/socket.h>

#include "TestPeer.h"

namespace rattanloft::http {

namespace {

Request
WithId(const std::string& aId)
{
  Request request;
  request.method(verb::get);
  request.target("/");
  request.set("Request-Id", aId);
  return request;
}

std::string
AnswerWithId(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nContent-Length: 2\r\n\r\nok";
}

} // namespace

// Guards against a connection that is one answer behind: a repeat of the same
// request on it would get an older answer with the id that it expects.
TEST_CASE("An answer with the id of another request closes its connection")
{
  asio::io_context context;
  ScriptedPeer peer(context,
                    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                      co_await ReadHead(aSocket);
                      co_await SendText(aSocket, AnswerWithId("older"));
                      bool open = co_await ReadHead(aSocket);
                      while (open) {
                        co_await SendText(aSocket, AnswerWithId("first"));
                        open = co_await ReadHead(aSocket);
                      }
                    });
  ClientOptions options;
  options.m_echoedField = "Request-Id";
  const auto client = Client::Make(context, options);
  Result result;
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = WithId("first");
    result = co_await client->Exchange(
      PeerName(peer.Port()), std::move(request), Seconds(2));
  });
  REQUIRE_FALSE(result);
  CHECK(result.error().m_code == HttpErrorCode::kBroken);
  CHECK(result.error().m_maybeSent);
  CHECK(client->Connections() == 0);
}

TEST_CASE("An answer that repeats the id keeps its connection")
{
  asio::io_context context;
  ScriptedPeer peer(context,
                    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                      co_await ReadHead(aSocket);
                      co_await SendText(aSocket, AnswerWithId("first"));
                      co_await ReadHead(aSocket);
                    });
  ClientOptions options;
  options.m_echoedField = "Request-Id";
  const auto client = Client::Make(context, options);
  Result result;
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = WithId("first");
    result = co_await client->Exchange(
      PeerName(peer.Port()), std::move(request), Seconds(2));
  });
  REQUIRE(result);
  CHECK(client->Connections() == 1);
}

// Guards against an answer without a length that was cut short and is passed on
// as complete.
TEST_CASE("An answer without a length is complete only if its end is clean")
{
  const bool reset = GENERATE(false, true);
  asio::io_context context;
  ScriptedPeer peer(context,
                    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                      co_await ReadHead(aSocket);
                      co_await SendText(aSocket, "HTTP/1.1 200 OK\r\n\r\npart");
                      if (reset) {
                        co_await Sleep(Milliseconds(50));
                        aSocket.set_option(asio::socket_base::linger(true, 0));
                        aSocket.close();
                      }
                    });
  ClientOptions options;
  options.m_acceptUnframed = true;
  const auto client = Client::Make(context, options);
  Result result;
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = WithId("first");
    result = co_await client->Exchange(
      PeerName(peer.Port()), std::move(request), Seconds(2));
  });
  CHECK(result.has_value() != reset);
  CHECK(client->Connections() == 0);
}

} // namespace rattanloft::http
