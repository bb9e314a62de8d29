#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "EntryLog.h"
#include "Progress.h"
#include "raft.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/consensus/ReplicatedLog.h"

namespace rattanloft::consensus {

struct CoreOptions
{
  uint64_t m_replicaId = 0;
  uint64_t m_seed = 1;
  Duration m_heartbeat;
  Duration m_electionMin;
  Duration m_electionMax;
  Duration m_startElectionMin;
  Duration m_startElectionMax;
  Duration m_startPhase;
  uint64_t m_retainedEntries = 0;
  size_t m_keptBytes = 0;
};

// What the stores held at start.
struct CoreState
{
  wire::HardState m_hardState;
  // Index 0 if there is none.
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  // Entries after the snapshot.
  std::vector<wire::LogEntry> m_entries;
};

// What the driver must do next, in this order: send m_early, write and sync
// everything that is to be stored, call Persisted(), send m_messages.
struct CoreActions
{
  // Appends of a leader, which may be sent before its own sync.
  std::vector<wire::RaftMessage> m_early;
  std::optional<wire::HardState> m_hardState;
  // Received snapshot that replaces the whole log.
  std::shared_ptr<const storage::Snapshot> m_install;
  // First index to remove from the store, 0 for none.
  uint64_t m_truncateFrom = 0;
  // Entries to append to the store, none if m_appendFirst is 0.
  uint64_t m_appendFirst = 0;
  uint64_t m_appendLast = 0;
  std::vector<wire::RaftMessage> m_messages;

  bool NeedsSync() const
  {
    return m_hardState || m_install || m_truncateFrom != 0 ||
           m_appendFirst != 0;
  }
};

// The Raft algorithm without I/O, clock or threads. Events go in by the
// methods, and TakeActions() tells what to store and send. Owned by the driver.
class RaftCore
{
public:
  RaftCore(const CoreOptions& aOptions, CoreState aState, TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(const wire::RaftMessage& aMessage, TimePoint aNow);

  // Appends commands on a leader as one batch; returns the first index. They
  // are sent by the next Broadcast().
  uint64_t Append(std::vector<std::string> aCommands);
  tl::expected<uint64_t, RaftError> AppendConfig(
    const wire::GroupConfig& aConfig);
  void Broadcast();
  // Starts a heartbeat round on a leader and returns its number.
  uint64_t StartRound();
  // The highest round of this term that a quorum of voters answered.
  uint64_t ConfirmedRound() const;
  void TransferLeadership(TimePoint aNow);

  CoreActions TakeActions();
  // Everything in the last actions is durable.
  void Persisted();
  // Ends all participation: no vote, no acknowledgement, no leadership.
  void StorageFailed();

  // Replaces the snapshot after aIndex was applied; drops the entries that no
  // follower is likely to need.
  void SetSnapshot(std::shared_ptr<const storage::Snapshot> aSnapshot);

  Role GetRole() const;
  uint64_t Term() const { return m_hardState.term(); }
  uint64_t LeaderId() const { return m_leaderId; }
  uint64_t Commit() const { return m_commit; }
  // First index of the current leader's own term; reads wait for it.
  uint64_t TermStart() const { return m_termStart; }
  bool Transferring() const { return m_transferTarget != 0; }
  bool HasFailed() const { return m_storageFailed; }
  const EntryLog& Entries() const { return m_log; }
  const wire::GroupConfig& Config() const { return m_config; }
  wire::GroupConfig ConfigAt(uint64_t aIndex) const;
  const std::shared_ptr<const storage::Snapshot>& GetSnapshot() const
  {
    return m_snapshot;
  }

private:
  using Message = wire::RaftMessage;

  // RaftCore.cpp: state and election.
  bool IsVoter(uint64_t aId) const;
  bool SelfIsVoter() const { return IsVoter(m_options.m_replicaId); }
  std::vector<uint64_t> Voters() const;
  size_t Quorum() const { return Voters().size() / 2 + 1; }
  bool IsStarting() const;
  void ResetElectionTimer();
  void SetTerm(uint64_t aTerm, uint64_t aVotedFor);
  void BecomeFollower(uint64_t aTerm, uint64_t aLeaderId);
  void StartPreVote();
  void StartElection(bool aTransfer);
  void RequestVotes(wire::RaftMessageKind aKind,
                    uint64_t aTerm,
                    bool aTransfer);
  void BecomeLeader();
  bool HearsLeader() const;
  bool IsUpToDate(const Message& aMessage) const;
  void OnPreVote(const Message& aMessage);
  void OnVote(const Message& aMessage);
  void OnVoteReply(const Message& aMessage);
  void OnTimeoutNow(const Message& aMessage);
  void UpdateConfig();
  Message MakeMessage(wire::RaftMessageKind aKind, uint64_t aTo) const;

  // RaftCoreFollower.cpp: receiving entries and snapshots.
  void FollowLeader(const Message& aMessage);
  void OnAppend(const Message& aMessage);
  void RejectAppend(const Message& aMessage, uint64_t aHint);
  void StoreEntries(const Message& aMessage, uint64_t aAfter);
  void AdvanceCommit(uint64_t aIndex);
  void OnSnapshotChunk(const Message& aMessage);
  void FinishSnapshot(const Message& aMessage);
  void ReplyToSnapshot(const Message& aMessage,
                       uint64_t aOffset,
                       uint64_t aMatch);

  // RaftCoreLeader.cpp: replication.
  void LeaderTick();
  void Heartbeat();
  uint64_t QuorumIndex() const;
  void UpdateCommit();
  void UpdateProgress();
  void AppendEntry(wire::EntryKind aKind, std::string aPayload);
  void SendTo(uint64_t aId, Progress& aProgress);
  bool MaySend(const Progress& aProgress) const;
  void SendAppend(uint64_t aId, Progress& aProgress, bool aEmpty);
  void SendChunk(uint64_t aId, Progress& aProgress);
  void StartSnapshot(uint64_t aId, Progress& aProgress);
  void OnAppendReply(const Message& aMessage);
  void OnRejection(const Message& aMessage, Progress& aProgress);
  void OnMatch(uint64_t aId, Progress& aProgress, uint64_t aMatch);
  void OnSnapshotReply(const Message& aMessage);
  Progress* NoteReply(const Message& aMessage);
  void ContinueTransfer();
  std::optional<RaftError> CheckConfigChange(
    const wire::GroupConfig& aConfig) const;
  std::optional<RaftError> CheckVoterChange(
    const wire::GroupConfig& aConfig) const;

  CoreOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  bool m_storageFailed = false;

  wire::HardState m_hardState;
  EntryLog m_log;
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  uint64_t m_commit = 0;
  // Entries up to here are durable on this replica.
  uint64_t m_persisted = 0;
  wire::GroupConfig m_config;
  // Index of the entry that m_config comes from.
  uint64_t m_configIndex = 0;

  Role m_role = Role::kFollower;
  uint64_t m_leaderId = 0;
  TimePoint m_started;
  TimePoint m_electionDeadline;
  // When a leader last sent something, none since the start if empty.
  std::optional<TimePoint> m_lastLeaderContact;
  bool m_preVote = false;
  std::set<uint64_t> m_votes;

  // Snapshot being received.
  wire::SnapshotMeta m_incomingMeta;
  std::string m_incoming;
  uint64_t m_incomingTerm = 0;

  // Leader only.
  std::map<uint64_t, Progress> m_progress;
  uint64_t m_round = 0;
  uint64_t m_termStart = 0;
  TimePoint m_nextHeartbeat;
  uint64_t m_transferTarget = 0;
  TimePoint m_transferDeadline;

  CoreActions m_actions;
  bool m_hardStateChanged = false;
};

} // namespace rattanloft::consensus
