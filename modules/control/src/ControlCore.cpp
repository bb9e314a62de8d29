#include "ControlCore.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "rattanloft/base/Log.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTickInterval{ 20 };
// Twice the planned number of nodes, since the call of a node that has been
// replaced stays held until its connection is found to be dead.
constexpr size_t kMaxHeldSyncs = 1200;
// Longest time for which a stopping leader waits for its successor. A transfer
// takes one round trip and an election; without a live follower it cannot
// succeed.
constexpr Duration kLeadershipTransferTimeout = Milliseconds(1500);

wire::SyncReply
MakeNoLeaderReply()
{
  wire::SyncReply reply;
  reply.set_status(wire::SYNC_STATUS_NO_LEADER);
  return reply;
}

} // namespace

ControlCore::ControlCore(asio::io_context& aContext,
                         const Clock& aClock,
                         consensus::ReplicatedLog& aLog,
                         const ReplicatedState& aState,
                         PeerTransport& aTransport)
  : m_context(aContext)
  , m_clock(aClock)
  , m_log(aLog)
  , m_state(aState)
  , m_transport(aTransport)
  , m_tickTimer(aContext)
  , m_heldSyncs(kMaxHeldSyncs)
{
}

void
ControlCore::Start()
{
  m_transport.SetLossHandler([this](uint64_t aReplicaId) {
    m_log.OnMessagesLost(aReplicaId, m_clock.Now());
  });
  m_tickTimer.expires_after(kTickInterval);
  ScheduleTick();
}

void
ControlCore::ScheduleTick()
{
  m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnTick();
      m_tickTimer.expires_after(kTickInterval);
      ScheduleTick();
    }
  });
}

void
ControlCore::OnTick()
{
  m_log.Tick(m_clock.Now());
  RunCoordinator();
  if (m_stopDone) {
    ContinueStop();
  }
}

void
ControlCore::ScheduleRun()
{
  if (!std::exchange(m_runScheduled, true)) {
    asio::post(m_context, [this] {
      m_runScheduled = false;
      m_log.Tick(m_clock.Now());
      RunCoordinator();
    });
  }
}

void
ControlCore::RunCoordinator()
{
  UpdateRole();
  m_processedChangeCount = m_state.ChangeCount();
  if (m_coordinator == nullptr) {
    return;
  }
  if (!m_leaderReady) {
    // Tries again if the last read barrier was refused, for example because too
    // many reads were waiting.
    AwaitAppliedState();
    return;
  }
  const auto outcome = m_coordinator->Tick(m_clock.Now());
  for (const cluster::ReadyReply& ready : outcome.m_ready) {
    m_heldSyncs.MarkReady(ready.m_nodeId, ready.m_sequence);
  }
  ProposeAll(outcome.m_commands);
  ConfirmReadySyncs();
}

void
ControlCore::UpdateRole()
{
  const auto status = m_log.Status();
  const bool leader = status.m_role == consensus::Role::kLeader;
  if (m_coordinator != nullptr && (!leader || status.m_term != m_leaderTerm)) {
    StepDown();
  }
  if (leader && m_coordinator == nullptr && !m_stopping) {
    BecomeLeader(status.m_term);
  }
}

void
ControlCore::BecomeLeader(uint64_t aTerm)
{
  LogInfo("control", "became the leader of term {}", aTerm);
  m_leaderTerm = aTerm;
  m_leaderReady = false;
  cluster::CoordinatorOptions options;
  options.m_term = aTerm;
  m_coordinator = std::make_unique<cluster::Coordinator>(
    options, m_state.Cluster(), m_clock.Now());
  AwaitAppliedState();
}

std::vector<wire::QuarantineEntry>
ControlCore::Quarantine() const
{
  return m_coordinator ? m_coordinator->Quarantine(m_clock.Now())
                       : std::vector<wire::QuarantineEntry>{};
}

bool
ControlCore::ClearQuarantine(uint64_t aFingerprint)
{
  return m_coordinator &&
         m_coordinator->ClearQuarantine(aFingerprint, m_clock.Now());
}

// Waits until all entries that earlier leaders committed are applied. Without
// them, the placement would start from outdated shard owners.
void
ControlCore::AwaitAppliedState()
{
  if (std::exchange(m_awaitingAppliedState, true)) {
    return;
  }
  ReadBarrier([this, term = m_leaderTerm](
                const tl::expected<void, consensus::RaftError>& aResult) {
    m_awaitingAppliedState = false;
    if (aResult && m_coordinator != nullptr && m_leaderTerm == term) {
      m_leaderReady = true;
      ScheduleRun();
    }
  });
}

void
ControlCore::StepDown()
{
  LogInfo("control", "no longer the leader of term {}", m_leaderTerm);
  m_coordinator.reset();
  m_leaderReady = false;
  m_heldSyncs.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
}

void
ControlCore::ProposeAll(const std::vector<wire::Command>& aCommands)
{
  for (const wire::Command& command : aCommands) {
    Propose(command,
            [](const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
              if (!aIndex) {
                LogWarning("control",
                           "a proposed command was not applied: {}",
                           aIndex.error().m_message);
              }
            });
  }
}

void
ControlCore::ConfirmReadySyncs()
{
  if (m_barrierInFlight || !m_heldSyncs.NeedsBarrier()) {
    return;
  }
  m_barrierInFlight = true;
  ++m_counters.m_readBarriersStarted;
  const uint64_t barrier = m_heldSyncs.BeginBarrier();
  m_log.ReadBarrier(
    m_clock.Now(),
    [this, barrier](const tl::expected<void, consensus::RaftError>& aResult) {
      m_barrierInFlight = false;
      if (aResult && m_coordinator != nullptr) {
        AnswerConfirmedSyncs(barrier);
        return;
      }
      ++m_counters.m_readBarriersFailed;
      m_heldSyncs.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
    });
  ScheduleRun();
}

void
ControlCore::AnswerConfirmedSyncs(uint64_t aBarrier)
{
  const TimePoint now = m_clock.Now();
  for (auto& call : m_heldSyncs.FinishBarrier(aBarrier)) {
    wire::SyncReply reply = m_coordinator->BuildReply(call.m_nodeId, now);
    ++m_counters.m_syncRepliesSent;
    m_counters.m_syncReplyBytesSent += reply.ByteSizeLong();
    call.m_responder(std::move(reply));
  }
}

void
ControlCore::OnRaftBatch(const wire::RaftBatch& aBatch)
{
  const TimePoint now = m_clock.Now();
  for (const wire::RaftMessage& message : aBatch.messages()) {
    m_log.Receive(message, now);
  }
  UpdateRole();
  if (m_coordinator != nullptr &&
      m_state.ChangeCount() != m_processedChangeCount) {
    ScheduleRun();
  }
}

void
ControlCore::OnSync(uint64_t aCallId,
                    const wire::SyncRequest& aRequest,
                    SyncResponder aResponder)
{
  ++m_counters.m_syncsReceived;
  UpdateRole();
  if (aRequest.node_id().empty() || m_stopping) {
    aResponder(MakeNoLeaderReply());
    return;
  }
  if (m_coordinator == nullptr) {
    RelaySync(aCallId, aRequest, std::move(aResponder));
    return;
  }
  if (m_heldSyncs.Hold(aCallId, aRequest, std::move(aResponder))) {
    ProposeAll(m_coordinator->OnSync(aRequest, m_clock.Now()));
  }
}

void
ControlCore::RelaySync(uint64_t aCallId,
                       const wire::SyncRequest& aRequest,
                       SyncResponder aResponder)
{
  const auto status = m_log.Status();
  const bool relay = !aRequest.relayed() && status.m_leaderId != 0 &&
                     status.m_leaderId != status.m_replicaId;
  if (!relay || !m_transport.Relay(status.m_leaderId,
                                   aCallId,
                                   aRequest,
                                   [aResponder](const wire::SyncReply* aReply) {
                                     aResponder(aReply != nullptr
                                                  ? *aReply
                                                  : MakeNoLeaderReply());
                                   })) {
    aResponder(MakeNoLeaderReply());
  }
}

void
ControlCore::OnSyncCancelled(uint64_t aCallId)
{
  m_heldSyncs.Remove(aCallId);
  m_transport.CancelRelay(aCallId);
}

void
ControlCore::Propose(const wire::Command& aCommand, ProposeCallback aCallback)
{
  ++m_counters.m_commandsProposed;
  m_log.Propose(aCommand.SerializeAsString(),
                m_clock.Now(),
                [this, callback = std::move(aCallback)](
                  tl::expected<uint64_t, consensus::RaftError> aIndex) {
                  ScheduleRun();
                  callback(std::move(aIndex));
                });
  ScheduleRun();
}

void
ControlCore::ProposeConfig(wire::GroupConfig aConfig, ProposeCallback aCallback)
{
  m_log.ProposeConfig(std::move(aConfig), m_clock.Now(), std::move(aCallback));
}

void
ControlCore::ReadBarrier(BarrierCallback aCallback)
{
  m_log.ReadBarrier(m_clock.Now(), std::move(aCallback));
  ScheduleRun();
}

void
ControlCore::TransferLeadership()
{
  m_log.TransferLeadership(m_clock.Now());
}

bool
ControlCore::IsLeader() const
{
  return m_log.Status().m_role == consensus::Role::kLeader;
}

std::vector<cluster::NodeStatus>
ControlCore::Nodes() const
{
  return m_coordinator == nullptr ? std::vector<cluster::NodeStatus>{}
                                  : m_coordinator->Nodes(m_clock.Now());
}

const TransportCounters&
ControlCore::PeerCounters() const
{
  return m_transport.Counters();
}

void
ControlCore::Stop(std::function<void()> aDone)
{
  m_stopping = true;
  m_stopDone = std::move(aDone);
  m_stopDeadline = m_clock.Now() + kLeadershipTransferTimeout;
  if (IsLeader()) {
    LogInfo("control", "stopping; transferring leadership to a follower");
    TransferLeadership();
  }
  ContinueStop();
}

// Held calls are answered only after the transfer, so that their nodes find the
// new leader at once.
void
ControlCore::ContinueStop()
{
  const auto status = m_log.Status();
  const bool handingOver = status.m_role == consensus::Role::kLeader &&
                           status.m_config.members_size() > 1;
  if (handingOver && m_clock.Now() < m_stopDeadline) {
    return;
  }
  if (status.m_role == consensus::Role::kLeader) {
    LogWarning("control",
               "stopping while still the leader: no follower took over");
  }
  m_heldSyncs.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
  std::exchange(m_stopDone, nullptr)();
}

} // namespace rattanloft::control
