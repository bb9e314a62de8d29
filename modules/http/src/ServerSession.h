#pragma once

#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::http {

class ServerSession;

// What the sessions of one server share. Kept alive by the server and by each
// of its coroutines; used on the server's thread only.
struct ServerState
{
  ServerState(boost::asio::io_context& aContext,
              ServerOptions aOptions,
              Server::Handler aHandler)
    : m_options(std::move(aOptions))
    , m_handler(std::move(aHandler))
    , m_acceptor(aContext)
    , m_sweepTimer(aContext)
    , m_noSessionsTimer(aContext)
  {
  }

  ServerOptions m_options;
  Server::Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  // One timer for the deadlines of all sessions, so that an exchange costs no
  // timer operations.
  boost::asio::steady_timer m_sweepTimer;
  // Cancelled when the last session ends.
  boost::asio::steady_timer m_noSessionsTimer;
  std::unordered_set<ServerSession*> m_sessions;
  BootClock m_clock;
  // Answers carry Connection: close.
  bool m_stopping = false;
  // The grace period is over: idle connections close.
  bool m_closeIdleSessions = false;
};

// One connection of a server. Reads a request only after the answer to the
// former one was written.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  ServerSession(std::shared_ptr<ServerState> aServerState,
                boost::asio::ip::tcp::socket aSocket);
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  boost::asio::awaitable<void> RunRequestLoop();
  // Answers with 503 and closes.
  boost::asio::awaitable<void> RejectConnection();
  // Ends the current read or write if its deadline has passed.
  void CheckDeadline(TimePoint aNow);
  // Closes the connection if no request has begun on it.
  void CloseIfIdle();
  void Close();

private:
  enum class State
  {
    kIdle,
    kReadingRequest,
    kRunningHandler,
    kWritingResponse,
    kLingering,
  };

  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<std::optional<Request>> ReadRequest();
  boost::asio::awaitable<void> ContinueIfExpected(const Request& aRequest);
  boost::asio::awaitable<bool> ServeRequest(Request aRequest);
  boost::asio::awaitable<Response> CallHandler(
    Request aRequest,
    std::shared_ptr<CancelToken> aCancelToken);
  boost::asio::awaitable<bool> WriteResponse(Response& aResponse);
  boost::asio::awaitable<void> RefuseRequest(boost::beast::http::status aStatus,
                                             std::string_view aReason);
  boost::asio::awaitable<void> LingerBeforeClose();
  void EnterState(State aState, Duration aTimeLimit);
  // Nothing to read and not closed by the peer.
  bool IsOpenWithoutInput();

  void WatchForInput();
  void OnReadable();
  void WatchForReset();
  void OnClientGone();

  std::shared_ptr<ServerState> m_serverState;
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  State m_state = State::kIdle;
  TimePoint m_deadline{};
  bool m_timedOut = false;
  bool m_clientGone = false;
  unsigned m_httpVersion = 11;
  // A request was answered on this connection.
  bool m_hasServedRequest = false;
  // Set while the handler runs.
  std::shared_ptr<CancelToken> m_cancelToken;
};

} // namespace rattanloft::http
