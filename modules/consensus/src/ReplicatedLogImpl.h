#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "RaftCore.h"
#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/storage/LogStore.h"
#include "rattanloft/storage/SnapshotStore.h"

namespace rattanloft::consensus {

// Drives a RaftCore: stores and sends what it asks for, applies committed
// commands and runs the callbacks of proposals and read barriers.
class ReplicatedLogImpl final : public ReplicatedLog
{
public:
  ReplicatedLogImpl(const ReplicatedLogOptions& aOptions,
                    PersistedRaftState aState,
                    storage::LogStore& aLogStore,
                    storage::SnapshotStore& aSnapshotStore,
                    StateMachine& aStateMachine,
                    Transport& aTransport,
                    TimePoint aNow);

  void Tick(TimePoint aNow) override;
  void Flush(TimePoint aNow) override;
  void Receive(const wire::RaftMessage& aMessage, TimePoint aNow) override;
  void OnMessagesLost(uint64_t aReplicaId, TimePoint aNow) override;
  void Propose(std::string aCommand,
               TimePoint aNow,
               ProposeCallback aCallback) override;
  void ReadBarrier(TimePoint aNow, BarrierCallback aCallback) override;
  void ProposeConfig(wire::GroupConfig aConfig,
                     TimePoint aNow,
                     ProposeCallback aCallback) override;
  void TransferLeadership(TimePoint aNow) override;
  RaftStatus Status() const override;

private:
  // A command that is not in the log yet.
  struct QueuedProposal
  {
    std::string m_command;
    ProposeCallback m_callback;
  };
  // A command or configuration in the log that is not applied yet.
  struct PendingProposal
  {
    uint64_t m_index;
    uint64_t m_term;
    size_t m_commandBytes;
    ProposeCallback m_callback;
  };
  // A read barrier that waits for a heartbeat round to be confirmed and for an
  // index to be applied.
  struct PendingBarrier
  {
    uint64_t m_round;
    uint64_t m_readIndex;
    BarrierCallback m_callback;
  };

  // The error for new requests, empty if they are accepted.
  std::optional<RaftError> CheckAcceptsRequests() const;
  void AppendQueuedProposals();
  void StartQueuedBarriers();
  // Carries out the actions of the core and applies entries until the commit
  // index stops advancing.
  void ProcessCoreActions();
  void PerformActions(RaftCoreActions aActions);
  storage::StoreResult<void> PersistActions(const RaftCoreActions& aActions);
  storage::StoreResult<void> PersistReceivedSnapshot(
    const storage::Snapshot& aSnapshot);
  void SendMessages(const std::vector<wire::RaftMessage>& aMessages);
  // Ends the part of this replica in the group after a storage failure, until
  // the stores accept writes again.
  void StopParticipating(const std::string& aReason);
  void RecoverIfDue(TimePoint aNow);
  tl::expected<void, RaftError> Recover(TimePoint aNow);
  void ApplyCommitted();
  // Completes the proposals up to aIndex, whose applied entry has term aTerm.
  void CompleteProposals(uint64_t aIndex, uint64_t aTerm);
  void CompleteBarriers();
  // Fails all open requests if this replica no longer leads in m_leaderTerm.
  void HandleLeadershipChange();
  // Requests that are not in the log yet fail with aQueuedCode.
  void FailOpenRequests(RaftErrorCode aQueuedCode);
  void TakeSnapshotIfDue();
  void PublishConfigIfChanged();
  void RunCallbacks();

  ReplicatedLogOptions m_options;
  storage::LogStore& m_logStore;
  storage::SnapshotStore& m_snapshotStore;
  StateMachine& m_stateMachine;
  Transport& m_transport;
  RaftCore m_core;

  uint64_t m_lastAppliedIndex;
  // The term in which this replica leads, 0 while it does not.
  uint64_t m_leaderTerm = 0;
  std::deque<QueuedProposal> m_queuedProposals;
  // Total command bytes of the queued and pending proposals.
  size_t m_unansweredCommandBytes = 0;
  size_t m_payloadBytesSinceSnapshot = 0;
  std::deque<PendingProposal> m_pendingProposals;
  std::vector<BarrierCallback> m_queuedBarriers;
  std::deque<PendingBarrier> m_pendingBarriers;
  // Serialized configuration last passed to the transport.
  std::string m_publishedConfig;
  // Why this replica takes no part, empty if it does.
  std::string m_failureReason;
  TimePoint m_nextRecoveryAt;
  // The time of the latest event.
  TimePoint m_latestTime;
  TimePoint m_nextSnapshotAt;
  // Run at the end of the event that completed them, so that they may call
  // methods of this log.
  std::vector<std::function<void()>> m_dueCallbacks;
};

} // namespace rattanloft::consensus
