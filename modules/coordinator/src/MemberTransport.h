#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/consensus/OutgoingMessages.h"
#include "rattanloft/consensus/StateMachine.h"
#include "rattanloft/fleet/MembershipPlanner.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::coordinator {

// Sends Raft messages to the other coordinators in batches over pooled HTTP
// connections. The connection of a batch is closed when the batch times out, so
// a network path that has gone silent is replaced after one timeout. Used on
// the control thread only.
class MemberTransport final : public consensus::Transport
{
public:
  // The references must outlive the transport. aOwnAddress is the internal
  // address of this replica. It is sent with each batch, so that a replica that
  // does not know it yet can reply.
  MemberTransport(boost::asio::io_context& aContext,
                  const Clock& aClock,
                  http::Client& aClient,
                  uint64_t aOwnReplicaId,
                  std::string aOwnAddress);

  // aHandler is called with the id of a replica whenever log entries or
  // snapshot chunks for it were lost.
  void SetLossHandler(std::function<void(uint64_t)> aHandler)
  {
    m_lossHandler = std::move(aHandler);
  }

  // Stores the address of a replica that the group configuration does not list
  // yet, so that it can get replies. No effect if the replica is known.
  void LearnAddress(uint64_t aReplicaId, const std::string& aAddress);

  void Send(const wire::RaftMessage& aMessage) override;
  void SetMembers(const wire::GroupConfig& aConfig) override;

  // Returns what is known of each peer, by replica id.
  std::map<uint64_t, fleet::ReplicaHealth> PeerHealth() const;
  // Makes PeerHealth() measure the silence of each peer from now on, until its
  // next reply.
  void ResetPeerHealth();

private:
  // Below the shortest election timeout of 400 ms, so that connections over a
  // path that has gone silent are replaced before the follower starts an
  // election.
  static constexpr Duration kDeliverTimeout = Milliseconds(350);

  struct Peer
  {
    std::string m_address;
    consensus::OutgoingMessages m_messages{ kDeliverTimeout };
    // Whether the peer replied to the last batch.
    bool m_reachable = true;
    // Time of the last reply. Before the first reply, when the peer became
    // known or when ResetPeerHealth() was last called.
    TimePoint m_lastReplyAt;
    // Log index that the peer last reported as applied.
    uint64_t m_appliedIndex = 0;
  };

  // Posts a call of Flush() for all peers, so that the messages queued by the
  // current handlers share batches.
  void ScheduleFlush();
  // Sends the batches that may be in flight now.
  void Flush(uint64_t aReplicaId, Peer& aPeer);
  boost::asio::awaitable<void> Deliver(uint64_t aReplicaId,
                                       std::string aAddress,
                                       consensus::MessageBatch aBatch);
  // aReply is null if the batch was lost.
  void OnDelivered(uint64_t aReplicaId,
                   const consensus::MessageBatch& aBatch,
                   const wire::DeliverReply* aReply);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  http::Client& m_client;
  uint64_t m_ownReplicaId;
  std::string m_ownAddress;
  // By replica id.
  std::map<uint64_t, Peer> m_peers;
  bool m_flushScheduled = false;
  std::function<void(uint64_t)> m_lossHandler;
};

} // namespace rattanloft::coordinator
