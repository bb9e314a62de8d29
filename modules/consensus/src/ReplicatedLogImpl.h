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
                    CoreState aState,
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
  struct Queued
  {
    std::string m_command;
    ProposeCallback m_callback;
  };
  struct Pending
  {
    uint64_t m_index;
    uint64_t m_term;
    size_t m_bytes;
    ProposeCallback m_callback;
  };
  struct Barrier
  {
    uint64_t m_round;
    uint64_t m_readIndex;
    BarrierCallback m_callback;
  };

  std::optional<RaftError> CheckAccepting() const;
  void AppendQueued();
  void StartBarriers();
  // Stores, sends and applies until the core has nothing more to do.
  void Pump();
  void Perform(CoreActions aActions);
  storage::StoreResult<void> Store(const CoreActions& aActions);
  storage::StoreResult<void> Install(const storage::Snapshot& aSnapshot);
  void Send(const std::vector<wire::RaftMessage>& aMessages);
  void Stop(const std::string& aReason);
  void ApplyCommitted();
  void Answer(uint64_t aIndex, uint64_t aTerm);
  void CompleteBarriers();
  void CheckLeadership();
  void FailAll(RaftErrorCode aQueuedCode);
  void TakeSnapshot();
  void PublishMembers();
  void RunCallbacks();

  ReplicatedLogOptions m_options;
  storage::LogStore& m_logStore;
  storage::SnapshotStore& m_snapshotStore;
  StateMachine& m_stateMachine;
  Transport& m_transport;
  RaftCore m_core;

  uint64_t m_applied;
  // The term in which this replica leads, 0 while it does not.
  uint64_t m_leadTerm = 0;
  std::deque<Queued> m_queue;
  // Of queued and pending proposals.
  size_t m_pendingBytes = 0;
  size_t m_bytesSinceSnapshot = 0;
  std::deque<Pending> m_pending;
  std::vector<BarrierCallback> m_queuedBarriers;
  std::deque<Barrier> m_barriers;
  std::string m_publishedMembers;
  std::string m_failure;
  // Run after the event that caused them, so that they may call in again.
  std::vector<std::function<void()>> m_callbacks;
};

} // namespace rattanloft::consensus
