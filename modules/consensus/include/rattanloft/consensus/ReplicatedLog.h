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

// The Raft role of a replica. A learner receives entries but has no vote.
enum class Role
{
  kLearner,
  kFollower,
  kCandidate,
  kLeader,
};

// Why a request to a ReplicatedLog failed.
enum class RaftErrorCode
{
  // This replica is not the leader. Nothing was appended.
  kNotLeader,
  // Leadership was lost after the append. The command may still be committed by
  // a later leader.
  kLeadershipLost,
  // A limit on pending requests is reached, leadership is being transferred, or
  // another membership change is in progress. Nothing was appended.
  kBusy,
  // The store refuses writes, for example on a full disk. Nothing was appended.
  // Make() returns it for every error of the stores and for a snapshot that the
  // state machine cannot restore.
  kStorageFailure,
  // The request itself is invalid, such as a command that is too large or an
  // unsafe membership change. Nothing was appended.
  kInvalidArgument,
};

// Larger commands are refused with kInvalidArgument, so that each Raft message
// stays within 256 KB.
constexpr size_t kMaxCommandBytes = 200 * 1024;

struct RaftError
{
  RaftErrorCode m_code;
  std::string m_message;
};

// The state of one replica as it sees itself and its group.
struct RaftStatus
{
  Role m_role = Role::kFollower;
  // Whether this replica takes no part in the group because its stores failed.
  bool m_storageFailed = false;
  uint64_t m_replicaId = 0;
  uint64_t m_term = 0;
  // Replica id of the leader, 0 if it is unknown.
  uint64_t m_leaderId = 0;
  uint64_t m_lastIndex = 0;
  uint64_t m_commitIndex = 0;
  uint64_t m_appliedIndex = 0;
  // First entry that the log store still holds.
  uint64_t m_firstIndex = 0;
  // The latest configuration in the log, which may not be committed yet.
  wire::GroupConfig m_config;
};

struct ReplicatedLogOptions
{
  uint64_t m_replicaId = 0;
  // The founding members of the group, used only while the store is empty. It
  // must be the same on every founding member. Empty for a replica that is to
  // be added as a learner.
  wire::GroupConfig m_bootstrapConfig;
  // Seed of the random election timeouts.
  uint64_t m_seed = 1;
  Duration m_heartbeatInterval = Milliseconds(100);
  Duration m_minElectionTimeout = Milliseconds(400);
  Duration m_maxElectionTimeout = Milliseconds(800);
  // Shorter election timeouts for the first m_startupPeriod after a start,
  // until a leader makes contact. They are safe because a pre-vote does not
  // disturb a leader that other replicas hear, and they let a group that
  // restarts as a whole elect a leader without the regular timeouts.
  Duration m_minStartupElectionTimeout = Milliseconds(50);
  Duration m_maxStartupElectionTimeout = Milliseconds(250);
  Duration m_startupPeriod = Milliseconds(2000);
  // Number of applied entries between snapshots.
  uint64_t m_snapshotIntervalEntries = 10'000;
  // Number of entries kept in memory that the snapshot already covers, so that
  // a slightly lagging follower can be sent entries instead of the snapshot.
  uint64_t m_retainedEntries = 2'000;
  // Limit on the proposals, and separately on the read barriers, that have no
  // result yet. Further ones are refused with kBusy.
  size_t m_maxPendingRequests = 4'096;
  // Limit on the total command bytes of the proposals that have no result yet.
  size_t m_maxPendingCommandBytes = 16 * 1024 * 1024;
  // Payload bytes applied since the last snapshot that trigger the next one
  // before m_snapshotIntervalEntries is reached, unless the last snapshot is
  // larger than half of that.
  size_t m_snapshotIntervalBytes = 16 * 1024 * 1024;
  // Bounds the payload of the entries kept in memory by m_retainedEntries.
  size_t m_retainedBytes = 16 * 1024 * 1024;
  // Time without progress of a follower after which the entries or the snapshot
  // chunk in flight are sent again, unless they are small. With a transport
  // that reports losses it should exceed the time that a transfer may take.
  Duration m_resendDelay = Milliseconds(300);
};

// A log of commands that is replicated by Raft. Stores entries through the log
// and snapshot stores, exchanges messages through the transport, and applies
// committed commands to the state machine. After a storage failure the replica
// takes no part in the group until the stores accept writes again. Every method
// must be called on the control thread of the process that owns the log; aNow
// is the current time.
class ReplicatedLog
{
public:
  using ProposeCallback =
    std::function<void(tl::expected<uint64_t, RaftError> aIndex)>;
  using BarrierCallback = std::function<void(tl::expected<void, RaftError>)>;

  // Restores the state from the stores. All references must outlive the log.
  static tl::expected<std::unique_ptr<ReplicatedLog>, RaftError> Make(
    const ReplicatedLogOptions& aOptions,
    storage::LogStore& aLogStore,
    storage::SnapshotStore& aSnapshotStore,
    StateMachine& aStateMachine,
    Transport& aTransport,
    TimePoint aNow);

  virtual ~ReplicatedLog() = default;

  // Drives the timers. Must be called at least every 40 ms, which is less than
  // half of the heartbeat interval. Calls Flush().
  virtual void Tick(TimePoint aNow) = 0;
  // Handles a message from another replica.
  virtual void Receive(const wire::RaftMessage& aMessage, TimePoint aNow) = 0;

  // Appends all queued commands with one sync and starts one heartbeat round
  // for all queued read barriers. Propose() and ReadBarrier() only queue, so
  // for low latency the owner posts a call of Flush() to run after its current
  // handlers. Otherwise the requests wait for the next Tick().
  virtual void Flush(TimePoint aNow) = 0;

  // Tells that entries or snapshot chunks that were sent to the replica are
  // lost. They are sent again with the next heartbeat.
  virtual void OnMessagesLost(uint64_t aReplicaId, TimePoint aNow) = 0;

  // Queues a command for the log. The callback runs exactly once: with the
  // index of the command after this replica applied it, or with an error. It
  // may run before Propose() returns.
  virtual void Propose(std::string aCommand,
                       TimePoint aNow,
                       ProposeCallback aCallback) = 0;

  // Makes a linearizable read possible. The callback succeeds once a heartbeat
  // round that began after this call has confirmed that this replica is the
  // leader, and every entry committed before the call has been applied here.
  virtual void ReadBarrier(TimePoint aNow, BarrierCallback aCallback) = 0;

  // Replaces the group configuration. At most one member may change at a time,
  // and the call is refused while an earlier change is in progress.
  virtual void ProposeConfig(wire::GroupConfig aConfig,
                             TimePoint aNow,
                             ProposeCallback aCallback) = 0;

  // Asks the most up-to-date follower to become leader. No effect unless this
  // replica is the leader.
  virtual void TransferLeadership(TimePoint aNow) = 0;

  virtual RaftStatus Status() const = 0;
};

} // namespace rattanloft::consensus
