#pragma once

#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::http {

class ServerSession;

// The state that a server shares with its sessions. Kept alive by the server
// and by each of its coroutines. Used on the server's thread only.
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
  // One timer checks the deadlines of all sessions, so that a request needs no
  // timer operation of its own.
  boost::asio::steady_timer m_sweepTimer;
  // Never expires; cancelled when the last session ends.
  boost::asio::steady_timer m_noSessionsTimer;
  // Sessions add and remove themselves.
  std::unordered_set<ServerSession*> m_sessions;
  BootClock m_clock;
  // Stop() was called: responses carry Connection: close.
  bool m_stopping = false;
  // The grace period of Stop() is over: idle connections are closed.
  bool m_closeIdleSessions = false;
};

// One connection of a server. Reads a request only after it has written the
// response to the previous one. Used on the server's thread only.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  ServerSession(std::shared_ptr<ServerState> aServerState,
                boost::asio::ip::tcp::socket aSocket);
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  // Serves requests until the connection is closed.
  boost::asio::awaitable<void> RunRequestLoop();
  // Responds with 503, without reading a request, and closes the connection.
  boost::asio::awaitable<void> RejectConnection();
  // Ends the current wait, read or write if its deadline has passed.
  void CheckDeadline(TimePoint aNow);
  // Closes the connection if no request is in progress. If none has been served
  // yet, the client first gets a short time to send one.
  void CloseIfIdle();
  void Close();

private:
  using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State
  {
    // Waits for the first byte of a request.
    kIdle,
    kReadingRequest,
    kRunningHandler,
    kWritingResponse,
    // Discards input until the client closes, see LingerBeforeClose().
    kLingering,
  };

  // Returns false if the connection ended or must be closed.
  boost::asio::awaitable<bool> WaitForRequest();
  // Returns nothing if no valid request arrived. The request was refused or the
  // connection closed then.
  boost::asio::awaitable<std::optional<Request>> ReadRequest();
  boost::asio::awaitable<boost::beast::error_code> ReadBody(
    RequestParser& aParser);
  boost::asio::awaitable<void> ContinueIfExpected(const Request& aRequest);
  // Returns whether the connection stays open for another request.
  boost::asio::awaitable<bool> ServeRequest(Request aRequest);
  boost::asio::awaitable<Response> CallHandler(
    Request aRequest,
    std::shared_ptr<CancelToken> aCancelToken);
  boost::asio::awaitable<bool> WriteResponse(Response& aResponse);
  // Responds without calling the handler, then waits for the client to close.
  boost::asio::awaitable<void> RefuseRequest(boost::beast::http::status aStatus,
                                             std::string_view aReason);
  // Shuts down the sending side and discards input until the client closes.
  boost::asio::awaitable<void> LingerBeforeClose();
  // Sets the state and the deadline by which it must end.
  void EnterState(State aState, Duration aTimeLimit);
  // Whether the client has neither closed the connection nor sent data that is
  // still unread.
  bool IsOpenWithoutInput();

  // Whether the client has closed or reset the connection before the handler
  // is called. A thread that was blocked reads the request as well as the end
  // of its connection.
  boost::asio::awaitable<bool> HasClientLeft();
  // From then on, these detect that the client closes or resets the connection,
  // and then cancel the handler.
  void WatchForInput();
  // Returns whether the client has left, or has ended its input and so may have
  // left.
  bool CheckInput();
  void WatchForReset();
  void OnClientGone();

  std::shared_ptr<ServerState> m_serverState;
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  State m_state = State::kIdle;
  TimePoint m_deadline{};
  // The deadline of the current state has passed.
  bool m_timedOut = false;
  bool m_clientGone = false;
  // Of the current request: 10 or 11.
  unsigned m_httpVersion = 11;
  // Whether any request has been served on this connection.
  bool m_hasServedRequest = false;
  // Set while the handler runs.
  std::shared_ptr<CancelToken> m_cancelToken;
};

} // namespace rattanloft::http
