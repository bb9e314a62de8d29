#include "ControlCore.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "rattanloft/base/Log.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTick{ 20 };
// Twice the planned number of nodes, since calls of nodes that were replaced
// stay until their connection is found dead.
constexpr size_t kMaxHeldSyncs = 1200;
// A transfer takes one round trip and an election; a leader without a live
// follower cannot hand over.
constexpr Duration kTransferTimeout = Milliseconds(1500);

wire::SyncReply
NoLeader()
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
  , m_timer(aContext)
  , m_held(kMaxHeldSyncs)
{
}

void
ControlCore::Start()
{
  m_timer.expires_after(kTick);
  ScheduleTick();
}

void
ControlCore::ScheduleTick()
{
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnTick();
      m_timer.expires_after(kTick);
      ScheduleTick();
    }
  });
}

void
ControlCore::OnTick()
{
  m_log.Tick(m_clock.Now());
  Pump();
  if (m_stopDone) {
    ContinueStop();
  }
}

void
ControlCore::SchedulePump()
{
  if (!std::exchange(m_pumpScheduled, true)) {
    asio::post(m_context, [this] {
      m_pumpScheduled = false;
      m_log.Tick(m_clock.Now());
      Pump();
    });
  }
}

void
ControlCore::Pump()
{
  UpdateRole();
  m_pumpedChanges = m_state.Changes();
  if (m_coordinator == nullptr) {
    return;
  }
  if (!m_leaderReady) {
    // Again after a refusal, for example while too many reads wait.
    AwaitAppliedState();
    return;
  }
  const auto outcome = m_coordinator->Tick(m_clock.Now());
  for (const cluster::ReadyReply& ready : outcome.m_ready) {
    m_held.MarkReady(ready.m_nodeId, ready.m_sequence);
  }
  ProposeAll(outcome.m_commands);
  ConfirmReadyCalls();
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
  LogInfo("control", "leader of term {}", aTerm);
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

// Placement on a state that lacks committed entries would start from wrong
// owners.
void
ControlCore::AwaitAppliedState()
{
  if (std::exchange(m_awaitingState, true)) {
    return;
  }
  ReadBarrier([this, term = m_leaderTerm](
                const tl::expected<void, consensus::RaftError>& aOk) {
    m_awaitingState = false;
    if (aOk && m_coordinator != nullptr && m_leaderTerm == term) {
      m_leaderReady = true;
      SchedulePump();
    }
  });
}

void
ControlCore::StepDown()
{
  LogInfo("control", "no longer leader of term {}", m_leaderTerm);
  m_coordinator.reset();
  m_leaderReady = false;
  m_held.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
}

void
ControlCore::ProposeAll(const std::vector<wire::Command>& aCommands)
{
  for (const wire::Command& command : aCommands) {
    Propose(
      command, [](const tl::expected<uint64_t, consensus::RaftError>& aAt) {
        if (!aAt) {
          LogWarning(
            "control", "a command was not applied: {}", aAt.error().m_message);
        }
      });
  }
}

void
ControlCore::ConfirmReadyCalls()
{
  if (m_barrierInFlight || !m_held.NeedsBarrier()) {
    return;
  }
  m_barrierInFlight = true;
  ++m_counters.m_barriers;
  const uint64_t barrier = m_held.BeginBarrier();
  m_log.ReadBarrier(
    m_clock.Now(),
    [this, barrier](const tl::expected<void, consensus::RaftError>& aOk) {
      m_barrierInFlight = false;
      if (aOk && m_coordinator != nullptr) {
        AnswerConfirmed(barrier);
        return;
      }
      ++m_counters.m_failedBarriers;
      m_held.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
    });
  SchedulePump();
}

void
ControlCore::AnswerConfirmed(uint64_t aBarrier)
{
  const TimePoint now = m_clock.Now();
  for (auto& call : m_held.FinishBarrier(aBarrier)) {
    wire::SyncReply reply = m_coordinator->BuildReply(call.m_nodeId, now);
    ++m_counters.m_syncReplies;
    m_counters.m_syncReplyBytes += reply.ByteSizeLong();
    call.m_responder(std::move(reply));
  }
}

void
ControlCore::OnRaft(const wire::RaftBatch& aBatch)
{
  const TimePoint now = m_clock.Now();
  for (const wire::RaftMessage& message : aBatch.messages()) {
    m_log.Receive(message, now);
  }
  UpdateRole();
  if (m_coordinator != nullptr && m_state.Changes() != m_pumpedChanges) {
    SchedulePump();
  }
}

void
ControlCore::OnSync(uint64_t aCall,
                    const wire::SyncRequest& aRequest,
                    SyncResponder aResponder)
{
  ++m_counters.m_syncs;
  UpdateRole();
  if (aRequest.node_id().empty() || m_stopping) {
    aResponder(NoLeader());
    return;
  }
  if (m_coordinator == nullptr) {
    RelaySync(aCall, aRequest, std::move(aResponder));
    return;
  }
  if (m_held.Hold(aCall, aRequest, std::move(aResponder))) {
    ProposeAll(m_coordinator->OnSync(aRequest, m_clock.Now()));
  }
}

void
ControlCore::RelaySync(uint64_t aCall,
                       const wire::SyncRequest& aRequest,
                       SyncResponder aResponder)
{
  const auto status = m_log.Status();
  const bool relay = !aRequest.relayed() && status.m_leaderId != 0 &&
                     status.m_leaderId != status.m_replicaId;
  if (!relay || !m_transport.Relay(status.m_leaderId,
                                   aCall,
                                   aRequest,
                                   [aResponder](const wire::SyncReply* aReply) {
                                     aResponder(aReply != nullptr ? *aReply
                                                                  : NoLeader());
                                   })) {
    aResponder(NoLeader());
  }
}

void
ControlCore::OnSyncCancelled(uint64_t aCall)
{
  m_held.Forget(aCall);
  m_transport.CancelRelay(aCall);
}

void
ControlCore::Propose(const wire::Command& aCommand, ProposeCallback aCallback)
{
  ++m_counters.m_commands;
  m_log.Propose(aCommand.SerializeAsString(),
                m_clock.Now(),
                [this, callback = std::move(aCallback)](
                  tl::expected<uint64_t, consensus::RaftError> aIndex) {
                  SchedulePump();
                  callback(std::move(aIndex));
                });
  SchedulePump();
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
  SchedulePump();
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
  m_stopDeadline = m_clock.Now() + kTransferTimeout;
  if (IsLeader()) {
    LogInfo("control", "stopping, leadership is handed over");
    TransferLeadership();
  }
  ContinueStop();
}

// Held calls are answered after the transfer, so that their nodes find a new
// leader at once.
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
    LogWarning("control", "stopping as leader, no follower took over");
  }
  m_held.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
  std::exchange(m_stopDone, nullptr)();
}

} // namespace rattanloft::control
