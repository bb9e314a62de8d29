#include "RaftCore.h"

#include <algorithm>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

namespace {

// Far above any state within the bounds of the design; a larger snapshot is
// never completed.
constexpr size_t kMaxSnapshotBytes = 256 * 1024 * 1024;

} // namespace

void
RaftCore::FollowLeader(const Message& aMessage)
{
  // Two leaders in one term would mean that a vote was given twice.
  RATTANLOFT_ASSERT(aMessage.term() > Term() || m_role != Role::kLeader);
  RATTANLOFT_ASSERT(aMessage.term() > Term() || m_leaderId == 0 ||
                    m_leaderId == aMessage.from());
  if (aMessage.term() > Term() || m_role != Role::kFollower) {
    BecomeFollower(aMessage.term(), aMessage.from());
  }
  m_leaderId = aMessage.from();
  m_lastLeaderContact = m_now;
  ResetElectionTimer();
}

void
RaftCore::RejectAppend(const Message& aMessage, uint64_t aHint)
{
  Message reply = MakeMessage(wire::RAFT_MESSAGE_APPEND_REPLY, aMessage.from());
  reply.set_rejected(true);
  reply.set_log_index(aMessage.log_index());
  reply.set_match_index(aHint);
  // The rounds of an earlier term say nothing about the current leader, which
  // may be the same replica with its numbers started anew.
  reply.set_round(aMessage.term() == Term() ? aMessage.round() : 0);
  m_actions.m_messages.push_back(std::move(reply));
}

void
RaftCore::OnAppend(const Message& aMessage)
{
  if (aMessage.term() < Term()) {
    RejectAppend(aMessage, 0);
    return;
  }
  FollowLeader(aMessage);
  uint64_t expected = aMessage.log_index();
  for (const wire::LogEntry& entry : aMessage.entries()) {
    if (entry.index() != ++expected) {
      LogWarning("raft", "append with a gap at {} ignored", entry.index());
      return;
    }
  }
  // Everything committed here is in the leader's log, so only what follows has
  // to be compared.
  if (aMessage.log_index() > m_log.LastIndex()) {
    RejectAppend(aMessage, m_log.LastIndex());
    return;
  }
  if (aMessage.log_index() > m_commit &&
      m_log.Term(aMessage.log_index()) != aMessage.log_term()) {
    const uint64_t first = m_log.FirstOfTerm(aMessage.log_index());
    RejectAppend(aMessage, std::max(first - 1, m_commit));
    return;
  }
  StoreEntries(aMessage, m_commit);
  const uint64_t last = std::max(expected, m_commit);
  AdvanceCommit(std::min(aMessage.commit(), last));
  Message reply = MakeMessage(wire::RAFT_MESSAGE_APPEND_REPLY, aMessage.from());
  reply.set_match_index(last);
  reply.set_round(aMessage.round());
  m_actions.m_messages.push_back(std::move(reply));
}

void
RaftCore::StoreEntries(const Message& aMessage, uint64_t aAfter)
{
  bool configChanged = false;
  for (const wire::LogEntry& entry : aMessage.entries()) {
    if (entry.index() <= aAfter || m_log.Term(entry.index()) == entry.term()) {
      continue;
    }
    if (entry.index() <= m_log.LastIndex()) {
      m_log.TruncateFrom(entry.index());
      if (entry.index() <= m_persisted) {
        m_actions.m_truncateFrom = entry.index();
        m_persisted = entry.index() - 1;
      }
      configChanged |= entry.index() <= m_configIndex;
    }
    configChanged |= entry.kind() == wire::ENTRY_KIND_CONFIG;
    m_log.Append(entry);
  }
  if (configChanged) {
    UpdateConfig();
  }
}

void
RaftCore::AdvanceCommit(uint64_t aIndex)
{
  m_commit = std::max(m_commit, aIndex);
  RATTANLOFT_ASSERT(m_commit <= m_log.LastIndex());
}

void
RaftCore::ReplyToSnapshot(const Message& aMessage,
                          uint64_t aOffset,
                          uint64_t aMatch)
{
  Message reply =
    MakeMessage(wire::RAFT_MESSAGE_SNAPSHOT_REPLY, aMessage.from());
  reply.mutable_snapshot()->set_index(aMessage.snapshot().index());
  reply.set_chunk_offset(aOffset);
  reply.set_match_index(aMatch);
  reply.set_chunk_last(aMatch != 0);
  m_actions.m_messages.push_back(std::move(reply));
}

void
RaftCore::OnSnapshotChunk(const Message& aMessage)
{
  if (aMessage.term() < Term()) {
    ReplyToSnapshot(aMessage, 0, 0);
    return;
  }
  FollowLeader(aMessage);
  const wire::SnapshotMeta& meta = aMessage.snapshot();
  if (m_log.Term(meta.index()) == meta.term()) {
    AdvanceCommit(meta.index());
  }
  if (meta.index() <= m_commit) {
    ReplyToSnapshot(aMessage, 0, m_commit);
    return;
  }
  // Two leaders may serialize the same state differently, so chunks of
  // different terms are never mixed.
  if (meta.index() != m_incomingMeta.index() ||
      aMessage.term() != m_incomingTerm) {
    m_incoming.clear();
    m_incomingMeta = meta;
    m_incomingTerm = aMessage.term();
  }
  if (aMessage.chunk_offset() != m_incoming.size()) {
    ReplyToSnapshot(aMessage, m_incoming.size(), 0);
    return;
  }
  if (m_incoming.size() + aMessage.chunk().size() > kMaxSnapshotBytes) {
    LogWarning("raft", "snapshot {} is too large", meta.index());
    return;
  }
  m_incoming += aMessage.chunk();
  if (aMessage.chunk_last()) {
    FinishSnapshot(aMessage);
    return;
  }
  ReplyToSnapshot(aMessage, m_incoming.size(), 0);
}

void
RaftCore::FinishSnapshot(const Message& aMessage)
{
  const wire::SnapshotMeta& meta = aMessage.snapshot();
  m_snapshot = std::make_shared<const storage::Snapshot>(
    storage::Snapshot{ meta, std::exchange(m_incoming, {}) });
  m_incomingMeta.Clear();
  m_log.Reset(meta.index(), meta.term());
  m_commit = meta.index();
  m_persisted = meta.index();
  UpdateConfig();
  m_actions.m_install = m_snapshot;
  m_actions.m_truncateFrom = 0;
  ReplyToSnapshot(aMessage, 0, m_commit);
}

} // namespace rattanloft::consensus
