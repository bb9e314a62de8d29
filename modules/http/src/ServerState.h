#pragma once

#include <memory>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/base/TokenBucket.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::http {

class ServerSession;

// The state that a server shares with its sessions. Kept alive by the server
// and by each of its coroutines. Used on the server's thread only.
class ServerState final : public overload::ReclaimSource
{
public:
  ServerState(boost::asio::io_context& aContext,
              ServerOptions aOptions,
              Server::Handler aHandler);
  ~ServerState() override;

  void ListCandidates(
    std::vector<overload::ReclaimCandidate>& aCandidates) override;
  void Reclaim(const overload::ReclaimCandidate& aCandidate) override;

  // Closes the connection that has made no progress for longest, to make room
  // for a new one. Those that never had a request served go first, so that
  // clients which only connect do not displace others. False if there is none.
  bool EvictConnection();
  // Whether to log a decision about a single connection. Bounds their number.
  bool MayLogDecision() { return m_decisionLogLimit.TryTake(m_clock.Now()); }
  // Largest body of a request that is accepted now.
  uint64_t MaxBodyBytes() const;

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
  ServerCounters m_counters;
  // Sessions that discard input before they close.
  size_t m_lingeringCount = 0;
  // Stop() was called: responses carry Connection: close.
  bool m_stopping = false;
  // The grace period of Stop() is over: idle connections are closed.
  bool m_closeIdleSessions = false;

private:
  TokenBucket m_decisionLogLimit;
};

} // namespace rattanloft::http
