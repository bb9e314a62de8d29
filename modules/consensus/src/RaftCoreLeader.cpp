#include "RaftCore.h"

#include <algorithm>
#include <functional>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

namespace {

// Payload bytes of one message; the design allows 256 KB a message.
constexpr size_t kMaxMessageBytes = 240 * 1024;

// A learner further behind than this would hold up commits as a voter.
constexpr uint64_t kMaxPromotionLag = 1'000;

// The value that a quorum has reached: the middle one in descending order.
template<typename T>
T
QuorumValue(std::vector<T> aValues)
{
  std::sort(aValues.begin(), aValues.end(), std::greater<>());
  return aValues[aValues.size() / 2];
}

std::map<uint64_t, bool>
LearnerFlags(const wire::GroupConfig& aConfig)
{
  std::map<uint64_t, bool> flags;
  for (const wire::GroupMember& member : aConfig.members()) {
    flags[member.replica_id()] = member.learner();
  }
  return flags;
}

size_t
CountChanges(const wire::GroupConfig& aOld, const wire::GroupConfig& aNew)
{
  const auto before = LearnerFlags(aOld);
  const auto after = LearnerFlags(aNew);
  size_t changes = 0;
  for (const auto& [id, learner] : before) {
    const auto found = after.find(id);
    changes += found == after.end() || found->second != learner ? 1 : 0;
  }
  for (const auto& [id, learner] : after) {
    changes += before.count(id) == 0 ? 1 : 0;
  }
  return changes;
}

} // namespace

void
RaftCore::BecomeLeader()
{
  LogInfo("raft", "{:x} leads in term {}", m_options.m_replicaId, Term());
  m_role = Role::kLeader;
  m_leaderId = m_options.m_replicaId;
  m_transferTarget = 0;
  m_progress.clear();
  UpdateProgress();
  // Entries of earlier terms commit only together with one of this term.
  AppendEntry(wire::ENTRY_KIND_EMPTY, {});
  m_termStart = m_log.LastIndex();
  m_round += 1;
  Broadcast();
  m_nextHeartbeat = m_now + m_options.m_heartbeat;
}

void
RaftCore::UpdateProgress()
{
  std::map<uint64_t, Progress> progress;
  for (const wire::GroupMember& member : m_config.members()) {
    const uint64_t id = member.replica_id();
    if (id == m_options.m_replicaId) {
      continue;
    }
    const auto known = m_progress.find(id);
    if (known != m_progress.end()) {
      progress[id] = std::move(known->second);
      continue;
    }
    progress[id].m_next = m_log.LastIndex() + 1;
    progress[id].m_lastReply = m_now;
  }
  m_progress = std::move(progress);
}

void
RaftCore::LeaderTick()
{
  std::vector<TimePoint> replies;
  for (const uint64_t voter : Voters()) {
    replies.push_back(
      voter == m_options.m_replicaId ? m_now : m_progress[voter].m_lastReply);
  }
  if (m_now - QuorumValue(replies) >= m_options.m_electionMax) {
    LogWarning("raft",
               "{:x} steps down in term {}: no quorum answers",
               m_options.m_replicaId,
               Term());
    BecomeFollower(Term(), 0);
    return;
  }
  if (m_transferTarget != 0 && m_now >= m_transferDeadline) {
    m_transferTarget = 0;
  }
  if (m_now >= m_nextHeartbeat) {
    Heartbeat();
  }
}

void
RaftCore::Heartbeat()
{
  ++m_round;
  m_nextHeartbeat = m_now + m_options.m_heartbeat;
  for (auto& [id, progress] : m_progress) {
    // Whatever was sent without a reply may be lost.
    progress.m_waiting = false;
    // A full window whose messages were lost cannot be sent again once the log
    // no longer holds them.
    if (progress.m_state == ProgressState::kReplicate &&
        progress.m_next <= m_log.BaseIndex()) {
      StartSnapshot(id, progress);
    } else if (progress.m_state == ProgressState::kSnapshot) {
      SendChunk(id, progress);
    }
    if (progress.m_state != ProgressState::kProbe ||
        progress.m_next > m_log.LastIndex()) {
      SendAppend(id, progress, true);
    }
    SendTo(id, progress);
  }
  ContinueTransfer();
}

uint64_t
RaftCore::StartRound()
{
  RATTANLOFT_ASSERT(m_role == Role::kLeader);
  ++m_round;
  for (auto& [id, progress] : m_progress) {
    SendAppend(id, progress, true);
  }
  return m_round;
}

uint64_t
RaftCore::ConfirmedRound() const
{
  std::vector<uint64_t> rounds;
  for (const uint64_t voter : Voters()) {
    const auto found = m_progress.find(voter);
    rounds.push_back(found == m_progress.end() ? m_round
                                               : found->second.m_round);
  }
  return QuorumValue(rounds);
}

uint64_t
RaftCore::QuorumIndex() const
{
  std::vector<uint64_t> matches;
  for (const uint64_t voter : Voters()) {
    const auto found = m_progress.find(voter);
    // The leader's own entries count only once they are synced.
    matches.push_back(found == m_progress.end() ? m_persisted
                                                : found->second.m_match);
  }
  return QuorumValue(matches);
}

void
RaftCore::UpdateCommit()
{
  const uint64_t index = QuorumIndex();
  // An entry of an earlier term may still be replaced although a quorum has
  // it, so it is never counted on its own.
  if (index <= m_commit || m_log.Term(index) != Term()) {
    return;
  }
  AdvanceCommit(index);
  if (m_configIndex <= m_commit && !SelfIsVoter()) {
    LogInfo("raft", "{:x} is no longer a voter", m_options.m_replicaId);
    StartRound();
    BecomeFollower(Term(), 0);
  }
}

void
RaftCore::AppendEntry(wire::EntryKind aKind, std::string aPayload)
{
  wire::LogEntry entry;
  entry.set_index(m_log.LastIndex() + 1);
  entry.set_term(Term());
  entry.set_kind(aKind);
  entry.set_payload(std::move(aPayload));
  m_log.Append(std::move(entry));
}

uint64_t
RaftCore::Append(std::vector<std::string> aCommands)
{
  RATTANLOFT_ASSERT(m_role == Role::kLeader);
  const uint64_t first = m_log.LastIndex() + 1;
  for (std::string& command : aCommands) {
    AppendEntry(wire::ENTRY_KIND_COMMAND, std::move(command));
  }
  return first;
}

void
RaftCore::Broadcast()
{
  for (auto& [id, progress] : m_progress) {
    SendTo(id, progress);
  }
}

bool
RaftCore::MaySend(const Progress& aProgress) const
{
  if (aProgress.m_next > m_log.LastIndex()) {
    return false;
  }
  switch (aProgress.m_state) {
    case ProgressState::kProbe:
      return !aProgress.m_waiting;
    case ProgressState::kReplicate:
      return aProgress.m_inflight.size() < kMaxInflight;
    case ProgressState::kSnapshot:
      return false;
  }
  return false;
}

void
RaftCore::SendTo(uint64_t aId, Progress& aProgress)
{
  while (MaySend(aProgress)) {
    if (aProgress.m_next <= m_log.BaseIndex()) {
      StartSnapshot(aId, aProgress);
      return;
    }
    SendAppend(aId, aProgress, false);
  }
}

void
RaftCore::SendAppend(uint64_t aId, Progress& aProgress, bool aEmpty)
{
  Message message = MakeMessage(wire::RAFT_MESSAGE_APPEND, aId);
  message.set_round(m_round);
  message.set_commit(m_commit);
  // Without a known term, index 0 matches any log and serves as heartbeat.
  const auto term = m_log.Term(aProgress.m_next - 1);
  if (aProgress.m_state != ProgressState::kSnapshot && term) {
    message.set_log_index(aProgress.m_next - 1);
    message.set_log_term(*term);
  }
  size_t bytes = 0;
  uint64_t next = aProgress.m_next;
  while (!aEmpty && next <= m_log.LastIndex()) {
    const wire::LogEntry& entry = m_log.At(next);
    bytes += entry.ByteSizeLong();
    if (bytes > kMaxMessageBytes && message.entries_size() > 0) {
      break;
    }
    *message.add_entries() = entry;
    ++next;
  }
  if (!aEmpty && aProgress.m_state == ProgressState::kReplicate) {
    aProgress.m_inflight.push_back(next - 1);
    aProgress.m_next = next;
  }
  aProgress.m_waiting |= !aEmpty;
  m_actions.m_early.push_back(std::move(message));
}

void
RaftCore::StartSnapshot(uint64_t aId, Progress& aProgress)
{
  RATTANLOFT_ASSERT(m_snapshot != nullptr);
  LogInfo(
    "raft", "sending snapshot {} to {:x}", m_snapshot->m_meta.index(), aId);
  aProgress.m_state = ProgressState::kSnapshot;
  aProgress.m_inflight.clear();
  aProgress.m_snapshot = m_snapshot;
  aProgress.m_snapshotOffset = 0;
  SendChunk(aId, aProgress);
}

void
RaftCore::SendChunk(uint64_t aId, Progress& aProgress)
{
  const storage::Snapshot& snapshot = *aProgress.m_snapshot;
  Message message = MakeMessage(wire::RAFT_MESSAGE_SNAPSHOT_CHUNK, aId);
  *message.mutable_snapshot() = snapshot.m_meta;
  const uint64_t offset = aProgress.m_snapshotOffset;
  message.set_chunk_offset(offset);
  message.set_chunk(snapshot.m_data.substr(offset, kMaxMessageBytes));
  message.set_chunk_last(offset + message.chunk().size() ==
                         snapshot.m_data.size());
  m_actions.m_early.push_back(std::move(message));
}

Progress*
RaftCore::NoteReply(const Message& aMessage)
{
  if (aMessage.term() > Term()) {
    BecomeFollower(aMessage.term(), 0);
  }
  if (m_role != Role::kLeader || aMessage.term() != Term()) {
    return nullptr;
  }
  const auto found = m_progress.find(aMessage.from());
  if (found == m_progress.end()) {
    return nullptr;
  }
  Progress& progress = found->second;
  progress.m_lastReply = m_now;
  progress.m_round = std::max(progress.m_round, aMessage.round());
  return &progress;
}

void
RaftCore::OnAppendReply(const Message& aMessage)
{
  Progress* const progress = NoteReply(aMessage);
  if (progress == nullptr) {
    return;
  }
  if (aMessage.rejected()) {
    OnRejection(aMessage, *progress);
  } else {
    OnMatch(aMessage.from(), *progress, aMessage.match_index());
  }
}

void
RaftCore::OnRejection(const Message& aMessage, Progress& aProgress)
{
  const uint64_t tried = aMessage.log_index();
  const bool stale = aProgress.m_state == ProgressState::kReplicate
                       ? tried <= aProgress.m_match
                       : tried != aProgress.m_next - 1;
  if (aProgress.m_state == ProgressState::kSnapshot || stale) {
    return;
  }
  aProgress.m_state = ProgressState::kProbe;
  aProgress.m_inflight.clear();
  aProgress.m_waiting = false;
  aProgress.m_next = std::max(std::min(tried, aMessage.match_index() + 1),
                              aProgress.m_match + 1);
  SendTo(aMessage.from(), aProgress);
}

void
RaftCore::OnMatch(uint64_t aId, Progress& aProgress, uint64_t aMatch)
{
  // A reply may be older than what is known already.
  if (aMatch < aProgress.m_match) {
    return;
  }
  RATTANLOFT_ASSERT(aMatch <= m_log.LastIndex());
  aProgress.m_match = aMatch;
  while (!aProgress.m_inflight.empty() &&
         aProgress.m_inflight.front() <= aMatch) {
    aProgress.m_inflight.pop_front();
  }
  // Once the snapshot has arrived, the log may already start after it; SendTo()
  // then starts over with a newer one.
  if (aProgress.m_state == ProgressState::kSnapshot &&
      aMatch < aProgress.m_snapshot->m_meta.index() &&
      aMatch < m_log.BaseIndex()) {
    return;
  }
  if (aProgress.m_state != ProgressState::kReplicate) {
    aProgress.m_state = ProgressState::kReplicate;
    aProgress.m_next = aMatch + 1;
    aProgress.m_snapshot.reset();
  }
  aProgress.m_next = std::max(aProgress.m_next, aMatch + 1);
  UpdateCommit();
  if (m_role == Role::kLeader) {
    SendTo(aId, aProgress);
    ContinueTransfer();
  }
}

void
RaftCore::OnSnapshotReply(const Message& aMessage)
{
  Progress* const progress = NoteReply(aMessage);
  if (progress == nullptr) {
    return;
  }
  if (aMessage.chunk_last()) {
    OnMatch(aMessage.from(), *progress, aMessage.match_index());
    return;
  }
  if (progress->m_state != ProgressState::kSnapshot ||
      aMessage.snapshot().index() != progress->m_snapshot->m_meta.index()) {
    return;
  }
  // A smaller offset may be a late reply; the next heartbeat sends from there,
  // and the follower answers with what it really has.
  const bool advanced = aMessage.chunk_offset() > progress->m_snapshotOffset;
  progress->m_snapshotOffset = std::min<uint64_t>(
    aMessage.chunk_offset(), progress->m_snapshot->m_data.size());
  if (advanced) {
    SendChunk(aMessage.from(), *progress);
  }
}

void
RaftCore::TransferLeadership(TimePoint aNow)
{
  m_now = aNow;
  if (m_role != Role::kLeader) {
    return;
  }
  uint64_t best = 0;
  for (const auto& [id, progress] : m_progress) {
    const bool recent = m_now - progress.m_lastReply < m_options.m_electionMin;
    if (IsVoter(id) && recent &&
        (best == 0 || progress.m_match > m_progress[best].m_match)) {
      best = id;
    }
  }
  m_transferTarget = best;
  m_transferDeadline = m_now + m_options.m_electionMax;
  ContinueTransfer();
}

void
RaftCore::ContinueTransfer()
{
  if (m_transferTarget == 0) {
    return;
  }
  const auto found = m_progress.find(m_transferTarget);
  if (found != m_progress.end() && found->second.m_match == m_log.LastIndex()) {
    m_actions.m_messages.push_back(
      MakeMessage(wire::RAFT_MESSAGE_TIMEOUT_NOW, m_transferTarget));
  }
}

std::optional<RaftError>
RaftCore::CheckConfigChange(const wire::GroupConfig& aConfig) const
{
  if (m_role != Role::kLeader) {
    return RaftError{ RaftErrorCode::kNotLeader, "not the leader" };
  }
  // Before an entry of its own term is committed, a leader may not know of a
  // change that an earlier leader committed.
  if (m_commit < m_termStart || m_configIndex > m_commit ||
      m_transferTarget != 0) {
    return RaftError{ RaftErrorCode::kBusy, "another change is in progress" };
  }
  const auto flags = LearnerFlags(aConfig);
  if (flags.size() != static_cast<size_t>(aConfig.members_size()) ||
      flags.count(0) != 0) {
    return RaftError{ RaftErrorCode::kInvalidArgument,
                      "replica ids must be unique" };
  }
  if (CountChanges(m_config, aConfig) > 1) {
    return RaftError{ RaftErrorCode::kInvalidArgument,
                      "only one member may change at a time" };
  }
  return CheckVoterChange(aConfig);
}

std::optional<RaftError>
RaftCore::CheckVoterChange(const wire::GroupConfig& aConfig) const
{
  const auto before = LearnerFlags(m_config);
  size_t voters = 0;
  for (const auto& [id, learner] : LearnerFlags(aConfig)) {
    voters += learner ? 0 : 1;
    if (learner || IsVoter(id)) {
      continue;
    }
    const auto found = m_progress.find(id);
    if (before.count(id) == 0 || found == m_progress.end()) {
      return RaftError{ RaftErrorCode::kInvalidArgument,
                        "a new voter must first be a learner" };
    }
    if (found->second.m_match + kMaxPromotionLag < m_log.LastIndex()) {
      return RaftError{ RaftErrorCode::kInvalidArgument,
                        "the learner is too far behind" };
    }
  }
  if (voters == 0) {
    return RaftError{ RaftErrorCode::kInvalidArgument,
                      "no voter would be left" };
  }
  return std::nullopt;
}

tl::expected<uint64_t, RaftError>
RaftCore::AppendConfig(const wire::GroupConfig& aConfig)
{
  if (auto error = CheckConfigChange(aConfig)) {
    return tl::unexpected(std::move(*error));
  }
  AppendEntry(wire::ENTRY_KIND_CONFIG, aConfig.SerializeAsString());
  m_config = aConfig;
  m_configIndex = m_log.LastIndex();
  UpdateProgress();
  return m_configIndex;
}

} // namespace rattanloft::consensus
