#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "GrpcServer.h"
#include "HeldSyncs.h"
#include "PeerTransport.h"
#include "ReplicatedState.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/cluster/Coordinator.h"
#include "rattanloft/consensus/ReplicatedLog.h"

namespace rattanloft::control {

// Counted since the start of the process; for metrics.
struct CoreCounters
{
  uint64_t m_syncsReceived = 0;
  // Replies that this replica sent as the leader.
  uint64_t m_syncRepliesSent = 0;
  uint64_t m_syncReplyBytesSent = 0;
  // Read barriers that confirm Sync replies.
  uint64_t m_readBarriersStarted = 0;
  uint64_t m_readBarriersFailed = 0;
  uint64_t m_commandsProposed = 0;
};

// Drives the replicated log and, on the leader, the cluster::Coordinator.
// Handles the Sync calls of nodes. Owned by the control instance and used on
// its control thread only.
class ControlCore final : public GrpcCallHandler
{
public:
  using ProposeCallback = consensus::ReplicatedLog::ProposeCallback;
  using BarrierCallback = consensus::ReplicatedLog::BarrierCallback;

  // All arguments must outlive the core.
  ControlCore(boost::asio::io_context& aContext,
              const Clock& aClock,
              consensus::ReplicatedLog& aLog,
              const ReplicatedState& aState,
              PeerTransport& aTransport);

  // Starts the periodic tick.
  void Start();
  // Transfers leadership if possible, answers the held calls and then calls
  // aDone.
  void Stop(std::function<void()> aDone);

  void OnRaftBatch(const wire::RaftBatch& aBatch) override;
  void OnSync(uint64_t aCallId,
              const wire::SyncRequest& aRequest,
              SyncResponder aResponder) override;
  void OnSyncCancelled(uint64_t aCallId) override;

  // Access to the replicated log; see consensus::ReplicatedLog. The callback of
  // Propose() runs once the command is applied here or has failed.
  void Propose(const wire::Command& aCommand, ProposeCallback aCallback);
  void ProposeConfig(wire::GroupConfig aConfig, ProposeCallback aCallback);
  void ReadBarrier(BarrierCallback aCallback);
  void TransferLeadership();

  consensus::RaftStatus Status() const { return m_log.Status(); }
  bool IsLeader() const;
  const cluster::ClusterState& Cluster() const { return m_state.Cluster(); }
  // Empty unless this replica is the leader.
  std::vector<cluster::NodeStatus> Nodes() const;
  // Suspected and blocked requests; empty unless this replica is the leader.
  std::vector<wire::QuarantineEntry> Quarantine() const;
  // Returns false if the fingerprint is neither suspected nor blocked, or this
  // replica is not the leader.
  bool ClearQuarantine(uint64_t aFingerprint);
  const CoreCounters& Counters() const { return m_counters; }
  const TransportCounters& PeerCounters() const;
  size_t HeldSyncCount() const { return m_heldSyncs.CallCount(); }
  const Clock& GetClock() const { return m_clock; }

private:
  void ScheduleTick();
  void OnTick();
  // Posts a tick of the log and a call of RunCoordinator(), so that they run
  // soon but outside of any call into the log. The log then sends all commands
  // that were proposed in the meantime as one batch.
  void ScheduleRun();
  // Follows changes of the role. On the leader, also proposes the commands of
  // the coordinator and answers the held calls that are ready.
  void RunCoordinator();
  void UpdateRole();
  void BecomeLeader(uint64_t aTerm);
  void AwaitAppliedState();
  void StepDown();
  void ProposeAll(const std::vector<wire::Command>& aCommands);
  // Starts a read barrier for the held calls that are ready, unless one is in
  // progress.
  void ConfirmReadySyncs();
  void AnswerConfirmedSyncs(uint64_t aBarrier);
  void RelaySync(uint64_t aCallId,
                 const wire::SyncRequest& aRequest,
                 SyncResponder aResponder);
  void ContinueStop();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  consensus::ReplicatedLog& m_log;
  const ReplicatedState& m_state;
  PeerTransport& m_transport;
  boost::asio::steady_timer m_tickTimer;
  HeldSyncs m_heldSyncs;
  // Null unless this replica is the leader.
  std::unique_ptr<cluster::Coordinator> m_coordinator;
  // Term in which m_coordinator was created.
  uint64_t m_leaderTerm = 0;
  // Whether this leader has applied everything that earlier leaders committed.
  bool m_leaderReady = false;
  // The read barrier of AwaitAppliedState() is in progress.
  bool m_awaitingAppliedState = false;
  // The read barrier of ConfirmReadySyncs() is in progress.
  bool m_barrierInFlight = false;
  bool m_runScheduled = false;
  // Value of ReplicatedState::ChangeCount() at the last RunCoordinator().
  uint64_t m_processedChangeCount = 0;
  // When Stop() gives up on the transfer of leadership.
  TimePoint m_stopDeadline;
  // Set while Stop() waits for the transfer.
  std::function<void()> m_stopDone;
  bool m_stopping = false;
  CoreCounters m_counters;
};

} // namespace rattanloft::control
