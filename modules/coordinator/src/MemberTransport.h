#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/consensus/StateMachine.h"
#include "rattanloft/fleet/MembershipPlanner.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::coordinator {

// Carries Raft messages between coordinators in batches over pooled HTTP
// connections. A request without an answer drops the connections to that peer,
// so a path that went silent is replaced after one timeout. Control thread
// only.
class MemberTransport final : public consensus::Transport
{
public:
  MemberTransport(boost::asio::io_context& aContext,
                  const Clock& aClock,
                  http::Client& aClient,
                  uint64_t aOwnReplicaId,
                  std::string aOwnAddress);

  // Where a replica can be answered that the configuration does not list yet.
  void LearnAddress(uint64_t aReplicaId, const std::string& aAddress);

  void Send(const wire::RaftMessage& aMessage) override;
  void SetMembers(const wire::GroupConfig& aConfig) override;

  std::map<uint64_t, fleet::ReplicaHealth> PeerHealth() const;
  // Starts to count the silence of all peers from now on.
  void ResetPeerHealth();

private:
  struct Peer
  {
    std::string m_address;
    std::deque<wire::RaftMessage> m_queue;
    size_t m_queuedBytes = 0;
    int m_batchesInFlight = 0;
    bool m_reachable = true;
    TimePoint m_lastReplyAt;
    uint64_t m_appliedIndex = 0;
  };

  void ScheduleFlush();
  void Flush(uint64_t aReplicaId, Peer& aPeer);
  boost::asio::awaitable<void> Deliver(uint64_t aReplicaId,
                                       std::string aAddress,
                                       std::string aBatch);
  void OnDelivered(uint64_t aReplicaId,
                   bool aOk,
                   const wire::DeliverReply& aReply);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  http::Client& m_client;
  uint64_t m_ownReplicaId;
  std::string m_ownAddress;
  std::map<uint64_t, Peer> m_peers;
  bool m_flushScheduled = false;
};

} // namespace rattanloft::coordinator
