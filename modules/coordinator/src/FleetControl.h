#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Event.h"
#include "MemberTransport.h"
#include "control.pb.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/fleet/FleetLeader.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/fleet/MembershipPlanner.h"

namespace rattanloft::coordinator {

enum class ControlResult
{
  kDone,
  // Nothing can be said now; the caller may ask another coordinator.
  kUnavailable,
  kBaseMismatch,
  kInvalid,
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

  wire::DeliverReply OnRaft(const wire::RaftBatch& aBatch);
  boost::asio::awaitable<wire::FleetSyncReply> OnSync(
    wire::FleetSyncRequest aRequest);
  wire::JoinReply OnJoin(const wire::JoinRequest& aRequest);

  // Puts the configuration in force unless another change came first.
  boost::asio::awaitable<ControlResult> Replace(
    wire::ReplaceConfiguration aChange);
  // kDone once Configuration() is known to be the newest that was confirmed.
  boost::asio::awaitable<ControlResult> ConfirmRead();
  const wire::ReplaceConfiguration& Current() const
  {
    return m_state.Current();
  }

  // Internal address of the known leader, empty for none; the own one if this
  // is the leader.
  std::string LeaderAddress() const;
  bool IsLeading() const { return m_leader != nullptr; }
  // Whether this replica is listed and has heard of a leader lately.
  bool IsSettled() const;
  consensus::RaftStatus Status() const { return m_log.Status(); }
  size_t Sidecars() const;

private:
  struct HeldSync
  {
    explicit HeldSync(boost::asio::io_context& aContext)
      : m_event(aContext)
    {
    }

    Event m_event;
    bool m_replaced = false;
  };

  void ScheduleTick();
  void OnTick();
  void SchedulePump();
  void Pump();
  void UpdateRole();
  void BecomeLeader(uint64_t aTerm);
  void ProposePlans();
  void PlanMembers();
  void WakeSyncs();
  bool MayConfirm() const;
  boost::asio::awaitable<bool> Barrier();
  boost::asio::awaitable<tl::expected<uint64_t, consensus::RaftError>> Propose(
    std::string aCommand);
  boost::asio::awaitable<void> WaitForNews(
    const wire::FleetSyncRequest& aRequest,
    std::shared_ptr<HeldSync> aHeld);
  wire::FleetSyncReply NotLeading() const;
  void AddMembers(wire::FleetSyncReply& aReply) const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  consensus::ReplicatedLog& m_log;
  const fleet::FleetState& m_state;
  MemberTransport& m_transport;
  size_t m_targetVoters;
  boost::asio::steady_timer m_timer;
  std::unique_ptr<fleet::FleetLeader> m_leader;
  uint64_t m_leaderTerm = 0;
  bool m_preparing = false;
  bool m_pumpScheduled = false;
  bool m_memberChangeOut = false;
  uint64_t m_seenChanges = 0;
  uint64_t m_logLeader = 0;
  TimePoint m_nextPlan;
  TimePoint m_leaderHeard;
  std::map<uint64_t, wire::JoinRequest> m_joins;
  std::map<std::string, std::shared_ptr<HeldSync>> m_held;
};

} // namespace rattanloft::coordinator
