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
#include "PersistedRaftState.h"
#include "raft.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/consensus/ReplicatedLog.h"

namespace rattanloft::consensus {

// See ReplicatedLogOptions for the meaning of the timeouts.
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
  // Limits on the entries that SetSnapshot() keeps in memory although the
  // snapshot covers them.
  uint64_t m_retainedEntries = 0;
  size_t m_retainedBytes = 0;
  Duration m_resendDelay;
};

// What the driver must do next, in this order: send m_messagesBeforeSync, write
// and sync everything that is to be stored, call RaftCore::OnPersisted(), and
// send m_messagesAfterSync. If m_hardState is set, m_messagesBeforeSync must
// also wait for the sync.
struct RaftCoreActions
{
  // Append messages and snapshot chunks of a leader, which may be sent before
  // the leader has synced its own log.
  std::vector<wire::RaftMessage> m_messagesBeforeSync;
  // Term and vote to store, if they changed.
  std::optional<wire::HardState> m_hardState;
  // Received snapshot that replaces the whole log, null for none.
  std::shared_ptr<const storage::Snapshot> m_snapshotToInstall;
  // The entries from this index on are to be removed from the store, 0 for
  // none.
  uint64_t m_truncateFromIndex = 0;
  // Index range of the entries to append to the store, none if
  // m_appendFirstIndex is 0.
  uint64_t m_appendFirstIndex = 0;
  uint64_t m_appendLastIndex = 0;
  // Votes, acknowledgements and other messages that may promise that state is
  // durable.
  std::vector<wire::RaftMessage> m_messagesAfterSync;

  bool NeedsSync() const
  {
    return m_hardState || m_snapshotToInstall || m_truncateFromIndex != 0 ||
           m_appendFirstIndex != 0;
  }
};

// The Raft algorithm without I/O, clock or threads. The driver passes events to
// the methods and then carries out what TakeActions() returns.
class RaftCore
{
public:
  RaftCore(const RaftCoreOptions& aOptions,
           PersistedRaftState aState,
           TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(const wire::RaftMessage& aMessage, TimePoint aNow);

  // Appends the commands to the log of a leader and returns the index of the
  // first one. The next BroadcastAppends() sends them.
  uint64_t AppendCommands(std::vector<std::string> aCommands);
  // Appends a membership change and returns its index. It takes effect at once,
  // before it is committed.
  tl::expected<uint64_t, RaftError> AppendConfig(
    const wire::GroupConfig& aConfig);
  // Sends to each follower the entries that it lacks.
  void BroadcastAppends();
  // Starts a heartbeat round on a leader and returns its number, which is
  // higher than that of all earlier rounds.
  uint64_t StartRound();
  // The highest heartbeat round of this term that a quorum of voters answered.
  uint64_t ConfirmedRound() const;
  // Picks the most up-to-date follower and makes it start an election once it
  // has the whole log.
  void TransferLeadership(TimePoint aNow);

  // See ReplicatedLog::OnMessagesLost().
  void OnMessagesLost(uint64_t aReplicaId, TimePoint aNow);

  // Returns the pending actions and clears them.
  RaftCoreActions TakeActions();
  // To be called when everything in the last actions is durable.
  void OnPersisted();
  // To be called when the stores failed. From then on this replica gives no
  // vote, acknowledges nothing and does not lead. A new core over the persisted
  // state replaces this one once the stores accept writes again.
  void OnStorageFailed();

  // Replaces the snapshot and drops the entries covered by it that no follower
  // is likely to need.
  void SetSnapshot(std::shared_ptr<const storage::Snapshot> aSnapshot);

  Role GetRole() const;
  uint64_t CurrentTerm() const { return m_hardState.term(); }
  uint64_t LeaderId() const { return m_leaderId; }
  uint64_t CommitIndex() const { return m_commitIndex; }
  // On a leader, the index of the first entry of its own term. Reads wait until
  // it is applied.
  uint64_t TermStartIndex() const { return m_termStartIndex; }
  bool IsTransferringLeadership() const { return m_transferTargetId != 0; }
  bool HasFailed() const { return m_storageFailed; }
  const EntryLog& Entries() const { return m_log; }
  // The configuration in effect: the last one in the log.
  const wire::GroupConfig& Config() const { return m_config; }
  // The configuration that was in effect after the entry at aIndex.
  wire::GroupConfig ConfigAt(uint64_t aIndex) const;
  const std::shared_ptr<const storage::Snapshot>& GetSnapshot() const
  {
    return m_snapshot;
  }

private:
  using Message = wire::RaftMessage;

  // Implemented in RaftCore.cpp: state and election.
  bool IsVoter(uint64_t aReplicaId) const;
  bool SelfIsVoter() const { return IsVoter(m_options.m_replicaId); }
  std::vector<uint64_t> VoterIds() const;
  size_t QuorumSize() const { return VoterIds().size() / 2 + 1; }
  bool IsInStartupPeriod() const;
  void ResetElectionTimer();
  void SetTermAndVote(uint64_t aTerm, uint64_t aVotedFor);
  void BecomeFollower(uint64_t aTerm, uint64_t aLeaderId);
  void StartPreVote();
  // Logs the votes of the election round that has timed out, unless they are
  // those of the round before.
  void LogMissingQuorum();
  void StartElection(bool aIsTransfer);
  void SendVoteRequests(wire::RaftMessageKind aKind,
                        uint64_t aTerm,
                        bool aIsTransfer);
  void BecomeLeader();
  // Whether a leader, which may be this replica, was in contact within the
  // minimum election timeout.
  bool HasRecentLeaderContact() const;
  // Whether the log of the candidate is at least as up to date as this one.
  bool IsCandidateUpToDate(const Message& aMessage) const;
  void OnPreVoteRequest(const Message& aMessage);
  void OnVoteRequest(const Message& aMessage);
  void OnVoteReply(const Message& aMessage);
  void OnTimeoutNow(const Message& aMessage);
  // Sets m_config and m_configIndex from the log.
  void UpdateActiveConfig();
  Message MakeMessage(wire::RaftMessageKind aKind, uint64_t aReceiverId) const;

  // Implemented in RaftCoreFollower.cpp: receiving entries and snapshots.
  // Follows the sender, which leads in a term that is not before this one.
  void AcceptLeader(const Message& aMessage);
  void OnAppendRequest(const Message& aMessage);
  // Handles an append message if the log reaches up to its entries.
  void HandleAppend(const Message& aMessage);
  // Keeps an append message that has overtaken earlier ones.
  void StashAppend(const Message& aMessage);
  // Handles the stashed messages that follow the last entry.
  void HandleStashedAppends();
  // aMatchIndexHint is the highest index up to which the logs may match.
  void RejectAppend(const Message& aMessage, uint64_t aMatchIndexHint);
  // Appends the entries after aAfterIndex in place of conflicting ones.
  void AppendReceivedEntries(const Message& aMessage, uint64_t aAfterIndex);
  void AdvanceCommitIndex(uint64_t aIndex);
  void OnSnapshotChunk(const Message& aMessage);
  void FinishIncomingSnapshot(const Message& aMessage);
  // aNextOffset is the offset of the chunk expected next. An aMatchIndex other
  // than 0 means that the snapshot is no longer needed.
  void ReplyToSnapshotChunk(const Message& aMessage,
                            uint64_t aNextOffset,
                            uint64_t aMatchIndex);

  // Implemented in RaftCoreLeader.cpp: replication.
  void TickAsLeader();
  void SendHeartbeats();
  // The highest index up to which a quorum of voters has durable entries.
  uint64_t QuorumMatchIndex() const;
  void UpdateCommitIndex();
  // Adds and drops elements of m_followerProgress to fit the configuration.
  void UpdateFollowerProgress();
  void AppendEntry(wire::EntryKind aKind, std::string aPayload);
  void SendPendingEntries(uint64_t aFollowerId, FollowerProgress& aProgress);
  bool CanSendAppend(const FollowerProgress& aProgress) const;
  void SendAppend(uint64_t aFollowerId,
                  FollowerProgress& aProgress,
                  bool aWithoutEntries);
  void SendSnapshotChunk(uint64_t aFollowerId, FollowerProgress& aProgress);
  // Whether what is in flight is to be sent again.
  bool IsOverdue(const FollowerProgress& aProgress) const;
  // Whether a snapshot is smaller than the entries up to it that the follower
  // lacks.
  bool IsSnapshotSmaller(const FollowerProgress& aProgress) const;
  void StartSnapshotTransfer(uint64_t aFollowerId, FollowerProgress& aProgress);
  void OnAppendReply(const Message& aMessage);
  void OnAppendRejected(const Message& aMessage, FollowerProgress& aProgress);
  // Handles that the follower's log equals this one up to aMatchIndex.
  void OnMatchIndex(uint64_t aFollowerId,
                    FollowerProgress& aProgress,
                    uint64_t aMatchIndex);
  void OnSnapshotReply(const Message& aMessage);
  // Notes the time and the heartbeat round of a reply. Returns null if the
  // reply does not belong to the current leadership of this replica.
  FollowerProgress* RecordReply(const Message& aMessage);
  // Asks the transfer target to start an election if it has the whole log.
  void ContinueLeadershipTransfer();
  std::optional<RaftError> CheckConfigChange(
    const wire::GroupConfig& aConfig) const;
  // Checks that voters are left and that new ones are caught-up learners.
  std::optional<RaftError> CheckVoters(const wire::GroupConfig& aConfig) const;

  RaftCoreOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  bool m_storageFailed = false;

  wire::HardState m_hardState;
  EntryLog m_log;
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  uint64_t m_commitIndex = 0;
  // Entries up to this index are durable on this replica.
  uint64_t m_persistedIndex = 0;
  wire::GroupConfig m_config;
  // Index of the entry that m_config comes from, or the base index of m_log if
  // it comes from the snapshot.
  uint64_t m_configIndex = 0;

  Role m_role = Role::kFollower;
  uint64_t m_leaderId = 0;
  TimePoint m_startTime;
  TimePoint m_electionDeadline;
  // When a leader last sent a message. Empty if none has since the start.
  std::optional<TimePoint> m_lastLeaderContact;
  // On a candidate, whether m_votesReceivedFrom counts pre-votes.
  bool m_inPreVote = false;
  std::set<uint64_t> m_votesReceivedFrom;
  // What LogMissingQuorum() logged since the last leader was known.
  std::string m_loggedMissingQuorum;

  // The snapshot being received: its metadata, the bytes so far, and the term
  // of the leader that sends it.
  wire::SnapshotMeta m_incomingMeta;
  std::string m_incomingData;
  uint64_t m_incomingTerm = 0;

  // Append messages of m_stashTerm that arrived before those with the entries
  // in front of theirs. By the index of the entry before the first one.
  std::map<uint64_t, Message> m_stashedAppends;
  uint64_t m_stashTerm = 0;

  // From here to m_transferDeadline: used on a leader only.

  // By replica id.
  std::map<uint64_t, FollowerProgress> m_followerProgress;
  // Number of the last heartbeat round.
  uint64_t m_lastRound = 0;
  uint64_t m_termStartIndex = 0;
  TimePoint m_nextHeartbeatTime;
  // The replica that leadership is being transferred to, 0 for none.
  uint64_t m_transferTargetId = 0;
  TimePoint m_transferDeadline;

  RaftCoreActions m_actions;
  bool m_hardStateChanged = false;
};

} // namespace rattanloft::consensus
