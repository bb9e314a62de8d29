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

class Session;

// What the sessions of one server share. Kept alive by the server and by each
// of its coroutines; used on the server's thread only.
struct ServerCore
{
  ServerCore(boost::asio::io_context& aContext,
             ServerOptions aOptions,
             Server::Handler aHandler)
    : m_options(std::move(aOptions))
    , m_handler(std::move(aHandler))
    , m_acceptor(aContext)
    , m_sweep(aContext)
    , m_empty(aContext)
  {
  }

  ServerOptions m_options;
  Server::Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  // One timer for the deadlines of all sessions, so that an exchange costs no
  // timer operations.
  boost::asio::steady_timer m_sweep;
  // Cancelled when the last session ends.
  boost::asio::steady_timer m_empty;
  std::unordered_set<Session*> m_sessions;
  BootClock m_clock;
  // Answers carry Connection: close.
  bool m_stopping = false;
  // The grace period is over: idle connections close.
  bool m_closeIdle = false;
};

// One connection of a server. Reads a request only after the answer to the
// former one was written.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<ServerCore> aCore,
          boost::asio::ip::tcp::socket aSocket);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  boost::asio::awaitable<void> Run();
  // Answers with 503 and closes.
  boost::asio::awaitable<void> Reject();
  // Ends the current read or write if its deadline has passed.
  void CheckDeadline(TimePoint aNow);
  // Closes the connection if no request has begun on it.
  void CloseIfIdle();
  void Close();

private:
  enum class State
  {
    kIdle,
    kReading,
    kRunning,
    kWriting,
    kLingering,
  };

  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<std::optional<Request>> ReadRequest();
  boost::asio::awaitable<void> ContinueIfExpected(const Request& aRequest);
  boost::asio::awaitable<bool> Serve(Request aRequest);
  boost::asio::awaitable<Response> CallHandler(
    Request aRequest,
    std::shared_ptr<CancelToken> aToken);
  boost::asio::awaitable<bool> Write(Response& aResponse);
  boost::asio::awaitable<void> Refuse(boost::beast::http::status aStatus,
                                      std::string_view aReason);
  boost::asio::awaitable<void> Linger();
  void Enter(State aState, Duration aLimit);
  // Nothing to read and not closed by the peer.
  bool IsQuiet();

  void WatchForClose();
  void OnReadable();
  void WatchForReset();
  void OnGone();

  std::shared_ptr<ServerCore> m_core;
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  State m_state = State::kIdle;
  TimePoint m_deadline{};
  bool m_timedOut = false;
  bool m_gone = false;
  unsigned m_version = 11;
  // A request was answered on this connection.
  bool m_served = false;
  // Set while the handler runs.
  std::shared_ptr<CancelToken> m_token;
};

} // namespace rattanloft::http
