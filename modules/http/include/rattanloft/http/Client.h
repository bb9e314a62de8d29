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
#include "rattanloft/overload/MemoryBudget.h"

namespace rattanloft::http {

struct ClientOptions
{
  // Bounds on open connections, idle ones included.
  size_t m_maxConnectionsPerPeer = 100;
  size_t m_maxTotalConnections = 512;
  Duration m_connectTimeout = Milliseconds(500);
  // A connection that has been idle for this long is closed.
  Duration m_idleTimeout = Seconds(30);
  // A connection that has been open for this long is not used again.
  Duration m_maxConnectionAge = Seconds(300);
  // A request that could not be written within this time, which a suspension of
  // the machine is part of, is not sent; 0 for no limit.
  Duration m_maxSendDelay;
  // Limits of a response; a larger one is a kConnectionBroken error. The header
  // limit also applies to the header of each chunk and to the trailer fields.
  uint32_t m_maxHeaderBytes = 64 * 1024;
  uint64_t m_maxBodyBytes = 8 * 1024 * 1024;
  // Responses are charged to it as they are read. One that does not fit is a
  // kConnectionBroken error. If null, the client has one of its own.
  std::shared_ptr<overload::MemoryBudget> m_memoryBudget;
  // Exchanges that may wait for a connection; further ones fail at once with
  // kPoolFull.
  size_t m_maxWaitingExchanges = 1000;
  // Accepts responses that declare no length and end when the peer closes the
  // connection, provided that it is closed without an error and after the whole
  // request was written.
  bool m_acceptUnframedResponses = false;
  // Name of a header field of the request, such as a request id, that the peer
  // repeats in its response; empty for none. A response with another value
  // belongs to another request. It is reported as an error, and the connection
  // is closed, since all later responses on it would be mismatched as well. A
  // request is never sent on a connection that has carried one with the same
  // value, since a late copy of the response to that one would match.
  std::string m_echoedFieldName;
};

// An HTTP/1.1 client with a connection pool, for an io_context that one thread
// runs. Not thread-safe. A connection carries one request at a time, without
// pipelining, so that responses cannot be mixed up. After a timeout, an error
// or a cancellation the connection is closed.
class Client
{
public:
  static std::unique_ptr<Client> Make(boost::asio::io_context& aContext,
                                      ClientOptions aOptions);
  virtual ~Client() = default;

  // Sends a request and returns the response, whatever its status. aPeer is
  // address:port with an IP address. aTimeout limits the whole exchange,
  // including the wait for a connection. If it expires after the request may
  // have been sent, the idle connections to the peer are closed too, since a
  // failure of the network path usually affects them all. Hop-by-hop header
  // fields are removed from the request and from the response; Host is added
  // if it is missing. Sets the callback of aCancel until the exchange ends.
  virtual boost::asio::awaitable<tl::expected<Response, HttpError>> Exchange(
    std::string aPeer,
    Request aRequest,
    Duration aTimeout,
    std::shared_ptr<CancelToken> aCancel = nullptr) = 0;

  // Closes all idle connections to the peer, given as in Exchange().
  virtual void CloseIdleConnections(std::string_view aPeer) = 0;
  // Open connections to all peers, including those being established.
  virtual size_t ConnectionCount() const = 0;
};

} // namespace rattanloft::http
