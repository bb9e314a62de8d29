#include "rattanloft/http/Client.h"

#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>

#include "Message.h"
#include "Pool.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/http/Endpoint.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::http::field;
using beast::http::status_class;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// The time after which the system gives up on bytes that are not acknowledged.
constexpr int kUserTimeoutMs = 5000;
constexpr int kKeepAliveSeconds = 5;
constexpr int kKeepAliveProbes = 3;
// A peer that sends nothing but interim answers is broken.
constexpr int kMaxInterimAnswers = 16;

using Parser = beast::http::response_parser<beast::http::string_body>;

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
  set(TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(TCP_KEEPIDLE, kKeepAliveSeconds);
  set(TCP_KEEPINTVL, kKeepAliveSeconds);
  set(TCP_KEEPCNT, kKeepAliveProbes);
}

// Closes with a reset, which tells the peer that nobody reads its answer.
void
Abort(tcp::socket& aSocket)
{
  beast::error_code ignored;
  if (aSocket.is_open()) {
    aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    aSocket.close(ignored);
  }
}

// One exchange: its deadline, its cancellation and the place that it holds in
// the pool. The destructor gives the place back, also when the coroutine is
// destroyed half-way.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  Attempt(std::shared_ptr<Pool> aPool,
          std::string aPeer,
          Duration aTimeout,
          std::shared_ptr<CancelToken> aCancel)
    : m_pool(std::move(aPool))
    , m_peer(std::move(aPeer))
    , m_cancel(std::move(aCancel))
    , m_timer(m_pool->Context())
    , m_deadline(asio::steady_timer::clock_type::now() +
                 std::chrono::milliseconds(aTimeout.m_ms))
  {
  }

  void Begin();
  // Gives everything back. Not in the destructor, because the timer's handler
  // keeps this object alive.
  void End();
  asio::awaitable<tl::expected<Response, HttpError>> Run(Request& aRequest,
                                                         tcp::endpoint aPeer);

private:
  using Clock = asio::steady_timer::clock_type;

  void ArmTimer(Clock::time_point aWhen, HttpErrorCode aCode);
  void Stop(HttpErrorCode aCode);
  asio::awaitable<std::optional<HttpError>> Acquire(tcp::endpoint aPeer);
  asio::awaitable<std::optional<HttpError>> WaitForPlace();
  asio::awaitable<std::optional<HttpError>> Connect(tcp::endpoint aPeer);
  asio::awaitable<tl::expected<Response, HttpError>> Read(bool aHead);
  bool IsEchoed(const Request& aRequest, const Response& aResponse);
  asio::awaitable<beast::error_code> ReadHeader(std::optional<Parser>& aParser,
                                                bool aHead);
  HttpError Failed(HttpErrorCode aCode,
                   bool aMaybeSent,
                   std::string_view aStep,
                   std::string_view aReason) const;

  std::shared_ptr<Pool> m_pool;
  std::string m_peer;
  std::shared_ptr<CancelToken> m_cancel;
  asio::steady_timer m_timer;
  Clock::time_point m_deadline;
  std::optional<HttpErrorCode> m_stopped;
  std::shared_ptr<Waiter> m_waiter;
  bool m_hasPlace = false;
  bool m_reusable = false;
  std::unique_ptr<Connection> m_connection;
};

void
Attempt::Begin()
{
  ArmTimer(m_deadline, HttpErrorCode::kTimeout);
  if (m_cancel) {
    m_cancel->SetCancelCallback([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Stop(HttpErrorCode::kCancelled);
      }
    });
  }
}

void
Attempt::End()
{
  m_timer.cancel();
  if (m_cancel) {
    m_cancel->SetCancelCallback({});
  }
  if (m_waiter) {
    m_pool->StopWaiting(m_peer, m_waiter.get());
    if (m_waiter->m_granted) {
      // The place was given in the same moment in which the wait was ended.
      m_hasPlace = true;
      m_reusable = m_waiter->m_connection != nullptr;
      m_connection = std::move(m_waiter->m_connection);
    }
    m_waiter.reset();
  }
  if (!m_hasPlace) {
    return;
  }
  m_hasPlace = false;
  if (m_connection && m_reusable && m_connection->m_socket.is_open()) {
    m_pool->Return(m_peer, std::move(m_connection));
    return;
  }
  if (m_connection) {
    Abort(m_connection->m_socket);
    m_connection.reset();
  }
  m_pool->ReturnPlace(m_peer);
}

void
Attempt::ArmTimer(Clock::time_point aWhen, HttpErrorCode aCode)
{
  m_timer.expires_at(aWhen);
  m_timer.async_wait(
    [weak = weak_from_this(), aCode](beast::error_code aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->Stop(aCode);
      }
    });
}

void
Attempt::Stop(HttpErrorCode aCode)
{
  if (m_stopped) {
    return;
  }
  m_stopped = aCode;
  if (m_waiter) {
    m_waiter->m_wake.cancel();
  }
  if (m_connection) {
    Abort(m_connection->m_socket);
  }
}

HttpError
Attempt::Failed(HttpErrorCode aCode,
                bool aMaybeSent,
                std::string_view aStep,
                std::string_view aReason) const
{
  HttpError error;
  error.m_code = m_stopped.value_or(aCode);
  error.m_maybeSent = aMaybeSent;
  if (m_stopped == HttpErrorCode::kTimeout) {
    aReason = "timed out";
  } else if (m_stopped == HttpErrorCode::kCancelled) {
    aReason = "cancelled";
  } else if (m_stopped == HttpErrorCode::kConnectFailed) {
    aReason = "no connection in time";
  }
  error.m_message = fmt::format("{} {}: {}", aStep, m_peer, aReason);
  return error;
}

asio::awaitable<std::optional<HttpError>>
Attempt::Acquire(tcp::endpoint aPeer)
{
  if (m_stopped) {
    co_return Failed(HttpErrorCode::kCancelled, false, "start", "stopped");
  }
  m_connection = m_pool->TakeIdle(m_peer);
  if (m_connection) {
    m_hasPlace = true;
    co_return std::nullopt;
  }
  m_hasPlace = m_pool->TakePlace(m_peer);
  if (!m_hasPlace) {
    std::optional<HttpError> error = co_await WaitForPlace();
    if (error || m_connection) {
      co_return error;
    }
  }
  std::optional<HttpError> error = co_await Connect(aPeer);
  co_return error;
}

asio::awaitable<std::optional<HttpError>>
Attempt::WaitForPlace()
{
  m_waiter = m_pool->Wait(m_peer);
  if (!m_waiter) {
    co_return Failed(
      HttpErrorCode::kPoolFull, false, "wait for", "too many wait");
  }
  co_await m_waiter->m_wake.async_wait(kToken);
  const std::shared_ptr<Waiter> waiter = std::exchange(m_waiter, nullptr);
  m_pool->StopWaiting(m_peer, waiter.get());
  m_hasPlace = waiter->m_granted;
  m_connection = std::move(waiter->m_connection);
  if (m_stopped) {
    // A connection that was given is as good as before.
    m_reusable = m_connection != nullptr;
    co_return Failed(HttpErrorCode::kPoolFull, false, "wait for", "");
  }
  if (!m_hasPlace) {
    co_return Failed(HttpErrorCode::kPoolFull, false, "wait for", "no place");
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<HttpError>>
Attempt::Connect(tcp::endpoint aPeer)
{
  m_connection = std::make_unique<Connection>(m_pool->Context());
  const auto limit = Clock::now() + std::chrono::milliseconds(
                                      m_pool->Options().m_connectTimeout.m_ms);
  if (limit < m_deadline) {
    ArmTimer(limit, HttpErrorCode::kConnectFailed);
  }
  auto [error] = co_await m_connection->m_socket.async_connect(aPeer, kToken);
  if (error || m_stopped) {
    co_return Failed(
      HttpErrorCode::kConnectFailed, false, "connect to", error.message());
  }
  if (limit < m_deadline) {
    ArmTimer(m_deadline, HttpErrorCode::kTimeout);
  }
  SetSocketOptions(m_connection->m_socket);
  m_connection->m_openedAt = m_pool->Now().Now();
  co_return std::nullopt;
}

asio::awaitable<tl::expected<Response, HttpError>>
Attempt::Run(Request& aRequest, tcp::endpoint aPeer)
{
  std::optional<HttpError> failure = co_await Acquire(aPeer);
  if (failure) {
    co_return tl::unexpected(std::move(*failure));
  }
  auto [error, count] =
    co_await beast::http::async_write(m_connection->m_socket, aRequest, kToken);
  // A peer may answer and close before it has read the whole request.
  if (error && (m_stopped || count == 0)) {
    co_return tl::unexpected(Failed(
      HttpErrorCode::kConnectionBroken, count > 0, "send to", error.message()));
  }
  const bool head = aRequest.method() == beast::http::verb::head;
  tl::expected<Response, HttpError> response = co_await Read(head);
  if (response && !IsEchoed(aRequest, *response)) {
    m_reusable = false;
    response = tl::unexpected(Failed(HttpErrorCode::kConnectionBroken,
                                     true,
                                     "read from",
                                     "answer of another request"));
  }
  if (error) {
    m_reusable = false;
  }
  co_return response;
}

// An answer without the field is left to the caller, but what follows it on the
// connection is not trusted.
bool
Attempt::IsEchoed(const Request& aRequest, const Response& aResponse)
{
  const std::string& name = m_pool->Options().m_echoedFieldName;
  if (name.empty()) {
    return true;
  }
  const auto echo = aResponse.find(name);
  if (echo == aResponse.end()) {
    m_reusable = false;
    return true;
  }
  return echo->value() == aRequest[name];
}

asio::awaitable<beast::error_code>
Attempt::ReadHeader(std::optional<Parser>& aParser, bool aHead)
{
  for (int interim = 0; interim < kMaxInterimAnswers; ++interim) {
    aParser.emplace();
    aParser->header_limit(m_pool->Options().m_maxHeaderBytes);
    aParser->body_limit(m_pool->Options().m_maxBodyBytes);
    aParser->skip(aHead);
    auto [error, count] = co_await beast::http::async_read_header(
      m_connection->m_socket, m_connection->m_buffer, *aParser, kToken);
    if (error ||
        to_status_class(aParser->get().result()) !=
          status_class::informational ||
        aParser->get().result() == beast::http::status::switching_protocols) {
      co_return error;
    }
  }
  co_return beast::http::error::bad_status;
}

asio::awaitable<tl::expected<Response, HttpError>>
Attempt::Read(bool aHead)
{
  std::optional<Parser> parser;
  beast::error_code error = co_await ReadHeader(parser, aHead);
  if (error) {
    co_return tl::unexpected(Failed(
      HttpErrorCode::kConnectionBroken, true, "read from", error.message()));
  }
  std::string_view fault = FramingFault(parser->get(), parser->get().version());
  if (fault.empty() && !parser->is_done() && parser->need_eof() &&
      !m_pool->Options().m_acceptUnframedResponses) {
    // The end of such a body cannot be told from a lost connection.
    fault = "answer without a length";
  }
  if (!fault.empty()) {
    co_return tl::unexpected(
      Failed(HttpErrorCode::kConnectionBroken, true, "read from", fault));
  }
  if (!parser->is_done()) {
    auto [bodyError, count] = co_await beast::http::async_read(
      m_connection->m_socket, m_connection->m_buffer, *parser, kToken);
    if (bodyError) {
      co_return tl::unexpected(Failed(HttpErrorCode::kConnectionBroken,
                                      true,
                                      "read from",
                                      bodyError.message()));
    }
  }
  m_reusable = parser->get().keep_alive() && !parser->need_eof() &&
               m_connection->m_buffer.size() == 0 && !m_stopped;
  Response response = parser->release();
  RemoveConnectionFields(response);
  co_return response;
}

struct EndGuard
{
  explicit EndGuard(Attempt& aAttempt)
    : m_attempt(aAttempt)
  {
  }
  ~EndGuard() { m_attempt.End(); }
  EndGuard(const EndGuard&) = delete;
  EndGuard& operator=(const EndGuard&) = delete;

  Attempt& m_attempt;
};

// Removes what concerns the connection to the caller and frames the body.
void
PrepareRequest(Request& aRequest, const std::string& aPeer)
{
  RemoveConnectionFields(aRequest);
  aRequest.version(11);
  if (aRequest.count(field::host) == 0) {
    aRequest.set(field::host, aPeer);
  }
  aRequest.prepare_payload();
}

asio::awaitable<tl::expected<Response, HttpError>>
RunExchange(std::shared_ptr<Pool> aPool,
            std::string aPeer,
            Request aRequest,
            Duration aTimeout,
            std::shared_ptr<CancelToken> aCancel)
{
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(aPeer);
  if (!endpoint) {
    HttpError error;
    error.m_code = HttpErrorCode::kAddress;
    error.m_maybeSent = false;
    error.m_message = fmt::format("{} is not an address and port", aPeer);
    co_return tl::unexpected(std::move(error));
  }
  PrepareRequest(aRequest, aPeer);
  const auto attempt =
    std::make_shared<Attempt>(aPool, aPeer, aTimeout, std::move(aCancel));
  const EndGuard guard(*attempt);
  attempt->Begin();
  tl::expected<Response, HttpError> result =
    co_await attempt->Run(aRequest, *endpoint);
  if (!result && result.error().m_code == HttpErrorCode::kTimeout &&
      result.error().m_maybeSent) {
    LogDebug("http", "{}; closing idle connections", result.error().m_message);
    aPool->CloseIdleConnections(aPeer);
  }
  co_return result;
}

class ClientImpl final : public Client
{
public:
  ClientImpl(asio::io_context& aContext, ClientOptions aOptions)
    : m_pool(std::make_shared<Pool>(aContext, aOptions))
  {
  }
  ~ClientImpl() override { m_pool->Shutdown(); }

  asio::awaitable<tl::expected<Response, HttpError>> Exchange(
    std::string aPeer,
    Request aRequest,
    Duration aTimeout,
    std::shared_ptr<CancelToken> aCancel) override
  {
    return RunExchange(m_pool,
                       std::move(aPeer),
                       std::move(aRequest),
                       aTimeout,
                       std::move(aCancel));
  }
  void CloseIdleConnections(std::string_view aPeer) override
  {
    m_pool->CloseIdleConnections(aPeer);
  }
  size_t ConnectionCount() const override { return m_pool->Open(); }

private:
  std::shared_ptr<Pool> m_pool;
};

} // namespace

std::unique_ptr<Client>
Client::Make(asio::io_context& aContext, ClientOptions aOptions)
{
  return std::make_unique<ClientImpl>(aContext, aOptions);
}

} // namespace rattanloft::http
