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
          double aRate)
    : m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_zone(std::move(aZone))
    , m_rate(aRate)
  {
  }

  // Reading of the node's clock, which drifts within 1 %.
  int64_t Clock(int64_t aNow) const
  {
    return m_offset + static_cast<int64_t>(static_cast<double>(aNow) * m_rate);
  }
  wire::SyncRequest MakeRequest(int64_t aNow);
  void OnReply(const wire::SyncReply& aReply,
               uint64_t aSequence,
               uint64_t aSession,
               int64_t aSentAt,
               int64_t aNow);
  // Whether a node process that looks at its clock now would serve the shard.
  bool Believes(ShardNumber aShard, int64_t aNow) const;
  bool HoldsLease(int64_t aNow) const { return Clock(aNow) < m_leaseEnd; }
  // Stops serving the shards that it was asked to release. True if any.
  bool ReleaseAsked();
  void RestartBackend(uint64_t aIncarnation);
  void RestartProcess(uint64_t aSession);

  struct Route
  {
    uint32_t m_owner = 0;
    uint32_t m_target = 0;
    uint64_t m_epoch = 0;
    // Epoch under which the shard was released.
    uint64_t m_released = 0;
  };
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  double m_rate = 1;
  int64_t m_offset = 0;
  uint64_t m_incarnation = 1;
  uint64_t m_session = 1;
  uint64_t m_sequence = 0;
  uint64_t m_answered = 0;
  bool m_healthy = true;
  bool m_draining = false;
  uint32_t m_number = 0;
  // On the node's clock.
  int64_t m_leaseEnd = 0;
  uint64_t m_routeRevision = 0;
  uint64_t m_catalogueRevision = 0;
  // Of its own service.
  std::vector<Route> m_routes;
  // Simulated real time until which nothing runs, or no message passes.
  int64_t m_pausedUntil = 0;
  int64_t m_cutUntil = 0;
  int64_t m_repliesLostUntil = 0;
  // When the awaited reply is given up and the next request sent.
  int64_t m_nextRequest = 0;
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
  void NewLeader();
  SimNode& Node(size_t aIndex) { return *m_nodes[aIndex]; }

  TestState m_state;
  int64_t m_now = 100000;
  std::vector<std::unique_ptr<SimNode>> m_nodes;
  std::unique_ptr<Coordinator> m_coordinator;
  // Node processes that were replaced but still run, such as a paused one.
  std::vector<SimNode> m_ghosts;
  int64_t m_noQuorumUntil = 0;
  int64_t m_lastFault = 0;
  // By shard of all services.
  std::vector<int64_t> m_lastServed;
  int64_t m_longestGap = 0;

private:
  struct Entry
  {
    int64_t m_at = 0;
    wire::Command m_command;
  };
  struct Request
  {
    int64_t m_at = 0;
    size_t m_node = 0;
    int64_t m_sentAt = 0;
    wire::SyncRequest m_request;
  };
  struct Reply
  {
    int64_t m_at = 0;
    size_t m_node = 0;
    uint64_t m_sequence = 0;
    uint64_t m_session = 0;
    int64_t m_sentAt = 0;
    wire::SyncReply m_reply;
  };

  int64_t Random(int64_t aMin, int64_t aMax);
  bool IsUnlucky();
  // The leader's clock differs and drifts as those of nodes do.
  TimePoint LeaderNow() const;
  bool IsCut(const SimNode& aNode) const { return m_now < aNode.m_cutUntil; }
  void InjectFaults();
  void SendRequests();
  void DeliverRequests();
  void DeliverReplies();
  void Propose(std::vector<wire::Command> aCommands);
  void ApplyDue();
  void AnswerReady();
  void LoseNode(SimNode& aNode, int64_t aKind);
  void CheckExclusive();
  void CheckRevisions();
  void CheckServed();

  SimOptions m_options;
  std::mt19937_64 m_random;
  std::deque<Entry> m_log;
  std::vector<Request> m_requests;
  std::vector<Reply> m_replies;
  // The call that the coordinator holds, by node.
  std::map<size_t, Request> m_held;
  std::vector<ReadyReply> m_ready;
  // Entries of earlier leaders that must be applied before any read.
  size_t m_oldEntries = 0;
  int64_t m_leaderOffset = 0;
  double m_leaderRate = 1;
  int64_t m_nextFault = 0;
  uint64_t m_lastRouteRevision = 0;
  uint64_t m_nextId = 1000;
};

} // namespace rattanloft::cluster
