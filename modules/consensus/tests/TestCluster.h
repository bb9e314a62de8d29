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
class RecordingMachine final : public StateMachine
{
public:
  void Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override;

  std::vector<std::pair<uint64_t, std::string>> m_applied;
  // Counts replacements of the whole state.
  size_t m_restores = 0;
  // Added to each snapshot, to make it span several chunks.
  size_t m_padding = 0;
};

// Replicas over a bag of messages in virtual time. Messages travel between ids;
// a test may drop, repeat and delay them and cut links one way.
class TestCluster
{
public:
  struct Node final : public Transport
  {
    void Send(const wire::RaftMessage& aMessage) override;
    void SetMembers(const wire::GroupConfig&) override {}

    TestCluster* m_cluster = nullptr;
    ReplicatedLogOptions m_options;
    storage::MemoryLogStore m_logStore;
    storage::MemorySnapshotStore m_snapshots;
    std::unique_ptr<RecordingMachine> m_machine;
    // Empty while the process is down.
    std::unique_ptr<ReplicatedLog> m_log;
    bool m_paused = false;
  };

  explicit TestCluster(uint64_t aSeed, uint64_t aSnapshotInterval = 10'000);

  // Creates and starts founding members 1 to aCount.
  void Found(size_t aCount);
  // A replica with an empty disk that is in no configuration yet.
  Node& AddNode(uint64_t aId);
  void Start(uint64_t aId);
  // Ends the process and loses what was not synced.
  void Crash(uint64_t aId);
  // Advances time by steps of 10 ms with delivery and ticks in each.
  void Run(Duration aSpan);
  void Step();

  Node& At(uint64_t aId) { return *m_nodes.at(aId); }
  bool Has(uint64_t aId) const { return m_nodes.count(aId) != 0; }
  void Remove(uint64_t aId);
  // The leader of the highest term that is up, 0 for none.
  uint64_t Leader() const;
  // Runs until there is a leader that committed in its term.
  uint64_t WaitForLeader();
  void Cut(uint64_t aFrom, uint64_t aTo) { m_cut.insert({ aFrom, aTo }); }
  void Isolate(uint64_t aId);
  void Heal() { m_cut.clear(); }
  // Proposes on the leader, runs until answered; 0 on failure.
  uint64_t Commit(const std::string& aCommand);
  bool ChangeConfig(const wire::GroupConfig& aConfig);
  // The result of a read barrier on aId after at most aSpan; false if none.
  bool Read(uint64_t aId, Duration aSpan);

  void Post(const wire::RaftMessage& aMessage);

  TimePoint m_now{ 1000 };
  std::mt19937_64 m_random;
  uint64_t m_snapshotIntervalEntries;
  wire::GroupConfig m_founders;
  std::map<uint64_t, std::unique_ptr<Node>> m_nodes;
  std::multimap<TimePoint, wire::RaftMessage> m_bag;
  std::set<std::pair<uint64_t, uint64_t>> m_cut;
  // Percentages, and the longest delay.
  uint32_t m_lossPercent = 0;
  uint32_t m_repeatPercent = 0;
  int64_t m_maxDelayMs = 5;
  // The leader seen in each term.
  std::map<uint64_t, uint64_t> m_leaders;
  size_t m_snapshotChunks = 0;

private:
  void Deliver();
  void NoteLeaders();
};

wire::GroupConfig
WithMember(wire::GroupConfig aConfig, uint64_t aId, bool aLearner);

wire::GroupConfig
WithoutMember(const wire::GroupConfig& aConfig, uint64_t aId);

} // namespace rattanloft::consensus
