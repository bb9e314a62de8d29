#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "control.pb.h"
#include "rattanloft/consensus/StateMachine.h"

namespace grpc {
class Channel;
}

namespace rattanloft::control {

struct TransportCounters
{
  uint64_t m_messagesSent = 0;
  uint64_t m_messagesDropped = 0;
  uint64_t m_batchesFailed = 0;
  uint64_t m_syncsRelayed = 0;
};

// Connections to the other control instances: Raft messages in batches, and
// Sync calls relayed to the leader. Owned by the control thread and used only
// there. The context must run until InFlight() is 0 after Stop().
class PeerTransport final : public consensus::Transport
{
public:
  PeerTransport(boost::asio::io_context& aContext, uint64_t aOwnReplicaId);
  ~PeerTransport() override;

  // Messages queue up to a bound per peer; beyond it the oldest is dropped,
  // since Raft repeats what matters.
  void Send(const wire::RaftMessage& aMessage) override;
  // Peers that the configuration does not name keep their last known address:
  // a new learner must answer the leader before it has a configuration.
  void SetMembers(const wire::GroupConfig& aConfig) override;

  using RelayCallback = std::function<void(const wire::SyncReply* aReply)>;
  // The callback gets null on failure. It runs once unless the call is
  // cancelled. False if the peer is unknown or too many calls are in progress.
  bool Relay(uint64_t aReplicaId,
             uint64_t aCallId,
             const wire::SyncRequest& aRequest,
             RelayCallback aCallback);
  void CancelRelay(uint64_t aCallId);

  // Cancels everything in progress and sends nothing any more.
  void Stop();
  size_t InFlight() const { return m_inFlight; }
  const TransportCounters& Counters() const { return m_counters; }

private:
  struct Peer;
  struct Delivery;
  struct RelayCall;

  void ScheduleFlush();
  void Flush(uint64_t aReplicaId, Peer& aPeer);
  void OnDelivered(uint64_t aReplicaId,
                   const std::shared_ptr<Delivery>& aDelivery,
                   bool aOk);
  void OnRelayed(const std::shared_ptr<RelayCall>& aCall, bool aOk);

  boost::asio::io_context& m_context;
  const uint64_t m_ownReplicaId;
  std::unordered_map<uint64_t, std::unique_ptr<Peer>> m_peers;
  std::unordered_map<uint64_t, std::shared_ptr<RelayCall>> m_relays;
  bool m_flushScheduled = false;
  bool m_stopped = false;
  size_t m_inFlight = 0;
  TransportCounters m_counters;
};

} // namespace rattanloft::control
