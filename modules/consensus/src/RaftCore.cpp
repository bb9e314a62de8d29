#include "RaftCore.h"

#include <algorithm>

#include <fmt/format.h>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

RaftCore::RaftCore(const RaftCoreOptions& aOptions,
                   PersistedRaftState aState,
                   TimePoint aNow)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_now(aNow)
  , m_hardState(std::move(aState.m_hardState))
  , m_snapshot(std::move(aState.m_snapshot))
  , m_startTime(aNow)
{
  if (m_snapshot) {
    m_log.Reset(m_snapshot->m_meta.index(), m_snapshot->m_meta.term());
    m_commitIndex = m_snapshot->m_meta.index();
  }
  for (wire::LogEntry& entry : aState.m_entries) {
    m_log.Append(std::move(entry));
  }
  m_persistedIndex = m_log.LastIndex();
  UpdateActiveConfig();
  ResetElectionTimer();
}

bool
RaftCore::IsVoter(uint64_t aReplicaId) const
{
  return std::any_of(m_config.members().begin(),
                     m_config.members().end(),
                     [aReplicaId](const wire::GroupMember& aMember) {
                       return aMember.replica_id() == aReplicaId &&
                              !aMember.learner();
                     });
}

std::vector<uint64_t>
RaftCore::VoterIds() const
{
  std::vector<uint64_t> voters;
  for (const wire::GroupMember& member : m_config.members()) {
    if (!member.learner()) {
      voters.push_back(member.replica_id());
    }
  }
  return voters;
}

Role
RaftCore::GetRole() const
{
  if (m_role == Role::kFollower && !SelfIsVoter()) {
    return Role::kLearner;
  }
  return m_role;
}

bool
RaftCore::IsInStartupPeriod() const
{
  return !m_lastLeaderContact &&
         m_now - m_startTime < m_options.m_startupPeriod;
}

void
RaftCore::ResetElectionTimer()
{
  const bool starting = IsInStartupPeriod();
  std::uniform_int_distribution<int64_t> timeout(
    (starting ? m_options.m_minStartupElectionTimeout
              : m_options.m_minElectionTimeout)
      .m_ms,
    (starting ? m_options.m_maxStartupElectionTimeout
              : m_options.m_maxElectionTimeout)
      .m_ms);
  m_electionDeadline = m_now + Milliseconds(timeout(m_random));
}

void
RaftCore::SetTermAndVote(uint64_t aTerm, uint64_t aVotedFor)
{
  RATTANLOFT_ASSERT(aTerm >= CurrentTerm());
  m_hardState.set_term(aTerm);
  m_hardState.set_voted_for(aVotedFor);
  m_hardStateChanged = true;
}

void
RaftCore::BecomeFollower(uint64_t aTerm, uint64_t aLeaderId)
{
  if (aTerm > CurrentTerm()) {
    SetTermAndVote(aTerm, 0);
  }
  if (m_role != Role::kFollower) {
    LogInfo("raft",
            "replica {:x} becomes a follower in term {}",
            m_options.m_replicaId,
            CurrentTerm());
    ResetElectionTimer();
  }
  m_role = Role::kFollower;
  m_leaderId = aLeaderId;
  m_inPreVote = false;
  m_transferTargetId = 0;
  m_followerProgress.clear();
}

void
RaftCore::Tick(TimePoint aNow)
{
  m_now = aNow;
  if (m_storageFailed) {
    return;
  }
  if (m_role == Role::kLeader) {
    TickAsLeader();
    return;
  }
  if (m_now < m_electionDeadline) {
    return;
  }
  m_leaderId = 0;
  if (SelfIsVoter()) {
    StartPreVote();
  } else {
    ResetElectionTimer();
  }
}

void
RaftCore::LogMissingQuorum()
{
  std::string text =
    fmt::format("votes of {:x} are no quorum of the voters {:x}",
                fmt::join(m_votesReceivedFrom, ","),
                fmt::join(VoterIds(), ","));
  if (text == m_loggedMissingQuorum) {
    return;
  }
  LogInfo("raft",
          "replica {:x} is not elected in term {}: {}",
          m_options.m_replicaId,
          CurrentTerm(),
          text);
  m_loggedMissingQuorum = std::move(text);
}

void
RaftCore::StartPreVote()
{
  if (m_role == Role::kCandidate) {
    LogMissingQuorum();
  } else {
    m_loggedMissingQuorum.clear();
  }
  m_role = Role::kCandidate;
  m_inPreVote = true;
  m_leaderId = 0;
  m_votesReceivedFrom = { m_options.m_replicaId };
  ResetElectionTimer();
  if (m_votesReceivedFrom.size() >= QuorumSize()) {
    StartElection(false);
    return;
  }
  SendVoteRequests(wire::RAFT_MESSAGE_PRE_VOTE, CurrentTerm() + 1, false);
}

void
RaftCore::StartElection(bool aIsTransfer)
{
  m_role = Role::kCandidate;
  m_inPreVote = false;
  m_leaderId = 0;
  SetTermAndVote(CurrentTerm() + 1, m_options.m_replicaId);
  m_votesReceivedFrom = { m_options.m_replicaId };
  ResetElectionTimer();
  LogInfo("raft",
          "replica {:x} becomes a candidate in term {}",
          m_options.m_replicaId,
          CurrentTerm());
  if (m_votesReceivedFrom.size() >= QuorumSize()) {
    BecomeLeader();
    return;
  }
  SendVoteRequests(wire::RAFT_MESSAGE_VOTE, CurrentTerm(), aIsTransfer);
}

void
RaftCore::SendVoteRequests(wire::RaftMessageKind aKind,
                           uint64_t aTerm,
                           bool aIsTransfer)
{
  for (const uint64_t voterId : VoterIds()) {
    if (voterId == m_options.m_replicaId) {
      continue;
    }
    Message message = MakeMessage(aKind, voterId);
    message.set_term(aTerm);
    message.set_log_index(m_log.LastIndex());
    message.set_log_term(m_log.LastTerm());
    message.set_transfer(aIsTransfer);
    m_actions.m_messagesAfterSync.push_back(std::move(message));
  }
}

wire::RaftMessage
RaftCore::MakeMessage(wire::RaftMessageKind aKind, uint64_t aReceiverId) const
{
  Message message;
  message.set_kind(aKind);
  message.set_from(m_options.m_replicaId);
  message.set_to(aReceiverId);
  message.set_term(CurrentTerm());
  return message;
}

void
RaftCore::Receive(const Message& aMessage, TimePoint aNow)
{
  m_now = aNow;
  // A message for another replica id was meant for a data folder that this
  // instance no longer has.
  if (m_storageFailed || aMessage.to() != m_options.m_replicaId) {
    return;
  }
  switch (aMessage.kind()) {
    case wire::RAFT_MESSAGE_APPEND:
      return OnAppendRequest(aMessage);
    case wire::RAFT_MESSAGE_APPEND_REPLY:
      return OnAppendReply(aMessage);
    case wire::RAFT_MESSAGE_PRE_VOTE:
      return OnPreVoteRequest(aMessage);
    case wire::RAFT_MESSAGE_VOTE:
      return OnVoteRequest(aMessage);
    case wire::RAFT_MESSAGE_PRE_VOTE_REPLY:
    case wire::RAFT_MESSAGE_VOTE_REPLY:
      return OnVoteReply(aMessage);
    case wire::RAFT_MESSAGE_SNAPSHOT_CHUNK:
      return OnSnapshotChunk(aMessage);
    case wire::RAFT_MESSAGE_SNAPSHOT_REPLY:
      return OnSnapshotReply(aMessage);
    case wire::RAFT_MESSAGE_TIMEOUT_NOW:
      return OnTimeoutNow(aMessage);
    default:
      return;
  }
}

bool
RaftCore::HasRecentLeaderContact() const
{
  if (m_role == Role::kLeader) {
    return true;
  }
  return m_lastLeaderContact &&
         m_now - *m_lastLeaderContact < m_options.m_minElectionTimeout;
}

bool
RaftCore::IsCandidateUpToDate(const Message& aMessage) const
{
  if (aMessage.log_term() != m_log.LastTerm()) {
    return aMessage.log_term() > m_log.LastTerm();
  }
  return aMessage.log_index() >= m_log.LastIndex();
}

void
RaftCore::OnPreVoteRequest(const Message& aMessage)
{
  const bool granted = aMessage.term() > CurrentTerm() &&
                       !HasRecentLeaderContact() &&
                       IsCandidateUpToDate(aMessage);
  Message reply =
    MakeMessage(wire::RAFT_MESSAGE_PRE_VOTE_REPLY, aMessage.from());
  reply.set_rejected(!granted);
  if (granted) {
    reply.set_term(aMessage.term());
  }
  m_actions.m_messagesAfterSync.push_back(std::move(reply));
}

void
RaftCore::OnVoteRequest(const Message& aMessage)
{
  // A replica that lost contact must not depose a leader that other replicas
  // still hear.
  if (aMessage.term() > CurrentTerm() && !aMessage.transfer() &&
      HasRecentLeaderContact()) {
    return;
  }
  if (aMessage.term() > CurrentTerm()) {
    BecomeFollower(aMessage.term(), 0);
  }
  const uint64_t votedFor = m_hardState.voted_for();
  const bool granted = aMessage.term() == CurrentTerm() &&
                       (votedFor == 0 || votedFor == aMessage.from()) &&
                       IsCandidateUpToDate(aMessage);
  if (granted && votedFor == 0) {
    SetTermAndVote(CurrentTerm(), aMessage.from());
  }
  if (granted) {
    ResetElectionTimer();
  }
  Message reply = MakeMessage(wire::RAFT_MESSAGE_VOTE_REPLY, aMessage.from());
  reply.set_rejected(!granted);
  m_actions.m_messagesAfterSync.push_back(std::move(reply));
}

void
RaftCore::OnVoteReply(const Message& aMessage)
{
  const bool preVote = aMessage.kind() == wire::RAFT_MESSAGE_PRE_VOTE_REPLY;
  if (aMessage.rejected()) {
    if (aMessage.term() > CurrentTerm()) {
      BecomeFollower(aMessage.term(), 0);
    }
    return;
  }
  const uint64_t term = preVote ? CurrentTerm() + 1 : CurrentTerm();
  if (m_role != Role::kCandidate || m_inPreVote != preVote ||
      aMessage.term() != term || !IsVoter(aMessage.from())) {
    return;
  }
  m_votesReceivedFrom.insert(aMessage.from());
  if (m_votesReceivedFrom.size() < QuorumSize()) {
    return;
  }
  if (preVote) {
    StartElection(false);
  } else {
    BecomeLeader();
  }
}

void
RaftCore::OnTimeoutNow(const Message& aMessage)
{
  if (aMessage.term() == CurrentTerm() && m_role == Role::kFollower &&
      SelfIsVoter() && aMessage.from() == m_leaderId) {
    StartElection(true);
  }
}

wire::GroupConfig
RaftCore::ConfigAt(uint64_t aIndex) const
{
  for (uint64_t index = aIndex; index > m_log.BaseIndex(); --index) {
    const wire::LogEntry& entry = m_log.EntryAt(index);
    if (entry.kind() == wire::ENTRY_KIND_CONFIG) {
      wire::GroupConfig config;
      RATTANLOFT_ASSERT(config.ParseFromString(entry.payload()));
      return config;
    }
  }
  return m_snapshot ? m_snapshot->m_meta.config() : wire::GroupConfig();
}

void
RaftCore::UpdateActiveConfig()
{
  m_config = ConfigAt(m_log.LastIndex());
  m_configIndex = m_log.LastIndex();
  while (m_configIndex > m_log.BaseIndex() &&
         m_log.EntryAt(m_configIndex).kind() != wire::ENTRY_KIND_CONFIG) {
    --m_configIndex;
  }
}

RaftCoreActions
RaftCore::TakeActions()
{
  if (m_storageFailed) {
    m_actions = {};
  }
  RaftCoreActions actions = std::exchange(m_actions, {});
  if (m_hardStateChanged) {
    actions.m_hardState = m_hardState;
    m_hardStateChanged = false;
  }
  if (m_persistedIndex < m_log.LastIndex()) {
    actions.m_appendFirstIndex = m_persistedIndex + 1;
    actions.m_appendLastIndex = m_log.LastIndex();
  }
  return actions;
}

void
RaftCore::OnPersisted()
{
  m_persistedIndex = m_log.LastIndex();
  if (m_role == Role::kLeader) {
    UpdateCommitIndex();
  }
}

void
RaftCore::OnStorageFailed()
{
  BecomeFollower(CurrentTerm(), 0);
  m_storageFailed = true;
  m_actions = {};
}

void
RaftCore::SetSnapshot(std::shared_ptr<const storage::Snapshot> aSnapshot)
{
  m_snapshot = std::move(aSnapshot);
  const uint64_t index = m_snapshot->m_meta.index();
  if (index > m_options.m_retainedEntries) {
    m_log.DropThrough(index - m_options.m_retainedEntries);
  }
  while (m_log.BaseIndex() < index &&
         m_log.PayloadBytes() > m_options.m_retainedBytes) {
    m_log.DropThrough(m_log.BaseIndex() + 1);
  }
}

} // namespace rattanloft::consensus
