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
#include "rattanloft/fleet/JoinRequests.h"
#include "rattanloft/fleet/MembershipPlanner.h"

namespace rattanloft::coordinator {

// Result of a call that changes or reads the configuration.
enum class ConfigurationResult
{
  // A quorum has confirmed the change, or that the state to read is current.
  kConfirmed,
  // This coordinator cannot confirm the outcome. A change may have been made or
  // may still be made; the caller may call another coordinator.
  kUnavailable,
  // The change is based on another version than the one in force.
  kBaseMismatch,
  // The new version is not above the one in force.
  kInvalidVersion,
};

// Result of an order that starts or ends an evacuation.
enum class EvacuationResult
{
  // A quorum has confirmed that the order is in force.
  kConfirmed,
  // This coordinator cannot confirm the outcome. The order may be or come in
  // force; the caller may call another coordinator.
  kUnavailable,
  // The order is refused, since too many zones are under evacuation.
  kTooManyZones,
};

// Drives the replicated log and, on the leader, changes the membership of the
// group and runs the FleetLeader. Owned by the coordinator and used on its
// control thread only.
class FleetControl
{
public:
  // All references must outlive this object. aTargetVoters is the number of
  // voters that the group must have before it confirms any change.
  FleetControl(boost::asio::io_context& aContext,
               const Clock& aClock,
               consensus::ReplicatedLog& aLog,
               const fleet::FleetState& aState,
               MemberTransport& aTransport,
               size_t aTargetVoters);

  // Starts the periodic tick.
  void Start();
  void TransferLeadership() { m_log.TransferLeadership(m_clock.Now()); }

  // Handles Raft messages of another coordinator.
  wire::DeliverReply OnRaftBatch(const wire::RaftBatch& aBatch);
  // Handles the sync request of a sidecar. On the leader, holds it until there
  // are updates for the sidecar, FleetLeader::MaxSyncHold() has passed, or a
  // newer request of the sidecar arrives.
  boost::asio::awaitable<wire::FleetSyncReply> OnSync(
    wire::FleetSyncRequest aRequest);
  // Handles the request of a coordinator to become a member of the group. The
  // reply contains the address of the known leader, which must get the request.
  wire::JoinReply OnJoin(const wire::JoinRequest& aRequest);

  // Puts the configuration in force, unless another version than its base
  // version is in force by then.
  boost::asio::awaitable<ConfigurationResult> ReplaceConfiguration(
    wire::ReplaceConfiguration aChange);
  // Returns kConfirmed once CurrentChange() is known to be the newest change
  // that was confirmed.
  boost::asio::awaitable<ConfigurationResult> ConfirmRead();
  // Starts or ends an evacuation. Returns within the time that operators wait.
  boost::asio::awaitable<EvacuationResult> SetEvacuation(
    wire::SetEvacuation aOrder);
  size_t CountEvacuatedZones() const { return m_state.EvacuatedZones().size(); }
  size_t CountDepartures() const { return m_state.Departures().size(); }
  // Returns the change that put the current configuration in force.
  const wire::ReplaceConfiguration& CurrentChange() const
  {
    return m_state.CurrentChange();
  }

  // Returns the internal address of the known leader, which may be this
  // replica; empty if no leader is known.
  std::string LeaderAddress() const;
  // Whether this replica is the leader and has applied everything that earlier
  // leaders committed.
  bool IsLeading() const { return m_leader != nullptr; }
  // Whether the group configuration lists this replica and it has known of a
  // leader recently.
  bool HasJoinedGroup() const;
  consensus::RaftStatus Status() const { return m_log.Status(); }
  // Returns the number of live sidecars; 0 if this replica is not the leader.
  size_t CountSidecars() const;
  // Returns the number of voters that are to be replaced; 0 if this replica is
  // not the leader.
  size_t CountLostVoters() const;
  // See fleet::FleetLeader; 0 if this replica is not the leader.
  size_t CountPendingTransfers() const;
  size_t CountOpenCommands() const;

private:
  // A sync request that waits for updates.
  struct HeldSync
  {
    explicit HeldSync(boost::asio::io_context& aContext)
      : m_condition(aContext)
    {
    }

    AsyncCondition m_condition;
    // Set once a newer request of the same sidecar has arrived.
    bool m_replaced = false;
  };

  void ScheduleTick();
  void OnTick();
  // Posts a call of FlushLog(), so that the commands and read barriers queued
  // by the current handlers are sent without waiting for the next tick.
  void ScheduleFlush();
  void FlushLog();
  // Reacts to changes of the leader and of the replicated state.
  void UpdateRole();
  void BecomeLeader(uint64_t aTerm);
  void ProposeAssignments();
  // Proposes to record departures that sidecars report, and to drop old ones.
  void ProposeDepartures();
  fleet::MembershipView ViewMembership() const;
  // Proposes the next change of one member, if one is needed.
  void ProposeMembershipChange();
  // Logs which voters are lost and what delays their replacement, if that is
  // news.
  void LogLostVoters(const fleet::MembershipView& aView);
  void WakeHeldSyncs();
  // Whether this replica leads a group with enough voters to confirm changes.
  bool CanConfirm() const;
  // Returns whether a quorum has confirmed in time that this replica is the
  // leader.
  boost::asio::awaitable<bool> PassReadBarrier();
  // Whether the state is as ordered and no command that may change it is on its
  // way.
  bool IsEvacuationInForce(const wire::SetEvacuation& aOrder) const;
  // Appends a serialized command to the replicated log and returns its index
  // once it is applied. aOnSettled may be empty; it is called once the outcome
  // is known, which may be after this call has timed out.
  boost::asio::awaitable<tl::expected<uint64_t, consensus::RaftError>> Propose(
    std::string aCommand,
    std::function<void()> aOnSettled = {});
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
  // Null unless this replica is the leader.
  std::unique_ptr<fleet::FleetLeader> m_leader;
  // Term in which m_leader was created.
  uint64_t m_leaderTerm = 0;
  // Elected, but the read barrier of the new term has not completed yet.
  bool m_leadershipPending = false;
  bool m_flushScheduled = false;
  // The outcome of a proposed membership change is not known yet.
  bool m_memberChangePending = false;
  // Proposed SetEvacuation commands whose outcome is not known yet.
  size_t m_pendingEvacuations = 0;
  // Value of FleetState::ChangeCount() when held requests were last woken for
  // it.
  uint64_t m_seenChangeCount = 0;
  // Replica id of the leader known to the replicated log; 0 for none.
  uint64_t m_knownLeaderId = 0;
  // When assignments and membership changes are planned next.
  TimePoint m_nextPlanAt;
  // When a leader was last known.
  TimePoint m_leaderLastKnownAt;
  fleet::JoinRequests m_joinRequests;
  // What LogLostVoters() logged last.
  std::string m_loggedLostVoters;
  // By instance of the sidecar.
  std::map<std::string, std::shared_ptr<HeldSync>> m_heldSyncs;
};

} // namespace rattanloft::coordinator
