#include "FleetControl.h"

#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "rattanloft/base/Log.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;

// Reply to a sync request that a newer one of the same sidecar has superseded.
// Contains no updates.
wire::FleetSyncReply
MakeSupersededReply()
{
  wire::FleetSyncReply reply;
  reply.set_leading(true);
  return reply;
}

// Less than half of the heartbeat interval of the replicated log, 100 ms.
constexpr std::chrono::milliseconds kTickInterval{ 40 };
// Longest time between two passes that plan assignments and membership changes.
constexpr Duration kPlanInterval = Milliseconds(100);
// Longest wait for the replicated log. Operators wait for a response for one
// second, so the wait must end before that.
constexpr Duration kAnswerTimeout = Milliseconds(850);
// A replica that knows of no leader for this long sends join requests again,
// since it may have been removed from the group while it was unreachable.
constexpr Duration kMaxLeaderSilence = Milliseconds(1000);

std::string_view
ObstacleName(fleet::ReplacementObstacle aObstacle)
{
  switch (aObstacle) {
    case fleet::ReplacementObstacle::kNone:
      return "none";
    case fleet::ReplacementObstacle::kNoReadyLearner:
      return "no-ready-learner";
    case fleet::ReplacementObstacle::kNoQuorum:
      return "no-quorum";
  }
  return "unknown";
}

// Passes the result of a callback to the coroutine that waits for it. m_value
// is empty until the callback has run.
template<typename T>
struct PendingResult
{
  explicit PendingResult(asio::io_context& aContext)
    : m_condition(aContext)
  {
  }

  AsyncCondition m_condition;
  std::optional<T> m_value;
};

} // namespace

FleetControl::FleetControl(asio::io_context& aContext,
                           const Clock& aClock,
                           consensus::ReplicatedLog& aLog,
                           const fleet::FleetState& aState,
                           MemberTransport& aTransport,
                           size_t aTargetVoters)
  : m_context(aContext)
  , m_clock(aClock)
  , m_log(aLog)
  , m_state(aState)
  , m_transport(aTransport)
  , m_targetVoters(aTargetVoters)
  , m_tickTimer(aContext)
  , m_leaderLastKnownAt(aClock.Now())
{
}

void
FleetControl::Start()
{
  m_transport.SetLossHandler([this](uint64_t aReplicaId) {
    m_log.OnMessagesLost(aReplicaId, m_clock.Now());
  });
  ScheduleTick();
}

void
FleetControl::ScheduleTick()
{
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnTick();
      ScheduleTick();
    }
  });
}

void
FleetControl::OnTick()
{
  m_log.Tick(m_clock.Now());
  UpdateRole();
  if (m_leader != nullptr && m_clock.Now() >= m_nextPlanAt) {
    m_nextPlanAt = m_clock.Now() + kPlanInterval;
    ProposeAssignments();
    ProposeDepartures();
    ProposeMembershipChange();
  }
}

void
FleetControl::ScheduleFlush()
{
  if (std::exchange(m_flushScheduled, true)) {
    return;
  }
  asio::post(m_context, [this] {
    m_flushScheduled = false;
    FlushLog();
  });
}

void
FleetControl::FlushLog()
{
  m_log.Flush(m_clock.Now());
  UpdateRole();
}

void
FleetControl::UpdateRole()
{
  const consensus::RaftStatus status = m_log.Status();
  if (status.m_leaderId != 0) {
    m_leaderLastKnownAt = m_clock.Now();
  }
  if (status.m_leaderId != m_knownLeaderId) {
    m_knownLeaderId = status.m_leaderId;
    LogInfo("control",
            "event=leader-known leader={:016x} term={} self={:016x}",
            m_knownLeaderId,
            status.m_term,
            status.m_replicaId);
  }
  const bool leads = status.m_role == consensus::Role::kLeader;
  if (m_leader != nullptr && (!leads || status.m_term != m_leaderTerm)) {
    LogInfo("control", "event=leadership-lost term={}", m_leaderTerm);
    m_leader.reset();
    WakeHeldSyncs();
  }
  if (leads && m_leader == nullptr && !m_leadershipPending) {
    BecomeLeader(status.m_term);
  }
  if (m_state.ChangeCount() != m_seenChangeCount) {
    m_seenChangeCount = m_state.ChangeCount();
    WakeHeldSyncs();
  }
}

// A read barrier in the new term proves that this replica has applied
// everything that earlier leaders committed. Only then may it lead the fleet.
void
FleetControl::BecomeLeader(uint64_t aTerm)
{
  m_leadershipPending = true;
  m_log.ReadBarrier(
    m_clock.Now(),
    [this, aTerm](const tl::expected<void, consensus::RaftError>& aResult) {
      m_leadershipPending = false;
      const consensus::RaftStatus status = m_log.Status();
      if (!aResult || status.m_role != consensus::Role::kLeader ||
          status.m_term != aTerm) {
        return;
      }
      m_leaderTerm = aTerm;
      m_transport.ResetPeerHealth();
      m_joinRequests.OnLeadershipGained();
      m_loggedLostVoters.clear();
      m_leader = std::make_unique<fleet::FleetLeader>(
        m_state, aTerm, fleet::LeaderTimings{}, m_clock.Now());
      LogInfo("control",
              "event=leadership-gained term={} voters={} version={} "
              "departures={}",
              aTerm,
              fleet::CountVoters(status.m_config),
              m_state.CurrentChange().configuration().version(),
              m_state.Departures().size());
    });
  ScheduleFlush();
}

void
FleetControl::WakeHeldSyncs()
{
  for (auto& [instance, held] : m_heldSyncs) {
    held->m_condition.NotifyAll();
  }
}

bool
FleetControl::CanConfirm() const
{
  return m_leader != nullptr &&
         fleet::CountVoters(m_log.Status().m_config) >= m_targetVoters;
}

void
FleetControl::ProposeAssignments()
{
  if (!CanConfirm()) {
    return;
  }
  const uint64_t term = m_leaderTerm;
  for (wire::AssignRanges& assign : m_leader->PlanAssignments(m_clock.Now())) {
    wire::FleetCommand command;
    const std::string service = assign.service();
    *command.mutable_assign_ranges() = std::move(assign);
    m_log.Propose(
      command.SerializeAsString(),
      m_clock.Now(),
      [this, service, term](
        const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
        if (!aIndex) {
          LogWarning("control",
                     "event=assignment-failed service={} reason={}",
                     service,
                     aIndex.error().m_message);
        }
        // The ranges of a command whose outcome is unknown must
        // stay locked. The outcome is unknown only if leadership
        // was lost, and then m_leader is deleted.
        if (m_leader != nullptr && m_leaderTerm == term) {
          m_leader->OnAssignmentFinished(service);
          WakeHeldSyncs();
        }
      });
    ScheduleFlush();
  }
  WakeHeldSyncs();
}

void
FleetControl::ProposeDepartures()
{
  if (!CanConfirm()) {
    return;
  }
  std::optional<wire::ChangeDepartures> change =
    m_leader->PlanDepartures(m_clock.Now());
  if (!change) {
    return;
  }
  const uint64_t term = m_leaderTerm;
  const int recordedCount = change->recorded_size();
  const int droppedCount = change->dropped_size();
  wire::FleetCommand command;
  *command.mutable_change_departures() = *std::move(change);
  m_log.Propose(
    command.SerializeAsString(),
    m_clock.Now(),
    [this, term, recordedCount, droppedCount](
      const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
      if (aIndex) {
        LogInfo("control",
                "event=departures index={} recorded={} dropped={} total={}",
                *aIndex,
                recordedCount,
                droppedCount,
                m_state.Departures().size());
      } else {
        LogWarning(
          "control",
          "event=departures-failed recorded={} dropped={} reason=\"{}\"",
          recordedCount,
          droppedCount,
          aIndex.error().m_message);
      }
      if (m_leader != nullptr && m_leaderTerm == term) {
        m_leader->OnDeparturesFinished();
        // Those that were reported meanwhile.
        m_nextPlanAt = m_clock.Now();
        WakeHeldSyncs();
      }
    });
  ScheduleFlush();
}

fleet::MembershipView
FleetControl::ViewMembership() const
{
  const consensus::RaftStatus status = m_log.Status();
  fleet::MembershipView view;
  view.m_config = status.m_config;
  view.m_self = status.m_replicaId;
  view.m_commitIndex = status.m_commitIndex;
  view.m_targetVoters = m_targetVoters;
  view.m_health = m_transport.PeerHealth();
  view.m_joins = m_joinRequests.ByReplica();
  return view;
}

size_t
FleetControl::CountLostVoters() const
{
  return m_leader == nullptr
           ? 0
           : fleet::ReportMembership(ViewMembership()).m_lostVoters.size();
}

void
FleetControl::LogLostVoters(const fleet::MembershipView& aView)
{
  const fleet::MembershipReport report = fleet::ReportMembership(aView);
  std::string text;
  if (!report.m_lostVoters.empty()) {
    text = fmt::format("voters={:016x} obstacle={}",
                       fmt::join(report.m_lostVoters, ","),
                       ObstacleName(report.m_obstacle));
  }
  if (text == m_loggedLostVoters) {
    return;
  }
  m_loggedLostVoters = text;
  if (text.empty()) {
    LogInfo("member", "event=voters-complete");
    return;
  }
  LogInfo("member", "event=voters-lost {}", text);
  if (report.m_obstacle == fleet::ReplacementObstacle::kNone) {
    return;
  }
  for (const wire::GroupMember& member : aView.m_config.members()) {
    const auto health = aView.m_health.find(member.replica_id());
    if (health != aView.m_health.end()) {
      LogInfo("member",
              "event=health peer={:016x} address={} learner={} silence_ms={} "
              "applied_index={} commit_index={}",
              member.replica_id(),
              member.grpc_address(),
              member.learner(),
              health->second.m_silence.m_ms,
              health->second.m_appliedIndex,
              aView.m_commitIndex);
    }
  }
}

void
FleetControl::ProposeMembershipChange()
{
  if (m_memberChangePending) {
    return;
  }
  const fleet::MembershipView view = ViewMembership();
  LogLostVoters(view);
  std::optional<wire::GroupConfig> next = fleet::PlanMembership(view);
  if (!next) {
    return;
  }
  m_memberChangePending = true;
  m_joinRequests.OnMembersChanged(view.m_config, *next);
  LogInfo("member",
          "event=change members={}->{} voters={}->{} {}",
          view.m_config.members_size(),
          next->members_size(),
          fleet::CountVoters(view.m_config),
          fleet::CountVoters(*next),
          fleet::DescribeMemberChange(view.m_config, *next));
  m_log.ProposeConfig(
    std::move(*next),
    m_clock.Now(),
    [this](const tl::expected<uint64_t, consensus::RaftError>& aIndex) {
      m_memberChangePending = false;
      m_nextPlanAt = m_clock.Now();
      if (!aIndex) {
        LogInfo("member",
                "event=change-refused reason=\"{}\"",
                aIndex.error().m_message);
        m_nextPlanAt = m_clock.Now() + kPlanInterval;
      }
    });
  ScheduleFlush();
}

wire::DeliverReply
FleetControl::OnRaftBatch(const wire::RaftBatch& aBatch)
{
  const TimePoint now = m_clock.Now();
  for (const wire::RaftMessage& message : aBatch.messages()) {
    m_transport.LearnAddress(message.from(), aBatch.sender_address());
    m_log.Receive(message, now);
  }
  UpdateRole();
  const consensus::RaftStatus status = m_log.Status();
  wire::DeliverReply reply;
  // Without an id the reply does not count as a sign of life, so that a spare
  // replica can take the place of one whose storage has failed.
  if (!status.m_storageFailed) {
    reply.set_replica_id(status.m_replicaId);
  }
  reply.set_applied_index(status.m_appliedIndex);
  return reply;
}

wire::JoinReply
FleetControl::OnJoin(const wire::JoinRequest& aRequest)
{
  wire::JoinReply reply;
  reply.set_leader_address(LeaderAddress());
  if (m_leader == nullptr) {
    return reply;
  }
  reply.set_member(
    fleet::IsMember(m_log.Status().m_config, aRequest.replica_id()));
  m_joinRequests.Record(aRequest);
  if (!m_joinRequests.ByReplica().contains(aRequest.replica_id())) {
    LogWarning("member",
               "event=join-dropped replica={:016x} waiting={}",
               aRequest.replica_id(),
               m_joinRequests.ByReplica().size());
  }
  return reply;
}

std::string
FleetControl::LeaderAddress() const
{
  const consensus::RaftStatus status = m_log.Status();
  for (const wire::GroupMember& member : status.m_config.members()) {
    if (member.replica_id() == status.m_leaderId) {
      return member.grpc_address();
    }
  }
  return {};
}

bool
FleetControl::HasJoinedGroup() const
{
  const consensus::RaftStatus status = m_log.Status();
  return fleet::IsMember(status.m_config, status.m_replicaId) &&
         m_clock.Now() - m_leaderLastKnownAt < kMaxLeaderSilence;
}

size_t
FleetControl::CountSidecars() const
{
  return m_leader == nullptr ? 0 : m_leader->CountSidecars(m_clock.Now());
}

size_t
FleetControl::CountPendingTransfers() const
{
  return m_leader == nullptr ? 0 : m_leader->CountPendingTransfers();
}

size_t
FleetControl::CountOpenCommands() const
{
  return m_leader == nullptr ? 0 : m_leader->CountOpenCommands();
}

asio::awaitable<bool>
FleetControl::PassReadBarrier()
{
  const auto pending = std::make_shared<PendingResult<bool>>(m_context);
  m_log.ReadBarrier(
    m_clock.Now(),
    [pending](const tl::expected<void, consensus::RaftError>& aResult) {
      pending->m_value = aResult.has_value();
      pending->m_condition.NotifyAll();
    });
  ScheduleFlush();
  if (!pending->m_value) {
    co_await pending->m_condition.Wait(kAnswerTimeout);
  }
  co_return pending->m_value.value_or(false);
}

asio::awaitable<tl::expected<uint64_t, consensus::RaftError>>
FleetControl::Propose(std::string aCommand, std::function<void()> aOnSettled)
{
  using Result = tl::expected<uint64_t, consensus::RaftError>;
  const auto pending = std::make_shared<PendingResult<Result>>(m_context);
  m_log.Propose(std::move(aCommand),
                m_clock.Now(),
                [pending, settled = std::move(aOnSettled)](Result aIndex) {
                  if (settled) {
                    settled();
                  }
                  pending->m_value = std::move(aIndex);
                  pending->m_condition.NotifyAll();
                });
  ScheduleFlush();
  if (!pending->m_value) {
    co_await pending->m_condition.Wait(kAnswerTimeout);
  }
  if (!pending->m_value) {
    co_return tl::unexpected(
      consensus::RaftError{ consensus::RaftErrorCode::kLeadershipLost,
                            "the command was not confirmed in time" });
  }
  co_return std::move(*pending->m_value);
}

asio::awaitable<ConfigurationResult>
FleetControl::ReplaceConfiguration(wire::ReplaceConfiguration aChange)
{
  if (!CanConfirm()) {
    co_return ConfigurationResult::kUnavailable;
  }
  const bool leads = co_await PassReadBarrier();
  if (!leads || !CanConfirm()) {
    co_return ConfigurationResult::kUnavailable;
  }
  fleet::ChangeOutcome outcome = m_state.EvaluateChange(aChange);
  if (outcome == fleet::ChangeOutcome::kAccepted) {
    wire::FleetCommand command;
    *command.mutable_replace_configuration() = std::move(aChange);
    std::string bytes = command.SerializeAsString();
    const tl::expected<uint64_t, consensus::RaftError> index =
      co_await Propose(std::move(bytes));
    if (!index) {
      LogWarning("control",
                 "event=configuration-unconfirmed reason=\"{}\"",
                 index.error().m_message);
      co_return ConfigurationResult::kUnavailable;
    }
    const auto applied = m_state.OutcomeAt(*index);
    if (!applied) {
      co_return ConfigurationResult::kUnavailable;
    }
    outcome = *applied;
  }
  switch (outcome) {
    case fleet::ChangeOutcome::kAccepted:
    case fleet::ChangeOutcome::kRepeated:
      co_return ConfigurationResult::kConfirmed;
    case fleet::ChangeOutcome::kBaseMismatch:
      co_return ConfigurationResult::kBaseMismatch;
    case fleet::ChangeOutcome::kVersionTooLow:
      co_return ConfigurationResult::kInvalidVersion;
  }
  co_return ConfigurationResult::kUnavailable;
}

bool
FleetControl::IsEvacuationInForce(const wire::SetEvacuation& aOrder) const
{
  return m_pendingEvacuations == 0 && m_state.EvaluateEvacuation(aOrder) ==
                                        fleet::EvacuationOutcome::kInForce;
}

// Waits for the replicated log only once, so that the operator gets the answer
// in time: for a read barrier if the order is in force, otherwise for the
// commit of the command.
asio::awaitable<EvacuationResult>
FleetControl::SetEvacuation(wire::SetEvacuation aOrder)
{
  if (!CanConfirm()) {
    co_return EvacuationResult::kUnavailable;
  }
  if (IsEvacuationInForce(aOrder)) {
    const bool leads = co_await PassReadBarrier();
    const bool inForce = leads && IsEvacuationInForce(aOrder);
    co_return inForce ? EvacuationResult::kConfirmed
                      : EvacuationResult::kUnavailable;
  }
  if (m_state.EvaluateEvacuation(aOrder) ==
      fleet::EvacuationOutcome::kTooManyZones) {
    co_return EvacuationResult::kTooManyZones;
  }
  wire::FleetCommand command;
  *command.mutable_set_evacuation() = aOrder;
  std::string bytes = command.SerializeAsString();
  ++m_pendingEvacuations;
  const tl::expected<uint64_t, consensus::RaftError> index =
    co_await Propose(std::move(bytes), [this] { --m_pendingEvacuations; });
  if (!index) {
    LogWarning("control",
               "event=evacuation-unconfirmed reason=\"{}\"",
               index.error().m_message);
    co_return EvacuationResult::kUnavailable;
  }
  LogInfo("control",
          "event=evacuation zone=\"{}\" active={} index={} evacuated_zones={}",
          aOrder.zone(),
          aOrder.active(),
          *index,
          m_state.EvacuatedZones().size());
  // Another order may have taken the last place before this one was applied.
  const bool refused = m_state.EvaluateEvacuation(aOrder) ==
                       fleet::EvacuationOutcome::kTooManyZones;
  co_return refused ? EvacuationResult::kTooManyZones
                    : EvacuationResult::kConfirmed;
}

asio::awaitable<ConfigurationResult>
FleetControl::ConfirmRead()
{
  if (m_leader == nullptr) {
    co_return ConfigurationResult::kUnavailable;
  }
  const bool leads = co_await PassReadBarrier();
  if (!leads || !m_state.HasConfiguration()) {
    co_return ConfigurationResult::kUnavailable;
  }
  co_return ConfigurationResult::kConfirmed;
}

void
FleetControl::AddMemberAddresses(wire::FleetSyncReply& aReply) const
{
  const consensus::RaftStatus status = m_log.Status();
  for (const wire::GroupMember& member : status.m_config.members()) {
    aReply.add_members(member.grpc_address());
  }
}

wire::FleetSyncReply
FleetControl::MakeNotLeadingReply() const
{
  wire::FleetSyncReply reply;
  reply.set_leader_address(LeaderAddress());
  AddMemberAddresses(reply);
  return reply;
}

asio::awaitable<void>
FleetControl::WaitForUpdates(const wire::FleetSyncRequest& aRequest,
                             std::shared_ptr<HeldSync> aHeld)
{
  const TimePoint end = m_clock.Now() + m_leader->MaxSyncHold();
  while (m_leader != nullptr && !aHeld->m_replaced &&
         !m_leader->HasUpdates(aRequest)) {
    const Duration left = end - m_clock.Now();
    if (left <= Milliseconds(0)) {
      break;
    }
    co_await aHeld->m_condition.Wait(left);
  }
}

asio::awaitable<wire::FleetSyncReply>
FleetControl::OnSync(wire::FleetSyncRequest aRequest)
{
  if (m_leader == nullptr) {
    co_return MakeNotLeadingReply();
  }
  const bool accepted = m_leader->OnSync(aRequest, m_clock.Now());
  if (!accepted) {
    co_return MakeSupersededReply();
  }
  m_nextPlanAt = m_clock.Now();
  if (!aRequest.departures().empty()) {
    // The backend server waits for its confirmation.
    ProposeDepartures();
  }
  const auto previous = m_heldSyncs.find(aRequest.instance());
  if (previous != m_heldSyncs.end()) {
    previous->second->m_replaced = true;
    previous->second->m_condition.NotifyAll();
  }
  const auto held = std::make_shared<HeldSync>(m_context);
  m_heldSyncs[aRequest.instance()] = held;
  co_await WaitForUpdates(aRequest, held);
  const auto current = m_heldSyncs.find(aRequest.instance());
  if (current != m_heldSyncs.end() && current->second == held) {
    m_heldSyncs.erase(current);
  }
  const uint64_t term = m_leaderTerm;
  const bool leads = co_await PassReadBarrier();
  if (!leads || m_leader == nullptr || term != m_leaderTerm) {
    co_return MakeNotLeadingReply();
  }
  if (held->m_replaced) {
    co_return MakeSupersededReply();
  }
  wire::FleetSyncReply reply = m_leader->BuildReply(aRequest, m_clock.Now());
  AddMemberAddresses(reply);
  co_return reply;
}

} // namespace rattanloft::coordinator
