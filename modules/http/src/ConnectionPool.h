#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::http {

// A connection to a peer, idle in the pool or in use by an exchange.
struct PooledConnection
{
  explicit PooledConnection(boost::asio::io_context& aContext)
    : m_socket(aContext)
  {
  }

  // Whether a request with this hash of its echoed field was sent on it. A late
  // copy of the response to that request would be taken for the response to the
  // next one with the same field.
  bool HasCarried(uint64_t aEchoHash) const
  {
    return std::ranges::find(m_echoHashes, aEchoHash) != m_echoHashes.end();
  }

  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  TimePoint m_openedAt{};
  TimePoint m_idleSince{};
  // Hashes of the echoed fields of all requests that were sent on it.
  std::vector<uint64_t> m_echoHashes;
};

// An exchange that waits because the pool has reached a bound.
struct ConnectionWaiter
{
  explicit ConnectionWaiter(boost::asio::io_context& aContext)
    : m_wakeTimer(aContext, boost::asio::steady_timer::time_point::max())
  {
  }

  // Never expires; cancelled when a slot is granted or the exchange is aborted.
  boost::asio::steady_timer m_wakeTimer;
  // Whether a slot of the pool was granted.
  bool m_granted = false;
  // The granted connection; null if the exchange must open a new one.
  std::unique_ptr<PooledConnection> m_connection;
};

// The idle connections of one client, and the slots that bound its open ones:
// each connection, idle or in use, occupies one slot. Shared by the client and
// its running exchanges. Not thread-safe: used on the client's thread only.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  ConnectionPool(boost::asio::io_context& aContext, ClientOptions aOptions);

  // Takes the most recently used idle connection that is still usable and has
  // not carried aEchoHash, with its slot; null if there is none.
  std::unique_ptr<PooledConnection> TakeIdleConnection(
    const std::string& aPeer,
    std::optional<uint64_t> aEchoHash);
  // Reserves a slot for a new connection; false if a bound is reached. If it is
  // the total bound, first tries to close the connection that has been idle
  // longest.
  bool TryReserveSlot(const std::string& aPeer);
  // Queues the caller for a slot or a connection; null if too many exchanges
  // wait already.
  std::shared_ptr<ConnectionWaiter> AddWaiter(const std::string& aPeer);
  void RemoveWaiter(const std::string& aPeer, const ConnectionWaiter* aWaiter);
  // Takes back a usable connection and gives it to a waiter or keeps it idle.
  void ReturnConnection(const std::string& aPeer,
                        std::unique_ptr<PooledConnection> aConnection);
  // Takes back the slot of a connection that is closed or was never opened.
  void ReleaseSlot(const std::string& aPeer);
  void CloseIdleConnections(std::string_view aPeer);
  // Closes all idle connections, and from then on also those that are returned.
  void Shutdown();

  size_t OpenConnectionCount() const { return m_openCount; }
  const ClientOptions& Options() const { return m_options; }
  const BootClock& BootTimeClock() const { return m_clock; }
  boost::asio::io_context& IoContext() { return m_context; }

private:
  struct PeerState
  {
    // The most recently used connection is at the back.
    std::deque<std::unique_ptr<PooledConnection>> m_idleConnections;
    std::deque<std::shared_ptr<ConnectionWaiter>> m_waiters;
    size_t m_openCount = 0;
  };

  bool IsUsable(const PooledConnection& aConnection, TimePoint aNow) const;
  // Closes the connection of any peer that has been idle longest; false if none
  // is idle.
  bool CloseLongestIdleConnection();
  // Grants a free slot to a waiter of this peer, or else of any other peer.
  void OfferSlot(PeerState& aPreferredPeer);
  bool GrantSlotToWaiter(PeerState& aPeer);
  void ErasePeerIfUnused(std::string_view aPeer);
  // Counts a connection of the peer as closed.
  void RemoveFromCounts(PeerState& aPeer);
  void ScheduleIdleSweep();
  // Closes the idle connections that are no longer usable.
  void SweepIdleConnections();

  boost::asio::io_context& m_context;
  ClientOptions m_options;
  BootClock m_clock;
  std::map<std::string, PeerState, std::less<>> m_peers;
  // Totals over all peers.
  size_t m_openCount = 0;
  size_t m_waiterCount = 0;
  size_t m_idleCount = 0;
  boost::asio::steady_timer m_sweepTimer;
  bool m_sweepScheduled = false;
  bool m_isShutDown = false;
};

} // namespace rattanloft::http
