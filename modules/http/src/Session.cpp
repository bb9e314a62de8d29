#include "Session.h"

#include <algorithm>

#include <array>
#include <cerrno>
#include <exception>
#include <limits>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <poll.h>
#include <sys/socket.h>

#include "Message.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::http::field;
using beast::http::status;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadChunk = 4096;
// Bounds for reading on after a refusal. Closing with unread bytes would reset
// the connection and could destroy the answer before the client reads it.
constexpr Duration kLingerTime = Milliseconds(1000);
constexpr size_t kLingerBytes = 4 * 1024 * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

status
StatusOf(const beast::error_code& aError)
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

// A client that has just connected is about to send its request. During a stop
// such a connection stays open for this long after the grace period.
constexpr Duration kFirstRequestWait = Milliseconds(500);

// Names what is wrong with a request's header; empty if nothing is.
std::string_view
RequestFault(const Request& aRequest)
{
  const std::string_view fault = FramingFault(aRequest, aRequest.version());
  const size_t hosts = aRequest.count(field::host);
  if (fault.empty() &&
      (hosts > 1 || (hosts == 0 && aRequest.version() >= 11))) {
    return "Host must be given once";
  }
  return fault;
}

bool
HasNoBody(status aStatus)
{
  return aStatus == status::no_content || aStatus == status::not_modified ||
         to_status_class(aStatus) == beast::http::status_class::informational;
}

} // namespace

Session::Session(std::shared_ptr<ServerCore> aCore, tcp::socket aSocket)
  : m_core(std::move(aCore))
  , m_socket(std::move(aSocket))
{
  beast::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
  m_core->m_sessions.insert(this);
}

Session::~Session()
{
  m_core->m_sessions.erase(this);
  if (m_core->m_sessions.empty()) {
    m_core->m_empty.cancel();
  }
}

void
Session::Enter(State aState, Duration aLimit)
{
  m_state = aState;
  m_deadline = m_core->m_clock.Now() + aLimit;
}

void
Session::CheckDeadline(TimePoint aNow)
{
  if (m_state == State::kRunning || aNow < m_deadline) {
    return;
  }
  m_timedOut = true;
  if (m_state == State::kReading) {
    // The coroutine answers 408. A cancellation has no effect on a read whose
    // completion is already queued, so it is repeated in each sweep.
    beast::error_code ignored;
    m_socket.cancel(ignored);
    return;
  }
  Close();
}

void
Session::CloseIfIdle()
{
  if (m_state != State::kIdle || m_buffer.size() > 0 || !IsQuiet()) {
    return;
  }
  if (m_served) {
    Close();
    return;
  }
  m_deadline = std::min(m_deadline, m_core->m_clock.Now() + kFirstRequestWait);
}

void
Session::Close()
{
  beast::error_code ignored;
  m_socket.close(ignored);
}

bool
Session::IsQuiet()
{
  char byte = 0;
  const ssize_t got =
    recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<void>
Session::Run()
{
  const auto self = shared_from_this();
  bool open = true;
  while (open) {
    open = co_await WaitForRequest();
    if (!open) {
      break;
    }
    std::optional<Request> request = co_await ReadRequest();
    if (!request) {
      break;
    }
    open = co_await Serve(std::move(*request));
    m_served = true;
  }
  if (m_socket.is_open()) {
    if (m_buffer.size() > 0 || (!m_gone && !IsQuiet())) {
      co_await Linger();
    }
    Close();
  }
}

asio::awaitable<void>
Session::Reject()
{
  const auto self = shared_from_this();
  co_await Refuse(status::service_unavailable, "too many connections");
  Close();
}

asio::awaitable<bool>
Session::WaitForRequest()
{
  if (m_buffer.size() > 0) {
    co_return true;
  }
  Enter(State::kIdle, m_core->m_options.m_idleTimeout);
  if (m_core->m_closeIdle && IsQuiet()) {
    if (m_served) {
      co_return false;
    }
    Enter(State::kIdle, kFirstRequestWait);
  }
  auto [error, count] =
    co_await m_socket.async_read_some(m_buffer.prepare(kReadChunk), kToken);
  m_buffer.commit(count);
  co_return !error;
}

asio::awaitable<std::optional<Request>>
Session::ReadRequest()
{
  Enter(State::kReading, m_core->m_options.m_readTimeout);
  beast::http::request_parser<beast::http::string_body> parser;
  parser.header_limit(m_core->m_options.m_maxHeaderBytes);
  parser.body_limit(m_core->m_options.m_maxBodyBytes);
  auto [error, count] =
    co_await beast::http::async_read_header(m_socket, m_buffer, parser, kToken);
  size_t fields = 0;
  std::string_view fault;
  if (!error) {
    const Request& head = parser.get();
    m_version = head.version();
    fields = FieldCount(head);
    fault = RequestFault(head);
    if (fault.empty() && !parser.is_done() && !m_timedOut) {
      co_await ContinueIfExpected(head);
      auto [bodyError, bodyCount] =
        co_await beast::http::async_read(m_socket, m_buffer, parser, kToken);
      error = bodyError;
      // Trailer fields would count as header fields that no check has seen.
      if (!error && FieldCount(parser.get()) != fields) {
        fault = "trailer fields are not accepted";
      }
    }
  }
  if (m_timedOut && m_socket.is_open()) {
    co_await Refuse(status::request_timeout, "request took too long");
    co_return std::nullopt;
  }
  if (!fault.empty()) {
    co_await Refuse(status::bad_request, fault);
    co_return std::nullopt;
  }
  if (error && IsParseError(error)) {
    co_await Refuse(StatusOf(error), error.message());
    co_return std::nullopt;
  }
  if (error || !parser.is_done()) {
    Close();
    co_return std::nullopt;
  }
  co_return parser.release();
}

asio::awaitable<void>
Session::ContinueIfExpected(const Request& aRequest)
{
  if (m_version < 11 || aRequest.count(field::expect) == 0 ||
      m_buffer.size() > 0) {
    co_return;
  }
  // A failure shows in the read that follows.
  co_await asio::async_write(m_socket, asio::buffer(kContinue), kToken);
}

asio::awaitable<bool>
Session::Serve(Request aRequest)
{
  const bool keepAsked = aRequest.keep_alive();
  const bool head = aRequest.method() == beast::http::verb::head;
  // The body has been read in full, so its length is the only framing left.
  RemoveConnectionFields(aRequest);
  if (aRequest.method() != beast::http::verb::get || !aRequest.body().empty()) {
    aRequest.content_length(aRequest.body().size());
  }

  Enter(State::kRunning, Duration{});
  m_token = std::make_shared<CancelToken>();
  WatchForClose();
  Response response = co_await CallHandler(std::move(aRequest), m_token);
  m_token.reset();
  if (m_gone || !m_socket.is_open()) {
    co_return false;
  }
  beast::error_code ignored;
  m_socket.cancel(ignored);

  RemoveConnectionFields(response);
  if (HasNoBody(response.result())) {
    response.body().clear();
  }
  response.version(m_version);
  response.prepare_payload();
  if (head) {
    response.body().clear();
  }
  const bool keep = keepAsked && !m_core->m_stopping;
  response.keep_alive(keep);
  const auto& beforeWrite = m_core->m_options.m_beforeWrite;
  if (beforeWrite && !beforeWrite(response, m_socket.native_handle())) {
    Close();
    co_return false;
  }
  const bool written = co_await Write(response);
  co_return written&& keep;
}

asio::awaitable<Response>
Session::CallHandler(Request aRequest, std::shared_ptr<CancelToken> aToken)
{
  try {
    co_return co_await m_core->m_handler(std::move(aRequest),
                                         std::move(aToken));
  } catch (const std::exception& exception) {
    LogError("http", "handler failed: {}", exception.what());
  }
  Response response;
  response.result(status::internal_server_error);
  co_return response;
}

asio::awaitable<bool>
Session::Write(Response& aResponse)
{
  Enter(State::kWriting, m_core->m_options.m_writeTimeout);
  auto [error, count] =
    co_await beast::http::async_write(m_socket, aResponse, kToken);
  if (error) {
    LogDebug("http", "answer not delivered: {}", error.message());
    Close();
  }
  co_return !error;
}

asio::awaitable<void>
Session::Refuse(status aStatus, std::string_view aReason)
{
  LogDebug(
    "http", "refused with {}: {}", static_cast<unsigned>(aStatus), aReason);
  Response response;
  response.version(11);
  response.result(aStatus);
  if (aStatus == status::service_unavailable) {
    response.set(field::retry_after, "1");
  }
  for (const auto& [name, value] : m_core->m_options.m_refusalHeaderFields) {
    response.set(name, value);
  }
  response.set(field::content_type, "text/plain");
  response.body() = std::string(aReason) + "\n";
  response.prepare_payload();
  response.keep_alive(false);
  const bool written = co_await Write(response);
  if (written) {
    co_await Linger();
  }
}

asio::awaitable<void>
Session::Linger()
{
  Enter(State::kLingering, kLingerTime);
  m_timedOut = false;
  beast::error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_buffer.clear();
  size_t total = 0;
  while (total < kLingerBytes) {
    auto [error, count] =
      co_await m_socket.async_read_some(m_buffer.prepare(kReadChunk), kToken);
    if (error) {
      break;
    }
    total += count;
  }
}

void
Session::WatchForClose()
{
  m_socket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), token = m_token](beast::error_code aError) {
      if (!aError && self->m_token == token) {
        self->OnReadable();
      }
    });
}

void
Session::OnReadable()
{
  char byte = 0;
  const int socket = m_socket.native_handle();
  const ssize_t got = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0) {
    if (errno == EAGAIN || errno == EINTR) {
      WatchForClose();
      return;
    }
    OnGone();
    return;
  }
  if (got == 0 && m_version >= 11) {
    // A full close and a shutdown of the sending side look alike. An interim
    // answer, which clients must skip, tells them apart: the system of a client
    // that has closed answers it with a reset.
    const ssize_t sent = send(
      socket, kContinue.data(), kContinue.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(kContinue.size())) {
      OnGone();
      return;
    }
  }
  // An early next request stays unread until the answer is written.
  WatchForReset();
}

void
Session::WatchForReset()
{
  m_socket.async_wait(
    tcp::socket::wait_error,
    [self = shared_from_this(), token = m_token](beast::error_code aError) {
      if (aError || self->m_token != token) {
        return;
      }
      pollfd state{ self->m_socket.native_handle(), 0, 0 };
      if (poll(&state, 1, 0) == 1 &&
          (state.revents & (POLLERR | POLLHUP)) != 0) {
        self->OnGone();
      }
    });
}

void
Session::OnGone()
{
  m_gone = true;
  if (m_token) {
    m_token->Cancel();
  }
}

} // namespace rattanloft::http
