#include "ConnectionPool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace rattanloft::http {

namespace {

// How often idle connections are checked. Bounds how long a connection stays
// open after the peer has closed it, or after it has become too old.
constexpr auto kIdleSweepInterval = std::chrono::seconds(1);

// Whether the peer has neither closed the connection nor sent data on it. Data
// on an idle connection does not belong to any request.
bool
IsOpenWithoutInput(const PooledConnection& aConnection)
{
  char byte = 0;
  auto& socket =
    const_cast<boost::asio::ip::tcp::socket&>(aConnection.m_socket);
  const ssize_t received =
    recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& aContext,
                               ClientOptions aOptions)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_sweepTimer(aContext)
{
}

bool
ConnectionPool::IsUsable(const PooledConnection& aConnection,
                         TimePoint aNow) const
{
  return aNow - aConnection.m_idleSince < m_options.m_idleTimeout &&
         aNow - aConnection.m_openedAt < m_options.m_maxConnectionAge &&
         IsOpenWithoutInput(aConnection);
}

void
ConnectionPool::RemoveFromCounts(PeerState& aPeer)
{
  --aPeer.m_openCount;
  --m_openCount;
}

std::unique_ptr<PooledConnection>
ConnectionPool::TakeIdleConnection(const std::string& aPeer,
                                   std::optional<uint64_t> aEchoHash)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return nullptr;
  }
  PeerState& peer = found->second;
  auto& idle = peer.m_idleConnections;
  const TimePoint now = m_clock.Now();
  for (auto item = idle.end(); item != idle.begin();) {
    --item;
    if (aEchoHash && (*item)->HasCarried(*aEchoHash)) {
      continue;
    }
    auto connection = std::move(*item);
    item = idle.erase(item);
    --m_idleCount;
    if (IsUsable(*connection, now)) {
      return connection;
    }
    RemoveFromCounts(peer);
  }
  return nullptr;
}

bool
ConnectionPool::TryReserveSlot(const std::string& aPeer)
{
  PeerState& peer = m_peers[aPeer];
  if (peer.m_openCount >= m_options.m_maxConnectionsPerPeer ||
      (m_openCount >= m_options.m_maxTotalConnections &&
       !CloseLongestIdleConnection())) {
    ErasePeerIfUnused(aPeer);
    return false;
  }
  ++peer.m_openCount;
  ++m_openCount;
  return true;
}

bool
ConnectionPool::CloseLongestIdleConnection()
{
  PeerState* longestIdle = nullptr;
  for (auto& [name, peer] : m_peers) {
    if (!peer.m_idleConnections.empty() &&
        (longestIdle == nullptr ||
         peer.m_idleConnections.front()->m_idleSince <
           longestIdle->m_idleConnections.front()->m_idleSince)) {
      longestIdle = &peer;
    }
  }
  if (longestIdle == nullptr) {
    return false;
  }
  longestIdle->m_idleConnections.pop_front();
  --m_idleCount;
  RemoveFromCounts(*longestIdle);
  return true;
}

std::shared_ptr<ConnectionWaiter>
ConnectionPool::AddWaiter(const std::string& aPeer)
{
  if (m_waiterCount >= m_options.m_maxWaitingExchanges) {
    return nullptr;
  }
  ++m_waiterCount;
  auto waiter = std::make_shared<ConnectionWaiter>(m_context);
  m_peers[aPeer].m_waiters.push_back(waiter);
  return waiter;
}

void
ConnectionPool::RemoveWaiter(const std::string& aPeer,
                             const ConnectionWaiter* aWaiter)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return;
  }
  auto& waiters = found->second.m_waiters;
  const auto position =
    std::find_if(waiters.begin(),
                 waiters.end(),
                 [&](const std::shared_ptr<ConnectionWaiter>& aCandidate) {
                   return aCandidate.get() == aWaiter;
                 });
  if (position != waiters.end()) {
    waiters.erase(position);
    --m_waiterCount;
  }
  ErasePeerIfUnused(aPeer);
}

void
ConnectionPool::ReturnConnection(const std::string& aPeer,
                                 std::unique_ptr<PooledConnection> aConnection)
{
  PeerState& peer = m_peers[aPeer];
  const TimePoint now = m_clock.Now();
  // An idle connection is checked for input when it is taken.
  if (m_isShutDown ||
      now - aConnection->m_openedAt >= m_options.m_maxConnectionAge ||
      (!peer.m_waiters.empty() && !IsOpenWithoutInput(*aConnection))) {
    aConnection.reset();
    ReleaseSlot(aPeer);
    return;
  }
  aConnection->m_idleSince = now;
  if (!peer.m_waiters.empty()) {
    const std::shared_ptr<ConnectionWaiter> waiter = peer.m_waiters.front();
    peer.m_waiters.pop_front();
    --m_waiterCount;
    waiter->m_granted = true;
    waiter->m_connection = std::move(aConnection);
    waiter->m_wakeTimer.cancel();
    return;
  }
  peer.m_idleConnections.push_back(std::move(aConnection));
  ++m_idleCount;
  ScheduleIdleSweep();
  if (m_waiterCount > 0 && m_openCount >= m_options.m_maxTotalConnections) {
    // The waiters are exchanges with other peers that wait because of the total
    // bound.
    CloseLongestIdleConnection();
    OfferSlot(peer);
  }
}

void
ConnectionPool::ReleaseSlot(const std::string& aPeer)
{
  PeerState& peer = m_peers[aPeer];
  RemoveFromCounts(peer);
  OfferSlot(peer);
  ErasePeerIfUnused(aPeer);
}

void
ConnectionPool::OfferSlot(PeerState& aPreferredPeer)
{
  if (m_waiterCount == 0 || GrantSlotToWaiter(aPreferredPeer)) {
    return;
  }
  for (auto& [name, peer] : m_peers) {
    if (GrantSlotToWaiter(peer)) {
      return;
    }
  }
}

bool
ConnectionPool::GrantSlotToWaiter(PeerState& aPeer)
{
  if (aPeer.m_waiters.empty() ||
      aPeer.m_openCount >= m_options.m_maxConnectionsPerPeer ||
      m_openCount >= m_options.m_maxTotalConnections) {
    return false;
  }
  const std::shared_ptr<ConnectionWaiter> waiter = aPeer.m_waiters.front();
  aPeer.m_waiters.pop_front();
  --m_waiterCount;
  ++aPeer.m_openCount;
  ++m_openCount;
  waiter->m_granted = true;
  waiter->m_wakeTimer.cancel();
  return true;
}

void
ConnectionPool::ErasePeerIfUnused(std::string_view aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found != m_peers.end() && found->second.m_openCount == 0 &&
      found->second.m_waiters.empty()) {
    m_peers.erase(found);
  }
}

void
ConnectionPool::CloseIdleConnections(std::string_view aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return;
  }
  const std::string name = found->first;
  size_t closedCount = found->second.m_idleConnections.size();
  m_idleCount -= closedCount;
  found->second.m_idleConnections.clear();
  for (; closedCount > 0; --closedCount) {
    ReleaseSlot(name);
  }
}

void
ConnectionPool::Shutdown()
{
  m_isShutDown = true;
  m_sweepTimer.cancel();
  for (auto& [name, peer] : m_peers) {
    for (size_t remaining = peer.m_idleConnections.size(); remaining > 0;
         --remaining) {
      RemoveFromCounts(peer);
    }
    peer.m_idleConnections.clear();
  }
  m_idleCount = 0;
}

void
ConnectionPool::ScheduleIdleSweep()
{
  if (m_sweepScheduled) {
    return;
  }
  m_sweepScheduled = true;
  m_sweepTimer.expires_after(kIdleSweepInterval);
  m_sweepTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      self->m_sweepScheduled = false;
      if (!aError) {
        self->SweepIdleConnections();
      }
    });
}

void
ConnectionPool::SweepIdleConnections()
{
  const TimePoint now = m_clock.Now();
  std::vector<std::string> peersOfClosed;
  for (auto& [name, peer] : m_peers) {
    const size_t removed =
      std::erase_if(peer.m_idleConnections,
                    [&](const std::unique_ptr<PooledConnection>& aConnection) {
                      return !IsUsable(*aConnection, now);
                    });
    m_idleCount -= removed;
    peersOfClosed.insert(peersOfClosed.end(), removed, name);
  }
  for (const std::string& name : peersOfClosed) {
    ReleaseSlot(name);
  }
  if (m_idleCount > 0) {
    ScheduleIdleSweep();
  }
}

} // namespace rattanloft::http
