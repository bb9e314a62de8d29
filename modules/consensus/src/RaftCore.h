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
#include "FollowerProgress.h"
#include "raft.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/consensus/ReplicatedLog.h"

namespace rattanloft::consensus {

struct RaftCoreOptions
{
  uint64_t m_replicaId = 0;
  uint64_t m_seed = 1;
  Duration m_heartbeatInterval;
  Duration m_minElectionTimeout;
  Duration m_maxElectionTimeout;
  Duration m_minStartupElectionTimeout;
  Duration m_maxStartupElectionTimeout;
  Duration m_startupPeriod;
  uint64_t m_retainedEntries = 0;
  size_t m_retainedBytes = 0;
};

// What the stores held at start.
struct PersistedRaftState
{
  wire::HardState m_hardState;
  // Index 0 if there is none.
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  // Entries after the snapshot.
  std::vector<wire::LogEntry> m_entries;
};

// What the driver must do next, in this order: send m_early, write and sync
// everything that is to be stored, call Persisted(), send m_messages.
struct RaftCoreActions
{
  // Appends of a leader, which may be sent before its own sync.
  std::vector<wire::RaftMessage> m_messagesBeforeSync;
  std::optional<wire::HardState> m_hardState;
  // Received snapshot that replaces the whole log.
  std::shared_ptr<const storage::Snapshot> m_snapshotToInstall;
  // First index to remove from the store, 0 for none.
  uint64_t m_truncateFromIndex = 0;
  // Entries to append to the store, none if m_appendFirst is 0.
  uint64_t m_appendFirstIndex = 0;
  uint64_t m_appendLastIndex = 0;
  std::vector<wire::RaftMessage> m_messagesAfterSync;

  bool NeedsSync() const
  {
    return m_hardState || m_snapshotToInstall || m_truncateFromIndex != 0 ||
           m_appendFirstIndex != 0;
  }
};

// The Raft algorithm without I/O, clock or threads. Events go in by the
// methods, and TakeActions() tells what to store and send. Owned by the driver.
class RaftCore
{
public:
  RaftCore(const RaftCoreOptions& aOptions,
           PersistedRaftState aState,
           TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(const wire::RaftMessage& aMessage, TimePoint aNow);

  // Appends commands on a leader as one batch; returns the first index. They
  // are sent by the next Broadcast().
  uint64_t AppendCommands(std::vector<std::string> aCommands);
  tl::expected<uint64_t, RaftError> AppendConfig(
    const wire::GroupConfig& aConfig);
  void BroadcastAppends();
  // Starts a heartbeat round on a leader and returns its number.
  uint64_t StartRound();
  // The highest round of this term that a quorum of voters answered.
  uint64_t ConfirmedRound() const;
  void TransferLeadership(TimePoint aNow);

  RaftCoreActions TakeActions();
  // Everything in the last actions is durable.
  void OnPersisted();
  // Ends all participation: no vote, no acknowledgement, no leadership.
  void OnStorageFailed();

  // Replaces the snapshot after aIndex was applied; drops the entries that no
  // follower is likely to need.
  void SetSnapshot(std::shared_ptr<const storage::Snapshot> aSnapshot);

  Role GetRole() const;
  uint64_t CurrentTerm() const { return m_hardState.term(); }
  uint64_t LeaderId() const { return m_leaderId; }
  uint64_t CommitIndex() const { return m_commitIndex; }
  // First index of the current leader's own term; reads wait for it.
  uint64_t TermStartIndex() const { return m_termStartIndex; }
  bool IsTransferringLeadership() const { return m_transferTargetId != 0; }
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
  std::vector<uint64_t> VoterIds() const;
  size_t QuorumSize() const { return VoterIds().size() / 2 + 1; }
  bool IsInStartupPeriod() const;
  void ResetElectionTimer();
  void SetTermAndVote(uint64_t aTerm, uint64_t aVotedFor);
  void BecomeFollower(uint64_t aTerm, uint64_t aLeaderId);
  void StartPreVote();
  void StartElection(bool aIsTransfer);
  void SendVoteRequests(wire::RaftMessageKind aKind,
                        uint64_t aTerm,
                        bool aIsTransfer);
  void BecomeLeader();
  bool HasRecentLeaderContact() const;
  bool IsCandidateUpToDate(const Message& aMessage) const;
  void OnPreVoteRequest(const Message& aMessage);
  void OnVoteRequest(const Message& aMessage);
  void OnVoteReply(const Message& aMessage);
  void OnTimeoutNow(const Message& aMessage);
  void UpdateActiveConfig();
  Message MakeMessage(wire::RaftMessageKind aKind, uint64_t aReceiverId) const;

  // RaftCoreFollower.cpp: receiving entries and snapshots.
  void AcceptLeader(const Message& aMessage);
  void OnAppendRequest(const Message& aMessage);
  void RejectAppend(const Message& aMessage, uint64_t aMatchIndexHint);
  void AppendReceivedEntries(const Message& aMessage, uint64_t aAfterIndex);
  void AdvanceCommitIndex(uint64_t aIndex);
  void OnSnapshotChunk(const Message& aMessage);
  void FinishIncomingSnapshot(const Message& aMessage);
  void ReplyToSnapshotChunk(const Message& aMessage,
                            uint64_t aNextOffset,
                            uint64_t aMatchIndex);

  // RaftCoreLeader.cpp: replication.
  void TickAsLeader();
  void SendHeartbeats();
  uint64_t QuorumMatchIndex() const;
  void UpdateCommitIndex();
  void UpdateFollowerProgress();
  void AppendEntry(wire::EntryKind aKind, std::string aPayload);
  void SendPendingEntries(uint64_t aId, FollowerProgress& aProgress);
  bool CanSendAppend(const FollowerProgress& aProgress) const;
  void SendAppend(uint64_t aId,
                  FollowerProgress& aProgress,
                  bool aWithoutEntries);
  void SendSnapshotChunk(uint64_t aId, FollowerProgress& aProgress);
  void StartSnapshotTransfer(uint64_t aId, FollowerProgress& aProgress);
  void OnAppendReply(const Message& aMessage);
  void OnAppendRejected(const Message& aMessage, FollowerProgress& aProgress);
  void OnMatchIndex(uint64_t aId,
                    FollowerProgress& aProgress,
                    uint64_t aMatchIndex);
  void OnSnapshotReply(const Message& aMessage);
  FollowerProgress* RecordReply(const Message& aMessage);
  void ContinueLeadershipTransfer();
  std::optional<RaftError> CheckConfigChange(
    const wire::GroupConfig& aConfig) const;
  std::optional<RaftError> CheckVoters(const wire::GroupConfig& aConfig) const;

  RaftCoreOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  bool m_storageFailed = false;

  wire::HardState m_hardState;
  EntryLog m_log;
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  uint64_t m_commitIndex = 0;
  // Entries up to here are durable on this replica.
  uint64_t m_persistedIndex = 0;
  wire::GroupConfig m_config;
  // Index of the entry that m_config comes from.
  uint64_t m_configIndex = 0;

  Role m_role = Role::kFollower;
  uint64_t m_leaderId = 0;
  TimePoint m_startTime;
  TimePoint m_electionDeadline;
  // When a leader last sent something, none since the start if empty.
  std::optional<TimePoint> m_lastLeaderContact;
  bool m_inPreVote = false;
  std::set<uint64_t> m_votesReceivedFrom;

  // Snapshot being received.
  wire::SnapshotMeta m_incomingMeta;
  std::string m_incomingData;
  uint64_t m_incomingTerm = 0;

  // Leader only.
  std::map<uint64_t, FollowerProgress> m_followerProgress;
  uint64_t m_lastRound = 0;
  uint64_t m_termStartIndex = 0;
  TimePoint m_nextHeartbeatTime;
  uint64_t m_transferTargetId = 0;
  TimePoint m_transferDeadline;

  RaftCoreActions m_actions;
  bool m_hardStateChanged = false;
};

} // namespace rattanloft::consensus
