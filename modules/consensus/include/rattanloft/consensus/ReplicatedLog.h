#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "raft.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/consensus/StateMachine.h"

namespace rattanloft::storage {
class LogStore;
class SnapshotStore;
} // namespace rattanloft::storage

namespace rattanloft::consensus {

enum class Role
{
  kLearner,
  kFollower,
  kCandidate,
  kLeader,
};

enum class RaftErrorCode
{
  // This replica is not the leader; nothing was appended.
  kNotLeader,
  // Leadership was lost after the append; the command may still commit.
  kLeadershipLost,
  // Too many proposals wait; nothing was appended.
  kBusy,
  // The store refuses writes, for example on a full disk; nothing was appended.
  kStorageFailure,
  kInvalidArgument,
};

// Commands above this size are refused with kInvalidArgument, so that a message
// stays within 256 KB.
constexpr size_t kMaxCommandBytes = 200 * 1024;

struct RaftError
{
  RaftErrorCode m_code;
  std::string m_message;
};

struct RaftStatus
{
  Role m_role = Role::kFollower;
  uint64_t m_replicaId = 0;
  uint64_t m_term = 0;
  // Replica id of the known leader, 0 for none.
  uint64_t m_leaderId = 0;
  uint64_t m_lastIndex = 0;
  uint64_t m_commitIndex = 0;
  uint64_t m_appliedIndex = 0;
  uint64_t m_firstIndex = 0;
  wire::GroupConfig m_config;
};

struct ReplicatedLogOptions
{
  uint64_t m_replicaId = 0;
  // Used only while the store is empty: the founding members, all with the
  // same list. Empty for a replica that will be added as a learner.
  wire::GroupConfig m_bootstrapConfig;
  uint64_t m_seed = 1;
  Duration m_heartbeatInterval = Milliseconds(100);
  Duration m_minElectionTimeout = Milliseconds(400);
  Duration m_maxElectionTimeout = Milliseconds(800);
  // Election timeouts after a start until a leader is heard, for m_startPhase.
  // A pre-vote does not disturb a leader that others hear, so a group that
  // restarts as a whole need not wait for the regular timeouts.
  Duration m_minStartupElectionTimeout = Milliseconds(50);
  Duration m_maxStartupElectionTimeout = Milliseconds(250);
  Duration m_startupPeriod = Milliseconds(2000);
  // Applied entries between snapshots.
  uint64_t m_snapshotIntervalEntries = 10'000;
  // Entries kept in memory behind a snapshot, so that a follower that is a
  // little behind needs no snapshot.
  uint64_t m_retainedEntries = 2'000;
  // Proposals, and separately read barriers, without a result; more are refused
  // with kBusy.
  size_t m_maxPendingRequests = 4'096;
  // Payload of the proposals without a result.
  size_t m_maxPendingCommandBytes = 16 * 1024 * 1024;
  // Payload applied since the last snapshot that leads to the next one before
  // the interval ends; also bounds the entries kept behind a snapshot.
  size_t m_snapshotIntervalBytes = 16 * 1024 * 1024;
};

// Runs the Raft core over a store and a transport and applies committed
// commands. Owned by the control instance; every method is called on its
// control thread and takes the current time.
class ReplicatedLog
{
public:
  using ProposeCallback =
    std::function<void(tl::expected<uint64_t, RaftError> aIndex)>;
  using BarrierCallback = std::function<void(tl::expected<void, RaftError>)>;

  static tl::expected<std::unique_ptr<ReplicatedLog>, RaftError> Make(
    const ReplicatedLogOptions& aOptions,
    storage::LogStore& aLogStore,
    storage::SnapshotStore& aSnapshotStore,
    StateMachine& aStateMachine,
    Transport& aTransport,
    TimePoint aNow);

  virtual ~ReplicatedLog() = default;

  // To be called at least every 40 ms, below half of the heartbeat interval.
  // Calls Flush().
  virtual void Tick(TimePoint aNow) = 0;
  virtual void Receive(const wire::RaftMessage& aMessage, TimePoint aNow) = 0;

  // Appends all commands that wait with one sync and starts one quorum round
  // for all read barriers that wait. Propose() and ReadBarrier() only queue, so
  // for low latency the owner posts a call of this after its current handlers;
  // otherwise they wait for the next Tick().
  virtual void Flush(TimePoint aNow) = 0;

  // Appends a command. The callback runs once, after the command was applied
  // here, with its index, or with an error.
  virtual void Propose(std::string aCommand,
                       TimePoint aNow,
                       ProposeCallback aCallback) = 0;

  // The callback succeeds once this replica has proved by a quorum round that
  // began after this call that it is the leader, and has applied everything
  // committed before.
  virtual void ReadBarrier(TimePoint aNow, BarrierCallback aCallback) = 0;

  // Membership changes, one server at a time; refused while one is in progress.
  virtual void ProposeConfig(wire::GroupConfig aConfig,
                             TimePoint aNow,
                             ProposeCallback aCallback) = 0;

  // Asks the most advanced follower to take over. No effect on a follower.
  virtual void TransferLeadership(TimePoint aNow) = 0;

  virtual RaftStatus Status() const = 0;
};

} // namespace rattanloft::consensus
