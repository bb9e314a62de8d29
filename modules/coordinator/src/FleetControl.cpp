#include "FleetControl.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "rattanloft/base/Log.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;

// Answers a sync that a newer one of the same sidecar has replaced.
wire::FleetSyncReply
Superseded()
{
  wire::FleetSyncReply reply;
  reply.set_leading(true);
  return reply;
}

// Below half of the 100 ms between two heartbeats of the replicated log.
constexpr std::chrono::milliseconds kTick{ 40 };
constexpr Duration kPlanInterval = Milliseconds(100);
// Operators move on after a second without an answer.
constexpr Duration kAnswerLimit = Milliseconds(850);
// A replica that hears of no leader for longer asks to join again: it may have
// been removed while it was away.
constexpr Duration kLeaderSilence = Milliseconds(1000);

// The result of a callback that a coroutine waits for.
template<typename T>
struct Outcome
{
  explicit Outcome(asio::io_context& aContext)
    : m_event(aContext)
  {
  }

  Event m_event;
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
  , m_timer(aContext)
  , m_leaderHeard(aClock.Now())
{
}

void
FleetControl::Start()
{
  ScheduleTick();
}

void
FleetControl::ScheduleTick()
{
  m_timer.expires_after(kTick);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
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
  if (m_leader != nullptr && m_clock.Now() >= m_nextPlan) {
    m_nextPlan = m_clock.Now() + kPlanInterval;
    ProposePlans();
    PlanMembers();
  }
}

void
FleetControl::SchedulePump()
{
  if (std::exchange(m_pumpScheduled, true)) {
    return;
  }
  asio::post(m_context, [this] {
    m_pumpScheduled = false;
    Pump();
  });
}

void
FleetControl::Pump()
{
  m_log.Flush(m_clock.Now());
  UpdateRole();
}

void
FleetControl::UpdateRole()
{
  const consensus::RaftStatus status = m_log.Status();
  if (status.m_leaderId != 0) {
    m_leaderHeard = m_clock.Now();
  }
  if (status.m_leaderId != m_logLeader) {
    m_logLeader = status.m_leaderId;
    LogInfo("control",
            "event=leader-known leader={:016x} term={} self={:016x}",
            m_logLeader,
            status.m_term,
            status.m_replicaId);
  }
  const bool leads = status.m_role == consensus::Role::kLeader;
  if (m_leader != nullptr && (!leads || status.m_term != m_leaderTerm)) {
    LogInfo("control", "event=leadership-lost term={}", m_leaderTerm);
    m_leader.reset();
    WakeSyncs();
  }
  if (leads && m_leader == nullptr && !m_preparing) {
    BecomeLeader(status.m_term);
  }
  if (m_state.Changes() != m_seenChanges) {
    m_seenChanges = m_state.Changes();
    WakeSyncs();
  }
}

// A barrier in the new term proves that everything which earlier leaders
// committed is applied.
void
FleetControl::BecomeLeader(uint64_t aTerm)
{
  m_preparing = true;
  m_log.ReadBarrier(
    m_clock.Now(),
    [this, aTerm](const tl::expected<void, consensus::RaftError>& aOk) {
      m_preparing = false;
      const consensus::RaftStatus status = m_log.Status();
      if (!aOk || status.m_role != consensus::Role::kLeader ||
          status.m_term != aTerm) {
        return;
      }
      m_leaderTerm = aTerm;
      m_transport.ResetHealth();
      m_leader = std::make_unique<fleet::FleetLeader>(
        m_state, aTerm, fleet::LeaderTimings{}, m_clock.Now());
      LogInfo("control",
              "event=leadership-gained term={} voters={} version={}",
              aTerm,
              fleet::CountVoters(status.m_config),
              m_state.Current().configuration().version());
    });
  SchedulePump();
}

void
FleetControl::WakeSyncs()
{
  for (auto& [instance, held] : m_held) {
    held->m_event.Notify();
  }
}

bool
FleetControl::MayConfirm() const
{
  return m_leader != nullptr &&
         fleet::CountVoters(m_log.Status().m_config) >= m_targetVoters;
}

void
FleetControl::ProposePlans()
{
  if (!MayConfirm()) {
    return;
  }
  const uint64_t term = m_leaderTerm;
  for (wire::AssignRanges& assign : m_leader->Plan(m_clock.Now())) {
    wire::FleetCommand command;
    const std::string service = assign.service();
    *command.mutable_assign_ranges() = std::move(assign);
    m_log.Propose(command.SerializeAsString(),
                  m_clock.Now(),
                  [this, service, term](
                    const tl::expected<uint64_t, consensus::RaftError>& aAt) {
                    if (!aAt) {
                      LogWarning("control",
                                 "event=assignment-failed service={} reason={}",
                                 service,
                                 aAt.error().m_message);
                    }
                    // A command whose fate is unknown must keep its ranges
                    // locked; that happens only with the loss of leadership,
                    // which ends m_leader.
                    if (m_leader != nullptr && m_leaderTerm == term) {
                      m_leader->OnAssigned(service);
                      WakeSyncs();
                    }
                  });
    SchedulePump();
  }
  WakeSyncs();
}

void
FleetControl::PlanMembers()
{
  if (m_memberChangeOut) {
    return;
  }
  const consensus::RaftStatus status = m_log.Status();
  fleet::MembershipView view;
  view.m_config = status.m_config;
  view.m_self = status.m_replicaId;
  view.m_commitIndex = status.m_commitIndex;
  view.m_targetVoters = m_targetVoters;
  view.m_health = m_transport.Health();
  view.m_joins = m_joins;
  std::optional<wire::GroupConfig> next = fleet::PlanMembership(view);
  if (!next) {
    return;
  }
  m_memberChangeOut = true;
  LogInfo("member",
          "event=change members={}->{} voters={}->{}",
          status.m_config.members_size(),
          next->members_size(),
          fleet::CountVoters(status.m_config),
          fleet::CountVoters(*next));
  m_log.ProposeConfig(
    std::move(*next),
    m_clock.Now(),
    [this](const tl::expected<uint64_t, consensus::RaftError>& aAt) {
      m_memberChangeOut = false;
      m_nextPlan = m_clock.Now();
      if (!aAt) {
        LogInfo("member",
                "event=change-refused reason=\"{}\"",
                aAt.error().m_message);
        m_nextPlan = m_clock.Now() + kPlanInterval;
      }
    });
  SchedulePump();
}

wire::DeliverReply
FleetControl::OnRaft(const wire::RaftBatch& aBatch)
{
  const TimePoint now = m_clock.Now();
  for (const wire::RaftMessage& message : aBatch.messages()) {
    m_transport.LearnAddress(message.from(), aBatch.sender_address());
    m_log.Receive(message, now);
  }
  UpdateRole();
  const consensus::RaftStatus status = m_log.Status();
  wire::DeliverReply reply;
  reply.set_replica_id(status.m_replicaId);
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
  const consensus::RaftStatus status = m_log.Status();
  for (const wire::GroupMember& member : status.m_config.members()) {
    if (member.replica_id() == aRequest.replica_id()) {
      reply.set_member(true);
    }
  }
  // One identity an address: a later one means that the disk was lost.
  std::erase_if(m_joins, [&](const auto& aJoin) {
    return aJoin.second.internal_address() == aRequest.internal_address();
  });
  constexpr size_t kMaxJoins = 64;
  if (m_joins.size() < kMaxJoins) {
    m_joins[aRequest.replica_id()] = aRequest;
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
FleetControl::IsSettled() const
{
  const consensus::RaftStatus status = m_log.Status();
  bool listed = false;
  for (const wire::GroupMember& member : status.m_config.members()) {
    listed = listed || member.replica_id() == status.m_replicaId;
  }
  return listed && m_clock.Now() - m_leaderHeard < kLeaderSilence;
}

size_t
FleetControl::Sidecars() const
{
  return m_leader == nullptr ? 0 : m_leader->Sidecars(m_clock.Now());
}

asio::awaitable<bool>
FleetControl::Barrier()
{
  const auto outcome = std::make_shared<Outcome<bool>>(m_context);
  m_log.ReadBarrier(
    m_clock.Now(),
    [outcome](const tl::expected<void, consensus::RaftError>& aOk) {
      outcome->m_value = aOk.has_value();
      outcome->m_event.Notify();
    });
  SchedulePump();
  if (!outcome->m_value) {
    co_await outcome->m_event.Wait(kAnswerLimit);
  }
  co_return outcome->m_value.value_or(false);
}

asio::awaitable<tl::expected<uint64_t, consensus::RaftError>>
FleetControl::Propose(std::string aCommand)
{
  using Result = tl::expected<uint64_t, consensus::RaftError>;
  const auto outcome = std::make_shared<Outcome<Result>>(m_context);
  m_log.Propose(std::move(aCommand), m_clock.Now(), [outcome](Result aIndex) {
    outcome->m_value = std::move(aIndex);
    outcome->m_event.Notify();
  });
  SchedulePump();
  if (!outcome->m_value) {
    co_await outcome->m_event.Wait(kAnswerLimit);
  }
  if (!outcome->m_value) {
    co_return tl::unexpected(consensus::RaftError{
      consensus::RaftErrorCode::kLeadershipLost, "not confirmed in time" });
  }
  co_return std::move(*outcome->m_value);
}

asio::awaitable<ControlResult>
FleetControl::Replace(wire::ReplaceConfiguration aChange)
{
  if (!MayConfirm()) {
    co_return ControlResult::kUnavailable;
  }
  const bool leads = co_await Barrier();
  if (!leads || !MayConfirm()) {
    co_return ControlResult::kUnavailable;
  }
  fleet::ChangeOutcome outcome = m_state.Judge(aChange);
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
      co_return ControlResult::kUnavailable;
    }
    const auto applied = m_state.OutcomeAt(*index);
    if (!applied) {
      co_return ControlResult::kUnavailable;
    }
    outcome = *applied;
  }
  switch (outcome) {
    case fleet::ChangeOutcome::kAccepted:
    case fleet::ChangeOutcome::kRepeated:
      co_return ControlResult::kDone;
    case fleet::ChangeOutcome::kBaseMismatch:
      co_return ControlResult::kBaseMismatch;
    case fleet::ChangeOutcome::kVersionTooLow:
      co_return ControlResult::kInvalid;
  }
  co_return ControlResult::kUnavailable;
}

asio::awaitable<ControlResult>
FleetControl::ConfirmRead()
{
  if (m_leader == nullptr) {
    co_return ControlResult::kUnavailable;
  }
  const bool leads = co_await Barrier();
  if (!leads || !m_state.HasConfiguration()) {
    co_return ControlResult::kUnavailable;
  }
  co_return ControlResult::kDone;
}

void
FleetControl::AddMembers(wire::FleetSyncReply& aReply) const
{
  const consensus::RaftStatus status = m_log.Status();
  for (const wire::GroupMember& member : status.m_config.members()) {
    aReply.add_members(member.grpc_address());
  }
}

wire::FleetSyncReply
FleetControl::NotLeading() const
{
  wire::FleetSyncReply reply;
  reply.set_leader_address(LeaderAddress());
  AddMembers(reply);
  return reply;
}

asio::awaitable<void>
FleetControl::WaitForNews(const wire::FleetSyncRequest& aRequest,
                          std::shared_ptr<HeldSync> aHeld)
{
  const TimePoint end = m_clock.Now() + m_leader->Hold();
  while (m_leader != nullptr && !aHeld->m_replaced &&
         !m_leader->HasNews(aRequest)) {
    const Duration left = end - m_clock.Now();
    if (left <= Milliseconds(0)) {
      break;
    }
    co_await aHeld->m_event.Wait(left);
  }
}

asio::awaitable<wire::FleetSyncReply>
FleetControl::OnSync(wire::FleetSyncRequest aRequest)
{
  if (m_leader == nullptr) {
    co_return NotLeading();
  }
  const bool fresh = m_leader->OnSync(aRequest, m_clock.Now());
  if (!fresh) {
    co_return Superseded();
  }
  m_nextPlan = m_clock.Now();
  const auto before = m_held.find(aRequest.instance());
  if (before != m_held.end()) {
    before->second->m_replaced = true;
    before->second->m_event.Notify();
  }
  const auto held = std::make_shared<HeldSync>(m_context);
  m_held[aRequest.instance()] = held;
  co_await WaitForNews(aRequest, held);
  const auto mine = m_held.find(aRequest.instance());
  if (mine != m_held.end() && mine->second == held) {
    m_held.erase(mine);
  }
  const uint64_t term = m_leaderTerm;
  const bool leads = co_await Barrier();
  if (!leads || m_leader == nullptr || term != m_leaderTerm) {
    co_return NotLeading();
  }
  if (held->m_replaced) {
    co_return Superseded();
  }
  wire::FleetSyncReply reply = m_leader->BuildReply(aRequest, m_clock.Now());
  AddMembers(reply);
  co_return reply;
}

} // namespace rattanloft::coordinator
