#pragma once

#include <cstdint>
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

// Counted since the start of the process; for metrics.
struct TransportCounters
{
  // Raft messages.
  uint64_t m_messagesSent = 0;
  uint64_t m_messagesDropped = 0;
  uint64_t m_batchesFailed = 0;
  uint64_t m_syncsRelayed = 0;
};

// Connections to the other control instances. Carries Raft messages in batches,
// and Sync calls relayed to the leader. Owned by the control thread and used
// only there. The io_context must run until CallsInFlight() is 0 after Stop().
class PeerTransport final : public consensus::Transport
{
public:
  PeerTransport(boost::asio::io_context& aContext, uint64_t aOwnReplicaId);
  ~PeerTransport() override;

  // aHandler is called with the id of a replica whenever log entries or
  // snapshot chunks for it were lost.
  void SetLossHandler(std::function<void(uint64_t)> aHandler)
  {
    m_lossHandler = std::move(aHandler);
  }

  // Queues a message. If the queue of the peer is full, its oldest messages are
  // dropped, since Raft repeats what is needed.
  void Send(const wire::RaftMessage& aMessage) override;
  // Sets the addresses of the members. A peer that the configuration does not
  // list keeps its last known address, since a new learner must reply to the
  // leader before it has a configuration.
  void SetMembers(const wire::GroupConfig& aConfig) override;

  using RelayCallback = std::function<void(const wire::SyncReply* aReply)>;
  // Sends a Sync call to a peer. Calls aCallback once, with null on failure,
  // unless the call is cancelled. Returns false and does nothing if the peer is
  // unknown, too many calls are in progress, or the transport is stopped.
  bool Relay(uint64_t aReplicaId,
             uint64_t aCallId,
             const wire::SyncRequest& aRequest,
             RelayCallback aCallback);
  void CancelRelay(uint64_t aCallId);

  // Cancels all calls in progress and sends nothing from now on.
  void Stop();
  // Number of gRPC calls in progress, batches and relayed calls together.
  size_t CallsInFlight() const { return m_callsInFlight; }
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
  // By replica id.
  std::unordered_map<uint64_t, std::unique_ptr<Peer>> m_peers;
  // By call id of the node's call.
  std::unordered_map<uint64_t, std::shared_ptr<RelayCall>> m_relays;
  bool m_flushScheduled = false;
  bool m_stopped = false;
  size_t m_callsInFlight = 0;
  TransportCounters m_counters;
  std::function<void(uint64_t)> m_lossHandler;
};

} // namespace rattanloft::control
