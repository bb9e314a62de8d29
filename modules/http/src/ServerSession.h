#pragma once

#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "ServerState.h"
#include "rattanloft/overload/MemoryCharge.h"

namespace rattanloft::http {

// One connection of a server. Serves a request only after it has written the
// response to the previous one; until then it reads ahead a little. Used on the
// server's thread only.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  ServerSession(std::shared_ptr<ServerState> aServerState,
                boost::asio::ip::tcp::socket aSocket);
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  // Charges what an idle connection needs. If this fails, the session must not
  // be run.
  bool TryChargeConnection();
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

  // Bytes that become free if the request that is being received, or the
  // response that is being sent, is given up.
  size_t ReclaimableBytes() const;
  // Gives up the request with 408, or the response by closing the connection.
  // Returns false if the client has made progress that is not processed yet.
  bool TryReclaim();
  // Whether the connection has stalled and may be closed to make room for
  // another.
  bool MayEvict(TimePoint aNow);
  void Evict();
  // When a byte was last received or sent, or the state was entered.
  TimePoint LastProgress() const { return m_lastProgress; }
  bool IsWritingResponse() const { return m_state == State::kWritingResponse; }
  bool HasServedRequest() const { return m_hasServedRequest; }

private:
  using RequestParser = boost::beast::http::request_parser<BodyType>;

  // What follows the input that has been read ahead.
  enum class Input
  {
    // Nothing yet.
    kOpen,
    // More input, for which there is no room.
    kUnread,
    // The end of the input.
    kEnded,
    kReset,
  };

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
  // Charges the body, as far as its length is declared. Returns false if it
  // does not fit.
  bool AdmitBody(RequestParser& aParser);
  // Returns false if the received part of the header cannot be charged.
  bool AdmitHeader(size_t aBytes, size_t aLines);
  // Returns false if the response cannot be charged.
  bool ChargeResponse(const Response& aResponse);
  // Frees what is not needed while the connection is idle.
  void ReleaseSpareMemory();
  // Ends the read of a request; it is then answered with 408.
  void AbortRead();
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
  // Moves input to the buffer, up to the bound of what an idle connection is
  // charged for. The end of the input shows only behind all that precedes it.
  Input ReadAhead();
  // Looks for a close that neither input nor a reset shows.
  void CheckHiddenClose(TimePoint aNow);
  // Returns whether the client was probed or is gone.
  bool SendProbe();
  void WatchForReset();
  void OnClientGone();
  // Whether the client has ended its input, even if part of it is unread.
  bool HasInputEnded();
  // Counts a request that has ended although its client had left.
  void RecordUnnoticedClose();

  std::shared_ptr<ServerState> m_serverState;
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  State m_state = State::kIdle;
  TimePoint m_deadline{};
  TimePoint m_lastProgress{};
  // For the connection and for the header of its request.
  overload::MemoryCharge m_charge;
  // Body of the request that is being received, or of the response that is
  // being sent.
  Body* m_activeBody = nullptr;
  // The deadline of the current state has passed.
  bool m_timedOut = false;
  bool m_clientGone = false;
  // While the handler runs, the end of the input lies behind unread input or
  // has come already, so the session is not told when the client closes.
  bool m_mayHideClose = false;
  // The end of the input has been seen.
  bool m_hasInputEnded = false;
  // Probes of the client of the current request.
  int m_probeCount = 0;
  TimePoint m_nextProbeAt{};
  // Of the current request: 10 or 11.
  unsigned m_httpVersion = 11;
  // Whether any request has been served on this connection.
  bool m_hasServedRequest = false;
  // Set while the handler runs.
  std::shared_ptr<CancelToken> m_cancelToken;
};

} // namespace rattanloft::http
