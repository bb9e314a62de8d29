#include "ServerSession.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <limits>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <poll.h>
#include <sys/socket.h>

#include "HeaderFields.h"
#include "ReadHeader.h"
#include "ResponseCharge.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::http::field;
using beast::http::status;

// Makes operations return their error code instead of throwing.
constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadChunkBytes = 4096;
// Limits of the lingering close: after the response, input is read and
// discarded until the client closes. Closing with unread input would reset the
// connection, and the client could lose the response before it has read it.
constexpr Duration kLingerTimeout = Milliseconds(1000);
constexpr size_t kMaxLingerBytes = 4 * 1024 * 1024;
// Sessions of a server that may linger at once; further ones close at once.
constexpr size_t kMaxLingeringSessions = 256;
// Charge of an idle connection: its buffer of kReadChunkBytes, the session and
// the frames of its coroutines.
constexpr size_t kIdleConnectionBytes = 8 * 1024;
// Memory for each byte of a header, once in the parsed field and up to twice in
// a buffer that has grown, and what a parsed field takes besides its text.
constexpr size_t kHeaderMemoryFactor = 3;
constexpr size_t kFieldBytes = 96;
// How long a connection lingers at least before it makes room for another, so
// that its client can read the response.
constexpr Duration kMinLingerTime = Milliseconds(100);
// How long a request whose client has ended its input waits for the reset that
// a client which has closed the connection replies to an interim response.
constexpr Duration kResetTimeout = Milliseconds(100);
// Time until the second probe of a client whose close would not show. It
// doubles with each further probe.
constexpr Duration kProbeInterval = Milliseconds(250);
// Probes for one request. Some clients take more than five interim responses
// to one request for an error.
constexpr int kMaxProbes = 5;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

status
StatusForParseError(const beast::error_code& aError)
{
  if (aError == beast::http::error::header_limit ||
      aError == beast::http::error::buffer_overflow) {
    return status::request_header_fields_too_large;
  }
  if (aError == beast::http::error::body_limit) {
    return status::payload_too_large;
  }
  return status::bad_request;
}

bool
IsParseError(const beast::error_code& aError)
{
  return aError.category() ==
           make_error_code(beast::http::error::bad_method).category() &&
         aError != beast::http::error::end_of_stream &&
         aError != beast::http::error::partial_message;
}

// How long a connection without a request stays open after the grace period of
// a stop, because a client that has just connected is about to send a request.
constexpr Duration kFirstRequestTimeout = Milliseconds(500);

// Returns what is wrong with the header of a request, or an empty text if
// nothing is.
std::string_view
FindHeaderError(const Request& aRequest)
{
  const std::string_view headerError =
    FindFramingError(aRequest, aRequest.version());
  const size_t hostFieldCount = aRequest.count(field::host);
  if (headerError.empty() &&
      (hostFieldCount > 1 ||
       (hostFieldCount == 0 && aRequest.version() >= 11))) {
    return "Host must be given once";
  }
  return headerError;
}

bool
ForbidsBody(status aStatus)
{
  return aStatus == status::no_content || aStatus == status::not_modified ||
         to_status_class(aStatus) == beast::http::status_class::informational;
}

} // namespace

ServerSession::ServerSession(std::shared_ptr<ServerState> aServerState,
                             tcp::socket aSocket)
  : m_serverState(std::move(aServerState))
  , m_socket(std::move(aSocket))
  , m_charge(m_serverState->m_options.m_memoryBudget)
{
  beast::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
  // Limits what the parser reads before it can consume anything. header_limit
  // does not apply to the header of a chunk and to trailer fields.
  m_buffer.max_size(std::max<size_t>(
    kReadChunkBytes, m_serverState->m_options.m_maxHeaderBytes));
  m_serverState->m_sessions.insert(this);
}

ServerSession::~ServerSession()
{
  m_serverState->m_sessions.erase(this);
  if (m_serverState->m_sessions.empty()) {
    m_serverState->m_noSessionsTimer.cancel();
  }
}

void
ServerSession::EnterState(State aState, Duration aTimeLimit)
{
  m_state = aState;
  m_lastProgress = m_serverState->m_clock.Now();
  m_deadline = m_lastProgress + aTimeLimit;
}

void
ServerSession::CheckDeadline(TimePoint aNow)
{
  if (m_state == State::kRunningHandler) {
    CheckHiddenClose(aNow);
    return;
  }
  if (aNow < m_deadline) {
    return;
  }
  if (m_state == State::kReadingRequest) {
    AbortRead();
    return;
  }
  m_timedOut = true;
  Close();
}

void
ServerSession::AbortRead()
{
  // Makes ReadRequest() respond with 408. A cancellation has no effect on a
  // read whose completion is already queued, so it is repeated in each sweep.
  m_timedOut = true;
  m_deadline = std::min(m_deadline, m_serverState->m_clock.Now());
  beast::error_code ignored;
  m_socket.cancel(ignored);
}

bool
ServerSession::TryChargeConnection()
{
  return m_charge.Resize(kIdleConnectionBytes, overload::ChargeKind::kControl);
}

bool
ServerSession::AdmitHeader(size_t aBytes, size_t aLines)
{
  m_lastProgress = m_serverState->m_clock.Now();
  return m_charge.Resize(kIdleConnectionBytes + kHeaderMemoryFactor * aBytes +
                           kFieldBytes * aLines,
                         overload::ChargeKind::kControl);
}

void
ServerSession::ReleaseSpareMemory()
{
  if (m_buffer.capacity() > kReadChunkBytes) {
    m_buffer.shrink_to_fit();
  }
  // To shrink a charge always succeeds.
  (void)m_charge.Resize(kIdleConnectionBytes, overload::ChargeKind::kControl);
}

size_t
ServerSession::ReclaimableBytes() const
{
  const bool isReading = m_state == State::kReadingRequest && !m_timedOut;
  if (!m_socket.is_open() || (!isReading && !IsWritingResponse())) {
    return 0;
  }
  return m_charge.Bytes() - std::min(m_charge.Bytes(), kIdleConnectionBytes) +
         (m_activeBody != nullptr ? m_activeBody->ChargedBytes() : 0);
}

bool
ServerSession::TryReclaim()
{
  if (IsWritingResponse()) {
    Close();
    return true;
  }
  // Input that waits in the socket shows that this process is slow, not the
  // client.
  if (!IsOpenWithoutInput()) {
    return false;
  }
  if (m_activeBody != nullptr) {
    m_activeBody->Discard();
  }
  AbortRead();
  return true;
}

bool
ServerSession::MayEvict(TimePoint aNow)
{
  const Duration stalledFor = aNow - m_lastProgress;
  if (!m_socket.is_open()) {
    return false;
  }
  switch (m_state) {
    case State::kLingering:
      return stalledFor >= kMinLingerTime;
    case State::kIdle:
    case State::kReadingRequest:
      return !m_timedOut &&
             stalledFor >= overload::ReclaimPolicy::kMinRequestStall &&
             IsOpenWithoutInput();
    case State::kWritingResponse:
      return stalledFor >= overload::ReclaimPolicy::kMinResponseStall;
    case State::kRunningHandler:
      return false;
  }
  return false;
}

void
ServerSession::Evict()
{
  if (m_state == State::kReadingRequest) {
    AbortRead();
    return;
  }
  Close();
}

void
ServerSession::CloseIfIdle()
{
  if (m_state != State::kIdle || m_buffer.size() > 0 || !IsOpenWithoutInput()) {
    return;
  }
  if (m_hasServedRequest) {
    Close();
    return;
  }
  m_deadline =
    std::min(m_deadline, m_serverState->m_clock.Now() + kFirstRequestTimeout);
}

void
ServerSession::Close()
{
  beast::error_code ignored;
  m_socket.close(ignored);
}

bool
ServerSession::IsOpenWithoutInput()
{
  char byte = 0;
  const ssize_t received =
    recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<void>
ServerSession::RunRequestLoop()
{
  const auto self = shared_from_this();
  bool keepOpen = true;
  while (keepOpen) {
    keepOpen = co_await WaitForRequest();
    if (!keepOpen) {
      break;
    }
    std::optional<Request> request = co_await ReadRequest();
    if (!request) {
      break;
    }
    keepOpen = co_await ServeRequest(std::move(*request));
    m_hasServedRequest = true;
  }
  if (m_socket.is_open()) {
    if (!m_clientGone && (m_buffer.size() > 0 || !IsOpenWithoutInput())) {
      co_await LingerBeforeClose();
    }
    Close();
  }
}

asio::awaitable<void>
ServerSession::RejectConnection()
{
  const auto self = shared_from_this();
  co_await RefuseRequest(status::service_unavailable, "too many connections");
  Close();
}

asio::awaitable<bool>
ServerSession::WaitForRequest()
{
  if (m_buffer.size() > 0) {
    co_return true;
  }
  ReleaseSpareMemory();
  EnterState(State::kIdle, m_serverState->m_options.m_idleTimeout);
  if (m_serverState->m_closeIdleSessions && IsOpenWithoutInput()) {
    if (m_hasServedRequest) {
      co_return false;
    }
    EnterState(State::kIdle, kFirstRequestTimeout);
  }
  auto [error, byteCount] = co_await m_socket.async_read_some(
    m_buffer.prepare(kReadChunkBytes), kUseAwaitableTuple);
  m_buffer.commit(byteCount);
  co_return !error;
}

asio::awaitable<std::optional<Request>>
ServerSession::ReadRequest()
{
  EnterState(State::kReadingRequest, m_serverState->m_options.m_readTimeout);
  RequestParser parser;
  parser.body_limit(m_serverState->MaxBodyBytes());
  beast::error_code error =
    co_await ReadHeader<true>(m_socket,
                              m_buffer,
                              parser,
                              m_serverState->m_options.m_maxHeaderBytes,
                              [this](size_t aBytes, size_t aLines) {
                                return AdmitHeader(aBytes, aLines);
                              });
  size_t headerFieldCount = 0;
  std::string_view headerError;
  if (!error) {
    const Request& head = parser.get();
    m_httpVersion = head.version();
    headerFieldCount = CountFields(head);
    headerError = FindHeaderError(head);
    if (headerError.empty() && !parser.is_done() && !m_timedOut) {
      if (AdmitBody(parser)) {
        co_await ContinueIfExpected(head);
        error = co_await ReadBody(parser);
      } else {
        error = make_error_code(boost::system::errc::not_enough_memory);
      }
      // The parser adds trailer fields to the header, after the header has been
      // checked.
      if (!error && CountFields(parser.get()) != headerFieldCount) {
        headerError = "trailer fields are not accepted";
      }
    }
  }
  m_activeBody = nullptr;
  if (m_timedOut || error || !headerError.empty()) {
    parser.get().body().clear();
  }
  if (m_timedOut && m_socket.is_open()) {
    co_await RefuseRequest(status::request_timeout, "request took too long");
    co_return std::nullopt;
  }
  if (error == boost::system::errc::not_enough_memory) {
    ++m_serverState->m_counters.m_bodiesRefused;
    if (m_serverState->MayLogDecision()) {
      const bool hasHeader = parser.is_header_done();
      LogInfo("http",
              "event=body-refused port={} declared={} charged={} limit={}",
              m_serverState->m_options.m_port,
              hasHeader ? parser.content_length().value_or(0) : 0,
              m_serverState->m_options.m_memoryBudget->ChargedBytes(),
              m_serverState->m_options.m_memoryBudget->LimitBytes());
    }
    co_await RefuseRequest(status::service_unavailable, "no memory left");
    co_return std::nullopt;
  }
  if (!headerError.empty()) {
    co_await RefuseRequest(status::bad_request, headerError);
    co_return std::nullopt;
  }
  if (error && IsParseError(error)) {
    co_await RefuseRequest(StatusForParseError(error), error.message());
    co_return std::nullopt;
  }
  if (error || !parser.is_done()) {
    Close();
    co_return std::nullopt;
  }
  co_return parser.release();
}

bool
ServerSession::AdmitBody(RequestParser& aParser)
{
  const ServerOptions& options = m_serverState->m_options;
  Body& body = aParser.get().body();
  body.StartCharging(options.m_memoryBudget,
                     options.m_isControl
                       ? std::optional(overload::ChargeKind::kControl)
                       : std::nullopt);
  m_activeBody = &body;
  const auto length = aParser.content_length();
  return !length || body.Reserve(*length);
}

// Reads up to the end of the request, an error or the read timeout. Checks the
// timeout after each read: one that finds input at once is never cancelled by
// CheckDeadline(), and an operation of Beast that parses goes on reading while
// the input ends within the header of a chunk.
asio::awaitable<beast::error_code>
ServerSession::ReadBody(RequestParser& aParser)
{
  constexpr size_t kMaxReadBytes = 64 * 1024;
  aParser.eager(true);
  while (!aParser.is_done() && !m_timedOut) {
    bool needsInput = m_buffer.size() == 0;
    if (!needsInput) {
      beast::error_code error;
      const size_t usedBytes = aParser.put(m_buffer.data(), error);
      m_buffer.consume(usedBytes);
      if (error && error != beast::http::error::need_more) {
        co_return error;
      }
      needsInput = error.failed() || usedBytes == 0;
    }
    if (!needsInput || aParser.is_done()) {
      continue;
    }
    const size_t readSize = beast::read_size(m_buffer, kMaxReadBytes);
    if (readSize == 0) {
      co_return beast::http::error::buffer_overflow;
    }
    auto [readError, byteCount] = co_await m_socket.async_read_some(
      m_buffer.prepare(readSize), kUseAwaitableTuple);
    m_buffer.commit(byteCount);
    m_lastProgress = m_serverState->m_clock.Now();
    if (readError) {
      co_return readError;
    }
  }
  co_return beast::error_code();
}

asio::awaitable<void>
ServerSession::ContinueIfExpected(const Request& aRequest)
{
  if (m_httpVersion < 11 || aRequest.count(field::expect) == 0 ||
      m_buffer.size() > 0) {
    co_return;
  }
  // An error is ignored here because the following read reports it.
  co_await asio::async_write(
    m_socket, asio::buffer(kContinueResponse), kUseAwaitableTuple);
}

asio::awaitable<bool>
ServerSession::ServeRequest(Request aRequest)
{
  const bool keepAliveRequested = aRequest.keep_alive();
  const bool isHeadRequest = aRequest.method() == beast::http::verb::head;
  // The whole body has been read, so the handler gets it with a Content-Length,
  // however it was framed.
  RemoveHopByHopFields(aRequest);
  if (aRequest.method() != beast::http::verb::get || !aRequest.body().empty()) {
    aRequest.content_length(aRequest.body().size());
  }

  EnterState(State::kRunningHandler, Duration{});
  m_cancelToken = std::make_shared<CancelToken>();
  m_mayHideClose = false;
  m_hasInputEnded = false;
  m_probeCount = 0;
  if (co_await HasClientLeft()) {
    m_cancelToken.reset();
    LogInfo(
      "http",
      "event=client-left target={}",
      std::string_view(aRequest.target().data(), aRequest.target().size()));
    co_return false;
  }
  Response response = co_await CallHandler(std::move(aRequest), m_cancelToken);
  m_cancelToken.reset();
  if (m_clientGone || !m_socket.is_open()) {
    co_return false;
  }
  RecordUnnoticedClose();
  beast::error_code ignored;
  m_socket.cancel(ignored);

  RemoveHopByHopFields(response);
  if (ForbidsBody(response.result())) {
    response.body().clear();
  }
  response.version(m_httpVersion);
  response.prepare_payload();
  if (isHeadRequest) {
    response.body().clear();
  }
  const bool keepAlive = keepAliveRequested && !m_serverState->m_stopping;
  response.keep_alive(keepAlive);
  const auto& beforeWrite = m_serverState->m_options.m_beforeWrite;
  if (beforeWrite && !beforeWrite(response, m_socket.native_handle())) {
    Close();
    co_return false;
  }
  if (!ChargeResponse(response)) {
    LogInfo("http",
            "event=response-dropped port={} bytes={} charged={} limit={}",
            m_serverState->m_options.m_port,
            response.body().size(),
            m_serverState->m_options.m_memoryBudget->ChargedBytes(),
            m_serverState->m_options.m_memoryBudget->LimitBytes());
    Close();
    co_return false;
  }
  const bool isWritten = co_await WriteResponse(response);
  co_return isWritten&& keepAlive;
}

asio::awaitable<bool>
ServerSession::HasClientLeft()
{
  if (CheckInput() && !m_clientGone) {
    asio::steady_timer timer(m_socket.get_executor(),
                             std::chrono::milliseconds(kResetTimeout.m_ms));
    m_cancelToken->SetCancelCallback([&timer] { timer.cancel(); });
    co_await timer.async_wait(kUseAwaitableTuple);
    m_cancelToken->SetCancelCallback({});
  }
  co_return m_clientGone || !m_socket.is_open();
}

asio::awaitable<Response>
ServerSession::CallHandler(Request aRequest,
                           std::shared_ptr<CancelToken> aCancelToken)
{
  try {
    co_return co_await m_serverState->m_handler(std::move(aRequest),
                                                std::move(aCancelToken));
  } catch (const std::exception& exception) {
    LogError(
      "http", "the request handler threw an exception: {}", exception.what());
  }
  Response response;
  response.result(status::internal_server_error);
  co_return response;
}

asio::awaitable<bool>
ServerSession::WriteResponse(Response& aResponse)
{
  EnterState(State::kWritingResponse, m_serverState->m_options.m_writeTimeout);
  m_activeBody = &aResponse.body();
  beast::http::response_serializer<BodyType> serializer(aResponse);
  beast::error_code error;
  while (!error && !serializer.is_done()) {
    auto [writeError, byteCount] = co_await beast::http::async_write_some(
      m_socket, serializer, kUseAwaitableTuple);
    error = writeError;
    if (!serializer.is_done()) {
      m_lastProgress = m_serverState->m_clock.Now();
    }
  }
  m_activeBody = nullptr;
  if (error) {
    LogDebug("http", "response not delivered: {}", error.message());
    Close();
  }
  co_return !error;
}

// A response of a Client is charged already. Small ones are covered by the
// charge of the connection.
bool
ServerSession::ChargeResponse(const Response& aResponse)
{
  const Body& body = aResponse.body();
  return body.size() <= kReadChunkBytes || body.ChargedBytes() > 0 ||
         m_charge.Resize(m_charge.Bytes() + body.size(),
                         KindOfResponse(body.size()));
}

asio::awaitable<void>
ServerSession::RefuseRequest(status aStatus, std::string_view aReason)
{
  LogDebug("http",
           "request refused with {}: {}",
           static_cast<unsigned>(aStatus),
           aReason);
  Response response;
  response.version(11);
  response.result(aStatus);
  if (aStatus == status::service_unavailable) {
    response.set(field::retry_after, "1");
  }
  for (const auto& [name, value] :
       m_serverState->m_options.m_refusalHeaderFields) {
    response.set(name, value);
  }
  response.set(field::content_type, "text/plain");
  response.body() = std::string(aReason) + "\n";
  response.prepare_payload();
  response.keep_alive(false);
  const bool isWritten = co_await WriteResponse(response);
  if (isWritten) {
    co_await LingerBeforeClose();
  }
}

asio::awaitable<void>
ServerSession::LingerBeforeClose()
{
  size_t& lingeringCount = m_serverState->m_lingeringCount;
  if (lingeringCount >= kMaxLingeringSessions) {
    co_return;
  }
  ++lingeringCount;
  EnterState(State::kLingering, kLingerTimeout);
  m_timedOut = false;
  beast::error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_buffer.clear();
  ReleaseSpareMemory();
  size_t discardedBytes = 0;
  while (discardedBytes < kMaxLingerBytes) {
    auto [error, byteCount] = co_await m_socket.async_read_some(
      m_buffer.prepare(kReadChunkBytes), kUseAwaitableTuple);
    if (error) {
      break;
    }
    discardedBytes += byteCount;
  }
  --lingeringCount;
}

void
ServerSession::WatchForInput()
{
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this(),
                       cancelToken = m_cancelToken](beast::error_code aError) {
                        if (!aError && self->m_cancelToken == cancelToken) {
                          self->CheckInput();
                        }
                      });
}

ServerSession::Input
ServerSession::ReadAhead()
{
  while (m_buffer.size() < kReadChunkBytes) {
    const auto room = m_buffer.prepare(kReadChunkBytes - m_buffer.size());
    const ssize_t received =
      recv(m_socket.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    if (received == 0) {
      return Input::kEnded;
    }
    if (received < 0) {
      const bool isOpen =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
      return isOpen ? Input::kOpen : Input::kReset;
    }
    m_buffer.commit(static_cast<size_t>(received));
  }
  return HasInputEnded() ? Input::kEnded : Input::kUnread;
}

bool
ServerSession::CheckInput()
{
  const Input input = ReadAhead();
  if (input == Input::kReset) {
    OnClientGone();
    return true;
  }
  if (input == Input::kOpen) {
    WatchForInput();
    return false;
  }
  // Only a reset, or the reset that follows a probe, can show from here on that
  // the client has closed the connection.
  m_mayHideClose = true;
  m_hasInputEnded = input == Input::kEnded;
  m_nextProbeAt = m_serverState->m_clock.Now() + kProbeInterval;
  WatchForReset();
  return m_hasInputEnded && SendProbe();
}

void
ServerSession::CheckHiddenClose(TimePoint aNow)
{
  if (!m_mayHideClose || m_clientGone || !m_socket.is_open()) {
    return;
  }
  const bool endsNow = !m_hasInputEnded && HasInputEnded();
  m_hasInputEnded = m_hasInputEnded || endsNow;
  if (endsNow || aNow >= m_nextProbeAt) {
    SendProbe();
  }
}

// An interim response, which clients must skip: the system of a client that has
// closed the connection replies to it with a reset, also if the client has
// input left to send. A client that has only shut down its sending side does
// not.
bool
ServerSession::SendProbe()
{
  if (m_httpVersion < 11 || m_probeCount >= kMaxProbes) {
    return false;
  }
  const ssize_t sentBytes = send(m_socket.native_handle(),
                                 kContinueResponse.data(),
                                 kContinueResponse.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sentBytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    // The client has not read the response to an earlier request yet.
    return false;
  }
  if (sentBytes != static_cast<ssize_t>(kContinueResponse.size())) {
    OnClientGone();
    return true;
  }
  m_nextProbeAt =
    m_serverState->m_clock.Now() + kProbeInterval * (1 << m_probeCount);
  ++m_probeCount;
  return true;
}

void
ServerSession::WatchForReset()
{
  m_socket.async_wait(
    tcp::socket::wait_error,
    [self = shared_from_this(),
     cancelToken = m_cancelToken](beast::error_code aError) {
      if (aError || self->m_cancelToken != cancelToken) {
        return;
      }
      pollfd pollResult{ self->m_socket.native_handle(), 0, 0 };
      if (poll(&pollResult, 1, 0) == 1 &&
          (pollResult.revents & (POLLERR | POLLHUP)) != 0) {
        self->OnClientGone();
      }
    });
}

bool
ServerSession::HasInputEnded()
{
  pollfd pollResult{ m_socket.native_handle(), POLLRDHUP, 0 };
  return poll(&pollResult, 1, 0) == 1 && (pollResult.revents & POLLRDHUP) != 0;
}

void
ServerSession::RecordUnnoticedClose()
{
  if (!m_mayHideClose || m_hasInputEnded || !HasInputEnded()) {
    return;
  }
  ++m_serverState->m_counters.m_closesUnnoticed;
  LogInfo("http",
          "event=close-unnoticed port={} ms={}",
          m_serverState->m_options.m_port,
          (m_serverState->m_clock.Now() - m_lastProgress).m_ms);
}

void
ServerSession::OnClientGone()
{
  if (m_clientGone) {
    return;
  }
  m_clientGone = true;
  ++m_serverState->m_counters.m_clientsLeft;
  if (m_cancelToken) {
    m_cancelToken->Cancel();
  }
}

} // namespace rattanloft::http
