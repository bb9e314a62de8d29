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

struct CoreCounters
{
  uint64_t m_syncs = 0;
  uint64_t m_syncReplies = 0;
  uint64_t m_syncReplyBytes = 0;
  uint64_t m_barriers = 0;
  uint64_t m_failedBarriers = 0;
  uint64_t m_commands = 0;
};

// Drives the replicated log and, on the leader, the coordinator. Owned by the
// control instance and used on its control thread only.
class ControlCore final : public GrpcSink
{
public:
  using ProposeCallback = consensus::ReplicatedLog::ProposeCallback;
  using BarrierCallback = consensus::ReplicatedLog::BarrierCallback;

  // The arguments outlive the core.
  ControlCore(boost::asio::io_context& aContext,
              const Clock& aClock,
              consensus::ReplicatedLog& aLog,
              const ReplicatedState& aState,
              PeerTransport& aTransport);

  void Start();
  // Hands leadership over if it can, answers the held calls, then calls back.
  void Stop(std::function<void()> aDone);

  void OnRaft(const wire::RaftBatch& aBatch) override;
  void OnSync(uint64_t aCall,
              const wire::SyncRequest& aRequest,
              SyncResponder aResponder) override;
  void OnSyncCancelled(uint64_t aCall) override;

  void Propose(const wire::Command& aCommand, ProposeCallback aCallback);
  void ProposeConfig(wire::GroupConfig aConfig, ProposeCallback aCallback);
  void ReadBarrier(BarrierCallback aCallback);
  void TransferLeadership();

  consensus::RaftStatus Status() const { return m_log.Status(); }
  bool IsLeader() const;
  const cluster::ClusterState& Cluster() const { return m_state.Cluster(); }
  std::vector<cluster::NodeStatus> Nodes() const;
  // Of the leader; empty elsewhere.
  std::vector<wire::QuarantineEntry> Quarantine() const;
  bool ClearQuarantine(uint64_t aFingerprint);
  const CoreCounters& Counters() const { return m_counters; }
  const TransportCounters& PeerCounters() const;
  size_t HeldCalls() const { return m_held.Size(); }
  const Clock& TheClock() const { return m_clock; }

private:
  void ScheduleTick();
  void OnTick();
  // Runs the log and the coordinator soon, outside of any call into the log.
  // The log sends what was proposed meanwhile as one batch.
  void SchedulePump();
  void Pump();
  void UpdateRole();
  void BecomeLeader(uint64_t aTerm);
  void AwaitAppliedState();
  void StepDown();
  void ProposeAll(const std::vector<wire::Command>& aCommands);
  void ConfirmReadyCalls();
  void AnswerConfirmed(uint64_t aBarrier);
  void RelaySync(uint64_t aCall,
                 const wire::SyncRequest& aRequest,
                 SyncResponder aResponder);
  void ContinueStop();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  consensus::ReplicatedLog& m_log;
  const ReplicatedState& m_state;
  PeerTransport& m_transport;
  boost::asio::steady_timer m_timer;
  HeldSyncs m_held;
  std::unique_ptr<cluster::Coordinator> m_coordinator;
  // Term in which m_coordinator was made.
  uint64_t m_leaderTerm = 0;
  // The leader has applied everything that earlier leaders committed.
  bool m_leaderReady = false;
  bool m_awaitingState = false;
  bool m_barrierInFlight = false;
  bool m_pumpScheduled = false;
  uint64_t m_pumpedChanges = 0;
  TimePoint m_stopDeadline;
  std::function<void()> m_stopDone;
  bool m_stopping = false;
  CoreCounters m_counters;
};

} // namespace rattanloft::control
