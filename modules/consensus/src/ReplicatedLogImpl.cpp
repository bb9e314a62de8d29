#include "ReplicatedLogImpl.h"

#include <algorithm>

#include <fmt/format.h>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

ReplicatedLogImpl::ReplicatedLogImpl(const ReplicatedLogOptions& aOptions,
                                     CoreState aState,
                                     storage::LogStore& aLogStore,
                                     storage::SnapshotStore& aSnapshotStore,
                                     StateMachine& aStateMachine,
                                     Transport& aTransport,
                                     TimePoint aNow)
  : m_options(aOptions)
  , m_logStore(aLogStore)
  , m_snapshotStore(aSnapshotStore)
  , m_stateMachine(aStateMachine)
  , m_transport(aTransport)
  , m_core({ aOptions.m_replicaId,
             aOptions.m_seed,
             aOptions.m_heartbeat,
             aOptions.m_electionMin,
             aOptions.m_electionMax,
             aOptions.m_startElectionMin,
             aOptions.m_startElectionMax,
             aOptions.m_startPhase,
             aOptions.m_retainedEntries,
             aOptions.m_snapshotBytes },
           std::move(aState),
           aNow)
  , m_applied(m_core.Commit())
{
  PublishMembers();
}

void
ReplicatedLogImpl::Tick(TimePoint aNow)
{
  m_core.Tick(aNow);
  Flush(aNow);
}

void
ReplicatedLogImpl::Flush(TimePoint)
{
  if (m_core.GetRole() == Role::kLeader) {
    AppendQueued();
    StartBarriers();
    m_core.Broadcast();
  }
  Pump();
}

void
ReplicatedLogImpl::Receive(const wire::RaftMessage& aMessage, TimePoint aNow)
{
  m_core.Receive(aMessage, aNow);
  Pump();
}

std::optional<RaftError>
ReplicatedLogImpl::CheckAccepting() const
{
  if (m_core.HasFailed()) {
    return RaftError{ RaftErrorCode::kStorageFailure, m_failure };
  }
  if (m_core.GetRole() != Role::kLeader) {
    return RaftError{ RaftErrorCode::kNotLeader, "not the leader" };
  }
  return std::nullopt;
}

void
ReplicatedLogImpl::Propose(std::string aCommand,
                           TimePoint,
                           ProposeCallback aCallback)
{
  std::optional<RaftError> error = CheckAccepting();
  if (!error && aCommand.size() > kMaxCommandBytes) {
    error =
      RaftError{ RaftErrorCode::kInvalidArgument, "the command is too large" };
  }
  const bool full =
    m_queue.size() + m_pending.size() >= m_options.m_maxPending ||
    m_pendingBytes + aCommand.size() > m_options.m_maxPendingBytes;
  if (!error && full) {
    error = RaftError{ RaftErrorCode::kBusy, "too many proposals wait" };
  }
  if (!error && m_core.Transferring()) {
    error =
      RaftError{ RaftErrorCode::kBusy, "leadership is being transferred" };
  }
  if (error) {
    aCallback(tl::unexpected(std::move(*error)));
    return;
  }
  m_pendingBytes += aCommand.size();
  m_queue.push_back({ std::move(aCommand), std::move(aCallback) });
}

void
ReplicatedLogImpl::ReadBarrier(TimePoint, BarrierCallback aCallback)
{
  std::optional<RaftError> error = CheckAccepting();
  const size_t waiting = m_queuedBarriers.size() + m_barriers.size();
  if (!error && waiting >= m_options.m_maxPending) {
    error = RaftError{ RaftErrorCode::kBusy, "too many reads wait" };
  }
  if (error) {
    aCallback(tl::unexpected(std::move(*error)));
    return;
  }
  m_queuedBarriers.push_back(std::move(aCallback));
}

void
ReplicatedLogImpl::ProposeConfig(wire::GroupConfig aConfig,
                                 TimePoint,
                                 ProposeCallback aCallback)
{
  if (auto error = CheckAccepting()) {
    aCallback(tl::unexpected(std::move(*error)));
    return;
  }
  AppendQueued();
  const auto index = m_core.AppendConfig(aConfig);
  if (!index) {
    aCallback(tl::unexpected(index.error()));
    return;
  }
  m_pending.push_back({ *index, m_core.Term(), 0, std::move(aCallback) });
  m_core.Broadcast();
  Pump();
}

void
ReplicatedLogImpl::TransferLeadership(TimePoint aNow)
{
  if (m_core.GetRole() == Role::kLeader) {
    AppendQueued();
    m_core.Broadcast();
  }
  m_core.TransferLeadership(aNow);
  Pump();
}

RaftStatus
ReplicatedLogImpl::Status() const
{
  RaftStatus status;
  status.m_role = m_core.GetRole();
  status.m_replicaId = m_options.m_replicaId;
  status.m_term = m_core.Term();
  status.m_leaderId = m_core.LeaderId();
  status.m_lastIndex = m_core.Entries().LastIndex();
  status.m_commitIndex = m_core.Commit();
  status.m_appliedIndex = m_applied;
  status.m_firstIndex = m_logStore.FirstIndex();
  status.m_config = m_core.Config();
  return status;
}

void
ReplicatedLogImpl::AppendQueued()
{
  if (m_queue.empty() || m_core.Transferring()) {
    return;
  }
  std::vector<std::string> commands;
  uint64_t index = m_core.Entries().LastIndex();
  for (Queued& queued : m_queue) {
    m_pending.push_back({ ++index,
                          m_core.Term(),
                          queued.m_command.size(),
                          std::move(queued.m_callback) });
    commands.push_back(std::move(queued.m_command));
  }
  m_core.Append(std::move(commands));
  m_queue.clear();
}

void
ReplicatedLogImpl::StartBarriers()
{
  if (m_queuedBarriers.empty()) {
    return;
  }
  const uint64_t round = m_core.StartRound();
  // Until an entry of this term is committed, the commit index may lag behind
  // what an earlier leader has answered.
  const uint64_t index = std::max(m_core.Commit(), m_core.TermStart());
  for (BarrierCallback& callback : m_queuedBarriers) {
    m_barriers.push_back({ round, index, std::move(callback) });
  }
  m_queuedBarriers.clear();
}

void
ReplicatedLogImpl::Pump()
{
  uint64_t before = 0;
  do {
    before = m_core.Commit();
    Perform(m_core.TakeActions());
    ApplyCommitted();
  } while (m_core.Commit() != before);
  CompleteBarriers();
  CheckLeadership();
  TakeSnapshot();
  PublishMembers();
  RunCallbacks();
}

void
ReplicatedLogImpl::Perform(CoreActions aActions)
{
  // An append of a new term must not leave before the term is durable.
  if (!aActions.m_hardState) {
    Send(aActions.m_early);
  }
  if (aActions.NeedsSync()) {
    if (auto stored = Store(aActions); !stored) {
      Stop(stored.error().m_message);
      return;
    }
  }
  if (aActions.m_install) {
    const storage::Snapshot& snapshot = *aActions.m_install;
    if (auto restored = m_stateMachine.RestoreSnapshot(snapshot.m_data);
        !restored) {
      Stop(restored.error());
      return;
    }
    m_applied = snapshot.m_meta.index();
  }
  m_core.Persisted();
  if (aActions.m_hardState) {
    Send(aActions.m_early);
  }
  Send(aActions.m_messages);
}

storage::StoreResult<void>
ReplicatedLogImpl::Install(const storage::Snapshot& aSnapshot)
{
  // The hard state first: a snapshot beside a store without a term is taken
  // for the loss of the log. The log last: without the snapshot it would lack
  // its beginning.
  auto result = m_logStore.Sync();
  if (result) {
    result = m_snapshotStore.Save(aSnapshot);
  }
  return result ? m_logStore.Reset(aSnapshot.m_meta.index() + 1) : result;
}

storage::StoreResult<void>
ReplicatedLogImpl::Store(const CoreActions& aActions)
{
  storage::StoreResult<void> result;
  if (aActions.m_hardState) {
    result = m_logStore.SetHardState(*aActions.m_hardState);
  }
  if (result && aActions.m_install) {
    result = Install(*aActions.m_install);
  }
  if (result && aActions.m_truncateFrom != 0) {
    result = m_logStore.TruncateSuffix(aActions.m_truncateFrom);
  }
  if (result && aActions.m_appendFirst != 0) {
    std::vector<wire::LogEntry> entries;
    for (uint64_t index = aActions.m_appendFirst;
         index <= aActions.m_appendLast;
         ++index) {
      entries.push_back(m_core.Entries().At(index));
    }
    result = m_logStore.Append(entries);
  }
  return result ? m_logStore.Sync() : result;
}

void
ReplicatedLogImpl::Send(const std::vector<wire::RaftMessage>& aMessages)
{
  for (const wire::RaftMessage& message : aMessages) {
    m_transport.Send(message);
  }
}

void
ReplicatedLogImpl::Stop(const std::string& aReason)
{
  if (m_failure.empty()) {
    rattanloft::LogError(
      "raft", "{:x} takes no further part: {}", m_options.m_replicaId, aReason);
  }
  m_failure = aReason;
  m_core.StorageFailed();
}

void
ReplicatedLogImpl::ApplyCommitted()
{
  if (m_core.HasFailed()) {
    return;
  }
  while (m_applied < m_core.Commit()) {
    const wire::LogEntry& entry = m_core.Entries().At(++m_applied);
    m_bytesSinceSnapshot += entry.payload().size();
    if (entry.kind() == wire::ENTRY_KIND_COMMAND) {
      m_stateMachine.Apply(m_applied, entry.payload());
    }
    Answer(m_applied, entry.term());
  }
}

void
ReplicatedLogImpl::Answer(uint64_t aIndex, uint64_t aTerm)
{
  while (!m_pending.empty() && m_pending.front().m_index <= aIndex) {
    Pending pending = std::move(m_pending.front());
    m_pending.pop_front();
    m_pendingBytes -= pending.m_bytes;
    tl::expected<uint64_t, RaftError> result = aIndex;
    if (pending.m_index != aIndex || pending.m_term != aTerm) {
      result = tl::unexpected(
        RaftError{ RaftErrorCode::kLeadershipLost, "leadership was lost" });
    }
    m_callbacks.push_back(
      [callback = std::move(pending.m_callback), result] { callback(result); });
  }
}

void
ReplicatedLogImpl::CompleteBarriers()
{
  if (m_barriers.empty() || m_core.GetRole() != Role::kLeader ||
      m_core.Term() != m_leadTerm) {
    return;
  }
  const uint64_t confirmed = m_core.ConfirmedRound();
  while (!m_barriers.empty() && m_barriers.front().m_round <= confirmed &&
         m_barriers.front().m_readIndex <= m_applied) {
    m_callbacks.push_back(
      [callback = std::move(m_barriers.front().m_callback)] { callback({}); });
    m_barriers.pop_front();
  }
}

void
ReplicatedLogImpl::CheckLeadership()
{
  const uint64_t leadTerm =
    m_core.GetRole() == Role::kLeader ? m_core.Term() : 0;
  if (m_leadTerm != 0 && m_leadTerm != leadTerm) {
    FailAll(m_core.HasFailed() ? RaftErrorCode::kStorageFailure
                               : RaftErrorCode::kNotLeader);
  }
  m_leadTerm = leadTerm;
}

void
ReplicatedLogImpl::FailAll(RaftErrorCode aQueuedCode)
{
  const RaftError lost{ RaftErrorCode::kLeadershipLost, "leadership was lost" };
  const RaftError queued{ aQueuedCode,
                          "leadership was lost before the append" };
  for (Pending& pending : m_pending) {
    m_callbacks.push_back([callback = std::move(pending.m_callback), lost] {
      callback(tl::unexpected(lost));
    });
  }
  for (Queued& proposal : m_queue) {
    m_callbacks.push_back([callback = std::move(proposal.m_callback), queued] {
      callback(tl::unexpected(queued));
    });
  }
  for (Barrier& barrier : m_barriers) {
    m_queuedBarriers.push_back(std::move(barrier.m_callback));
  }
  for (BarrierCallback& barrier : m_queuedBarriers) {
    m_callbacks.push_back([callback = std::move(barrier), queued] {
      callback(tl::unexpected(queued));
    });
  }
  m_pending.clear();
  m_queue.clear();
  m_pendingBytes = 0;
  m_barriers.clear();
  m_queuedBarriers.clear();
}

void
ReplicatedLogImpl::TakeSnapshot()
{
  const auto& last = m_core.GetSnapshot();
  const uint64_t lastIndex = last ? last->m_meta.index() : 0;
  const bool due =
    m_applied - lastIndex >= m_options.m_snapshotIntervalEntries ||
    (m_applied > lastIndex && m_bytesSinceSnapshot > m_options.m_snapshotBytes);
  if (m_core.HasFailed() || !due) {
    return;
  }
  auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->m_meta.set_index(m_applied);
  snapshot->m_meta.set_term(*m_core.Entries().Term(m_applied));
  *snapshot->m_meta.mutable_config() = m_core.ConfigAt(m_applied);
  snapshot->m_data = m_stateMachine.TakeSnapshot();
  auto stored = m_snapshotStore.Save(*snapshot);
  if (stored) {
    stored = m_logStore.CompactPrefix(m_applied + 1);
  }
  if (!stored) {
    Stop(stored.error().m_message);
    CheckLeadership();
    return;
  }
  m_core.SetSnapshot(std::move(snapshot));
  m_bytesSinceSnapshot = 0;
}

void
ReplicatedLogImpl::PublishMembers()
{
  std::string members = m_core.Config().SerializeAsString();
  if (members != m_publishedMembers) {
    m_publishedMembers = std::move(members);
    m_transport.SetMembers(m_core.Config());
  }
}

void
ReplicatedLogImpl::RunCallbacks()
{
  for (const auto& callback : std::exchange(m_callbacks, {})) {
    callback();
  }
}

} // namespace rattanloft::consensus
