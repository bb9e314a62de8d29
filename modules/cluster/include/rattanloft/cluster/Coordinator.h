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
  Duration m_leaseDuration = Milliseconds(2500);
  // Added to the lease before a silent node's shards are reassigned.
  Duration m_revocationMargin = Milliseconds(100);
  // How long a Sync may be held without news.
  Duration m_maxSyncHold = Milliseconds(400);
  // Term of the leader. Tells its quarantine list from that of an earlier one.
  uint64_t m_term = 0;
};

// A held Sync that is to be answered now.
struct ReadyReply
{
  std::string m_nodeId;
  uint64_t m_sequence = 0;
};

struct TickOutcome
{
  std::vector<wire::Command> m_commands;
  std::vector<ReadyReply> m_ready;
};

struct NodeStatus
{
  std::string m_nodeId;
  uint32_t m_backend = 0;
  Duration m_sinceLastSync;
  bool m_leaseHeld = false;
  bool m_healthy = false;
  bool m_draining = false;
  uint64_t m_catalogueRevision = 0;
  wire::NodeLoad m_load;
};

// Runs on the leader only: leases, failure detection, placement and moves.
// Pure; owned by the control thread; made anew each time leadership is won.
class Coordinator
{
public:
  // aNow is the time of the election.
  Coordinator(CoordinatorOptions aOptions,
              const ClusterState& aState,
              TimePoint aNow);
  ~Coordinator();

  // Takes in what a node reports and remembers the held call. A held call of
  // the same node with a lower sequence is replaced: the shell answers it with
  // SYNC_STATUS_REPLACED. Commands are for registration, drain and releases.
  std::vector<wire::Command> OnSync(const wire::SyncRequest& aRequest,
                                    TimePoint aNow);

  // Failure detection and placement; also names the held calls that have news
  // or have been held long enough. To be called every 20 ms and after each
  // applied command.
  TickOutcome Tick(TimePoint aNow);

  // The reply for a held call, with updates from the revisions that the node
  // named. Call it right after a read barrier that began after the Sync
  // arrived; it grants the lease and starts the revocation period at aNow.
  wire::SyncReply BuildReply(const std::string& aNodeId, TimePoint aNow);

  std::vector<NodeStatus> Nodes(TimePoint aNow) const;

  // Suspected and blocked requests of the whole cluster. Not in the replicated
  // log: a new leader has them from the next Sync of each node.
  std::vector<wire::QuarantineEntry> Quarantine(TimePoint aNow) const;
  // False if the fingerprint is neither suspected nor blocked.
  bool ClearQuarantine(uint64_t aFingerprint, TimePoint aNow);

private:
  class Data;
  std::unique_ptr<Data> m_data;
};

} // namespace rattanloft::cluster
