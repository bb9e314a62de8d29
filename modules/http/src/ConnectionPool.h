#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::http {

struct PooledConnection
{
  explicit PooledConnection(boost::asio::io_context& aContext)
    : m_socket(aContext)
  {
  }

  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  TimePoint m_openedAt{};
  TimePoint m_idleSince{};
};

// An exchange that waits for a connection within the pool's bounds.
struct ConnectionWaiter
{
  explicit ConnectionWaiter(boost::asio::io_context& aContext)
    : m_wakeTimer(aContext, boost::asio::steady_timer::time_point::max())
  {
  }

  // Cancelled when a place is given or the exchange is abandoned.
  boost::asio::steady_timer m_wakeTimer;
  bool m_granted = false;
  // Empty if the place that was given needs a new connection.
  std::unique_ptr<PooledConnection> m_connection;
};

// The places and idle connections of one client. Owned by the client and its
// running exchanges; used on the client's thread only.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  ConnectionPool(boost::asio::io_context& aContext, ClientOptions aOptions);

  // Takes an idle connection that looks usable, or null.
  std::unique_ptr<PooledConnection> TakeIdleConnection(
    const std::string& aPeer);
  // Counts a new connection against the bounds. Closes the longest idle
  // connection of another peer if the total bound requires it.
  bool TryReserveSlot(const std::string& aPeer);
  // Null if too many exchanges wait already.
  std::shared_ptr<ConnectionWaiter> AddWaiter(const std::string& aPeer);
  void RemoveWaiter(const std::string& aPeer, const ConnectionWaiter* aWaiter);
  // Returns a usable connection, to a waiter or to the idle ones.
  void ReturnConnection(const std::string& aPeer,
                        std::unique_ptr<PooledConnection> aConnection);
  // Returns the place of a connection that is closed or was never made.
  void ReleaseSlot(const std::string& aPeer);
  void CloseIdleConnections(std::string_view aPeer);
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
  bool CloseLongestIdleConnection();
  // Gives a free place to a waiter of this peer or else of any other.
  void OfferSlot(PeerState& aPreferredPeer);
  bool GrantSlotToWaiter(PeerState& aPeer);
  void ErasePeerIfUnused(std::string_view aPeer);
  void RemoveFromCounts(PeerState& aPeer);
  void ScheduleIdleSweep();
  void SweepIdleConnections();

  boost::asio::io_context& m_context;
  ClientOptions m_options;
  BootClock m_clock;
  std::map<std::string, PeerState, std::less<>> m_peers;
  size_t m_openCount = 0;
  size_t m_waiterCount = 0;
  size_t m_idleCount = 0;
  boost::asio::steady_timer m_sweepTimer;
  bool m_sweepScheduled = false;
  bool m_isShutDown = false;
};

} // namespace rattanloft::http
