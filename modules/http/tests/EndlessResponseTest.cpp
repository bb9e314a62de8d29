#include <algorithm>

#include "TestPeer.h"

namespace rattanloft::http {

namespace {

constexpr uint32_t kMaxHeaderBytes = 4 * 1024;
constexpr uint64_t kMaxBodyBytes = 32 * 1024;
// What a paced peer may send beyond the limits before it sees the close.
constexpr size_t kSlackBytes = 64 * 1024;
constexpr size_t kPacedBytes = 400;
// The client reads so many bytes at a time.
constexpr size_t kReadBytes = 512;

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead =
  kStatusLine + "Transfer-Encoding: chunked\r\n\r\n";

// A response that starts with m_start and repeats m_unit without end.
struct EndlessResponse
{
  std::string m_name;
  std::string m_start;
  std::string m_unit;
  // What a sender gets that stays within the limits until the deadline.
  HttpErrorCode m_errorWhenSlow = HttpErrorCode::kTimeout;
};

const std::vector<EndlessResponse>&
EndlessResponses()
{
  constexpr auto kBroken = HttpErrorCode::kConnectionBroken;
  static const std::vector<EndlessResponse> responses = {
    { "status line", "HTTP/1.1 200 ", "x" },
    { "header name", kStatusLine, "x" },
    { "header line", kStatusLine + "X: ", "x" },
    { "header lines", kStatusLine, "Field: value\r\n" },
    { "folded header line", kStatusLine + "X: x\r\n", " x\r\n" },
    { "empty lines", "", "\r\n", kBroken },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "header lines of an interim response",
      "HTTP/1.1 100 Continue\r\n",
      "Field: value\r\n" },
    { "zero bytes", "", std::string(8, '\0'), kBroken },
    { "text", "", "not a response ", kBroken },
    { "versions", "", "HTTP/1.1 " },
    { "body without a length", kStatusLine + "\r\n", "x" },
    { "body of a large length",
      kStatusLine + "Content-Length: 99999999999\r\n\r\n",
      "x",
      kBroken },
    { "chunks", kChunkedHead, "8\r\n12345678\r\n" },
    { "chunk of a large size", kChunkedHead + "fffffff\r\n", "x", kBroken },
    { "chunk size", kChunkedHead, "1" },
    { "chunk size of zeros", kChunkedHead, "0" },
    { "chunk extension", kChunkedHead + "8;", "x" },
    { "quoted chunk extension", kChunkedHead + "8;x=\"", "x" },
    { "extension of a second chunk", kChunkedHead + "1\r\nx\r\n8;", "x" },
    { "extension of the last chunk", kChunkedHead + "0;", "x" },
    { "trailer line", kChunkedHead + "0\r\nX: ", "x" },
    { "trailer lines", kChunkedHead + "0\r\n", "Field: value\r\n" },
  };
  return responses;
}

// What the peer saw of one connection.
struct PeerLog
{
  size_t m_sentBytes = 0;
  bool m_sawClose = false;
};

// Sends the text without end, with a pause after each time, until the client
// closes the connection.
asio::awaitable<void>
SendWithoutEnd(tcp::socket& aSocket,
               std::string aText,
               Duration aPause,
               PeerLog& aLog)
{
  while (true) {
    auto [error, byteCount] = co_await asio::async_write(
      aSocket, asio::buffer(aText), kUseAwaitableTuple);
    aLog.m_sentBytes += byteCount;
    if (error) {
      aLog.m_sawClose = true;
      co_return;
    }
    if (aPause.m_ms > 0) {
      co_await Sleep(aPause);
    }
  }
}

ClientOptions
MakeOptions()
{
  ClientOptions options;
  options.m_maxHeaderBytes = kMaxHeaderBytes;
  options.m_maxBodyBytes = kMaxBodyBytes;
  options.m_acceptUnframedResponses = true;
  return options;
}

struct EndlessOutcome
{
  ExchangeResult m_result;
  PeerLog m_peer;
  size_t m_openConnectionCount = 0;
  std::chrono::steady_clock::duration m_elapsed{};
};

// Exchanges one request with a peer that sends the start once and then the text
// without end. Waits half a second at most for the peer to see the close.
EndlessOutcome
ExchangeWithEndlessPeer(const std::string& aStart,
                        const std::string& aText,
                        Duration aPause,
                        Duration aTimeout)
{
  asio::io_context context;
  EndlessOutcome outcome;
  ScriptedPeer peer(
    context, [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, aStart);
      co_await SendWithoutEnd(aSocket, aText, aPause, outcome.m_peer);
    });
  const auto client = Client::Make(context, MakeOptions());
  RunTest(context, [&]() -> asio::awaitable<void> {
    const auto start = std::chrono::steady_clock::now();
    Request request = MakeRequest("/");
    outcome.m_result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), aTimeout);
    outcome.m_elapsed = std::chrono::steady_clock::now() - start;
    outcome.m_openConnectionCount = client->ConnectionCount();
    for (int i = 0; i < 100 && !outcome.m_peer.m_sawClose; ++i) {
      co_await Sleep(Milliseconds(5));
    }
  });
  return outcome;
}

void
CheckFailedAndClosed(const EndlessOutcome& aOutcome, HttpErrorCode aErrorCode)
{
  CHECK(aOutcome.m_peer.m_sawClose);
  CHECK(aOutcome.m_openConnectionCount == 0);
  CHECK_FALSE(aOutcome.m_result.has_value());
  if (!aOutcome.m_result) {
    INFO(aOutcome.m_result.error().m_message);
    CHECK(aOutcome.m_result.error().m_code == aErrorCode);
    CHECK(aOutcome.m_result.error().m_maybeSent);
  }
}

} // namespace

// Guards against a response that makes the client use unbounded memory.
TEST_CASE("A response without end is broken off at the limits")
{
  const size_t index = GENERATE(range(size_t{ 0 }, EndlessResponses().size()));
  const EndlessResponse& response = EndlessResponses()[index];
  INFO(response.m_name);
  const EndlessOutcome outcome =
    ExchangeWithEndlessPeer(response.m_start,
                            Repeat(response.m_unit, kPacedBytes),
                            Milliseconds(1),
                            Milliseconds(1500));
  CheckFailedAndClosed(outcome, HttpErrorCode::kConnectionBroken);
  CHECK(outcome.m_peer.m_sentBytes <
        kMaxHeaderBytes + kMaxBodyBytes + kSlackBytes);
}

// Guards against a limit that holds only while the sender is slow.
TEST_CASE("A response without end at full speed is broken off")
{
  const size_t index = GENERATE(range(size_t{ 0 }, EndlessResponses().size()));
  const EndlessResponse& response = EndlessResponses()[index];
  INFO(response.m_name);
  const EndlessOutcome outcome =
    ExchangeWithEndlessPeer(response.m_start,
                            Repeat(response.m_unit, 64 * 1024),
                            Duration{},
                            Milliseconds(500));
  CheckFailedAndClosed(outcome, HttpErrorCode::kConnectionBroken);
}

// Guards against a limit that counts only the last, incomplete header line.
TEST_CASE("Header lines that arrive one by one are limited in total")
{
  const bool isInterim = GENERATE(false, true);
  const EndlessOutcome outcome = ExchangeWithEndlessPeer(
    (isInterim ? "HTTP/1.1 100 Continue\r\n" : kStatusLine) + "X",
    ": " + std::string(95, 'x') + "\r\nX",
    Milliseconds(2),
    Milliseconds(1500));
  CheckFailedAndClosed(outcome, HttpErrorCode::kConnectionBroken);
  CHECK(outcome.m_peer.m_sentBytes < 4 * kMaxHeaderBytes);
}

// Guards against a deadline that starts again with each byte.
TEST_CASE("A slow response without end is broken off at the deadline")
{
  const size_t index = GENERATE(range(size_t{ 0 }, EndlessResponses().size()));
  const EndlessResponse& response = EndlessResponses()[index];
  INFO(response.m_name);
  const EndlessOutcome outcome = ExchangeWithEndlessPeer(
    response.m_start, response.m_unit, Milliseconds(20), Milliseconds(150));
  CheckFailedAndClosed(outcome, response.m_errorWhenSlow);
  CHECK(outcome.m_elapsed < std::chrono::seconds(2));
}

// Guards against a fast sender that starves the other exchanges of the thread.
TEST_CASE("Other exchanges are served during a response without end")
{
  asio::io_context context;
  PeerLog log;
  const std::string chunk = "1;" + std::string(3000, 'x') + "\r\nx\r\n";
  ScriptedPeer faulty(context,
                      [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                        co_await ReadRequestHeader(aSocket);
                        co_await SendText(aSocket, kChunkedHead);
                        co_await SendWithoutEnd(
                          aSocket, Repeat(chunk, 64 * 1024), Duration{}, log);
                      });
  ScriptedPeer sound(
    context, [](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      while (co_await ReadRequestHeader(aSocket)) {
        co_await SendText(aSocket, kStatusLine + "Content-Length: 2\r\n\r\nok");
      }
    });
  ClientOptions options = MakeOptions();
  options.m_maxBodyBytes = 1024 * 1024;
  const auto client = Client::Make(context, options);
  ExchangeResult faultyResult;
  bool faultyDone = false;
  int servedCount = 0;
  RunTest(context, [&]() -> asio::awaitable<void> {
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        Request request = MakeRequest("/");
        faultyResult = co_await client->Exchange(LoopbackAddress(faulty.Port()),
                                                 std::move(request),
                                                 Milliseconds(500));
        faultyDone = true;
      },
      asio::detached);
    while (!faultyDone) {
      Request request = MakeRequest("/");
      const ExchangeResult result = co_await client->Exchange(
        LoopbackAddress(sound.Port()), std::move(request), Seconds(5));
      servedCount += result ? 1 : 0;
    }
  });
  REQUIRE_FALSE(faultyResult);
  CHECK(faultyResult.error().m_code == HttpErrorCode::kTimeout);
  CHECK(log.m_sentBytes > 0);
  CHECK(servedCount > 20);
}

// Guards against a connection with extra bytes that carries another request.
TEST_CASE("A connection with extra bytes after a response is closed")
{
  const bool isInSameRead = GENERATE(true, false);
  const std::string response = kStatusLine + "Content-Length: 2\r\n\r\nok";
  const std::string start = isInSameRead ? response + kStatusLine : response;
  asio::io_context context;
  PeerLog log;
  ScriptedPeer peer(
    context, [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, start);
      co_await Sleep(Milliseconds(20));
      co_await SendWithoutEnd(aSocket, kStatusLine, Milliseconds(1), log);
    });
  const auto client = Client::Make(context, MakeOptions());
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/");
    const ExchangeResult result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), Seconds(2));
    REQUIRE(result);
    CHECK(result->body() == "ok");
    CHECK(client->ConnectionCount() == (isInSameRead ? 0 : 1));
    for (int i = 0; i < 400 && !log.m_sawClose; ++i) {
      co_await Sleep(Milliseconds(5));
    }
    CHECK(log.m_sawClose);
    CHECK(client->ConnectionCount() == 0);
  });
}

// Guards against extra bytes that the next exchange takes for its response.
TEST_CASE("A waiting exchange gets no connection with extra bytes")
{
  // The last read ends with the body, so that the extra bytes stay unread.
  const std::string head = kStatusLine + "Content-Length: 1000\r\n\r\n";
  const std::string sound = head + std::string(1000, 'x');
  const size_t bodyBytes = 4 * kReadBytes - head.size();
  REQUIRE(bodyBytes > 1000);
  const std::string withExtraBytes =
    kStatusLine + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" +
    std::string(bodyBytes, 'x') + head + std::string(1000, 'e');
  asio::io_context context;
  ScriptedPeer peer(
    context, [&](tcp::socket& aSocket, int aIndex) -> asio::awaitable<void> {
      const std::string& text = aIndex == 0 ? withExtraBytes : sound;
      bool open = co_await ReadRequestHeader(aSocket);
      while (open) {
        co_await SendText(aSocket, text);
        open = co_await ReadRequestHeader(aSocket);
      }
    });
  ClientOptions options = MakeOptions();
  options.m_maxConnectionsPerPeer = 1;
  const auto client = Client::Make(context, options);
  std::vector<std::string> bodies;
  const auto exchange = [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/");
    const ExchangeResult result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), Seconds(2));
    bodies.push_back(result ? std::string(result->body().View())
                            : result.error().m_message);
  };
  RunTest(context, [&]() -> asio::awaitable<void> {
    asio::co_spawn(context, exchange(), asio::detached);
    asio::co_spawn(context, exchange(), asio::detached);
    while (bodies.size() < 2) {
      co_await Sleep(Milliseconds(5));
    }
  });
  CHECK(bodies[0] == std::string(bodyBytes, 'x'));
  CHECK(bodies[1] == std::string(1000, 'x'));
  CHECK(peer.AcceptedCount() == 2);
}

} // namespace rattanloft::http
