#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "rattanloft/base/Time.h"
#include "rattanloft/storage/SnapshotStore.h"

namespace rattanloft::consensus {

// Append messages in flight to one follower. With 256 KB each this bounds a
// follower to 4 MB.
constexpr size_t kMaxInflightAppends = 16;

enum class ProgressState
{
  // The matching position is unknown: one message at a time.
  kProbe,
  // Messages are sent ahead of their replies.
  kReplicate,
  // The entries needed are gone; chunks of a snapshot are sent instead.
  kSnapshot,
};

// What a leader knows about one other replica.
struct FollowerProgress
{
  ProgressState m_state = ProgressState::kProbe;
  uint64_t m_matchIndex = 0;
  uint64_t m_nextIndex = 1;
  // A probe is on its way.
  bool m_probeInFlight = false;
  // Last index of each append message in flight.
  std::deque<uint64_t> m_inflightLastIndexes;
  TimePoint m_lastReplyTime;
  // The highest heartbeat round that it answered.
  uint64_t m_answeredRound = 0;
  // Kept until sent in full, even when a newer one exists.
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  uint64_t m_snapshotOffsetBytes = 0;
};

} // namespace rattanloft::consensus
