#include "ReplicatedLogImpl.h"

#include <algorithm>

#include <fmt/format.h>

#include "PersistedRaftState.h"
#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

namespace {

// Interval between two attempts to write again after a storage failure.
constexpr Duration kRecoveryInterval = Milliseconds(250);
// Pause after a snapshot could not be saved. The log grows meanwhile.
constexpr Duration kSnapshotRetryInterval = Seconds(5);

RaftCoreOptions
MakeCoreOptions(const ReplicatedLogOptions& aOptions)
{
  return { aOptions.m_replicaId,
           aOptions.m_seed,
           aOptions.m_heartbeatInterval,
           aOptions.m_minElectionTimeout,
           aOptions.m_maxElectionTimeout,
           aOptions.m_minStartupElectionTimeout,
           aOptions.m_maxStartupElectionTimeout,
           aOptions.m_startupPeriod,
           aOptions.m_retainedEntries,
           aOptions.m_retainedBytes,
           aOptions.m_resendDelay };
}

} // namespace

ReplicatedLogImpl::ReplicatedLogImpl(const ReplicatedLogOptions& aOptions,
                                     PersistedRaftState aState,
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
  , m_core(MakeCoreOptions(aOptions), std::move(aState), aNow)
  , m_lastAppliedIndex(m_core.CommitIndex())
{
  PublishConfigIfChanged();
}

void
ReplicatedLogImpl::Tick(TimePoint aNow)
{
  m_latestTime = aNow;
  RecoverIfDue(aNow);
  m_core.Tick(aNow);
  Flush(aNow);
}

void
ReplicatedLogImpl::Flush(TimePoint)
{
  if (m_core.GetRole() == Role::kLeader) {
    AppendQueuedProposals();
    StartQueuedBarriers();
    m_core.BroadcastAppends();
  }
  ProcessCoreActions();
}

void
ReplicatedLogImpl::Receive(const wire::RaftMessage& aMessage, TimePoint aNow)
{
  m_latestTime = aNow;
  m_core.Receive(aMessage, aNow);
  ProcessCoreActions();
}

void
ReplicatedLogImpl::OnMessagesLost(uint64_t aReplicaId, TimePoint aNow)
{
  m_latestTime = aNow;
  m_core.OnMessagesLost(aReplicaId, aNow);
}

std::optional<RaftError>
ReplicatedLogImpl::CheckAcceptsRequests() const
{
  if (m_core.HasFailed()) {
    return RaftError{ RaftErrorCode::kStorageFailure, m_failureReason };
  }
  if (m_core.GetRole() != Role::kLeader) {
    return RaftError{ RaftErrorCode::kNotLeader,
                      "this replica is not the leader" };
  }
  return std::nullopt;
}

void
ReplicatedLogImpl::Propose(std::string aCommand,
                           TimePoint,
                           ProposeCallback aCallback)
{
  std::optional<RaftError> error = CheckAcceptsRequests();
  if (!error && aCommand.size() > kMaxCommandBytes) {
    error =
      RaftError{ RaftErrorCode::kInvalidArgument, "the command is too large" };
  }
  const bool limitReached =
    m_queuedProposals.size() + m_pendingProposals.size() >=
      m_options.m_maxPendingRequests ||
    m_unansweredCommandBytes + aCommand.size() >
      m_options.m_maxPendingCommandBytes;
  if (!error && limitReached) {
    error = RaftError{ RaftErrorCode::kBusy, "too many proposals wait" };
  }
  if (!error && m_core.IsTransferringLeadership()) {
    error =
      RaftError{ RaftErrorCode::kBusy, "leadership is being transferred" };
  }
  if (error) {
    aCallback(tl::unexpected(std::move(*error)));
    return;
  }
  m_unansweredCommandBytes += aCommand.size();
  m_queuedProposals.push_back({ std::move(aCommand), std::move(aCallback) });
}

void
ReplicatedLogImpl::ReadBarrier(TimePoint, BarrierCallback aCallback)
{
  std::optional<RaftError> error = CheckAcceptsRequests();
  const size_t waiting = m_queuedBarriers.size() + m_pendingBarriers.size();
  if (!error && waiting >= m_options.m_maxPendingRequests) {
    error =
      RaftError{ RaftErrorCode::kBusy, "too many read barriers are pending" };
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
  if (auto error = CheckAcceptsRequests()) {
    aCallback(tl::unexpected(std::move(*error)));
    return;
  }
  AppendQueuedProposals();
  const auto index = m_core.AppendConfig(aConfig);
  if (!index) {
    aCallback(tl::unexpected(index.error()));
    return;
  }
  m_pendingProposals.push_back(
    { *index, m_core.CurrentTerm(), 0, std::move(aCallback) });
  m_core.BroadcastAppends();
  ProcessCoreActions();
}

void
ReplicatedLogImpl::TransferLeadership(TimePoint aNow)
{
  if (m_core.GetRole() == Role::kLeader) {
    AppendQueuedProposals();
    m_core.BroadcastAppends();
  }
  m_core.TransferLeadership(aNow);
  ProcessCoreActions();
}

RaftStatus
ReplicatedLogImpl::Status() const
{
  RaftStatus status;
  status.m_role = m_core.GetRole();
  status.m_storageFailed = m_core.HasFailed();
  status.m_replicaId = m_options.m_replicaId;
  status.m_term = m_core.CurrentTerm();
  status.m_leaderId = m_core.LeaderId();
  status.m_lastIndex = m_core.Entries().LastIndex();
  status.m_commitIndex = m_core.CommitIndex();
  status.m_appliedIndex = m_lastAppliedIndex;
  status.m_firstIndex = m_logStore.FirstIndex();
  status.m_config = m_core.Config();
  return status;
}

void
ReplicatedLogImpl::AppendQueuedProposals()
{
  if (m_queuedProposals.empty() || m_core.IsTransferringLeadership()) {
    return;
  }
  std::vector<std::string> commands;
  uint64_t index = m_core.Entries().LastIndex();
  for (QueuedProposal& queued : m_queuedProposals) {
    m_pendingProposals.push_back({ ++index,
                                   m_core.CurrentTerm(),
                                   queued.m_command.size(),
                                   std::move(queued.m_callback) });
    commands.push_back(std::move(queued.m_command));
  }
  m_core.AppendCommands(std::move(commands));
  m_queuedProposals.clear();
}

void
ReplicatedLogImpl::StartQueuedBarriers()
{
  if (m_queuedBarriers.empty()) {
    return;
  }
  const uint64_t round = m_core.StartRound();
  // Until an entry of this term is committed, the commit index may be below
  // that of an earlier leader, whose writes a read must see.
  const uint64_t index =
    std::max(m_core.CommitIndex(), m_core.TermStartIndex());
  for (BarrierCallback& callback : m_queuedBarriers) {
    m_pendingBarriers.push_back({ round, index, std::move(callback) });
  }
  m_queuedBarriers.clear();
}

void
ReplicatedLogImpl::ProcessCoreActions()
{
  uint64_t commitIndexBefore = 0;
  do {
    commitIndexBefore = m_core.CommitIndex();
    PerformActions(m_core.TakeActions());
    ApplyCommitted();
  } while (m_core.CommitIndex() != commitIndexBefore);
  CompleteBarriers();
  HandleLeadershipChange();
  TakeSnapshotIfDue();
  PublishConfigIfChanged();
  RunCallbacks();
}

void
ReplicatedLogImpl::PerformActions(RaftCoreActions aActions)
{
  // An append message of a new term must not be sent before the term is
  // durable.
  if (!aActions.m_hardState) {
    SendMessages(aActions.m_messagesBeforeSync);
  }
  if (aActions.NeedsSync()) {
    if (auto stored = PersistActions(aActions); !stored) {
      StopParticipating(stored.error().m_message);
      return;
    }
  }
  if (aActions.m_snapshotToInstall) {
    const storage::Snapshot& snapshot = *aActions.m_snapshotToInstall;
    if (auto restored = m_stateMachine.RestoreSnapshot(snapshot.m_data);
        !restored) {
      StopParticipating(restored.error());
      return;
    }
    m_lastAppliedIndex = snapshot.m_meta.index();
  }
  m_core.OnPersisted();
  if (aActions.m_hardState) {
    SendMessages(aActions.m_messagesBeforeSync);
  }
  SendMessages(aActions.m_messagesAfterSync);
}

storage::StoreResult<void>
ReplicatedLogImpl::PersistReceivedSnapshot(const storage::Snapshot& aSnapshot)
{
  // The hard state is synced first, because a snapshot beside a log store
  // without a term looks like a lost log at the next start. The log is reset
  // last, because without the snapshot its beginning would be missing.
  auto result = m_logStore.Sync();
  if (result) {
    result = m_snapshotStore.Save(aSnapshot);
  }
  return result ? m_logStore.Reset(aSnapshot.m_meta.index() + 1) : result;
}

storage::StoreResult<void>
ReplicatedLogImpl::PersistActions(const RaftCoreActions& aActions)
{
  storage::StoreResult<void> result;
  if (aActions.m_hardState) {
    result = m_logStore.SetHardState(*aActions.m_hardState);
  }
  if (result && aActions.m_snapshotToInstall) {
    result = PersistReceivedSnapshot(*aActions.m_snapshotToInstall);
  }
  if (result && aActions.m_truncateFromIndex != 0) {
    result = m_logStore.TruncateSuffix(aActions.m_truncateFromIndex);
  }
  if (result && aActions.m_appendFirstIndex != 0) {
    std::vector<wire::LogEntry> entries;
    for (uint64_t index = aActions.m_appendFirstIndex;
         index <= aActions.m_appendLastIndex;
         ++index) {
      entries.push_back(m_core.Entries().EntryAt(index));
    }
    result = m_logStore.Append(entries);
  }
  return result ? m_logStore.Sync() : result;
}

void
ReplicatedLogImpl::SendMessages(const std::vector<wire::RaftMessage>& aMessages)
{
  for (const wire::RaftMessage& message : aMessages) {
    m_transport.Send(message);
  }
}

void
ReplicatedLogImpl::StopParticipating(const std::string& aReason)
{
  if (m_failureReason.empty()) {
    rattanloft::LogError("raft",
                         "replica {:x} stops participating: {}",
                         m_options.m_replicaId,
                         aReason);
  }
  m_failureReason = aReason;
  m_core.OnStorageFailed();
}

void
ReplicatedLogImpl::RecoverIfDue(TimePoint aNow)
{
  if (!m_core.HasFailed()) {
    m_nextRecoveryAt = aNow + kRecoveryInterval;
    return;
  }
  if (aNow < m_nextRecoveryAt) {
    return;
  }
  m_nextRecoveryAt = aNow + kRecoveryInterval;
  if (auto recovered = Recover(aNow); !recovered) {
    // Each attempt fails for the same reason while the disk refuses writes.
    if (recovered.error().m_message != m_failureReason) {
      m_failureReason = recovered.error().m_message;
      rattanloft::LogWarning("raft",
                             "replica {:x} cannot take part again: {}",
                             m_options.m_replicaId,
                             m_failureReason);
    }
    return;
  }
  m_failureReason.clear();
  rattanloft::LogInfo("raft",
                      "replica {:x} takes part again in term {}, last index {}",
                      m_options.m_replicaId,
                      m_core.CurrentTerm(),
                      m_core.Entries().LastIndex());
}

// Starts again from what is durable, as after a restart of the process. The
// state machine keeps what it has applied, which is committed and thus equal on
// all replicas.
tl::expected<void, RaftError>
ReplicatedLogImpl::Recover(TimePoint aNow)
{
  if (auto stored = m_logStore.Recover(); !stored) {
    return tl::unexpected(ToRaftError(stored.error()));
  }
  auto snapshot = m_snapshotStore.Load();
  if (!snapshot) {
    return tl::unexpected(ToRaftError(snapshot.error()));
  }
  auto state = LoadPersistedState(m_logStore, std::move(*snapshot));
  if (!state) {
    return tl::unexpected(state.error());
  }
  if (m_logStore.LastIndex() < m_lastAppliedIndex) {
    return tl::unexpected(
      RaftError{ RaftErrorCode::kStorageFailure,
                 fmt::format("the log ends at {}, before the applied entry {}",
                             m_logStore.LastIndex(),
                             m_lastAppliedIndex) });
  }
  // The failure may have come between saving a received snapshot and restoring
  // it.
  const storage::Snapshot* const received = state->m_snapshot.get();
  if (received != nullptr && received->m_meta.index() > m_lastAppliedIndex) {
    if (auto restored = m_stateMachine.RestoreSnapshot(received->m_data);
        !restored) {
      return tl::unexpected(
        RaftError{ RaftErrorCode::kStorageFailure, restored.error() });
    }
    m_lastAppliedIndex = received->m_meta.index();
  }
  RaftCoreOptions options = MakeCoreOptions(m_options);
  // The other replicas may have a leader.
  options.m_startupPeriod = {};
  m_core = RaftCore(options, std::move(*state), aNow);
  return {};
}

void
ReplicatedLogImpl::ApplyCommitted()
{
  if (m_core.HasFailed()) {
    return;
  }
  while (m_lastAppliedIndex < m_core.CommitIndex()) {
    const wire::LogEntry& entry =
      m_core.Entries().EntryAt(++m_lastAppliedIndex);
    m_payloadBytesSinceSnapshot += entry.payload().size();
    if (entry.kind() == wire::ENTRY_KIND_COMMAND) {
      m_stateMachine.Apply(m_lastAppliedIndex, entry.payload());
    }
    CompleteProposals(m_lastAppliedIndex, entry.term());
  }
}

void
ReplicatedLogImpl::CompleteProposals(uint64_t aIndex, uint64_t aTerm)
{
  while (!m_pendingProposals.empty() &&
         m_pendingProposals.front().m_index <= aIndex) {
    PendingProposal pending = std::move(m_pendingProposals.front());
    m_pendingProposals.pop_front();
    m_unansweredCommandBytes -= pending.m_commandBytes;
    tl::expected<uint64_t, RaftError> result = aIndex;
    if (pending.m_index != aIndex || pending.m_term != aTerm) {
      result =
        tl::unexpected(RaftError{ RaftErrorCode::kLeadershipLost,
                                  "leadership was lost after the append" });
    }
    m_dueCallbacks.push_back(
      [callback = std::move(pending.m_callback), result] { callback(result); });
  }
}

void
ReplicatedLogImpl::CompleteBarriers()
{
  if (m_pendingBarriers.empty() || m_core.GetRole() != Role::kLeader ||
      m_core.CurrentTerm() != m_leaderTerm) {
    return;
  }
  const uint64_t confirmed = m_core.ConfirmedRound();
  while (!m_pendingBarriers.empty() &&
         m_pendingBarriers.front().m_round <= confirmed &&
         m_pendingBarriers.front().m_readIndex <= m_lastAppliedIndex) {
    m_dueCallbacks.push_back(
      [callback = std::move(m_pendingBarriers.front().m_callback)] {
        callback({});
      });
    m_pendingBarriers.pop_front();
  }
}

void
ReplicatedLogImpl::HandleLeadershipChange()
{
  const uint64_t leaderTerm =
    m_core.GetRole() == Role::kLeader ? m_core.CurrentTerm() : 0;
  if (m_leaderTerm != 0 && m_leaderTerm != leaderTerm) {
    FailOpenRequests(m_core.HasFailed() ? RaftErrorCode::kStorageFailure
                                        : RaftErrorCode::kNotLeader);
  }
  m_leaderTerm = leaderTerm;
}

void
ReplicatedLogImpl::FailOpenRequests(RaftErrorCode aQueuedCode)
{
  const RaftError lostError{ RaftErrorCode::kLeadershipLost,
                             "leadership was lost after the append" };
  const RaftError queuedError{ aQueuedCode,
                               "leadership was lost before the append" };
  for (PendingProposal& pending : m_pendingProposals) {
    m_dueCallbacks.push_back(
      [callback = std::move(pending.m_callback), lostError] {
        callback(tl::unexpected(lostError));
      });
  }
  for (QueuedProposal& proposal : m_queuedProposals) {
    m_dueCallbacks.push_back(
      [callback = std::move(proposal.m_callback), queuedError] {
        callback(tl::unexpected(queuedError));
      });
  }
  for (PendingBarrier& barrier : m_pendingBarriers) {
    m_queuedBarriers.push_back(std::move(barrier.m_callback));
  }
  for (BarrierCallback& barrier : m_queuedBarriers) {
    m_dueCallbacks.push_back([callback = std::move(barrier), queuedError] {
      callback(tl::unexpected(queuedError));
    });
  }
  m_pendingProposals.clear();
  m_queuedProposals.clear();
  m_unansweredCommandBytes = 0;
  m_pendingBarriers.clear();
  m_queuedBarriers.clear();
}

void
ReplicatedLogImpl::TakeSnapshotIfDue()
{
  const auto& lastSnapshot = m_core.GetSnapshot();
  const uint64_t lastSnapshotIndex =
    lastSnapshot ? lastSnapshot->m_meta.index() : 0;
  // A larger state is written less often, but never so seldom that the log
  // since the snapshot is a multiple of it: a follower with an empty log is
  // sent both.
  const size_t intervalBytes =
    std::max(m_options.m_snapshotIntervalBytes,
             lastSnapshot ? 2 * lastSnapshot->m_data.size() : 0);
  const bool snapshotDue = m_lastAppliedIndex - lastSnapshotIndex >=
                             m_options.m_snapshotIntervalEntries ||
                           (m_lastAppliedIndex > lastSnapshotIndex &&
                            m_payloadBytesSinceSnapshot > intervalBytes);
  if (m_core.HasFailed() || !snapshotDue || m_latestTime < m_nextSnapshotAt) {
    return;
  }
  auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->m_meta.set_index(m_lastAppliedIndex);
  snapshot->m_meta.set_term(*m_core.Entries().TermAt(m_lastAppliedIndex));
  *snapshot->m_meta.mutable_config() = m_core.ConfigAt(m_lastAppliedIndex);
  snapshot->m_data = m_stateMachine.TakeSnapshot();
  if (auto saved = m_snapshotStore.Save(*snapshot); !saved) {
    rattanloft::LogWarning("raft",
                           "replica {:x} goes on without a snapshot at {}: {}",
                           m_options.m_replicaId,
                           m_lastAppliedIndex,
                           saved.error().m_message);
    m_nextSnapshotAt = m_latestTime + kSnapshotRetryInterval;
    return;
  }
  if (auto compacted = m_logStore.CompactPrefix(m_lastAppliedIndex + 1);
      !compacted) {
    StopParticipating(compacted.error().m_message);
    HandleLeadershipChange();
    return;
  }
  m_core.SetSnapshot(std::move(snapshot));
  m_payloadBytesSinceSnapshot = 0;
}

void
ReplicatedLogImpl::PublishConfigIfChanged()
{
  std::string config = m_core.Config().SerializeAsString();
  if (config != m_publishedConfig) {
    m_publishedConfig = std::move(config);
    m_transport.SetMembers(m_core.Config());
  }
}

void
ReplicatedLogImpl::RunCallbacks()
{
  for (const auto& callback : std::exchange(m_dueCallbacks, {})) {
    callback();
  }
}

} // namespace rattanloft::consensus
