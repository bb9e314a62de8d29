#include "RaftCore.h"

#include <algorithm>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

namespace {

// Bounds the memory for a snapshot that is being received. The state is far
// smaller by design; a larger snapshot is never installed.
constexpr size_t kMaxSnapshotBytes = 256 * 1024 * 1024;

} // namespace

void
RaftCore::AcceptLeader(const Message& aMessage)
{
  // Two leaders in one term would mean that a replica voted twice in it.
  RATTANLOFT_ASSERT(aMessage.term() > CurrentTerm() || m_role != Role::kLeader);
  RATTANLOFT_ASSERT(aMessage.term() > CurrentTerm() || m_leaderId == 0 ||
                    m_leaderId == aMessage.from());
  if (aMessage.term() > CurrentTerm() || m_role != Role::kFollower) {
    BecomeFollower(aMessage.term(), aMessage.from());
  }
  m_leaderId = aMessage.from();
  m_lastLeaderContact = m_now;
  ResetElectionTimer();
}

void
RaftCore::RejectAppend(const Message& aMessage, uint64_t aMatchIndexHint)
{
  Message reply = MakeMessage(wire::RAFT_MESSAGE_APPEND_REPLY, aMessage.from());
  reply.set_rejected(true);
  reply.set_log_index(aMessage.log_index());
  reply.set_match_index(aMatchIndexHint);
  // A heartbeat round of an earlier term must not confirm the current leader,
  // which may be the same replica counting its rounds from 0 again.
  reply.set_round(aMessage.term() == CurrentTerm() ? aMessage.round() : 0);
  m_actions.m_messagesAfterSync.push_back(std::move(reply));
}

void
RaftCore::OnAppendRequest(const Message& aMessage)
{
  if (aMessage.term() < CurrentTerm()) {
    RejectAppend(aMessage, 0);
    return;
  }
  AcceptLeader(aMessage);
  uint64_t entryIndex = aMessage.log_index();
  for (const wire::LogEntry& entry : aMessage.entries()) {
    if (entry.index() != ++entryIndex) {
      LogWarning("raft",
                 "ignoring an append message with a gap before entry {}",
                 entry.index());
      return;
    }
  }
  if (aMessage.log_index() > m_log.LastIndex() &&
      entryIndex > aMessage.log_index()) {
    StashAppend(aMessage);
  }
  HandleAppend(aMessage);
  HandleStashedAppends();
}

void
RaftCore::StashAppend(const Message& aMessage)
{
  if (m_stashTerm != aMessage.term()) {
    m_stashedAppends.clear();
    m_stashTerm = aMessage.term();
  }
  // The leader has no more in flight.
  if (m_stashedAppends.size() < kMaxInflightAppends) {
    m_stashedAppends[aMessage.log_index()] = aMessage;
  }
}

void
RaftCore::HandleStashedAppends()
{
  // Drops what is covered by now.
  m_stashedAppends.erase(m_stashedAppends.begin(),
                         m_stashedAppends.lower_bound(m_log.LastIndex()));
  while (m_stashTerm == CurrentTerm()) {
    const auto next = m_stashedAppends.find(m_log.LastIndex());
    if (next == m_stashedAppends.end()) {
      return;
    }
    const Message message = std::move(next->second);
    m_stashedAppends.erase(next);
    HandleAppend(message);
  }
}

void
RaftCore::HandleAppend(const Message& aMessage)
{
  // The leader's log holds every entry committed here, so only the entries
  // after the commit index have to be compared.
  if (aMessage.log_index() > m_log.LastIndex()) {
    RejectAppend(aMessage, m_log.LastIndex());
    return;
  }
  if (aMessage.log_index() > m_commitIndex &&
      m_log.TermAt(aMessage.log_index()) != aMessage.log_term()) {
    const uint64_t firstIndexOfTerm =
      m_log.FirstIndexOfTerm(aMessage.log_index());
    RejectAppend(aMessage, std::max(firstIndexOfTerm - 1, m_commitIndex));
    return;
  }
  AppendReceivedEntries(aMessage, m_commitIndex);
  const uint64_t lastIndex =
    aMessage.log_index() + static_cast<uint64_t>(aMessage.entries_size());
  const uint64_t matchIndex = std::max(lastIndex, m_commitIndex);
  AdvanceCommitIndex(std::min(aMessage.commit(), matchIndex));
  Message reply = MakeMessage(wire::RAFT_MESSAGE_APPEND_REPLY, aMessage.from());
  reply.set_match_index(matchIndex);
  reply.set_round(aMessage.round());
  m_actions.m_messagesAfterSync.push_back(std::move(reply));
}

void
RaftCore::AppendReceivedEntries(const Message& aMessage, uint64_t aAfterIndex)
{
  bool configChanged = false;
  for (const wire::LogEntry& entry : aMessage.entries()) {
    if (entry.index() <= aAfterIndex ||
        m_log.TermAt(entry.index()) == entry.term()) {
      continue;
    }
    if (entry.index() <= m_log.LastIndex()) {
      m_log.TruncateFrom(entry.index());
      if (entry.index() <= m_persistedIndex) {
        m_actions.m_truncateFromIndex = entry.index();
        m_persistedIndex = entry.index() - 1;
      }
      configChanged |= entry.index() <= m_configIndex;
    }
    configChanged |= entry.kind() == wire::ENTRY_KIND_CONFIG;
    m_log.Append(entry);
  }
  if (configChanged) {
    UpdateActiveConfig();
  }
}

void
RaftCore::AdvanceCommitIndex(uint64_t aIndex)
{
  m_commitIndex = std::max(m_commitIndex, aIndex);
  RATTANLOFT_ASSERT(m_commitIndex <= m_log.LastIndex());
}

void
RaftCore::ReplyToSnapshotChunk(const Message& aMessage,
                               uint64_t aNextOffset,
                               uint64_t aMatchIndex)
{
  Message reply =
    MakeMessage(wire::RAFT_MESSAGE_SNAPSHOT_REPLY, aMessage.from());
  reply.mutable_snapshot()->set_index(aMessage.snapshot().index());
  reply.set_chunk_offset(aNextOffset);
  reply.set_match_index(aMatchIndex);
  reply.set_chunk_last(aMatchIndex != 0);
  m_actions.m_messagesAfterSync.push_back(std::move(reply));
}

void
RaftCore::OnSnapshotChunk(const Message& aMessage)
{
  if (aMessage.term() < CurrentTerm()) {
    ReplyToSnapshotChunk(aMessage, 0, 0);
    return;
  }
  AcceptLeader(aMessage);
  const wire::SnapshotMeta& meta = aMessage.snapshot();
  if (m_log.TermAt(meta.index()) == meta.term()) {
    AdvanceCommitIndex(meta.index());
  }
  if (meta.index() <= m_commitIndex) {
    ReplyToSnapshotChunk(aMessage, 0, m_commitIndex);
    return;
  }
  // Two leaders may serialize the same state differently, so chunks sent in
  // different terms are never combined.
  if (meta.index() != m_incomingMeta.index() ||
      aMessage.term() != m_incomingTerm) {
    m_incomingData.clear();
    m_incomingMeta = meta;
    m_incomingTerm = aMessage.term();
  }
  if (aMessage.chunk_offset() != m_incomingData.size()) {
    ReplyToSnapshotChunk(aMessage, m_incomingData.size(), 0);
    return;
  }
  if (m_incomingData.size() + aMessage.chunk().size() > kMaxSnapshotBytes) {
    LogWarning("raft", "ignoring snapshot {}: it is too large", meta.index());
    return;
  }
  m_incomingData += aMessage.chunk();
  if (aMessage.chunk_last()) {
    FinishIncomingSnapshot(aMessage);
    return;
  }
  ReplyToSnapshotChunk(aMessage, m_incomingData.size(), 0);
}

void
RaftCore::FinishIncomingSnapshot(const Message& aMessage)
{
  const wire::SnapshotMeta& meta = aMessage.snapshot();
  m_snapshot = std::make_shared<const storage::Snapshot>(
    storage::Snapshot{ meta, std::exchange(m_incomingData, {}) });
  m_incomingMeta.Clear();
  m_log.Reset(meta.index(), meta.term());
  m_commitIndex = meta.index();
  m_persistedIndex = meta.index();
  UpdateActiveConfig();
  m_actions.m_snapshotToInstall = m_snapshot;
  m_actions.m_truncateFromIndex = 0;
  ReplyToSnapshotChunk(aMessage, 0, m_commitIndex);
}

} // namespace rattanloft::consensus
