#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "AsyncCondition.h"
#include "MemberTransport.h"
#include "control.pb.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/fleet/FleetLeader.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/fleet/MembershipPlanner.h"

namespace rattanloft::coordinator {

enum class ConfigurationResult
{
  kConfirmed,
  // Nothing can be said now; the caller may ask another coordinator.
  kUnavailable,
  kBaseMismatch,
  kInvalidVersion,
};

// Drives the replicated log, the membership of the group and, on the leader,
// the fleet. Owned by the coordinator; control thread only.
class FleetControl
{
public:
  // The arguments outlive the control.
  FleetControl(boost::asio::io_context& aContext,
               const Clock& aClock,
               consensus::ReplicatedLog& aLog,
               const fleet::FleetState& aState,
               MemberTransport& aTransport,
               size_t aTargetVoters);

  void Start();
  void TransferLeadership() { m_log.TransferLeadership(m_clock.Now()); }

  wire::DeliverReply OnRaftBatch(const wire::RaftBatch& aBatch);
  boost::asio::awaitable<wire::FleetSyncReply> OnSync(
    wire::FleetSyncRequest aRequest);
  wire::JoinReply OnJoin(const wire::JoinRequest& aRequest);

  // Puts the configuration in force unless another change came first.
  boost::asio::awaitable<ConfigurationResult> ReplaceConfiguration(
    wire::ReplaceConfiguration aChange);
  // kConfirmed once Configuration() is known to be the newest that was
  // confirmed.
  boost::asio::awaitable<ConfigurationResult> ConfirmRead();
  const wire::ReplaceConfiguration& CurrentChange() const
  {
    return m_state.CurrentChange();
  }

  // Internal address of the known leader, empty for none; the own one if this
  // is the leader.
  std::string LeaderAddress() const;
  bool IsLeading() const { return m_leader != nullptr; }
  // Whether this replica is listed and has heard of a leader lately.
  bool HasJoinedGroup() const;
  consensus::LogStatus Status() const { return m_log.Status(); }
  size_t CountSidecars() const;

private:
  struct HeldSync
  {
    explicit HeldSync(boost::asio::io_context& aContext)
      : m_condition(aContext)
    {
    }

    AsyncCondition m_condition;
    bool m_replaced = false;
  };

  void ScheduleTick();
  void OnTick();
  void ScheduleFlush();
  void FlushLog();
  void UpdateRole();
  void BecomeLeader(uint64_t aTerm);
  void ProposeAssignments();
  void ProposeMembershipChange();
  void WakeHeldSyncs();
  bool CanConfirm() const;
  boost::asio::awaitable<bool> PassReadBarrier();
  boost::asio::awaitable<tl::expected<uint64_t, consensus::LogError>> Propose(
    std::string aCommand);
  boost::asio::awaitable<void> WaitForUpdates(
    const wire::FleetSyncRequest& aRequest,
    std::shared_ptr<HeldSync> aHeld);
  wire::FleetSyncReply MakeNotLeadingReply() const;
  void AddMemberAddresses(wire::FleetSyncReply& aReply) const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  consensus::ReplicatedLog& m_log;
  const fleet::FleetState& m_state;
  MemberTransport& m_transport;
  size_t m_targetVoters;
  boost::asio::steady_timer m_tickTimer;
  std::unique_ptr<fleet::FleetLeader> m_leader;
  uint64_t m_leaderTerm = 0;
  bool m_leadershipPending = false;
  bool m_flushScheduled = false;
  bool m_memberChangePending = false;
  uint64_t m_seenChangeCount = 0;
  uint64_t m_knownLeaderId = 0;
  TimePoint m_nextPlanAt;
  TimePoint m_leaderLastKnownAt;
  std::map<uint64_t, wire::JoinRequest> m_joins;
  std::map<std::string, std::shared_ptr<HeldSync>> m_heldSyncs;
};

} // namespace rattanloft::coordinator
