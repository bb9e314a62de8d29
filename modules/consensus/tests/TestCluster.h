#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/storage/MemoryLogStore.h"
#include "rattanloft/storage/MemorySnapshotStore.h"

namespace rattanloft::consensus {

// Records every applied command with its index. A snapshot holds the whole
// list.
class RecordingStateMachine final : public StateMachine
{
public:
  void Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override;

  std::vector<std::pair<uint64_t, std::string>> m_appliedCommands;
  // Number of snapshots restored.
  size_t m_restoreCount = 0;
  // Bytes appended to each snapshot to make it span several chunks.
  size_t m_snapshotPaddingBytes = 0;
};

// A group of replicas in virtual time that exchange messages by replica id. A
// test may drop, duplicate and delay messages, and cut links in one direction.
class TestCluster
{
public:
  // One replica with its stores, which outlive the simulated process.
  struct Replica final : public Transport
  {
    void Send(const wire::RaftMessage& aMessage) override;
    void SetMembers(const wire::GroupConfig&) override {}

    TestCluster* m_cluster = nullptr;
    ReplicatedLogOptions m_options;
    storage::MemoryLogStore m_logStore;
    storage::MemorySnapshotStore m_snapshotStore;
    std::unique_ptr<RecordingStateMachine> m_stateMachine;
    // Null while the process is down.
    std::unique_ptr<ReplicatedLog> m_log;
    // Whether the process is stalled: it gets no ticks, and messages wait.
    bool m_paused = false;
  };

  explicit TestCluster(uint64_t aSeed,
                       uint64_t aSnapshotIntervalEntries = 10'000);

  // Creates and starts the founding members, with replica ids 1 to aCount.
  void StartFounders(size_t aCount);
  // Adds a replica with empty stores that is in no configuration yet. Does not
  // start it.
  Replica& AddReplica(uint64_t aReplicaId);
  // Starts the process of a replica over its stores.
  void StartReplica(uint64_t aReplicaId);
  // Ends the process of a replica, which loses what was not synced.
  void CrashReplica(uint64_t aReplicaId);
  // Calls Step() until aDuration of virtual time has passed.
  void RunFor(Duration aDuration);
  // Advances time by 10 ms, delivers the messages that are due and ticks all
  // replicas.
  void Step();

  Replica& GetReplica(uint64_t aReplicaId)
  {
    return *m_replicas.at(aReplicaId);
  }
  bool HasReplica(uint64_t aReplicaId) const
  {
    return m_replicas.count(aReplicaId) != 0;
  }
  // Removes a replica with its stores.
  void RemoveReplica(uint64_t aReplicaId);
  // The running replica that leads in the highest term, 0 for none.
  uint64_t LeaderId() const;
  // Runs until there is a leader that completes a read barrier, and so has
  // committed in its term. Returns its id, 0 if there is none in time.
  uint64_t WaitForLeader();
  // Loses all messages in one direction until RestoreLinks().
  void CutLink(uint64_t aFromId, uint64_t aToId)
  {
    m_cutLinks.insert({ aFromId, aToId });
  }
  void IsolateReplica(uint64_t aReplicaId);
  void RestoreLinks() { m_cutLinks.clear(); }
  // Proposes a command on the leader and runs until it completes. Returns its
  // index, 0 on failure.
  uint64_t CommitCommand(const std::string& aCommand);
  // Proposes a configuration on the leader and runs until it completes. Returns
  // whether it was committed.
  bool ChangeConfig(const wire::GroupConfig& aConfig);
  // Runs for at most aTimeout and returns whether a read barrier on the
  // replica succeeded in that time.
  bool ReadBarrierSucceeds(uint64_t aReplicaId, Duration aTimeout);

  // Puts a message in transit, unless it is lost.
  void PostMessage(const wire::RaftMessage& aMessage);

  TimePoint m_now{ 1000 };
  std::mt19937_64 m_random;
  uint64_t m_snapshotIntervalEntries;
  wire::GroupConfig m_founderConfig;
  std::map<uint64_t, std::unique_ptr<Replica>> m_replicas;
  // By time of delivery.
  std::multimap<TimePoint, wire::RaftMessage> m_messagesInTransit;
  // Pairs of sender id and receiver id.
  std::set<std::pair<uint64_t, uint64_t>> m_cutLinks;
  // Chance of a message to be lost and to be delivered twice, and the longest
  // delay of a delivery.
  uint32_t m_lossPercent = 0;
  uint32_t m_duplicatePercent = 0;
  int64_t m_maxMessageDelayMs = 5;
  // Id of the leader seen in each term.
  std::map<uint64_t, uint64_t> m_leaderIdByTerm;
  size_t m_deliveredSnapshotChunks = 0;

private:
  void DeliverDueMessages();
  // Asserts that there is at most one leader per term.
  void RecordLeaders();
};

// Returns aConfig with the member added or changed.
wire::GroupConfig
WithMember(wire::GroupConfig aConfig, uint64_t aReplicaId, bool aIsLearner);

// Returns aConfig without the member.
wire::GroupConfig
WithoutMember(const wire::GroupConfig& aConfig, uint64_t aReplicaId);

} // namespace rattanloft::consensus
