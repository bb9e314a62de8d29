#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cluster.pb.h"
#include "control.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/cluster/ClusterState.h"

namespace rattanloft::cluster {

struct CoordinatorOptions
{
  // Granted to a node with each reply, counted from when it sent the request.
  Duration m_leaseDuration = Milliseconds(2500);
  // Added to the lease before a silent node's shards are reassigned.
  Duration m_revocationMargin = Milliseconds(100);
  // How long a Sync call may be held when there is nothing new to reply.
  Duration m_maxSyncHold = Milliseconds(400);
  // Term of this leader. Distinguishes its quarantine list from the list of an
  // earlier leader.
  uint64_t m_term = 0;
};

// A held Sync call that is to be answered now.
struct ReadyReply
{
  std::string m_nodeId;
  // Sequence of the request that is held.
  uint64_t m_sequence = 0;
};

struct TickOutcome
{
  // To be proposed to the replicated log.
  std::vector<wire::Command> m_commands;
  // Calls for which BuildReply is to be called.
  std::vector<ReadyReply> m_ready;
};

// What the leader knows of one node, for status reports.
struct NodeStatus
{
  std::string m_nodeId;
  // Number of the node's backend, or 0 while none is registered.
  uint32_t m_backend = 0;
  Duration m_sinceLastSync;
  // The node may still hold the lease of its backend.
  bool m_leaseHeld = false;
  bool m_healthy = false;
  bool m_draining = false;
  uint64_t m_catalogueRevision = 0;
  wire::NodeLoad m_load;
};

// The decisions that only the leader of the control group takes: it grants
// leases, detects failed nodes, and places and moves shards. Does no I/O and
// reads no clock. Owned by the control thread; a new one is made each time this
// instance becomes leader. Not to be confused with coordinator::Coordinator, a
// replica process of the fleet's control state.
class Coordinator
{
public:
  // aState must outlive the coordinator. aNow is the time of the election:
  // earlier leaders may have granted leases until then.
  Coordinator(CoordinatorOptions aOptions,
              const ClusterState& aState,
              TimePoint aNow);
  ~Coordinator();

  // Stores what a node reports and holds the call until a reply is due. It
  // replaces an earlier held call of the same node, which the caller answers
  // with SYNC_STATUS_REPLACED. Returns the commands to propose for the
  // registration, the drain and the releases of the node.
  std::vector<wire::Command> OnSync(const wire::SyncRequest& aRequest,
                                    TimePoint aNow);

  // Detects failed nodes and places shards; also names the held calls for which
  // there is news or which have been held long enough. To be called every 20 ms
  // and after each applied command.
  TickOutcome Tick(TimePoint aNow);

  // The reply to the held call of a node, with the updates since the revisions
  // that the node has. To be called right after a read barrier that began after
  // the Sync request arrived: the reply may grant a lease, and the time until
  // that lease counts as ended starts at aNow.
  wire::SyncReply BuildReply(const std::string& aNodeId, TimePoint aNow);

  std::vector<NodeStatus> Nodes(TimePoint aNow) const;

  // Suspected and blocked requests of the whole cluster. They are not in the
  // replicated log: a new leader learns them from the next Sync of each node.
  std::vector<wire::QuarantineEntry> Quarantine(TimePoint aNow) const;
  // Returns false if the fingerprint is neither suspected nor blocked.
  bool ClearQuarantine(uint64_t aFingerprint, TimePoint aNow);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace rattanloft::cluster
