#include "rattanloft/http/Client.h"

#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>

#include "ConnectionPool.h"
#include "HeaderFields.h"
#include "ReadHeader.h"
#include "ResponseCharge.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/http/Endpoint.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::http::field;

// Makes operations return their error code instead of throwing.
constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
// TCP_USER_TIMEOUT: the time after which the system closes a connection whose
// sent data is not acknowledged.
constexpr int kTcpUserTimeoutMs = 5000;
// Time before the first keep-alive probe and between further ones.
constexpr int kTcpKeepAliveSeconds = 5;
constexpr int kTcpKeepAliveProbeCount = 3;
// Limit on interim (1xx) responses to one request. A peer that sends more of
// them is faulty.
constexpr int kMaxInterimResponses = 16;
// Limit on late copies of earlier responses that are read before the response
// to one request.
constexpr int kMaxSkippedCopies = 4;
// A connection that has carried so many requests with an echoed field is
// closed. Bounds its list of them.
constexpr size_t kMaxEchoesPerConnection = 1024;

using Fields = beast::http::fields;
using Parser = beast::http::response_parser<BodyType>;

enum class StatusKind
{
  kInterim,
  kFinal,
  kInvalid,
};

// Takes a number, since Beast has no name for most statuses. 101 is invalid
// because a Client never asks for another protocol.
StatusKind
ClassifyStatus(unsigned aStatus)
{
  constexpr unsigned kMinInterim = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kMinFinal = 200;
  constexpr unsigned kMaxFinal = 599;
  if (aStatus < kMinInterim || aStatus == kSwitchingProtocols ||
      aStatus > kMaxFinal) {
    return StatusKind::kInvalid;
  }
  return aStatus < kMinFinal ? StatusKind::kInterim : StatusKind::kFinal;
}

void
SetSocketOptions(tcp::socket& aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int socket = aSocket.native_handle();
  const auto set = [socket](int aName, int aValue) {
    setsockopt(socket, IPPROTO_TCP, aName, &aValue, sizeof(aValue));
  };
  set(TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  set(TCP_KEEPIDLE, kTcpKeepAliveSeconds);
  set(TCP_KEEPINTVL, kTcpKeepAliveSeconds);
  set(TCP_KEEPCNT, kTcpKeepAliveProbeCount);
}

// Closes with a TCP reset, so that the peer learns that its response will not
// be read.
void
CloseWithReset(tcp::socket& aSocket)
{
  beast::error_code ignored;
  if (aSocket.is_open()) {
    aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    aSocket.close(ignored);
  }
}

// One exchange, with its deadline, its cancellation and the connection slot
// that it holds in the pool. FinishOnScopeExit calls Finish(), which returns
// the slot even if the coroutine is destroyed before it completes.
class ClientExchange : public std::enable_shared_from_this<ClientExchange>
{
public:
  ClientExchange(std::shared_ptr<ConnectionPool> aPool,
                 std::string aPeer,
                 Duration aTimeout,
                 std::shared_ptr<CancelToken> aCancelToken)
    : m_pool(std::move(aPool))
    , m_peer(std::move(aPeer))
    , m_cancelToken(std::move(aCancelToken))
    , m_timeoutTimer(m_pool->IoContext())
    , m_deadline(asio::steady_timer::clock_type::now() +
                 std::chrono::milliseconds(aTimeout.m_ms))
    , m_startedAt(m_pool->BootTimeClock().Now())
  {
  }

  // Starts the timeout and listens for cancellation.
  void Start();
  // Returns the connection, or else its slot, to the pool and stops the timer.
  // This is not left to the destructor, because the handler of the timer may
  // keep the object alive.
  void Finish();
  asio::awaitable<tl::expected<Response, HttpError>> Run(
    Request& aRequest,
    tcp::endpoint aEndpoint);

private:
  using Clock = asio::steady_timer::clock_type;

  void ArmTimer(Clock::time_point aExpiry, HttpErrorCode aErrorCode);
  bool IsTooLateToSend() const;
  // Ends the exchange with the given error.
  void Abort(HttpErrorCode aErrorCode);
  // The connection has not carried a request with the same echoed field.
  asio::awaitable<std::optional<HttpError>> AcquireConnection(
    tcp::endpoint aEndpoint,
    std::optional<uint64_t> aEchoHash);
  asio::awaitable<std::optional<HttpError>> WaitForConnection();
  asio::awaitable<std::optional<HttpError>> Connect(tcp::endpoint aEndpoint);
  asio::awaitable<tl::expected<Response, HttpError>> ReadResponse(
    bool aIsHeadRequest);
  std::optional<uint64_t> HashEcho(const Fields& aFields) const;
  bool IsCopyOfEarlierResponse(const Request& aRequest,
                               const Response& aResponse) const;
  bool HasExpectedEcho(const Request& aRequest, const Response& aResponse);
  asio::awaitable<beast::error_code> ReadResponseHeader(
    std::optional<Parser>& aParser,
    bool aIsHeadRequest);
  HttpError MakeError(HttpErrorCode aErrorCode,
                      bool aMaybeSent,
                      std::string_view aStep,
                      std::string_view aReason) const;

  std::shared_ptr<ConnectionPool> m_pool;
  std::string m_peer;
  std::shared_ptr<CancelToken> m_cancelToken;
  asio::steady_timer m_timeoutTimer;
  Clock::time_point m_deadline;
  TimePoint m_startedAt;
  std::optional<HttpErrorCode> m_abortReason;
  std::shared_ptr<ConnectionWaiter> m_waiter;
  bool m_holdsPoolSlot = false;
  bool m_connectionReusable = false;
  bool m_writeFailed = false;
  std::unique_ptr<PooledConnection> m_connection;
};

void
ClientExchange::Start()
{
  ArmTimer(m_deadline, HttpErrorCode::kTimeout);
  if (m_cancelToken) {
    m_cancelToken->SetCancelCallback([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Abort(HttpErrorCode::kCancelled);
      }
    });
  }
}

void
ClientExchange::Finish()
{
  m_timeoutTimer.cancel();
  if (m_cancelToken) {
    m_cancelToken->SetCancelCallback({});
  }
  if (m_waiter) {
    m_pool->RemoveWaiter(m_peer, m_waiter.get());
    if (m_waiter->m_granted) {
      // The pool granted the slot at the moment when the wait was aborted.
      m_holdsPoolSlot = true;
      m_connectionReusable = m_waiter->m_connection != nullptr;
      m_connection = std::move(m_waiter->m_connection);
    }
    m_waiter.reset();
  }
  if (!m_holdsPoolSlot) {
    return;
  }
  m_holdsPoolSlot = false;
  if (m_connection && m_connectionReusable &&
      m_connection->m_socket.is_open()) {
    m_pool->ReturnConnection(m_peer, std::move(m_connection));
    return;
  }
  if (m_connection) {
    CloseWithReset(m_connection->m_socket);
    m_connection.reset();
  }
  m_pool->ReleaseSlot(m_peer);
}

void
ClientExchange::ArmTimer(Clock::time_point aExpiry, HttpErrorCode aErrorCode)
{
  m_timeoutTimer.expires_at(aExpiry);
  m_timeoutTimer.async_wait(
    [weak = weak_from_this(), aExpiry, aErrorCode](beast::error_code aError) {
      const auto self = weak.lock();
      // Re-arming the timer does not cancel an expiry that is already queued.
      if (!aError && self && self->m_timeoutTimer.expiry() == aExpiry) {
        self->Abort(aErrorCode);
      }
    });
}

void
ClientExchange::Abort(HttpErrorCode aErrorCode)
{
  if (m_abortReason) {
    return;
  }
  m_abortReason = aErrorCode;
  if (m_waiter) {
    m_waiter->m_wakeTimer.cancel();
  }
  if (m_connection) {
    CloseWithReset(m_connection->m_socket);
  }
}

HttpError
ClientExchange::MakeError(HttpErrorCode aErrorCode,
                          bool aMaybeSent,
                          std::string_view aStep,
                          std::string_view aReason) const
{
  HttpError error;
  error.m_code = m_abortReason.value_or(aErrorCode);
  error.m_maybeSent = aMaybeSent;
  if (m_abortReason == HttpErrorCode::kTimeout) {
    aReason = "timed out";
  } else if (m_abortReason == HttpErrorCode::kCancelled) {
    aReason = "cancelled";
  } else if (m_abortReason == HttpErrorCode::kConnectFailed) {
    aReason = "no connection within the connect timeout";
  }
  error.m_message = fmt::format("{} {}: {}", aStep, m_peer, aReason);
  return error;
}

bool
ClientExchange::IsTooLateToSend() const
{
  const Duration maxDelay = m_pool->Options().m_maxSendDelay;
  return maxDelay > Duration{} &&
         m_pool->BootTimeClock().Now() - m_startedAt > maxDelay;
}

asio::awaitable<std::optional<HttpError>>
ClientExchange::AcquireConnection(tcp::endpoint aEndpoint,
                                  std::optional<uint64_t> aEchoHash)
{
  if (m_abortReason) {
    co_return MakeError(HttpErrorCode::kCancelled, false, "start", "stopped");
  }
  m_connection = m_pool->TakeIdleConnection(m_peer, aEchoHash);
  if (m_connection) {
    m_holdsPoolSlot = true;
    co_return std::nullopt;
  }
  m_holdsPoolSlot = m_pool->TryReserveSlot(m_peer);
  if (!m_holdsPoolSlot) {
    std::optional<HttpError> error = co_await WaitForConnection();
    const bool hasCarried =
      m_connection && aEchoHash && m_connection->HasCarried(*aEchoHash);
    if (error || (m_connection && !hasCarried)) {
      co_return error;
    }
  }
  std::optional<HttpError> error = co_await Connect(aEndpoint);
  co_return error;
}

asio::awaitable<std::optional<HttpError>>
ClientExchange::WaitForConnection()
{
  m_waiter = m_pool->AddWaiter(m_peer);
  if (!m_waiter) {
    co_return MakeError(HttpErrorCode::kPoolFull,
                        false,
                        "wait for",
                        "too many exchanges wait for a connection");
  }
  co_await m_waiter->m_wakeTimer.async_wait(kUseAwaitableTuple);
  const std::shared_ptr<ConnectionWaiter> waiter =
    std::exchange(m_waiter, nullptr);
  m_pool->RemoveWaiter(m_peer, waiter.get());
  m_holdsPoolSlot = waiter->m_granted;
  m_connection = std::move(waiter->m_connection);
  if (m_abortReason) {
    // Nothing was sent on a granted connection, so it can be used again.
    m_connectionReusable = m_connection != nullptr;
    co_return MakeError(HttpErrorCode::kPoolFull, false, "wait for", "");
  }
  if (!m_holdsPoolSlot) {
    co_return MakeError(
      HttpErrorCode::kPoolFull, false, "wait for", "no connection became free");
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<HttpError>>
ClientExchange::Connect(tcp::endpoint aEndpoint)
{
  m_connection = std::make_unique<PooledConnection>(m_pool->IoContext());
  // Limits what the parser reads before it can consume anything. header_limit
  // does not apply to the header of a chunk and to trailer fields.
  m_connection->m_buffer.max_size(m_pool->Options().m_maxHeaderBytes);
  const auto connectDeadline =
    Clock::now() +
    std::chrono::milliseconds(m_pool->Options().m_connectTimeout.m_ms);
  if (connectDeadline < m_deadline) {
    ArmTimer(connectDeadline, HttpErrorCode::kConnectFailed);
  }
  auto [error] = co_await m_connection->m_socket.async_connect(
    aEndpoint, kUseAwaitableTuple);
  if (error || m_abortReason) {
    co_return MakeError(
      HttpErrorCode::kConnectFailed, false, "connect to", error.message());
  }
  if (connectDeadline < m_deadline) {
    ArmTimer(m_deadline, HttpErrorCode::kTimeout);
  }
  SetSocketOptions(m_connection->m_socket);
  m_connection->m_openedAt = m_pool->BootTimeClock().Now();
  co_return std::nullopt;
}

asio::awaitable<tl::expected<Response, HttpError>>
ClientExchange::Run(Request& aRequest, tcp::endpoint aEndpoint)
{
  const std::optional<uint64_t> echoHash = HashEcho(aRequest);
  std::optional<HttpError> acquireError =
    co_await AcquireConnection(aEndpoint, echoHash);
  if (acquireError) {
    co_return tl::unexpected(std::move(*acquireError));
  }
  // The connection and the expiry of the timer may be found in the same poll.
  if (Clock::now() >= m_deadline || IsTooLateToSend()) {
    m_connectionReusable = true;
    co_return tl::unexpected(
      MakeError(HttpErrorCode::kTimeout, false, "send to", "timed out"));
  }
  if (echoHash) {
    m_connection->m_echoHashes.push_back(*echoHash);
  }
  auto [error, sentBytes] = co_await beast::http::async_write(
    m_connection->m_socket, aRequest, kUseAwaitableTuple);
  m_writeFailed = error.failed();
  // If part of the request was sent, go on to read: a peer may respond and
  // close the connection before it has read the whole request.
  if (error && (m_abortReason || sentBytes == 0)) {
    co_return tl::unexpected(MakeError(HttpErrorCode::kConnectionBroken,
                                       sentBytes > 0,
                                       "send to",
                                       error.message()));
  }
  const bool isHeadRequest = aRequest.method() == beast::http::verb::head;
  tl::expected<Response, HttpError> response =
    co_await ReadResponse(isHeadRequest);
  int skippedCopies = 0;
  while (response && skippedCopies < kMaxSkippedCopies &&
         IsCopyOfEarlierResponse(aRequest, *response)) {
    ++skippedCopies;
    response = co_await ReadResponse(isHeadRequest);
  }
  if (skippedCopies > 0) {
    LogInfo("http",
            "event=copies-skipped peer={} count={} answered={}",
            m_peer,
            skippedCopies,
            response.has_value());
    m_connectionReusable = false;
  }
  if (response && !HasExpectedEcho(aRequest, *response)) {
    m_connectionReusable = false;
    response = tl::unexpected(MakeError(HttpErrorCode::kConnectionBroken,
                                        true,
                                        "read from",
                                        "answer of another request"));
  }
  if (m_writeFailed) {
    m_connectionReusable = false;
  }
  co_return response;
}

std::optional<uint64_t>
ClientExchange::HashEcho(const Fields& aFields) const
{
  const std::string& fieldName = m_pool->Options().m_echoedFieldName;
  const auto echoedField =
    fieldName.empty() ? aFields.end() : aFields.find(fieldName);
  if (echoedField == aFields.end()) {
    return std::nullopt;
  }
  return Hash64({ echoedField->value().data(), echoedField->value().size() });
}

// Whether the response bears the id of another request that this connection has
// carried. The response to this request follows it.
bool
ClientExchange::IsCopyOfEarlierResponse(const Request& aRequest,
                                        const Response& aResponse) const
{
  const std::optional<uint64_t> expected = HashEcho(aRequest);
  const std::optional<uint64_t> actual = HashEcho(aResponse);
  return expected && actual && actual != expected &&
         m_connection->HasCarried(*actual);
}

// Whether the response belongs to the request as far as the echoed field tells.
// A response without the field is passed to the caller, but its connection is
// not used again.
bool
ClientExchange::HasExpectedEcho(const Request& aRequest,
                                const Response& aResponse)
{
  const std::string& fieldName = m_pool->Options().m_echoedFieldName;
  if (fieldName.empty()) {
    return true;
  }
  const auto echoedField = aResponse.find(fieldName);
  if (echoedField == aResponse.end()) {
    m_connectionReusable = false;
    return true;
  }
  return echoedField->value() == aRequest[fieldName];
}

asio::awaitable<beast::error_code>
ClientExchange::ReadResponseHeader(std::optional<Parser>& aParser,
                                   bool aIsHeadRequest)
{
  for (int interimCount = 0; interimCount < kMaxInterimResponses;
       ++interimCount) {
    aParser.emplace();
    aParser->body_limit(m_pool->Options().m_maxBodyBytes);
    aParser->skip(aIsHeadRequest);
    const beast::error_code error =
      co_await ReadHeader<false>(m_connection->m_socket,
                                 m_connection->m_buffer,
                                 *aParser,
                                 m_pool->Options().m_maxHeaderBytes,
                                 [](size_t, size_t) { return true; });
    if (error) {
      co_return error;
    }
    switch (ClassifyStatus(aParser->get().result_int())) {
      case StatusKind::kFinal:
        co_return error;
      case StatusKind::kInvalid:
        co_return beast::http::error::bad_status;
      case StatusKind::kInterim:
        break;
    }
  }
  co_return beast::http::error::bad_status;
}

asio::awaitable<tl::expected<Response, HttpError>>
ClientExchange::ReadResponse(bool aIsHeadRequest)
{
  std::optional<Parser> parser;
  beast::error_code error = co_await ReadResponseHeader(parser, aIsHeadRequest);
  if (error) {
    co_return tl::unexpected(MakeError(
      HttpErrorCode::kConnectionBroken, true, "read from", error.message()));
  }
  std::string_view framingError =
    FindFramingError(parser->get(), parser->get().version());
  if (framingError.empty() && !parser->is_done() && parser->need_eof() &&
      (!m_pool->Options().m_acceptUnframedResponses || m_writeFailed)) {
    // The end of such a body cannot be distinguished from a lost connection. A
    // write that failed has consumed the error of the connection, after which
    // reads end as after an orderly close.
    framingError = "answer without a length";
  }
  if (!framingError.empty()) {
    co_return tl::unexpected(MakeError(
      HttpErrorCode::kConnectionBroken, true, "read from", framingError));
  }
  std::optional<Fields> headFields;
  if (!parser->is_done()) {
    if (parser->chunked()) {
      headFields = parser->get();
    }
    Body& body = parser->get().body();
    const auto length = parser->content_length();
    body.StartCharging(
      m_pool->Options().m_memoryBudget,
      KindOfResponse(length.value_or(m_pool->Options().m_maxBodyBytes)));
    if (length && !body.Reserve(*length)) {
      co_return tl::unexpected(
        MakeError(HttpErrorCode::kConnectionBroken,
                  true,
                  fmt::format("read the body of {} bytes from", *length),
                  "no memory left"));
    }
    auto [bodyError, byteCount] =
      co_await beast::http::async_read(m_connection->m_socket,
                                       m_connection->m_buffer,
                                       *parser,
                                       kUseAwaitableTuple);
    if (bodyError) {
      const auto bytesLeft = parser->content_length_remaining();
      co_return tl::unexpected(MakeError(
        HttpErrorCode::kConnectionBroken,
        true,
        bytesLeft ? fmt::format("read the last {} bytes from", *bytesLeft)
                  : "read the body from",
        bodyError.message()));
    }
  }
  m_connectionReusable =
    parser->get().keep_alive() && !parser->need_eof() &&
    m_connection->m_buffer.size() == 0 && !m_abortReason &&
    m_connection->m_echoHashes.size() < kMaxEchoesPerConnection;
  Response response = parser->release();
  if (headFields) {
    // The parser has added the trailer fields, which callers would take for
    // fields of the header.
    static_cast<Fields&>(response) = std::move(*headFields);
  }
  RemoveHopByHopFields(response);
  co_return response;
}

// Calls Finish() at the end of the coroutine, or when it is destroyed earlier.
struct FinishOnScopeExit
{
  explicit FinishOnScopeExit(ClientExchange& aExchange)
    : m_exchange(aExchange)
  {
  }
  ~FinishOnScopeExit() { m_exchange.Finish(); }
  FinishOnScopeExit(const FinishOnScopeExit&) = delete;
  FinishOnScopeExit& operator=(const FinishOnScopeExit&) = delete;

  ClientExchange& m_exchange;
};

// Removes the hop-by-hop fields that the caller received and declares the
// length of the body.
void
PrepareRequest(Request& aRequest, const std::string& aPeer)
{
  RemoveHopByHopFields(aRequest);
  aRequest.version(11);
  if (aRequest.count(field::host) == 0) {
    aRequest.set(field::host, aPeer);
  }
  aRequest.prepare_payload();
}

asio::awaitable<tl::expected<Response, HttpError>>
RunExchange(std::shared_ptr<ConnectionPool> aPool,
            std::string aPeer,
            Request aRequest,
            Duration aTimeout,
            std::shared_ptr<CancelToken> aCancelToken)
{
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(aPeer);
  if (!endpoint) {
    HttpError error;
    error.m_code = HttpErrorCode::kInvalidAddress;
    error.m_maybeSent = false;
    error.m_message = fmt::format("'{}' is not an IP address and port", aPeer);
    co_return tl::unexpected(std::move(error));
  }
  PrepareRequest(aRequest, aPeer);
  const auto exchange = std::make_shared<ClientExchange>(
    aPool, aPeer, aTimeout, std::move(aCancelToken));
  const FinishOnScopeExit guard(*exchange);
  exchange->Start();
  tl::expected<Response, HttpError> result =
    co_await exchange->Run(aRequest, *endpoint);
  if (!result && result.error().m_code == HttpErrorCode::kTimeout &&
      result.error().m_maybeSent) {
    LogDebug("http",
             "{}; closing the idle connections to this peer",
             result.error().m_message);
    aPool->CloseIdleConnections(aPeer);
  }
  co_return result;
}

class ClientImpl final : public Client
{
public:
  ClientImpl(asio::io_context& aContext, ClientOptions aOptions)
    : m_pool(std::make_shared<ConnectionPool>(aContext, aOptions))
  {
  }
  ~ClientImpl() override { m_pool->Shutdown(); }

  asio::awaitable<tl::expected<Response, HttpError>> Exchange(
    std::string aPeer,
    Request aRequest,
    Duration aTimeout,
    std::shared_ptr<CancelToken> aCancelToken) override
  {
    return RunExchange(m_pool,
                       std::move(aPeer),
                       std::move(aRequest),
                       aTimeout,
                       std::move(aCancelToken));
  }
  void CloseIdleConnections(std::string_view aPeer) override
  {
    m_pool->CloseIdleConnections(aPeer);
  }
  size_t ConnectionCount() const override
  {
    return m_pool->OpenConnectionCount();
  }

private:
  std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace

std::unique_ptr<Client>
Client::Make(asio::io_context& aContext, ClientOptions aOptions)
{
  if (!aOptions.m_memoryBudget) {
    aOptions.m_memoryBudget = overload::MemoryBudget::MakeDefault();
  }
  return std::make_unique<ClientImpl>(aContext, std::move(aOptions));
}

} // namespace rattanloft::http
