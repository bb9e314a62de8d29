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

// Remembers every command with its index; the snapshot is the whole list.
class RecordingStateMachine final : public StateMachine
{
public:
  void Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override;

  std::vector<std::pair<uint64_t, std::string>> m_appliedCommands;
  // Counts replacements of the whole state.
  size_t m_restoreCount = 0;
  // Added to each snapshot, to make it span several chunks.
  size_t m_snapshotPaddingBytes = 0;
};

// Replicas over a bag of messages in virtual time. Messages travel between ids;
// a test may drop, repeat and delay them and cut links one way.
class TestCluster
{
public:
  struct Replica final : public Transport
  {
    void Send(const wire::RaftMessage& aMessage) override;
    void SetMembers(const wire::GroupConfig&) override {}

    TestCluster* m_cluster = nullptr;
    ReplicatedLogOptions m_options;
    storage::MemoryLogStore m_logStore;
    storage::MemorySnapshotStore m_snapshotStore;
    std::unique_ptr<RecordingStateMachine> m_stateMachine;
    // Empty while the process is down.
    std::unique_ptr<ReplicatedLog> m_log;
    bool m_paused = false;
  };

  explicit TestCluster(uint64_t aSeed,
                       uint64_t aSnapshotIntervalEntries = 10'000);

  // Creates and starts founding members 1 to aCount.
  void StartFounders(size_t aCount);
  // A replica with an empty disk that is in no configuration yet.
  Replica& AddReplica(uint64_t aReplicaId);
  void StartReplica(uint64_t aReplicaId);
  // Ends the process and loses what was not synced.
  void CrashReplica(uint64_t aReplicaId);
  // Advances time by steps of 10 ms with delivery and ticks in each.
  void RunFor(Duration aDuration);
  void Step();

  Replica& GetReplica(uint64_t aReplicaId)
  {
    return *m_replicas.at(aReplicaId);
  }
  bool HasReplica(uint64_t aReplicaId) const
  {
    return m_replicas.count(aReplicaId) != 0;
  }
  void RemoveReplica(uint64_t aReplicaId);
  // The leader of the highest term that is up, 0 for none.
  uint64_t LeaderId() const;
  // Runs until there is a leader that committed in its term.
  uint64_t WaitForLeader();
  void CutLink(uint64_t aFromId, uint64_t aToId)
  {
    m_cutLinks.insert({ aFromId, aToId });
  }
  void IsolateReplica(uint64_t aReplicaId);
  void RestoreLinks() { m_cutLinks.clear(); }
  // Proposes on the leader, runs until answered; 0 on failure.
  uint64_t CommitCommand(const std::string& aCommand);
  bool ChangeConfig(const wire::GroupConfig& aConfig);
  // The result of a read barrier on aId after at most aSpan; false if none.
  bool ReadBarrierSucceeds(uint64_t aReplicaId, Duration aDuration);

  void PostMessage(const wire::RaftMessage& aMessage);

  TimePoint m_now{ 1000 };
  std::mt19937_64 m_random;
  uint64_t m_snapshotIntervalEntries;
  wire::GroupConfig m_founderConfig;
  std::map<uint64_t, std::unique_ptr<Replica>> m_replicas;
  std::multimap<TimePoint, wire::RaftMessage> m_messagesInTransit;
  std::set<std::pair<uint64_t, uint64_t>> m_cutLinks;
  // Percentages, and the longest delay.
  uint32_t m_lossPercent = 0;
  uint32_t m_duplicatePercent = 0;
  int64_t m_maxMessageDelayMs = 5;
  // The leader seen in each term.
  std::map<uint64_t, uint64_t> m_leaderIdByTerm;
  size_t m_deliveredSnapshotChunks = 0;

private:
  void DeliverDueMessages();
  void RecordLeaders();
};

wire::GroupConfig
WithMember(wire::GroupConfig aConfig, uint64_t aReplicaId, bool aLearner);

wire::GroupConfig
WithoutMember(const wire::GroupConfig& aConfig, uint64_t aReplicaId);

} // namespace rattanloft::consensus
