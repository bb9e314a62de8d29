#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "rattanloft/base/Time.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::http {

struct ClientOptions
{
  size_t m_maxConnectionsPerPeer = 100;
  size_t m_maxTotalConnections = 512;
  Duration m_connectTimeout = Milliseconds(500);
  Duration m_idleTimeout = Seconds(30);
  Duration m_maxConnectionAge = Seconds(300);
  uint32_t m_maxHeaderBytes = 64 * 1024;
  uint64_t m_maxBodyBytes = 8 * 1024 * 1024;
  // Exchanges that wait for a connection; further ones get kPoolFull at once.
  size_t m_maxWaitingExchanges = 1000;
  // Accepts answers that have no length and end with their connection, if it
  // ends without an error.
  bool m_acceptUnframedResponses = false;
  // Field of a request that its answer repeats; empty for none. An answer with
  // another value belongs to another request: it is an error, and the
  // connection is closed, since everything that follows on it is off by one as
  // well.
  std::string m_echoedFieldName;
};

// A pooled HTTP/1.1 client on one thread's io_context. One request at a time
// uses a connection, so answers cannot be mixed up. After a timeout, an error
// or a cancellation the connection is closed and never used again.
class Client
{
public:
  static std::unique_ptr<Client> Make(boost::asio::io_context& aContext,
                                      ClientOptions aOptions);
  virtual ~Client() = default;

  // aPeer is host:port with an IP address. A connection that the peer has
  // closed is not picked from the pool. On a timeout the idle connections to
  // that peer are closed too, since a silent path usually affects them all.
  // Fields that concern one connection only are removed from the request and
  // from the answer; Host is added if it is missing. Uses aCancel's callback
  // until it completes.
  virtual boost::asio::awaitable<tl::expected<Response, HttpError>> Exchange(
    std::string aPeer,
    Request aRequest,
    Duration aTimeout,
    std::shared_ptr<CancelToken> aCancel = nullptr) = 0;

  // Closes all idle connections to the peer.
  virtual void CloseIdleConnections(std::string_view aPeer) = 0;
  virtual size_t ConnectionCount() const = 0;
};

} // namespace rattanloft::http
