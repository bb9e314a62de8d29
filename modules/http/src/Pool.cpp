#include "Pool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace rattanloft::http {

namespace {

// Finds connections that the peer closed, or that are idle or old, in time to
// keep few of them open in vain.
constexpr auto kSweepInterval = std::chrono::seconds(1);

// Neither closed by the peer nor holding bytes that no request asked for.
bool
IsQuiet(const Connection& aItem)
{
  char byte = 0;
  auto& socket = const_cast<boost::asio::ip::tcp::socket&>(aItem.m_socket);
  const ssize_t got =
    recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

Pool::Pool(boost::asio::io_context& aContext, ClientOptions aOptions)
  : m_context(aContext)
  , m_options(aOptions)
  , m_sweep(aContext)
{
}

bool
Pool::IsUsable(const Connection& aItem, TimePoint aNow) const
{
  return aNow - aItem.m_idleSince < m_options.m_idleTimeout &&
         aNow - aItem.m_openedAt < m_options.m_maxAge && IsQuiet(aItem);
}

void
Pool::Release(Peer& aPeer)
{
  --aPeer.m_open;
  --m_open;
}

std::unique_ptr<Connection>
Pool::TakeIdle(const std::string& aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return nullptr;
  }
  Peer& peer = found->second;
  const TimePoint now = m_clock.Now();
  while (!peer.m_idle.empty()) {
    auto item = std::move(peer.m_idle.back());
    peer.m_idle.pop_back();
    --m_idle;
    if (IsUsable(*item, now)) {
      return item;
    }
    Release(peer);
  }
  return nullptr;
}

bool
Pool::TakePlace(const std::string& aPeer)
{
  Peer& peer = m_peers[aPeer];
  if (peer.m_open >= m_options.m_maxConnectionsPerPeer ||
      (m_open >= m_options.m_maxTotalConnections && !CloseLongestIdle())) {
    EraseIfUnused(aPeer);
    return false;
  }
  ++peer.m_open;
  ++m_open;
  return true;
}

bool
Pool::CloseLongestIdle()
{
  Peer* oldest = nullptr;
  for (auto& [name, peer] : m_peers) {
    if (!peer.m_idle.empty() &&
        (oldest == nullptr || peer.m_idle.front()->m_idleSince <
                                oldest->m_idle.front()->m_idleSince)) {
      oldest = &peer;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->m_idle.pop_front();
  --m_idle;
  Release(*oldest);
  return true;
}

std::shared_ptr<Waiter>
Pool::Wait(const std::string& aPeer)
{
  if (m_waiting >= m_options.m_maxWaitingExchanges) {
    return nullptr;
  }
  ++m_waiting;
  auto waiter = std::make_shared<Waiter>(m_context);
  m_peers[aPeer].m_waiters.push_back(waiter);
  return waiter;
}

void
Pool::StopWaiting(const std::string& aPeer, const Waiter* aWaiter)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return;
  }
  auto& waiters = found->second.m_waiters;
  const auto at = std::find_if(
    waiters.begin(), waiters.end(), [&](const std::shared_ptr<Waiter>& aEntry) {
      return aEntry.get() == aWaiter;
    });
  if (at != waiters.end()) {
    waiters.erase(at);
    --m_waiting;
  }
  EraseIfUnused(aPeer);
}

void
Pool::Return(const std::string& aPeer, std::unique_ptr<Connection> aItem)
{
  Peer& peer = m_peers[aPeer];
  const TimePoint now = m_clock.Now();
  if (m_shutdown || now - aItem->m_openedAt >= m_options.m_maxAge) {
    aItem.reset();
    ReturnPlace(aPeer);
    return;
  }
  aItem->m_idleSince = now;
  if (!peer.m_waiters.empty()) {
    const std::shared_ptr<Waiter> waiter = peer.m_waiters.front();
    peer.m_waiters.pop_front();
    --m_waiting;
    waiter->m_granted = true;
    waiter->m_connection = std::move(aItem);
    waiter->m_wake.cancel();
    return;
  }
  peer.m_idle.push_back(std::move(aItem));
  ++m_idle;
  ScheduleSweep();
  if (m_waiting > 0 && m_open >= m_options.m_maxTotalConnections) {
    // Exchanges to other peers wait for the total bound.
    CloseLongestIdle();
    OfferPlace(peer);
  }
}

void
Pool::ReturnPlace(const std::string& aPeer)
{
  Peer& own = m_peers[aPeer];
  Release(own);
  OfferPlace(own);
  EraseIfUnused(aPeer);
}

void
Pool::OfferPlace(Peer& aFirst)
{
  if (m_waiting == 0 || GrantPlace(aFirst)) {
    return;
  }
  for (auto& [name, peer] : m_peers) {
    if (GrantPlace(peer)) {
      return;
    }
  }
}

bool
Pool::GrantPlace(Peer& aPeer)
{
  if (aPeer.m_waiters.empty() ||
      aPeer.m_open >= m_options.m_maxConnectionsPerPeer ||
      m_open >= m_options.m_maxTotalConnections) {
    return false;
  }
  const std::shared_ptr<Waiter> waiter = aPeer.m_waiters.front();
  aPeer.m_waiters.pop_front();
  --m_waiting;
  ++aPeer.m_open;
  ++m_open;
  waiter->m_granted = true;
  waiter->m_wake.cancel();
  return true;
}

void
Pool::EraseIfUnused(std::string_view aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found != m_peers.end() && found->second.m_open == 0 &&
      found->second.m_waiters.empty()) {
    m_peers.erase(found);
  }
}

void
Pool::CloseIdleConnections(std::string_view aPeer)
{
  const auto found = m_peers.find(aPeer);
  if (found == m_peers.end()) {
    return;
  }
  const std::string name = found->first;
  size_t dropped = found->second.m_idle.size();
  m_idle -= dropped;
  found->second.m_idle.clear();
  for (; dropped > 0; --dropped) {
    ReturnPlace(name);
  }
}

void
Pool::Shutdown()
{
  m_shutdown = true;
  m_sweep.cancel();
  for (auto& [name, peer] : m_peers) {
    for (size_t left = peer.m_idle.size(); left > 0; --left) {
      Release(peer);
    }
    peer.m_idle.clear();
  }
  m_idle = 0;
}

void
Pool::ScheduleSweep()
{
  if (m_sweepScheduled) {
    return;
  }
  m_sweepScheduled = true;
  m_sweep.expires_after(kSweepInterval);
  m_sweep.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      self->m_sweepScheduled = false;
      if (!aError) {
        self->Sweep();
      }
    });
}

void
Pool::Sweep()
{
  const TimePoint now = m_clock.Now();
  std::vector<std::string> freed;
  for (auto& [name, peer] : m_peers) {
    const size_t removed =
      std::erase_if(peer.m_idle, [&](const std::unique_ptr<Connection>& aItem) {
        return !IsUsable(*aItem, now);
      });
    m_idle -= removed;
    freed.insert(freed.end(), removed, name);
  }
  for (const std::string& name : freed) {
    ReturnPlace(name);
  }
  if (m_idle > 0) {
    ScheduleSweep();
  }
}

} // namespace rattanloft::http
