#include <sys/socket.h>

#include "TestPeer.h"

namespace rattanloft::http {

namespace {

Request
MakeRequestWithId(const std::string& aId)
{
  Request request;
  request.method(verb::get);
  request.target("/");
  request.set("Request-Id", aId);
  return request;
}

std::string
ResponseWithId(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nContent-Length: 2\r\n\r\nok";
}

struct ExchangeOutcome
{
  ExchangeResult m_result;
  // Connections that the client still has open after the exchange.
  size_t m_openConnectionCount = 0;
};

// Exchanges one request, with the id "first", with a peer that runs the script.
ExchangeOutcome
ExchangeOnce(ScriptedPeer::Script aScript, const ClientOptions& aOptions)
{
  asio::io_context context;
  ScriptedPeer peer(context, std::move(aScript));
  const auto client = Client::Make(context, aOptions);
  ExchangeOutcome outcome;
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequestWithId("first");
    outcome.m_result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), Seconds(2));
  });
  outcome.m_openConnectionCount = client->ConnectionCount();
  return outcome;
}

// Exchanges one request with a peer that sends a response, the second part of
// it some time after the first, and keeps the connection open.
ExchangeOutcome
ExchangeWithResponse(const std::string& aFirst, const std::string& aSecond = {})
{
  ClientOptions options;
  options.m_acceptUnframedResponses = true;
  return ExchangeOnce(
    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, aFirst);
      if (!aSecond.empty()) {
        co_await Sleep(Milliseconds(2));
        co_await SendText(aSocket, aSecond);
      }
      co_await ReadRequestHeader(aSocket);
    },
    options);
}

void
CheckBrokenOff(const ExchangeOutcome& aOutcome)
{
  REQUIRE_FALSE(aOutcome.m_result);
  CHECK(aOutcome.m_result.error().m_code == HttpErrorCode::kConnectionBroken);
  CHECK(aOutcome.m_result.error().m_maybeSent);
  CHECK(aOutcome.m_openConnectionCount == 0);
}

} // namespace

// Guards against a connection whose responses lag one behind its requests: a
// retry of the same request on it would get a stale response with the expected
// id.
TEST_CASE("A response with the id of another request closes the connection")
{
  ClientOptions options;
  options.m_echoedFieldName = "Request-Id";
  const ExchangeOutcome outcome = ExchangeOnce(
    [](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, ResponseWithId("older"));
      co_await ReadRequestHeader(aSocket);
    },
    options);
  REQUIRE_FALSE(outcome.m_result);
  CHECK(outcome.m_result.error().m_code == HttpErrorCode::kConnectionBroken);
  CHECK(outcome.m_result.error().m_maybeSent);
  CHECK(outcome.m_openConnectionCount == 0);
}

// Guards against a check of the id that closes healthy connections.
TEST_CASE("A response with the id of its request keeps the connection")
{
  ClientOptions options;
  options.m_echoedFieldName = "Request-Id";
  const ExchangeOutcome outcome = ExchangeOnce(
    [](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, ResponseWithId("first"));
      co_await ReadRequestHeader(aSocket);
    },
    options);
  REQUIRE(outcome.m_result);
  CHECK(outcome.m_openConnectionCount == 1);
}

// Guards against a late copy of a rejection that counts as the response to the
// second send of the same request, which then runs: both bear the same id.
TEST_CASE("A request that is sent again uses another connection")
{
  const std::string rejection = "HTTP/1.1 429 Too Many Requests\r\n"
                                "Request-Id: first\r\n"
                                "Content-Length: 0\r\n\r\n";
  const bool sendsOthersBetween = GENERATE(false, true);
  CAPTURE(sendsOthersBetween);
  asio::io_context context;
  // Rejects the first request of the first connection, and writes a copy of the
  // rejection where the response to the last request is expected.
  const int lastRequest = sendsOthersBetween ? 2 : 1;
  ScriptedPeer peer(
    context,
    [&](tcp::socket& aSocket, int aConnectionIndex) -> asio::awaitable<void> {
      for (int request = 0; co_await ReadRequestHeader(aSocket); ++request) {
        if (aConnectionIndex == 0 && request == 0) {
          co_await SendText(aSocket, rejection);
        } else if (aConnectionIndex == 0 && request == lastRequest) {
          co_await SendText(aSocket, rejection + ResponseWithId("first"));
        } else if (aConnectionIndex == 0) {
          co_await SendText(aSocket, ResponseWithId("other"));
        } else {
          co_await SendText(aSocket, ResponseWithId("first"));
        }
      }
    });
  ClientOptions options;
  options.m_echoedFieldName = "Request-Id";
  const auto client = Client::Make(context, options);
  const auto exchange = [&](std::string aId) {
    Request request = MakeRequestWithId(aId);
    return client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), Seconds(2));
  };
  RunTest(context, [&]() -> asio::awaitable<void> {
    const ExchangeResult rejected = co_await exchange("first");
    REQUIRE(rejected);
    CHECK(rejected->result() == status::too_many_requests);
    if (sendsOthersBetween) {
      const ExchangeResult other = co_await exchange("other");
      CHECK(other);
    }
    const ExchangeResult repeated = co_await exchange("first");
    REQUIRE(repeated);
    CHECK(repeated->result() == status::ok);
  });
  CHECK(peer.AcceptedCount() == 2);
}

// Guards against a ready response that is replaced by an error, since a copy of
// the response to an earlier request comes before it.
TEST_CASE("A late copy of an earlier response is skipped")
{
  const int copyCount = GENERATE(1, 4, 5);
  CAPTURE(copyCount);
  asio::io_context context;
  ScriptedPeer peer(
    context, [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, ResponseWithId("first"));
      co_await ReadRequestHeader(aSocket);
      std::string text;
      for (int copy = 0; copy < copyCount; ++copy) {
        text += ResponseWithId("first");
      }
      co_await SendText(aSocket, text + ResponseWithId("second"));
    });
  ClientOptions options;
  options.m_echoedFieldName = "Request-Id";
  const auto client = Client::Make(context, options);
  ExchangeResult second;
  RunTest(context, [&]() -> asio::awaitable<void> {
    for (const std::string id : { "first", "second" }) {
      Request request = MakeRequestWithId(id);
      second = co_await client->Exchange(
        LoopbackAddress(peer.Port()), std::move(request), Seconds(2));
    }
  });
  const bool isSkipped = copyCount <= 4;
  REQUIRE(second.has_value() == isSkipped);
  if (isSkipped) {
    CHECK((*second)["Request-Id"] == "second");
  }
  CHECK(client->ConnectionCount() == 0);
}

// Guards against a status that no caller can interpret, and against a final
// response that callers take for an interim one.
TEST_CASE("A response with an invalid status is an error")
{
  const std::string code = GENERATE("000", "001", "099", "101", "600", "999");
  CAPTURE(code);
  const std::string length = GENERATE("", "Content-Length: 2\r\n");
  CheckBrokenOff(ExchangeWithResponse("HTTP/1.1 " + code + " Status\r\n" +
                                      length + "\r\nok"));
}

// Guards against an interim response that is returned as the final one, since
// its status has no name.
TEST_CASE("An interim response with any status is skipped")
{
  const std::string code = GENERATE("100", "103", "104", "199");
  const ExchangeOutcome outcome =
    ExchangeWithResponse("HTTP/1.1 " + code + " Status\r\n\r\n" +
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(outcome.m_result);
  CHECK(outcome.m_result->result_int() == 200);
  CHECK(outcome.m_result->body() == "ok");
}

// Guards against a check that refuses responses which are unusual but valid.
TEST_CASE("A response with any final status is returned")
{
  const std::string code = GENERATE("200", "299", "304", "418", "599");
  const ExchangeOutcome outcome =
    ExchangeWithResponse("HTTP/1.1 " + code + " \r\nContent-Length: 0\r\n\r\n");
  REQUIRE(outcome.m_result);
  CHECK(std::to_string(outcome.m_result->result_int()) == code);
  CHECK(outcome.m_openConnectionCount == 1);
}

// Guards against the beginning of a response that is passed on as a whole one.
TEST_CASE("A response that ends within its header is an error")
{
  const std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\n"
                               "Signature: s\r\nContent-Length: 2\r\n"
                               "Connection: close\r\n\r\nok";
  const bool acceptsUnframed = GENERATE(false, true);
  const bool resets = GENERATE(false, true);
  ClientOptions options;
  options.m_echoedFieldName = "Request-Id";
  options.m_acceptUnframedResponses = acceptsUnframed;
  for (size_t length = 0; length < response.size(); ++length) {
    CAPTURE(length, acceptsUnframed, resets);
    const ExchangeOutcome outcome = ExchangeOnce(
      [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
        co_await ReadRequestHeader(aSocket);
        co_await SendText(aSocket, response.substr(0, length));
        if (resets) {
          aSocket.set_option(asio::socket_base::linger(true, 0));
          aSocket.close();
        }
      },
      options);
    REQUIRE_FALSE(outcome.m_result);
    CHECK(outcome.m_result.error().m_maybeSent);
    CHECK(outcome.m_openConnectionCount == 0);
  }
}

// Guards against a truncated response without a length that is taken for a
// complete one.
TEST_CASE("A response without a length is complete only after an orderly close")
{
  const bool reset = GENERATE(false, true);
  ClientOptions options;
  options.m_acceptUnframedResponses = true;
  const ExchangeOutcome outcome = ExchangeOnce(
    [reset](tcp::socket& aSocket, int) -> asio::awaitable<void> {
      co_await ReadRequestHeader(aSocket);
      co_await SendText(aSocket, "HTTP/1.1 200 OK\r\n\r\npart");
      if (reset) {
        co_await Sleep(Milliseconds(50));
        aSocket.set_option(asio::socket_base::linger(true, 0));
        aSocket.close();
      }
    },
    options);
  CHECK(outcome.m_result.has_value() != reset);
  CHECK(outcome.m_openConnectionCount == 0);
}

// Guards against a truncated response without a length that is taken for a
// complete one: the write of the request reports the reset, and the read then
// ends like after an orderly close.
TEST_CASE("A reset while the request is written leaves no complete response")
{
  constexpr size_t kUploadBytes = 32 * 1024 * 1024;
  const std::string length = GENERATE("", "Content-Length: 4\r\n");
  const bool hasLength = !length.empty();
  const std::string response = "HTTP/1.1 200 OK\r\n" + length + "\r\npart";
  asio::io_context context;
  ScriptedPeer peer(context,
                    [&](tcp::socket& aSocket, int) -> asio::awaitable<void> {
                      co_await ReadRequestHeader(aSocket);
                      co_await SendText(aSocket, response);
                      co_await Sleep(Milliseconds(50));
                      aSocket.set_option(asio::socket_base::linger(true, 0));
                      aSocket.close();
                    });
  ClientOptions options;
  options.m_acceptUnframedResponses = true;
  const auto client = Client::Make(context, options);
  ExchangeResult result;
  RunTest(context, [&]() -> asio::awaitable<void> {
    Request request = MakeRequest("/", std::string(kUploadBytes, 'x'));
    result = co_await client->Exchange(
      LoopbackAddress(peer.Port()), std::move(request), Seconds(5));
  });
  // A response whose length is known is complete however its connection ends.
  REQUIRE(result.has_value() == hasLength);
  if (!result) {
    CHECK(result.error().m_code == HttpErrorCode::kConnectionBroken);
    CHECK(result.error().m_maybeSent);
  }
  CHECK(client->ConnectionCount() == 0);
}

// Guards against a response whose header is read in another way than it was
// meant: a line that is no field is passed on, or the length that it holds is
// lost and the body ends elsewhere.
TEST_CASE("A response with a malformed field name is an error")
{
  const std::string name = GENERATE("X-Field", "Content-Length");
  const std::string value = name == "X-Field" ? "v" : "2";
  const std::string otherField =
    name == "X-Field" ? "Content-Length: 2\r\n" : "Other: other\r\n";
  const size_t position = GENERATE(size_t{ 0 }, size_t{ 3 }, size_t{ 7 });
  const bool isFirstLine = GENERATE(false, true);
  std::string notTokens = " \t\"(),/;<=>?@[\\]{}\x7f\x80\xff";
  for (char control = 0; control < ' '; ++control) {
    notTokens += control;
  }
  for (const char character : notTokens) {
    std::string line = name + ": " + value + "\r\n";
    line.insert(position, 1, character);
    CAPTURE(line, isFirstLine);
    CheckBrokenOff(ExchangeWithResponse(
      "HTTP/1.1 200 OK\r\n" +
      (isFirstLine ? line + otherField : otherField + line) + "\r\nok"));
  }
}

// Guards against a check that sees a folded line only if it arrives together
// with the line before it.
TEST_CASE("A folded line is found however the response is split")
{
  const std::string response =
    "HTTP/1.1 200 OK\r\nX: a\r\n\tContent-Length: 2\r\n\r\nok";
  for (size_t split = 1; split < response.size(); ++split) {
    CAPTURE(split);
    CheckBrokenOff(
      ExchangeWithResponse(response.substr(0, split), response.substr(split)));
  }
}

// Guards against lines after the body that callers get as fields of the head.
TEST_CASE("Trailer fields are not returned")
{
  const std::string trailer =
    GENERATE("Field: v\r\n", "Field: a\r\n\tContent-Length: 5\r\n");
  const ExchangeOutcome outcome = ExchangeWithResponse(
    "HTTP/1.1 200 OK\r\nKept: k\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n" +
    trailer + "\r\n");
  REQUIRE(outcome.m_result);
  CHECK(outcome.m_result->body() == "ok");
  CHECK((*outcome.m_result)["Kept"] == "k");
  CHECK(outcome.m_result->count("Field") == 0);
  CHECK(outcome.m_result->count(field::content_length) == 0);
  CHECK(outcome.m_openConnectionCount == 1);
}

// Guards against a check that takes text of the body for a folded line.
TEST_CASE("Lines of a body may begin with a blank")
{
  const std::string body = "a\r\n b\n\tc";
  const std::string head =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
    "\r\n\r\n";
  // Bytes of the body that arrive with the head.
  const size_t early = GENERATE(0, 3, 8);
  const ExchangeOutcome outcome =
    ExchangeWithResponse(head + body.substr(0, early), body.substr(early));
  REQUIRE(outcome.m_result);
  CHECK(outcome.m_result->body() == body);
}

} // namespace rattanloft::http
