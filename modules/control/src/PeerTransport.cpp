#include "PeerTransport.h"

#include <algorithm>
#include <chrono>
#include <unordered_set>
#include <utility>

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include "control.grpc.pb.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/consensus/OutgoingMessages.h"
#include "rattanloft/wire/GrpcChannel.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;

// Sync calls that are relayed at the same time.
constexpr size_t kMaxRelays = 1024;
// Peers outside the group configuration are removed only while there are more
// than this number of peers in total.
constexpr size_t kMaxPeers = 32;
constexpr Duration kDeliverTimeout = Milliseconds(1000);
// Longer than the 400 ms for which a leader holds a Sync call at most.
constexpr std::chrono::milliseconds kRelayTimeout{ 1000 };

} // namespace

// A batch of Raft messages in flight.
struct PeerTransport::Delivery
{
  grpc::ClientContext m_context;
  consensus::MessageBatch m_batch;
  wire::RaftBatchReply m_reply;
};

// A Sync call in flight to the leader.
struct PeerTransport::RelayCall
{
  uint64_t m_callId = 0;
  grpc::ClientContext m_context;
  wire::SyncRequest m_request;
  wire::SyncReply m_reply;
  RelayCallback m_callback;
};

struct PeerTransport::Peer
{
  std::string m_address;
  std::shared_ptr<grpc::Channel> m_channel;
  std::unique_ptr<wire::RaftTransport::Stub> m_raftStub;
  // Has a connection of its own, on which nothing urgent waits.
  std::unique_ptr<wire::RaftTransport::Stub> m_bulkStub;
  std::unique_ptr<wire::ControlSync::Stub> m_syncStub;
  consensus::OutgoingMessages m_messages{ kDeliverTimeout };
  std::unordered_set<std::shared_ptr<Delivery>> m_batchesInFlight;
  // Whether the last batch failed.
  bool m_lastBatchFailed = false;

  void Connect(const std::string& aAddress)
  {
    m_address = aAddress;
    m_channel = wire::MakeChannel(aAddress);
    m_raftStub = wire::RaftTransport::NewStub(m_channel);
    m_bulkStub = wire::RaftTransport::NewStub(wire::MakeChannel(aAddress));
    m_syncStub = wire::ControlSync::NewStub(m_channel);
  }
};

PeerTransport::PeerTransport(asio::io_context& aContext, uint64_t aOwnReplicaId)
  : m_context(aContext)
  , m_ownReplicaId(aOwnReplicaId)
{
}

PeerTransport::~PeerTransport() = default;

void
PeerTransport::SetMembers(const wire::GroupConfig& aConfig)
{
  for (const wire::GroupMember& member : aConfig.members()) {
    if (member.replica_id() == m_ownReplicaId ||
        member.grpc_address().empty()) {
      continue;
    }
    auto& peer = m_peers[member.replica_id()];
    if (peer == nullptr) {
      peer = std::make_unique<Peer>();
    }
    if (peer->m_address != member.grpc_address()) {
      peer->Connect(member.grpc_address());
    }
  }
  std::unordered_set<uint64_t> memberIds;
  for (const wire::GroupMember& member : aConfig.members()) {
    memberIds.insert(member.replica_id());
  }
  for (auto entry = m_peers.begin();
       m_peers.size() > kMaxPeers && entry != m_peers.end();) {
    const bool isUnused = !memberIds.contains(entry->first) &&
                          entry->second->m_batchesInFlight.empty();
    entry = isUnused ? m_peers.erase(entry) : std::next(entry);
  }
}

void
PeerTransport::Send(const wire::RaftMessage& aMessage)
{
  const auto found = m_peers.find(aMessage.to());
  if (found == m_peers.end() || m_stopped) {
    ++m_counters.m_messagesDropped;
    return;
  }
  m_counters.m_messagesDropped += found->second->m_messages.Push(aMessage);
  ScheduleFlush();
}

// Posts the flush, so that all messages that one event produces are sent in one
// batch.
void
PeerTransport::ScheduleFlush()
{
  if (std::exchange(m_flushScheduled, true)) {
    return;
  }
  asio::post(m_context, [this] {
    m_flushScheduled = false;
    for (auto& [id, peer] : m_peers) {
      Flush(id, *peer);
    }
  });
}

void
PeerTransport::Flush(uint64_t aReplicaId, Peer& aPeer)
{
  while (!m_stopped) {
    std::optional<consensus::MessageBatch> batch = aPeer.m_messages.TakeBatch();
    if (!batch) {
      return;
    }
    auto delivery = std::make_shared<Delivery>();
    delivery->m_batch = std::move(*batch);
    m_counters.m_messagesSent +=
      static_cast<uint64_t>(delivery->m_batch.m_batch.messages_size());
    delivery->m_context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::milliseconds(delivery->m_batch.m_timeout.m_ms));
    aPeer.m_batchesInFlight.insert(delivery);
    ++m_callsInFlight;
    wire::RaftTransport::Stub& stub =
      delivery->m_batch.m_lane == consensus::MessageLane::kBulk
        ? *aPeer.m_bulkStub
        : *aPeer.m_raftStub;
    stub.async()->Deliver(
      &delivery->m_context,
      &delivery->m_batch.m_batch,
      &delivery->m_reply,
      [this, aReplicaId, delivery](const grpc::Status& aStatus) {
        asio::post(m_context, [this, aReplicaId, delivery, ok = aStatus.ok()] {
          OnDelivered(aReplicaId, delivery, ok);
        });
      });
  }
}

void
PeerTransport::OnDelivered(uint64_t aReplicaId,
                           const std::shared_ptr<Delivery>& aDelivery,
                           bool aOk)
{
  --m_callsInFlight;
  m_counters.m_batchesFailed += aOk ? 0 : 1;
  const auto found = m_peers.find(aReplicaId);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = *found->second;
  peer.m_batchesInFlight.erase(aDelivery);
  peer.m_messages.OnBatchFinished(aDelivery->m_batch);
  if (peer.m_lastBatchFailed == aOk) {
    peer.m_lastBatchFailed = !aOk;
    LogInfo("raft",
            "peer {:016x} at {} is {}",
            aReplicaId,
            peer.m_address,
            aOk ? "reachable" : "not reachable");
  }
  Flush(aReplicaId, peer);
  if (!aOk && aDelivery->m_batch.m_hasLogData && m_lossHandler && !m_stopped) {
    m_lossHandler(aReplicaId);
  }
}

bool
PeerTransport::Relay(uint64_t aReplicaId,
                     uint64_t aCallId,
                     const wire::SyncRequest& aRequest,
                     RelayCallback aCallback)
{
  const auto found = m_peers.find(aReplicaId);
  if (found == m_peers.end() || m_stopped || m_relays.size() >= kMaxRelays) {
    return false;
  }
  auto call = std::make_shared<RelayCall>();
  call->m_callId = aCallId;
  call->m_request = aRequest;
  call->m_request.set_relayed(true);
  call->m_callback = std::move(aCallback);
  call->m_context.set_deadline(std::chrono::system_clock::now() +
                               kRelayTimeout);
  m_relays[aCallId] = call;
  ++m_callsInFlight;
  ++m_counters.m_syncsRelayed;
  found->second->m_syncStub->async()->Sync(
    &call->m_context,
    &call->m_request,
    &call->m_reply,
    [this, call](const grpc::Status& aStatus) {
      asio::post(m_context,
                 [this, call, ok = aStatus.ok()] { OnRelayed(call, ok); });
    });
  return true;
}

void
PeerTransport::OnRelayed(const std::shared_ptr<RelayCall>& aCall, bool aOk)
{
  --m_callsInFlight;
  if (m_relays.erase(aCall->m_callId) > 0) {
    aCall->m_callback(aOk ? &aCall->m_reply : nullptr);
  }
}

void
PeerTransport::CancelRelay(uint64_t aCallId)
{
  const auto found = m_relays.find(aCallId);
  if (found != m_relays.end()) {
    found->second->m_context.TryCancel();
    m_relays.erase(found);
  }
}

void
PeerTransport::Stop()
{
  m_stopped = true;
  for (auto& [id, call] : m_relays) {
    call->m_context.TryCancel();
  }
  for (auto& [id, peer] : m_peers) {
    for (const auto& delivery : peer->m_batchesInFlight) {
      delivery->m_context.TryCancel();
    }
  }
}

} // namespace rattanloft::control
