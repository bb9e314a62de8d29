#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "rattanloft/base/Time.h"
#include "rattanloft/http/Types.h"
#include "rattanloft/overload/MemoryBudget.h"

namespace rattanloft::http {

struct ServerOptions
{
  // IP address and port to listen on. Port 0 lets the system choose a free one.
  std::string m_address = "127.0.0.1";
  uint16_t m_port = 0;
  // At this limit a new connection takes the place of the one that has made no
  // progress for longest. If all of them make progress or run a request, the
  // new one is answered with 503 and closed.
  size_t m_maxConnections = 1000;
  // Connections above the maximum that may be open at once to deliver their 503
  // response. Further ones are closed without a response.
  size_t m_maxRejectedConnections = 64;
  // Everything that grows with what clients send is charged to it. If null, the
  // server has one of its own.
  std::shared_ptr<overload::MemoryBudget> m_memoryBudget;
  // Serves control calls, whose bodies may use the whole budget.
  bool m_isControl = false;
  // Also limits the header of each chunk and the trailer fields.
  uint32_t m_maxHeaderBytes = 16 * 1024;
  uint64_t m_maxBodyBytes = 1024 * 1024;
  // Returns a limit of the body that may change while the server runs; the
  // lower of the two applies. May be empty.
  std::function<uint64_t()> m_currentMaxBodyBytes;
  // Limits the time from the first byte of a request to its last.
  Duration m_readTimeout = Seconds(10);
  // Limits how long a connection may be idle. Longer than the 30 s of the
  // client, so that the client closes first and does not send a request on a
  // connection that the server is closing.
  Duration m_idleTimeout = Seconds(35);
  // Limits the time to write one response.
  Duration m_writeTimeout = Seconds(10);
  // Grace period during which Stop() still serves new requests, each with
  // Connection: close, so that clients which are about to send a request get a
  // response instead of a closed connection.
  Duration m_stopGrace = Milliseconds(200);
  // Header fields (name, value) added to the responses that the server sends
  // without calling the handler.
  std::vector<std::pair<std::string, std::string>> m_refusalHeaderFields;
  // For fault injection in test servers: called with a response of the handler
  // and the socket descriptor before the response is written. If it returns
  // false, the connection is closed and nothing is written.
  std::function<bool(const Response&, int)> m_beforeWrite;
};

struct ServerCounters
{
  // Requests and responses that were given up to free memory.
  uint64_t m_requestsReclaimed = 0;
  // Requests that were refused for lack of memory.
  uint64_t m_bodiesRefused = 0;
  // Connections that were closed to make room for new ones.
  uint64_t m_connectionsReclaimed = 0;
  // Requests whose client left before the handler was called or while it ran.
  uint64_t m_clientsLeft = 0;
  // Requests that ran to their end although the client had closed its side of
  // the connection behind input that was not read.
  uint64_t m_closesUnnoticed = 0;
};

// An HTTP/1.1 server, for an io_context that one thread runs. Not thread-safe.
// Malformed requests are answered with 400, oversize headers with 431, oversize
// bodies with 413 and requests that are not received in time with 408. Requests
// that do not fit into the memory budget are answered with 503, and requests
// that have stalled may be answered with 408 to make room for others. None of
// these reaches the handler.
class Server
{
public:
  // Computes the response to a request. aCancel is cancelled if the client
  // closes or resets its connection while the handler runs. A client that only
  // shuts down its sending side still gets its response. An exception thrown by
  // the handler is answered with 500.
  using Handler = std::function<boost::asio::awaitable<Response>(
    Request aRequest,
    std::shared_ptr<CancelToken> aCancel)>;

  // Starts to listen. Fails with kInvalidAddress or kListenFailed.
  static tl::expected<std::unique_ptr<Server>, HttpError> Make(
    boost::asio::io_context& aContext,
    ServerOptions aOptions,
    Handler aHandler);

  // Closes all connections at once. It does not wait for running handlers, so
  // call Stop() first.
  virtual ~Server() = default;

  // The port that the server listens on.
  virtual uint16_t Port() const = 0;
  virtual size_t ConnectionCount() const = 0;
  virtual const ServerCounters& Counters() const = 0;
  // Stops gracefully. After the grace period it stops accepting connections and
  // closes idle ones. Running requests finish, and their connections are closed
  // after the response. Completes when no connection is left.
  virtual boost::asio::awaitable<void> Stop() = 0;
};

} // namespace rattanloft::http
