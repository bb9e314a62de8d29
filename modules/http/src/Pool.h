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

struct Connection
{
  explicit Connection(boost::asio::io_context& aContext)
    : m_socket(aContext)
  {
  }

  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  TimePoint m_openedAt{};
  TimePoint m_idleSince{};
};

// An exchange that waits for a connection within the pool's bounds.
struct Waiter
{
  explicit Waiter(boost::asio::io_context& aContext)
    : m_wake(aContext, boost::asio::steady_timer::time_point::max())
  {
  }

  // Cancelled when a place is given or the exchange is abandoned.
  boost::asio::steady_timer m_wake;
  bool m_granted = false;
  // Empty if the place that was given needs a new connection.
  std::unique_ptr<Connection> m_connection;
};

// The places and idle connections of one client. Owned by the client and its
// running exchanges; used on the client's thread only.
class Pool : public std::enable_shared_from_this<Pool>
{
public:
  Pool(boost::asio::io_context& aContext, ClientOptions aOptions);

  // Takes an idle connection that looks usable, or null.
  std::unique_ptr<Connection> TakeIdle(const std::string& aPeer);
  // Counts a new connection against the bounds. Closes the longest idle
  // connection of another peer if the total bound requires it.
  bool TakePlace(const std::string& aPeer);
  // Null if too many exchanges wait already.
  std::shared_ptr<Waiter> Wait(const std::string& aPeer);
  void StopWaiting(const std::string& aPeer, const Waiter* aWaiter);
  // Returns a usable connection, to a waiter or to the idle ones.
  void Return(const std::string& aPeer, std::unique_ptr<Connection> aItem);
  // Returns the place of a connection that is closed or was never made.
  void ReturnPlace(const std::string& aPeer);
  void CloseIdleConnections(std::string_view aPeer);
  void Shutdown();

  size_t Open() const { return m_open; }
  const ClientOptions& Options() const { return m_options; }
  const BootClock& Now() const { return m_clock; }
  boost::asio::io_context& Context() { return m_context; }

private:
  struct Peer
  {
    // The most recently used connection is at the back.
    std::deque<std::unique_ptr<Connection>> m_idle;
    std::deque<std::shared_ptr<Waiter>> m_waiters;
    size_t m_open = 0;
  };

  bool IsUsable(const Connection& aItem, TimePoint aNow) const;
  bool CloseLongestIdle();
  // Gives a free place to a waiter of this peer or else of any other.
  void OfferPlace(Peer& aFirst);
  bool GrantPlace(Peer& aPeer);
  void EraseIfUnused(std::string_view aPeer);
  void Release(Peer& aPeer);
  void ScheduleSweep();
  void Sweep();

  boost::asio::io_context& m_context;
  ClientOptions m_options;
  BootClock m_clock;
  std::map<std::string, Peer, std::less<>> m_peers;
  size_t m_open = 0;
  size_t m_waiting = 0;
  size_t m_idle = 0;
  boost::asio::steady_timer m_sweep;
  bool m_sweepScheduled = false;
  bool m_shutdown = false;
};

} // namespace rattanloft::http
