#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "rattanloft/base/Time.h"
#include "rattanloft/storage/SnapshotStore.h"

namespace rattanloft::consensus {

// Maximum number of unacknowledged append messages to one follower.
constexpr size_t kMaxInflightAppends = 16;

// How a leader replicates to one follower.
enum class ProgressState
{
  // It is unknown up to where the logs match, so only one append message at a
  // time is sent.
  kProbe,
  // Append messages are pipelined: sent without waiting for earlier replies.
  kReplicate,
  // The log no longer holds the next entry, or a snapshot is smaller than the
  // entries up to it, so it is sent in chunks.
  kSnapshot,
};

// The replication state that a leader keeps about one other replica.
struct FollowerProgress
{
  ProgressState m_state = ProgressState::kProbe;
  // Highest index known to be durable on the replica and equal to the leader's.
  uint64_t m_matchIndex = 0;
  // Index of the next entry to send.
  uint64_t m_nextIndex = 1;
  // Only used in kProbe: whether an append message is waiting for its reply.
  bool m_probeInFlight = false;
  // Last entry index of each append message in flight, oldest first.
  std::deque<uint64_t> m_inflightLastIndexes;
  // When the follower last acknowledged entries or a snapshot chunk or, if
  // nothing was in flight before, the first message in flight was sent.
  TimePoint m_lastProgressTime;
  // Whether a message in flight is larger than kMaxUrgentMessageBytes.
  bool m_bulkInFlight = false;
  // When the leader last received a reply of its own term. Initially when it
  // began to replicate to the replica.
  TimePoint m_lastReplyTime;
  // The highest heartbeat round that the replica answered.
  uint64_t m_answeredRound = 0;
  // The snapshot being sent. Once the replica has part of it, kept until it has
  // all of it, even if a newer one exists.
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  // Offset in the snapshot data of the next chunk to send.
  uint64_t m_snapshotOffsetBytes = 0;
};

} // namespace rattanloft::consensus
