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

// Carries out what the core decides: stores, sends, applies and answers.
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
  struct QueuedProposal
  {
    std::string m_command;
    ProposeCallback m_callback;
  };
  struct PendingProposal
  {
    uint64_t m_index;
    uint64_t m_term;
    size_t m_commandBytes;
    ProposeCallback m_callback;
  };
  struct PendingBarrier
  {
    uint64_t m_round;
    uint64_t m_readIndex;
    BarrierCallback m_callback;
  };

  std::optional<RaftError> CheckAcceptsRequests() const;
  void AppendQueuedProposals();
  void StartQueuedBarriers();
  // Stores, sends and applies until the core has nothing more to do.
  void ProcessCoreActions();
  void PerformActions(RaftCoreActions aActions);
  storage::StoreResult<void> PersistActions(const RaftCoreActions& aActions);
  storage::StoreResult<void> PersistReceivedSnapshot(
    const storage::Snapshot& aSnapshot);
  void SendMessages(const std::vector<wire::RaftMessage>& aMessages);
  void StopParticipating(const std::string& aReason);
  void ApplyCommitted();
  void CompleteProposals(uint64_t aIndex, uint64_t aTerm);
  void CompleteBarriers();
  void HandleLeadershipChange();
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
  // Of queued and pending proposals.
  size_t m_unansweredCommandBytes = 0;
  size_t m_payloadBytesSinceSnapshot = 0;
  std::deque<PendingProposal> m_pendingProposals;
  std::vector<BarrierCallback> m_queuedBarriers;
  std::deque<PendingBarrier> m_pendingBarriers;
  std::string m_publishedConfig;
  std::string m_failureReason;
  // Run after the event that caused them, so that they may call in again.
  std::vector<std::function<void()>> m_dueCallbacks;
};

} // namespace rattanloft::consensus
