#include <sys/socket.h>

#include "TestPeer.h"

namespace rattanloft::http {

namespace {

constexpr uint32_t kMaxHeaderBytes = 4 * 1024;
constexpr uint64_t kMaxBodyBytes = 32 * 1024;
// What a paced client may send beyond the limits before it sees the refusal.
constexpr size_t kSlackBytes = 64 * 1024;
constexpr size_t kPacedBytes = 400;

const std::string kRequestLine = "POST / HTTP/1.1\r\n";
const std::string kHead = kRequestLine + "Host: a\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

// A request that starts with m_start and repeats m_unit without end.
struct EndlessRequest
{
  std::string m_name;
  std::string m_start;
  std::string m_unit;
  std::string m_status;
};

const std::vector<EndlessRequest>&
EndlessRequests()
{
  static const std::vector<EndlessRequest> requests = {
    { "method", "", "X", "431" },
    { "target", "GET /", "x", "431" },
    { "header name", kHead, "x", "431" },
    { "header line", kHead + "X: ", "x", "431" },
    { "header lines", kHead, "Field: value\r\n", "431" },
    { "empty lines", "", "\r\n", "400" },
    { "zero bytes", "", std::string(8, '\0'), "400" },
    { "body of a large length",
      kHead + "Content-Length: 99999999999\r\n\r\n",
      "x",
      "413" },
    { "chunks", kChunkedHead, "8\r\n12345678\r\n", "413" },
    { "chunk size", kChunkedHead, "1", "431" },
    { "chunk size of zeros", kChunkedHead, "0", "431" },
    { "chunk extension", kChunkedHead + "8;", "x", "431" },
    { "extension of the last chunk", kChunkedHead + "0;", "x", "431" },
    { "trailer line", kChunkedHead + "0\r\nX: ", "x", "431" },
    { "trailer lines", kChunkedHead + "0\r\n", "Field: value\r\n", "431" },
  };
  return requests;
}

struct EndlessOutcome
{
  std::string m_response;
  // Sent by the client until it got the response.
  size_t m_sentBytes = 0;
  bool m_sawClose = false;
  int m_handlerCalls = 0;
};

// Sends the start once and then the text without end, until the server closes
// the connection, at most for five seconds. The pauses end with the response.
EndlessOutcome
SendEndlessRequest(const std::string& aStart,
                   const std::string& aText,
                   Duration aPause,
                   const ServerOptions& aOptions)
{
  asio::io_context context;
  EndlessOutcome outcome;
  const auto server = Server::Make(
    context,
    aOptions,
    [&](Request, std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
      ++outcome.m_handlerCalls;
      co_return Response();
    });
  REQUIRE(server);
  RawClient client(context, (*server)->Port());
  RunTest(context, [&]() -> asio::awaitable<void> {
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await client.Send(aStart);
        while (!outcome.m_sawClose) {
          auto [error, byteCount] = co_await asio::async_write(
            client.m_socket, asio::buffer(aText), kUseAwaitableTuple);
          outcome.m_sawClose = error.failed();
          outcome.m_sentBytes += outcome.m_response.empty() ? byteCount : 0;
          if (aPause.m_ms > 0 && outcome.m_response.empty()) {
            co_await Sleep(aPause);
          }
        }
      },
      asio::detached);
    outcome.m_response = co_await client.ReadAll();
    for (int i = 0; i < 1000 && !outcome.m_sawClose; ++i) {
      co_await Sleep(Milliseconds(5));
    }
  });
  return outcome;
}

ServerOptions
MakeOptions()
{
  ServerOptions options;
  options.m_maxHeaderBytes = kMaxHeaderBytes;
  options.m_maxBodyBytes = kMaxBodyBytes;
  options.m_readTimeout = Milliseconds(1500);
  return options;
}

void
CheckRefusedAndClosed(const EndlessOutcome& aOutcome,
                      const std::string& aStatus)
{
  CHECK(aOutcome.m_response.substr(0, 12) == "HTTP/1.1 " + aStatus);
  CHECK(aOutcome.m_sawClose);
  CHECK(aOutcome.m_handlerCalls == 0);
}

} // namespace

// Guards against a request that makes the server use unbounded memory.
TEST_CASE("A request without end is refused at the limits")
{
  const size_t index = GENERATE(range(size_t{ 0 }, EndlessRequests().size()));
  const EndlessRequest& request = EndlessRequests()[index];
  INFO(request.m_name);
  const EndlessOutcome outcome =
    SendEndlessRequest(request.m_start,
                       Repeat(request.m_unit, kPacedBytes),
                       Milliseconds(1),
                       MakeOptions());
  CheckRefusedAndClosed(outcome, request.m_status);
  CHECK(outcome.m_sentBytes < kMaxHeaderBytes + kMaxBodyBytes + kSlackBytes);
}

// Guards against a limit that holds only while the client is slow.
TEST_CASE("A request without end at full speed ends with the connection")
{
  const size_t index = GENERATE(range(size_t{ 0 }, EndlessRequests().size()));
  const EndlessRequest& request = EndlessRequests()[index];
  INFO(request.m_name);
  const EndlessOutcome outcome =
    SendEndlessRequest(request.m_start,
                       Repeat(request.m_unit, 64 * 1024),
                       Duration{},
                       MakeOptions());
  CheckRefusedAndClosed(outcome, request.m_status);
}

// Guards against a limit that counts only the last, incomplete header line.
TEST_CASE("Request header lines that arrive one by one are limited in total")
{
  const EndlessOutcome outcome =
    SendEndlessRequest(kHead + "X",
                       ": " + std::string(95, 'x') + "\r\nX",
                       Milliseconds(2),
                       MakeOptions());
  CheckRefusedAndClosed(outcome, "431");
  CHECK(outcome.m_sentBytes < 4 * kMaxHeaderBytes);
}

// Guards against a read timeout that a client evades by sending fast.
TEST_CASE("Many chunks of one byte with long extensions end at the timeout")
{
  ServerOptions options = MakeOptions();
  options.m_maxBodyBytes = 64 * 1024 * 1024;
  options.m_readTimeout = Milliseconds(300);
  const std::string chunk = "1;" + std::string(3000, 'x') + "\r\nx\r\n";
  const EndlessOutcome outcome = SendEndlessRequest(
    kChunkedHead, Repeat(chunk, 64 * 1024), Duration{}, options);
  CheckRefusedAndClosed(outcome, "408");
}

// Guards against a read timeout that a client evades by sending from a thread
// of its own, so that every read finds input and ends within a chunk header.
TEST_CASE("Chunks that are always at hand end at the timeout")
{
  ServerOptions options = MakeOptions();
  options.m_maxBodyBytes = 64 * 1024 * 1024;
  options.m_readTimeout = Milliseconds(300);
  asio::io_context context;
  const auto server = Server::Make(
    context,
    options,
    [](Request, std::shared_ptr<CancelToken>) -> asio::awaitable<Response> {
      co_return Response();
    });
  REQUIRE(server);
  RawClient client(context, (*server)->Port());
  client.m_socket.non_blocking(false);
  const std::string chunk = "1;" + std::string(3000, 'x') + "\r\nx\r\n";
  const int socket = client.m_socket.native_handle();
  std::thread sender([&] {
    boost::system::error_code error;
    asio::write(client.m_socket, asio::buffer(kChunkedHead), error);
    const std::string text = Repeat(chunk, 64 * 1024);
    while (!error) {
      asio::write(client.m_socket, asio::buffer(text), error);
    }
    asio::post(context, [&] { context.stop(); });
  });
  // Lets the sender fill the buffers of the sockets first.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  context.run_for(std::chrono::seconds(5));
  const bool ended = context.stopped();
  shutdown(socket, SHUT_RDWR);
  sender.join();
  CHECK(ended);
}

} // namespace rattanloft::http
