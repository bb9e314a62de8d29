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

namespace rattanloft::http {

struct ServerOptions
{
  // IP address and port; port 0 takes a free one.
  std::string m_address = "127.0.0.1";
  uint16_t m_port = 0;
  // Further connections get 503 and are closed.
  size_t m_maxConnections = 1000;
  uint32_t m_maxHeaderBytes = 16 * 1024;
  uint64_t m_maxBodyBytes = 1024 * 1024;
  // From the first byte of a request to its last.
  Duration m_readTimeout = Seconds(10);
  // Longer than the client's 30 s, so that a client closes first and does not
  // write a request into a connection that the server is closing.
  Duration m_idleTimeout = Seconds(35);
  Duration m_writeTimeout = Seconds(10);
  // Stop() serves new requests for this long, each with Connection: close, so
  // that clients which are about to send are answered instead of cut off.
  Duration m_stopGrace = Milliseconds(200);
  // Added to the answers that the server gives without calling the handler.
  std::vector<std::pair<std::string, std::string>> m_refusalHeaderFields;
  // For fault injection in stand-ins: called with an answer of the handler and
  // the socket before the answer is written. False closes the connection
  // instead.
  std::function<bool(const Response&, int)> m_beforeWrite;
};

// An HTTP/1.1 server on one thread's io_context. Malformed requests get 400,
// oversize headers 431, oversize bodies 413, and never reach the handler.
class Server
{
public:
  // The token is cancelled when the client goes away while the handler runs. A
  // client that only shut down its sending side still gets its answer. An
  // exception from the handler is answered with 500.
  using Handler = std::function<boost::asio::awaitable<Response>(
    Request aRequest,
    std::shared_ptr<CancelToken> aCancel)>;

  static tl::expected<std::unique_ptr<Server>, HttpError> Make(
    boost::asio::io_context& aContext,
    ServerOptions aOptions,
    Handler aHandler);

  // Closes all connections at once. Handlers that still run keep running, so
  // call Stop() first.
  virtual ~Server() = default;

  virtual uint16_t Port() const = 0;
  virtual size_t ConnectionCount() const = 0;
  // After the grace period, stops accepting and closes idle connections. Lets
  // running requests finish and closes each connection after its answer.
  // Completes when none is left.
  virtual boost::asio::awaitable<void> Stop() = 0;
};

} // namespace rattanloft::http
