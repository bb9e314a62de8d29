#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Fixture.h"
#include "rattanloft/cluster/Coordinator.h"

namespace rattanloft::cluster {

// A simulated node process and its backend server, with a clock of their own.
// The node applies the lease rule of real nodes: a lease counts from the time
// at which the request was sent, less 1 %. All times are in milliseconds; aNow
// is the simulated real time.
class SimulatedNode
{
public:
  SimulatedNode(std::string aId,
                std::string aService,
                std::string aZone,
                double aClockRate)
    : m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_zone(std::move(aZone))
    , m_clockRate(aClockRate)
  {
  }

  // Reading of the node's clock, which drifts within 1 %.
  int64_t Clock(int64_t aNow) const
  {
    return m_clockOffsetMs +
           static_cast<int64_t>(static_cast<double>(aNow) * m_clockRate);
  }
  wire::SyncRequest MakeRequest(int64_t aNow);
  void OnReply(const wire::SyncReply& aReply,
               uint64_t aSequence,
               uint64_t aSession,
               int64_t aSentAt,
               int64_t aNow);
  // Whether the node process would serve the shard, judging by its own clock.
  bool WouldServe(ShardNumber aShard, int64_t aNow) const;
  bool HoldsLease(int64_t aNow) const { return Clock(aNow) < m_leaseEnd; }
  // Stops serving the shards that the node was asked to release. Returns
  // whether there were any.
  bool ReleaseRequestedShards();
  void RestartBackend(uint64_t aIncarnation);
  void RestartProcess(uint64_t aSession);

  struct Route
  {
    uint32_t m_owner = 0;
    uint32_t m_moveTarget = 0;
    uint64_t m_epoch = 0;
    // Epoch under which the node released the shard, 0 if it never did.
    uint64_t m_releasedEpoch = 0;
  };
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  double m_clockRate = 1;
  int64_t m_clockOffsetMs = 0;
  uint64_t m_incarnation = 1;
  uint64_t m_session = 1;
  uint64_t m_sequence = 0;
  // Highest sequence whose reply has arrived.
  uint64_t m_lastAnswered = 0;
  bool m_healthy = true;
  bool m_draining = false;
  uint32_t m_backendNumber = 0;
  // End of the lease on the node's clock.
  int64_t m_leaseEnd = 0;
  uint64_t m_routeRevision = 0;
  uint64_t m_catalogueRevision = 0;
  // Routes of the node's own service, indexed by shard number.
  std::vector<Route> m_routes;
  // Simulated real time until which a fault lasts: the process is paused, no
  // messages pass, or the replies to the node are lost.
  int64_t m_pausedUntil = 0;
  int64_t m_partitionedUntil = 0;
  int64_t m_repliesLostUntil = 0;
  // When the node stops waiting for a reply and sends the next request.
  int64_t m_nextRequestAt = 0;
};

struct SimulationOptions
{
  uint64_t m_seed = 1;
  // Length of the run in steps of 20 ms.
  int m_steps = 3000;
  int m_nodes = 8;
  bool m_injectFaults = true;
};

// Runs one ClusterState, one Coordinator at a time, and nodes that fail.
// Messages and log entries take a random time; messages may be lost, delayed or
// reordered, and a change of leader may lose log entries. Times are in
// milliseconds of simulated real time unless a comment says otherwise.
class Simulation
{
public:
  explicit Simulation(SimulationOptions aOptions);

  // Runs all steps and fails the test when an invariant is violated.
  void Run();
  void Step();
  void ElectLeader();
  TestState m_state;
  int64_t m_now = 100000;
  std::vector<std::unique_ptr<SimulatedNode>> m_nodes;
  std::unique_ptr<Coordinator> m_coordinator;
  // Copies of nodes whose process or backend server was replaced. The old one
  // may still be running, for example paused.
  std::vector<SimulatedNode> m_replacedNodes;
  int64_t m_noQuorumUntil = 0;
  int64_t m_lastFaultAt = 0;
  // When each hashed shard was last served, for one service after the other.
  std::vector<int64_t> m_lastServed;
  // Longest time that any shard was not served, counted from the last fault at
  // the earliest.
  int64_t m_longestGapMs = 0;

private:
  // A log entry that is applied at m_dueAt.
  struct ProposedEntry
  {
    int64_t m_dueAt = 0;
    wire::Command m_command;
  };
  // A Sync request that reaches the leader at m_dueAt.
  struct PendingRequest
  {
    int64_t m_dueAt = 0;
    // Index in m_nodes.
    size_t m_node = 0;
    int64_t m_sentAt = 0;
    wire::SyncRequest m_request;
  };
  // A reply that reaches its node at m_dueAt.
  struct PendingReply
  {
    int64_t m_dueAt = 0;
    // Index in m_nodes.
    size_t m_node = 0;
    uint64_t m_sequence = 0;
    uint64_t m_session = 0;
    int64_t m_sentAt = 0;
    wire::SyncReply m_reply;
  };

  // Uniformly distributed from aMin to aMax, both included.
  int64_t Random(int64_t aMin, int64_t aMax);
  bool DrawMessageFault();
  // The leader's clock, which has an offset and drifts like those of the nodes.
  TimePoint LeaderNow() const;
  bool IsPartitioned(const SimulatedNode& aNode) const
  {
    return m_now < aNode.m_partitionedUntil;
  }
  void InjectFaults();
  void SendRequests();
  void DeliverRequests();
  void DeliverReplies();
  void Propose(std::vector<wire::Command> aCommands);
  void ApplyDueEntries();
  void AnswerReadyCalls();
  void InjectNodeFault(SimulatedNode& aNode, int64_t aKind);
  void CheckExclusiveOwnership();
  void CheckRevisions();
  void CheckShardsServed();

  SimulationOptions m_options;
  std::mt19937_64 m_random;
  std::deque<ProposedEntry> m_log;
  std::vector<PendingRequest> m_requests;
  std::vector<PendingReply> m_replies;
  // The call that the coordinator holds for each node, by index in m_nodes.
  std::map<size_t, PendingRequest> m_heldRequests;
  std::vector<ReadyReply> m_ready;
  // Entries of earlier leaders that must be applied before the leader may read.
  size_t m_earlierLeaderEntries = 0;
  int64_t m_leaderClockOffsetMs = 0;
  double m_leaderClockRate = 1;
  int64_t m_nextFaultAt = 0;
  uint64_t m_lastRouteRevision = 0;
  // Source of new sessions and incarnations.
  uint64_t m_nextUniqueId = 1000;
};

} // namespace rattanloft::cluster
