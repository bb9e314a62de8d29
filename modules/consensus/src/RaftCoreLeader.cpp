#include "RaftCore.h"

#include <algorithm>
#include <functional>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/consensus/OutgoingMessages.h"

namespace rattanloft::consensus {

namespace {

// Entry bytes in one message, unless a single entry has more. A message that is
// lost is sent again as a whole, so on a link with packet loss small messages
// arrive sooner.
constexpr size_t kMaxMessagePayloadBytes = 30 * 1024;
// Snapshot bytes in one message. One message is in flight at a time.
constexpr size_t kMaxChunkBytes = 64 * 1024;
// Entry bytes in a message to a follower whose log may differ. Most of them
// would be sent in vain.
constexpr size_t kMaxProbePayloadBytes = 2 * 1024;

// A learner that lags further behind than this is not made a voter, since a
// quorum that needs it would have to wait for it.
constexpr uint64_t kMaxPromotionLagEntries = 1'000;

// Returns the highest value that a quorum of the voters has reached: the middle
// one in descending order.
template<typename T>
T
QuorumValue(std::vector<T> aValues)
{
  std::sort(aValues.begin(), aValues.end(), std::greater<>());
  return aValues[aValues.size() / 2];
}

// Maps the replica id of each member to whether it is a learner.
std::map<uint64_t, bool>
LearnerFlagsById(const wire::GroupConfig& aConfig)
{
  std::map<uint64_t, bool> flags;
  for (const wire::GroupMember& member : aConfig.members()) {
    flags[member.replica_id()] = member.learner();
  }
  return flags;
}

// Counts the members that were added, removed, promoted or demoted.
size_t
CountMemberChanges(const wire::GroupConfig& aOldConfig,
                   const wire::GroupConfig& aNewConfig)
{
  const auto oldFlags = LearnerFlagsById(aOldConfig);
  const auto newFlags = LearnerFlagsById(aNewConfig);
  size_t changeCount = 0;
  for (const auto& [id, learner] : oldFlags) {
    const auto found = newFlags.find(id);
    changeCount += found == newFlags.end() || found->second != learner ? 1 : 0;
  }
  for (const auto& [id, learner] : newFlags) {
    changeCount += oldFlags.count(id) == 0 ? 1 : 0;
  }
  return changeCount;
}

} // namespace

void
RaftCore::BecomeLeader()
{
  LogInfo("raft",
          "replica {:x} becomes the leader in term {}",
          m_options.m_replicaId,
          CurrentTerm());
  m_role = Role::kLeader;
  m_leaderId = m_options.m_replicaId;
  m_transferTargetId = 0;
  m_followerProgress.clear();
  UpdateFollowerProgress();
  // Entries of earlier terms are committed only together with an entry of this
  // term.
  AppendEntry(wire::ENTRY_KIND_EMPTY, {});
  m_termStartIndex = m_log.LastIndex();
  m_lastRound += 1;
  BroadcastAppends();
  m_nextHeartbeatTime = m_now + m_options.m_heartbeatInterval;
}

void
RaftCore::UpdateFollowerProgress()
{
  std::map<uint64_t, FollowerProgress> progress;
  for (const wire::GroupMember& member : m_config.members()) {
    const uint64_t id = member.replica_id();
    if (id == m_options.m_replicaId) {
      continue;
    }
    const auto known = m_followerProgress.find(id);
    if (known != m_followerProgress.end()) {
      progress[id] = std::move(known->second);
      continue;
    }
    progress[id].m_nextIndex = m_log.LastIndex() + 1;
    progress[id].m_lastReplyTime = m_now;
  }
  m_followerProgress = std::move(progress);
}

void
RaftCore::TickAsLeader()
{
  std::vector<TimePoint> voterReplyTimes;
  for (const uint64_t voterId : VoterIds()) {
    voterReplyTimes.push_back(voterId == m_options.m_replicaId
                                ? m_now
                                : m_followerProgress[voterId].m_lastReplyTime);
  }
  if (m_now - QuorumValue(voterReplyTimes) >= m_options.m_maxElectionTimeout) {
    LogWarning("raft",
               "replica {:x} steps down in term {}: no quorum answers",
               m_options.m_replicaId,
               CurrentTerm());
    BecomeFollower(CurrentTerm(), 0);
    return;
  }
  if (m_transferTargetId != 0 && m_now >= m_transferDeadline) {
    m_transferTargetId = 0;
  }
  if (m_now >= m_nextHeartbeatTime) {
    SendHeartbeats();
  }
}

void
RaftCore::SendHeartbeats()
{
  ++m_lastRound;
  m_nextHeartbeatTime = m_now + m_options.m_heartbeatInterval;
  for (auto& [id, progress] : m_followerProgress) {
    // An unanswered message may have been lost.
    progress.m_probeInFlight = false;
    // If the messages in flight were lost and the log no longer holds their
    // entries, they cannot be sent again.
    if (progress.m_state == ProgressState::kReplicate &&
        progress.m_nextIndex <= m_log.BaseIndex()) {
      StartSnapshotTransfer(id, progress);
    } else if (progress.m_state == ProgressState::kSnapshot &&
               IsOverdue(progress)) {
      SendSnapshotChunk(id, progress);
    }
    if (progress.m_state != ProgressState::kProbe ||
        progress.m_nextIndex > m_log.LastIndex()) {
      SendAppend(id, progress, true);
    }
    SendPendingEntries(id, progress);
  }
  ContinueLeadershipTransfer();
}

uint64_t
RaftCore::StartRound()
{
  RATTANLOFT_ASSERT(m_role == Role::kLeader);
  ++m_lastRound;
  for (auto& [id, progress] : m_followerProgress) {
    SendAppend(id, progress, true);
  }
  return m_lastRound;
}

uint64_t
RaftCore::ConfirmedRound() const
{
  std::vector<uint64_t> answeredRounds;
  for (const uint64_t voterId : VoterIds()) {
    const auto found = m_followerProgress.find(voterId);
    answeredRounds.push_back(found == m_followerProgress.end()
                               ? m_lastRound
                               : found->second.m_answeredRound);
  }
  return QuorumValue(answeredRounds);
}

uint64_t
RaftCore::QuorumMatchIndex() const
{
  std::vector<uint64_t> matchIndexes;
  for (const uint64_t voterId : VoterIds()) {
    const auto found = m_followerProgress.find(voterId);
    // The leader itself is not in the map. Its entries count only once synced.
    matchIndexes.push_back(found == m_followerProgress.end()
                             ? m_persistedIndex
                             : found->second.m_matchIndex);
  }
  return QuorumValue(matchIndexes);
}

void
RaftCore::UpdateCommitIndex()
{
  const uint64_t index = QuorumMatchIndex();
  // An entry of an earlier term may still be replaced by a later leader
  // although a quorum holds it, so it is never committed on its own.
  if (index <= m_commitIndex || m_log.TermAt(index) != CurrentTerm()) {
    return;
  }
  AdvanceCommitIndex(index);
  if (m_configIndex <= m_commitIndex && !SelfIsVoter()) {
    LogInfo("raft", "replica {:x} is no longer a voter", m_options.m_replicaId);
    StartRound();
    BecomeFollower(CurrentTerm(), 0);
  }
}

void
RaftCore::AppendEntry(wire::EntryKind aKind, std::string aPayload)
{
  wire::LogEntry entry;
  entry.set_index(m_log.LastIndex() + 1);
  entry.set_term(CurrentTerm());
  entry.set_kind(aKind);
  entry.set_payload(std::move(aPayload));
  m_log.Append(std::move(entry));
}

uint64_t
RaftCore::AppendCommands(std::vector<std::string> aCommands)
{
  RATTANLOFT_ASSERT(m_role == Role::kLeader);
  const uint64_t first = m_log.LastIndex() + 1;
  for (std::string& command : aCommands) {
    AppendEntry(wire::ENTRY_KIND_COMMAND, std::move(command));
  }
  return first;
}

void
RaftCore::BroadcastAppends()
{
  for (auto& [id, progress] : m_followerProgress) {
    SendPendingEntries(id, progress);
  }
}

bool
RaftCore::CanSendAppend(const FollowerProgress& aProgress) const
{
  if (aProgress.m_nextIndex > m_log.LastIndex()) {
    return false;
  }
  switch (aProgress.m_state) {
    case ProgressState::kProbe:
      return !aProgress.m_probeInFlight;
    case ProgressState::kReplicate:
      return aProgress.m_inflightLastIndexes.size() < kMaxInflightAppends;
    case ProgressState::kSnapshot:
      return false;
  }
  return false;
}

void
RaftCore::SendPendingEntries(uint64_t aFollowerId, FollowerProgress& aProgress)
{
  while (CanSendAppend(aProgress)) {
    if (aProgress.m_nextIndex <= m_log.BaseIndex() ||
        IsSnapshotSmaller(aProgress)) {
      StartSnapshotTransfer(aFollowerId, aProgress);
      return;
    }
    SendAppend(aFollowerId, aProgress, false);
  }
}

void
RaftCore::SendAppend(uint64_t aFollowerId,
                     FollowerProgress& aProgress,
                     bool aWithoutEntries)
{
  Message message = MakeMessage(wire::RAFT_MESSAGE_APPEND, aFollowerId);
  message.set_round(m_lastRound);
  message.set_commit(m_commitIndex);
  // If the term of the preceding entry is unknown, log index 0 is left in
  // place. It matches any log, so the message still serves as a heartbeat.
  const auto term = m_log.TermAt(aProgress.m_nextIndex - 1);
  if (aProgress.m_state != ProgressState::kSnapshot && term) {
    message.set_log_index(aProgress.m_nextIndex - 1);
    message.set_log_term(*term);
  }
  const bool isProbe = aProgress.m_state == ProgressState::kProbe;
  size_t entryBytes = 0;
  uint64_t nextIndex = aProgress.m_nextIndex;
  while (!aWithoutEntries && nextIndex <= m_log.LastIndex()) {
    const wire::LogEntry& entry = m_log.EntryAt(nextIndex);
    entryBytes += entry.ByteSizeLong();
    if (isProbe ? entryBytes > kMaxProbePayloadBytes
                : entryBytes > kMaxMessagePayloadBytes &&
                    message.entries_size() > 0) {
      break;
    }
    *message.add_entries() = entry;
    ++nextIndex;
  }
  if (!aWithoutEntries && aProgress.m_state == ProgressState::kReplicate) {
    if (aProgress.m_inflightLastIndexes.empty()) {
      aProgress.m_lastProgressTime = m_now;
      aProgress.m_bulkInFlight = false;
    }
    aProgress.m_bulkInFlight |= entryBytes > kMaxUrgentMessageBytes;
    aProgress.m_inflightLastIndexes.push_back(nextIndex - 1);
    aProgress.m_nextIndex = nextIndex;
  }
  aProgress.m_probeInFlight |= !aWithoutEntries;
  m_actions.m_messagesBeforeSync.push_back(std::move(message));
}

void
RaftCore::StartSnapshotTransfer(uint64_t aFollowerId,
                                FollowerProgress& aProgress)
{
  RATTANLOFT_ASSERT(m_snapshot != nullptr);
  LogInfo("raft",
          "sending snapshot {} to replica {:x}",
          m_snapshot->m_meta.index(),
          aFollowerId);
  aProgress.m_state = ProgressState::kSnapshot;
  aProgress.m_inflightLastIndexes.clear();
  aProgress.m_snapshot = m_snapshot;
  aProgress.m_snapshotOffsetBytes = 0;
  SendSnapshotChunk(aFollowerId, aProgress);
}

void
RaftCore::SendSnapshotChunk(uint64_t aFollowerId, FollowerProgress& aProgress)
{
  aProgress.m_lastProgressTime = m_now;
  if (aProgress.m_snapshotOffsetBytes == 0) {
    aProgress.m_snapshot = m_snapshot;
  }
  const storage::Snapshot& snapshot = *aProgress.m_snapshot;
  Message message = MakeMessage(wire::RAFT_MESSAGE_SNAPSHOT_CHUNK, aFollowerId);
  *message.mutable_snapshot() = snapshot.m_meta;
  const uint64_t offset = aProgress.m_snapshotOffsetBytes;
  message.set_chunk_offset(offset);
  message.set_chunk(snapshot.m_data.substr(offset, kMaxChunkBytes));
  message.set_chunk_last(offset + message.chunk().size() ==
                         snapshot.m_data.size());
  aProgress.m_bulkInFlight = message.chunk().size() > kMaxUrgentMessageBytes;
  m_actions.m_messagesBeforeSync.push_back(std::move(message));
}

bool
RaftCore::IsOverdue(const FollowerProgress& aProgress) const
{
  // What is small arrives soon or is lost.
  const Duration delay = aProgress.m_bulkInFlight
                           ? m_options.m_resendDelay
                           : m_options.m_heartbeatInterval;
  return m_now - aProgress.m_lastProgressTime >= delay;
}

bool
RaftCore::IsSnapshotSmaller(const FollowerProgress& aProgress) const
{
  if (aProgress.m_state != ProgressState::kReplicate || !m_snapshot ||
      !aProgress.m_inflightLastIndexes.empty()) {
    return false;
  }
  size_t entryBytes = 0;
  for (uint64_t index = aProgress.m_nextIndex;
       index <= m_snapshot->m_meta.index() &&
       entryBytes <= m_snapshot->m_data.size();
       ++index) {
    entryBytes += m_log.EntryAt(index).payload().size();
  }
  return entryBytes > m_snapshot->m_data.size();
}

void
RaftCore::OnMessagesLost(uint64_t aReplicaId, TimePoint aNow)
{
  m_now = aNow;
  const auto found = m_followerProgress.find(aReplicaId);
  if (m_role != Role::kLeader || found == m_followerProgress.end()) {
    return;
  }
  FollowerProgress& progress = found->second;
  if (progress.m_state == ProgressState::kReplicate) {
    progress.m_state = ProgressState::kProbe;
    progress.m_inflightLastIndexes.clear();
    progress.m_nextIndex = progress.m_matchIndex + 1;
    // The next heartbeat sends the probe.
    progress.m_probeInFlight = true;
  } else if (progress.m_state == ProgressState::kSnapshot) {
    progress.m_lastProgressTime = m_now - m_options.m_resendDelay;
  }
}

FollowerProgress*
RaftCore::RecordReply(const Message& aMessage)
{
  if (aMessage.term() > CurrentTerm()) {
    BecomeFollower(aMessage.term(), 0);
  }
  if (m_role != Role::kLeader || aMessage.term() != CurrentTerm()) {
    return nullptr;
  }
  const auto found = m_followerProgress.find(aMessage.from());
  if (found == m_followerProgress.end()) {
    return nullptr;
  }
  FollowerProgress& progress = found->second;
  progress.m_lastReplyTime = m_now;
  progress.m_answeredRound =
    std::max(progress.m_answeredRound, aMessage.round());
  return &progress;
}

void
RaftCore::OnAppendReply(const Message& aMessage)
{
  FollowerProgress* const progress = RecordReply(aMessage);
  if (progress == nullptr) {
    return;
  }
  if (aMessage.rejected()) {
    OnAppendRejected(aMessage, *progress);
  } else {
    OnMatchIndex(aMessage.from(), *progress, aMessage.match_index());
  }
}

void
RaftCore::OnAppendRejected(const Message& aMessage, FollowerProgress& aProgress)
{
  const uint64_t rejectedIndex = aMessage.log_index();
  const bool stale = aProgress.m_state == ProgressState::kReplicate
                       ? rejectedIndex <= aProgress.m_matchIndex
                       : rejectedIndex != aProgress.m_nextIndex - 1;
  if (aProgress.m_state == ProgressState::kSnapshot || stale) {
    return;
  }
  // A heartbeat that has overtaken the append messages before it is rejected.
  if (!aProgress.m_inflightLastIndexes.empty() && !IsOverdue(aProgress)) {
    return;
  }
  aProgress.m_state = ProgressState::kProbe;
  aProgress.m_inflightLastIndexes.clear();
  aProgress.m_probeInFlight = false;
  aProgress.m_nextIndex =
    std::max(std::min(rejectedIndex, aMessage.match_index() + 1),
             aProgress.m_matchIndex + 1);
  SendPendingEntries(aMessage.from(), aProgress);
}

void
RaftCore::OnMatchIndex(uint64_t aFollowerId,
                       FollowerProgress& aProgress,
                       uint64_t aMatchIndex)
{
  // Replies may arrive out of order.
  if (aMatchIndex < aProgress.m_matchIndex) {
    return;
  }
  RATTANLOFT_ASSERT(aMatchIndex <= m_log.LastIndex());
  if (aMatchIndex > aProgress.m_matchIndex) {
    aProgress.m_lastProgressTime = m_now;
  }
  aProgress.m_matchIndex = aMatchIndex;
  while (!aProgress.m_inflightLastIndexes.empty() &&
         aProgress.m_inflightLastIndexes.front() <= aMatchIndex) {
    aProgress.m_inflightLastIndexes.pop_front();
  }
  // A reply to a heartbeat does not end the transfer of a snapshot. Once it has
  // arrived, the log may already start after it; SendPendingEntries() then
  // sends a newer snapshot.
  if (aProgress.m_state == ProgressState::kSnapshot &&
      aMatchIndex < aProgress.m_snapshot->m_meta.index()) {
    return;
  }
  if (aProgress.m_state != ProgressState::kReplicate) {
    aProgress.m_state = ProgressState::kReplicate;
    aProgress.m_nextIndex = aMatchIndex + 1;
    aProgress.m_snapshot.reset();
  }
  aProgress.m_nextIndex = std::max(aProgress.m_nextIndex, aMatchIndex + 1);
  UpdateCommitIndex();
  if (m_role == Role::kLeader) {
    SendPendingEntries(aFollowerId, aProgress);
    ContinueLeadershipTransfer();
  }
}

void
RaftCore::OnSnapshotReply(const Message& aMessage)
{
  FollowerProgress* const progress = RecordReply(aMessage);
  if (progress == nullptr) {
    return;
  }
  if (aMessage.chunk_last()) {
    OnMatchIndex(aMessage.from(), *progress, aMessage.match_index());
    return;
  }
  if (progress->m_state != ProgressState::kSnapshot ||
      aMessage.snapshot().index() != progress->m_snapshot->m_meta.index()) {
    return;
  }
  // A smaller offset may come from a delayed reply. The next heartbeat then
  // sends the chunk at that offset, and the follower replies with its actual
  // offset.
  const bool offsetAdvanced =
    aMessage.chunk_offset() > progress->m_snapshotOffsetBytes;
  progress->m_snapshotOffsetBytes = std::min<uint64_t>(
    aMessage.chunk_offset(), progress->m_snapshot->m_data.size());
  if (offsetAdvanced) {
    SendSnapshotChunk(aMessage.from(), *progress);
  }
}

void
RaftCore::TransferLeadership(TimePoint aNow)
{
  m_now = aNow;
  if (m_role != Role::kLeader) {
    return;
  }
  uint64_t bestId = 0;
  for (const auto& [id, progress] : m_followerProgress) {
    const bool repliedRecently =
      m_now - progress.m_lastReplyTime < m_options.m_minElectionTimeout;
    if (IsVoter(id) && repliedRecently &&
        (bestId == 0 ||
         progress.m_matchIndex > m_followerProgress[bestId].m_matchIndex)) {
      bestId = id;
    }
  }
  m_transferTargetId = bestId;
  m_transferDeadline = m_now + m_options.m_maxElectionTimeout;
  ContinueLeadershipTransfer();
}

void
RaftCore::ContinueLeadershipTransfer()
{
  if (m_transferTargetId == 0) {
    return;
  }
  const auto found = m_followerProgress.find(m_transferTargetId);
  if (found != m_followerProgress.end() &&
      found->second.m_matchIndex == m_log.LastIndex()) {
    m_actions.m_messagesAfterSync.push_back(
      MakeMessage(wire::RAFT_MESSAGE_TIMEOUT_NOW, m_transferTargetId));
  }
}

std::optional<RaftError>
RaftCore::CheckConfigChange(const wire::GroupConfig& aConfig) const
{
  if (m_role != Role::kLeader) {
    return RaftError{ RaftErrorCode::kNotLeader,
                      "this replica is not the leader" };
  }
  // Until an entry of its own term is committed, a leader may not know of a
  // membership change that an earlier leader committed.
  if (m_commitIndex < m_termStartIndex || m_configIndex > m_commitIndex ||
      m_transferTargetId != 0) {
    return RaftError{ RaftErrorCode::kBusy, "another change is in progress" };
  }
  const auto flags = LearnerFlagsById(aConfig);
  if (flags.size() != static_cast<size_t>(aConfig.members_size()) ||
      flags.count(0) != 0) {
    return RaftError{ RaftErrorCode::kInvalidArgument,
                      "replica ids must be unique" };
  }
  if (CountMemberChanges(m_config, aConfig) > 1) {
    return RaftError{ RaftErrorCode::kInvalidArgument,
                      "only one member may change at a time" };
  }
  return CheckVoters(aConfig);
}

std::optional<RaftError>
RaftCore::CheckVoters(const wire::GroupConfig& aConfig) const
{
  const auto oldFlags = LearnerFlagsById(m_config);
  size_t voterCount = 0;
  for (const auto& [id, learner] : LearnerFlagsById(aConfig)) {
    voterCount += learner ? 0 : 1;
    if (learner || IsVoter(id)) {
      continue;
    }
    const auto found = m_followerProgress.find(id);
    if (oldFlags.count(id) == 0 || found == m_followerProgress.end()) {
      return RaftError{ RaftErrorCode::kInvalidArgument,
                        "a new voter must first be a learner" };
    }
    if (found->second.m_matchIndex + kMaxPromotionLagEntries <
        m_log.LastIndex()) {
      return RaftError{ RaftErrorCode::kInvalidArgument,
                        "the learner is too far behind" };
    }
  }
  if (voterCount == 0) {
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
  UpdateFollowerProgress();
  return m_configIndex;
}

} // namespace rattanloft::consensus
