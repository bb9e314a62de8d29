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

// A node with its own clock, which applies the lease rule of the design: a
// lease counts from the time at which the request was sent, less 1 %.
class SimNode
{
public:
  SimNode(std::string aId,
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
  // Whether a node process that looks at its clock now would serve the shard.
  bool WouldServe(ShardNumber aShard, int64_t aNow) const;
  bool HoldsLease(int64_t aNow) const { return Clock(aNow) < m_leaseEnd; }
  // Stops serving the shards that it was asked to release. True if any.
  bool ReleaseRequestedShards();
  void RestartBackend(uint64_t aIncarnation);
  void RestartProcess(uint64_t aSession);

  struct Route
  {
    uint32_t m_owner = 0;
    uint32_t m_moveTarget = 0;
    uint64_t m_epoch = 0;
    // Epoch under which the shard was released.
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
  uint64_t m_lastAnswered = 0;
  bool m_healthy = true;
  bool m_draining = false;
  uint32_t m_backendNumber = 0;
  // On the node's clock.
  int64_t m_leaseEnd = 0;
  uint64_t m_routeRevision = 0;
  uint64_t m_catalogueRevision = 0;
  // Of its own service.
  std::vector<Route> m_routes;
  // Simulated real time until which nothing runs, or no message passes.
  int64_t m_pausedUntil = 0;
  int64_t m_partitionedUntil = 0;
  int64_t m_repliesLostUntil = 0;
  // When the awaited reply is given up and the next request sent.
  int64_t m_nextRequestAt = 0;
};

struct SimOptions
{
  uint64_t m_seed = 1;
  // Steps of 20 ms.
  int m_steps = 3000;
  int m_nodes = 8;
  bool m_faults = true;
};

// Runs one state, one coordinator at a time, and nodes that fail. Messages and
// log entries take random time and are lost or reordered.
class Simulation
{
public:
  explicit Simulation(SimOptions aOptions);

  // Runs the steps and fails the test on a violation.
  void Run();
  void Step();
  void ElectLeader();
  TestState m_state;
  int64_t m_now = 100000;
  std::vector<std::unique_ptr<SimNode>> m_nodes;
  std::unique_ptr<Coordinator> m_coordinator;
  // Node processes that were replaced but still run, such as a paused one.
  std::vector<SimNode> m_replacedNodes;
  int64_t m_noQuorumUntil = 0;
  int64_t m_lastFaultAt = 0;
  // By shard of all services.
  std::vector<int64_t> m_lastServed;
  int64_t m_longestGapMs = 0;

private:
  struct ProposedEntry
  {
    int64_t m_dueAt = 0;
    wire::Command m_command;
  };
  struct PendingRequest
  {
    int64_t m_dueAt = 0;
    size_t m_node = 0;
    int64_t m_sentAt = 0;
    wire::SyncRequest m_request;
  };
  struct PendingReply
  {
    int64_t m_dueAt = 0;
    size_t m_node = 0;
    uint64_t m_sequence = 0;
    uint64_t m_session = 0;
    int64_t m_sentAt = 0;
    wire::SyncReply m_reply;
  };

  int64_t Random(int64_t aMin, int64_t aMax);
  bool DrawMessageFault();
  // The leader's clock differs and drifts as those of nodes do.
  TimePoint LeaderNow() const;
  bool IsPartitioned(const SimNode& aNode) const
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
  void InjectNodeFault(SimNode& aNode, int64_t aKind);
  void CheckExclusiveOwnership();
  void CheckRevisions();
  void CheckShardsServed();

  SimOptions m_options;
  std::mt19937_64 m_random;
  std::deque<ProposedEntry> m_log;
  std::vector<PendingRequest> m_requests;
  std::vector<PendingReply> m_replies;
  // The call that the coordinator holds, by node.
  std::map<size_t, PendingRequest> m_heldRequests;
  std::vector<ReadyReply> m_ready;
  // Entries of earlier leaders that must be applied before any read.
  size_t m_earlierLeaderEntries = 0;
  int64_t m_leaderClockOffsetMs = 0;
  double m_leaderClockRate = 1;
  int64_t m_nextFaultAt = 0;
  uint64_t m_lastRouteRevision = 0;
  uint64_t m_nextUniqueId = 1000;
};

} // namespace rattanloft::cluster
