#include "MemberTransport.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "InternalCalls.h"
#include "control.pb.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;

// Replicas outside the group configuration are remembered only up to this
// number of peers in total.
constexpr size_t kMaxPeers = 32;

} // namespace

MemberTransport::MemberTransport(asio::io_context& aContext,
                                 const Clock& aClock,
                                 http::Client& aClient,
                                 uint64_t aOwnReplicaId,
                                 std::string aOwnAddress)
  : m_context(aContext)
  , m_clock(aClock)
  , m_client(aClient)
  , m_ownReplicaId(aOwnReplicaId)
  , m_ownAddress(std::move(aOwnAddress))
{
}

void
MemberTransport::LearnAddress(uint64_t aReplicaId, const std::string& aAddress)
{
  if (aReplicaId == m_ownReplicaId || aAddress.empty() ||
      m_peers.contains(aReplicaId) || m_peers.size() >= kMaxPeers) {
    return;
  }
  Peer& peer = m_peers[aReplicaId];
  peer.m_address = aAddress;
  peer.m_lastReplyAt = m_clock.Now();
}

void
MemberTransport::SetMembers(const wire::GroupConfig& aConfig)
{
  std::map<uint64_t, Peer> peers;
  for (const wire::GroupMember& member : aConfig.members()) {
    if (member.replica_id() == m_ownReplicaId) {
      continue;
    }
    const auto known = m_peers.find(member.replica_id());
    Peer& peer = peers[member.replica_id()];
    if (known != m_peers.end()) {
      peer = std::move(known->second);
    } else {
      peer.m_lastReplyAt = m_clock.Now();
    }
    peer.m_address = member.grpc_address();
  }
  // A replica that was just removed from the configuration, or is not in it
  // yet, may still need replies.
  for (auto& [id, peer] : m_peers) {
    if (!peers.contains(id) && peers.size() < kMaxPeers) {
      peers[id] = std::move(peer);
    }
  }
  m_peers = std::move(peers);
}

void
MemberTransport::Send(const wire::RaftMessage& aMessage)
{
  const auto found = m_peers.find(aMessage.to());
  if (found == m_peers.end()) {
    return;
  }
  found->second.m_messages.Push(aMessage);
  ScheduleFlush();
}

void
MemberTransport::ScheduleFlush()
{
  if (std::exchange(m_flushScheduled, true)) {
    return;
  }
  asio::post(m_context, [this] {
    m_flushScheduled = false;
    for (auto& [id, peer] : m_peers) {
      Flush(id, peer);
    }
  });
}

void
MemberTransport::Flush(uint64_t aReplicaId, Peer& aPeer)
{
  while (std::optional<consensus::MessageBatch> batch =
           aPeer.m_messages.TakeBatch()) {
    batch->m_batch.set_sender_address(m_ownAddress);
    asio::co_spawn(m_context,
                   Deliver(aReplicaId, aPeer.m_address, std::move(*batch)),
                   asio::detached);
  }
}

asio::awaitable<void>
MemberTransport::Deliver(uint64_t aReplicaId,
                         std::string aAddress,
                         consensus::MessageBatch aBatch)
{
  http::Request request =
    MakeInternalRequest(fleet::kRaftPath, aBatch.m_batch.SerializeAsString());
  tl::expected<http::Response, http::HttpError> response =
    co_await m_client.Exchange(aAddress, std::move(request), aBatch.m_timeout);
  wire::DeliverReply reply;
  const bool ok = response && http::ParseMessage(response->body(), reply);
  OnDelivered(aReplicaId, aBatch, ok ? &reply : nullptr);
}

void
MemberTransport::OnDelivered(uint64_t aReplicaId,
                             const consensus::MessageBatch& aBatch,
                             const wire::DeliverReply* aReply)
{
  const auto found = m_peers.find(aReplicaId);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.m_messages.OnBatchFinished(aBatch);
  // If a replica has lost its disk, a replica with a new id replies at its
  // address.
  const bool heard = aReply != nullptr && aReply->replica_id() == aReplicaId;
  if (heard) {
    peer.m_lastReplyAt = m_clock.Now();
    peer.m_appliedIndex = aReply->applied_index();
  }
  if (peer.m_reachable != heard) {
    peer.m_reachable = heard;
    LogInfo("member",
            "event={} peer={:016x} address={}",
            heard ? "regained" : "lost",
            aReplicaId,
            peer.m_address);
  }
  Flush(aReplicaId, peer);
  if (!heard && aBatch.m_hasLogData && m_lossHandler) {
    m_lossHandler(aReplicaId);
  }
}

std::map<uint64_t, fleet::ReplicaHealth>
MemberTransport::PeerHealth() const
{
  std::map<uint64_t, fleet::ReplicaHealth> health;
  const TimePoint now = m_clock.Now();
  for (const auto& [id, peer] : m_peers) {
    health[id] = { now - peer.m_lastReplyAt, peer.m_appliedIndex };
  }
  return health;
}

void
MemberTransport::ResetPeerHealth()
{
  for (auto& [id, peer] : m_peers) {
    peer.m_lastReplyAt = m_clock.Now();
  }
}

} // namespace rattanloft::coordinator
