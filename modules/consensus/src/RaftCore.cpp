#include "RaftCore.h"

#include <algorithm>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

RaftCore::RaftCore(const CoreOptions& aOptions,
                   CoreState aState,
                   TimePoint aNow)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_now(aNow)
  , m_hardState(std::move(aState.m_hardState))
  , m_snapshot(std::move(aState.m_snapshot))
  , m_started(aNow)
{
  if (m_snapshot) {
    m_log.Reset(m_snapshot->m_meta.index(), m_snapshot->m_meta.term());
    m_commit = m_snapshot->m_meta.index();
  }
  for (wire::LogEntry& entry : aState.m_entries) {
    m_log.Append(std::move(entry));
  }
  m_persisted = m_log.LastIndex();
  UpdateConfig();
  ResetElectionTimer();
}

bool
RaftCore::IsVoter(uint64_t aId) const
{
  return std::any_of(m_config.members().begin(),
                     m_config.members().end(),
                     [aId](const wire::GroupMember& aMember) {
                       return aMember.replica_id() == aId && !aMember.learner();
                     });
}

std::vector<uint64_t>
RaftCore::Voters() const
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
RaftCore::IsStarting() const
{
  return !m_lastLeaderContact && m_now - m_started < m_options.m_startPhase;
}

void
RaftCore::ResetElectionTimer()
{
  const bool starting = IsStarting();
  std::uniform_int_distribution<int64_t> timeout(
    (starting ? m_options.m_startElectionMin : m_options.m_electionMin).m_ms,
    (starting ? m_options.m_startElectionMax : m_options.m_electionMax).m_ms);
  m_electionDeadline = m_now + Milliseconds(timeout(m_random));
}

void
RaftCore::SetTerm(uint64_t aTerm, uint64_t aVotedFor)
{
  RATTANLOFT_ASSERT(aTerm >= Term());
  m_hardState.set_term(aTerm);
  m_hardState.set_voted_for(aVotedFor);
  m_hardStateChanged = true;
}

void
RaftCore::BecomeFollower(uint64_t aTerm, uint64_t aLeaderId)
{
  if (aTerm > Term()) {
    SetTerm(aTerm, 0);
  }
  if (m_role != Role::kFollower) {
    LogInfo("raft", "{:x} follows in term {}", m_options.m_replicaId, Term());
    ResetElectionTimer();
  }
  m_role = Role::kFollower;
  m_leaderId = aLeaderId;
  m_preVote = false;
  m_transferTarget = 0;
  m_progress.clear();
}

void
RaftCore::Tick(TimePoint aNow)
{
  m_now = aNow;
  if (m_storageFailed) {
    return;
  }
  if (m_role == Role::kLeader) {
    LeaderTick();
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
RaftCore::StartPreVote()
{
  m_role = Role::kCandidate;
  m_preVote = true;
  m_leaderId = 0;
  m_votes = { m_options.m_replicaId };
  ResetElectionTimer();
  if (m_votes.size() >= Quorum()) {
    StartElection(false);
    return;
  }
  RequestVotes(wire::RAFT_MESSAGE_PRE_VOTE, Term() + 1, false);
}

void
RaftCore::StartElection(bool aTransfer)
{
  m_role = Role::kCandidate;
  m_preVote = false;
  m_leaderId = 0;
  SetTerm(Term() + 1, m_options.m_replicaId);
  m_votes = { m_options.m_replicaId };
  ResetElectionTimer();
  LogInfo(
    "raft", "{:x} is a candidate in term {}", m_options.m_replicaId, Term());
  if (m_votes.size() >= Quorum()) {
    BecomeLeader();
    return;
  }
  RequestVotes(wire::RAFT_MESSAGE_VOTE, Term(), aTransfer);
}

void
RaftCore::RequestVotes(wire::RaftMessageKind aKind,
                       uint64_t aTerm,
                       bool aTransfer)
{
  for (const uint64_t voter : Voters()) {
    if (voter == m_options.m_replicaId) {
      continue;
    }
    Message message = MakeMessage(aKind, voter);
    message.set_term(aTerm);
    message.set_log_index(m_log.LastIndex());
    message.set_log_term(m_log.LastTerm());
    message.set_transfer(aTransfer);
    m_actions.m_messages.push_back(std::move(message));
  }
}

wire::RaftMessage
RaftCore::MakeMessage(wire::RaftMessageKind aKind, uint64_t aTo) const
{
  Message message;
  message.set_kind(aKind);
  message.set_from(m_options.m_replicaId);
  message.set_to(aTo);
  message.set_term(Term());
  return message;
}

void
RaftCore::Receive(const Message& aMessage, TimePoint aNow)
{
  m_now = aNow;
  // A message to another id was meant for a data folder that this instance no
  // longer has.
  if (m_storageFailed || aMessage.to() != m_options.m_replicaId) {
    return;
  }
  switch (aMessage.kind()) {
    case wire::RAFT_MESSAGE_APPEND:
      return OnAppend(aMessage);
    case wire::RAFT_MESSAGE_APPEND_REPLY:
      return OnAppendReply(aMessage);
    case wire::RAFT_MESSAGE_PRE_VOTE:
      return OnPreVote(aMessage);
    case wire::RAFT_MESSAGE_VOTE:
      return OnVote(aMessage);
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
RaftCore::HearsLeader() const
{
  if (m_role == Role::kLeader) {
    return true;
  }
  return m_lastLeaderContact &&
         m_now - *m_lastLeaderContact < m_options.m_electionMin;
}

bool
RaftCore::IsUpToDate(const Message& aMessage) const
{
  if (aMessage.log_term() != m_log.LastTerm()) {
    return aMessage.log_term() > m_log.LastTerm();
  }
  return aMessage.log_index() >= m_log.LastIndex();
}

void
RaftCore::OnPreVote(const Message& aMessage)
{
  const bool granted =
    aMessage.term() > Term() && !HearsLeader() && IsUpToDate(aMessage);
  Message reply =
    MakeMessage(wire::RAFT_MESSAGE_PRE_VOTE_REPLY, aMessage.from());
  reply.set_rejected(!granted);
  if (granted) {
    reply.set_term(aMessage.term());
  }
  m_actions.m_messages.push_back(std::move(reply));
}

void
RaftCore::OnVote(const Message& aMessage)
{
  // A replica that lost contact must not depose a leader that others hear.
  if (aMessage.term() > Term() && !aMessage.transfer() && HearsLeader()) {
    return;
  }
  if (aMessage.term() > Term()) {
    BecomeFollower(aMessage.term(), 0);
  }
  const uint64_t votedFor = m_hardState.voted_for();
  const bool granted = aMessage.term() == Term() &&
                       (votedFor == 0 || votedFor == aMessage.from()) &&
                       IsUpToDate(aMessage);
  if (granted && votedFor == 0) {
    SetTerm(Term(), aMessage.from());
  }
  if (granted) {
    ResetElectionTimer();
  }
  Message reply = MakeMessage(wire::RAFT_MESSAGE_VOTE_REPLY, aMessage.from());
  reply.set_rejected(!granted);
  m_actions.m_messages.push_back(std::move(reply));
}

void
RaftCore::OnVoteReply(const Message& aMessage)
{
  const bool preVote = aMessage.kind() == wire::RAFT_MESSAGE_PRE_VOTE_REPLY;
  if (aMessage.rejected()) {
    if (aMessage.term() > Term()) {
      BecomeFollower(aMessage.term(), 0);
    }
    return;
  }
  const uint64_t term = preVote ? Term() + 1 : Term();
  if (m_role != Role::kCandidate || m_preVote != preVote ||
      aMessage.term() != term || !IsVoter(aMessage.from())) {
    return;
  }
  m_votes.insert(aMessage.from());
  if (m_votes.size() < Quorum()) {
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
  if (aMessage.term() == Term() && m_role == Role::kFollower && SelfIsVoter() &&
      aMessage.from() == m_leaderId) {
    StartElection(true);
  }
}

wire::GroupConfig
RaftCore::ConfigAt(uint64_t aIndex) const
{
  for (uint64_t index = aIndex; index > m_log.BaseIndex(); --index) {
    const wire::LogEntry& entry = m_log.At(index);
    if (entry.kind() == wire::ENTRY_KIND_CONFIG) {
      wire::GroupConfig config;
      RATTANLOFT_ASSERT(config.ParseFromString(entry.payload()));
      return config;
    }
  }
  return m_snapshot ? m_snapshot->m_meta.config() : wire::GroupConfig();
}

void
RaftCore::UpdateConfig()
{
  m_config = ConfigAt(m_log.LastIndex());
  m_configIndex = m_log.LastIndex();
  while (m_configIndex > m_log.BaseIndex() &&
         m_log.At(m_configIndex).kind() != wire::ENTRY_KIND_CONFIG) {
    --m_configIndex;
  }
}

CoreActions
RaftCore::TakeActions()
{
  if (m_storageFailed) {
    m_actions = {};
  }
  CoreActions actions = std::exchange(m_actions, {});
  if (m_hardStateChanged) {
    actions.m_hardState = m_hardState;
    m_hardStateChanged = false;
  }
  if (m_persisted < m_log.LastIndex()) {
    actions.m_appendFirst = m_persisted + 1;
    actions.m_appendLast = m_log.LastIndex();
  }
  return actions;
}

void
RaftCore::Persisted()
{
  m_persisted = m_log.LastIndex();
  if (m_role == Role::kLeader) {
    UpdateCommit();
  }
}

void
RaftCore::StorageFailed()
{
  BecomeFollower(Term(), 0);
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
  while (m_log.BaseIndex() < index && m_log.Bytes() > m_options.m_keptBytes) {
    m_log.DropThrough(m_log.BaseIndex() + 1);
  }
}

} // namespace rattanloft::consensus
