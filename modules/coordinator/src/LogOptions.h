#pragma once

#include <cstdint>

#include "rattanloft/consensus/ReplicatedLog.h"

namespace rattanloft::coordinator {

// Bounds the size of the log: each change of the configuration is one entry,
// which takes about 40 KB for 350 routes.
constexpr uint64_t kSnapshotIntervalEntries = 1000;
// Log entries that are kept although a snapshot covers them, for followers that
// are slightly behind.
constexpr uint64_t kRetainedEntries = 200;
constexpr size_t kRetainedBytes = 1024 * 1024;
// Bounds what a coordinator with an empty log has to receive before it can
// vote, which must take less than the catch-up time of 4 s also on a link with
// packet loss.
constexpr size_t kSnapshotIntervalBytes = 128 * 1024;
// Above the timeout of a batch with the largest command. The transport reports
// the loss of a batch.
constexpr Duration kResendDelay = Milliseconds(2500);

// Returns the options of a coordinator's log, without founding members.
inline consensus::ReplicatedLogOptions
MakeLogOptions(uint64_t aReplicaId, uint64_t aSeed)
{
  consensus::ReplicatedLogOptions options;
  options.m_replicaId = aReplicaId;
  options.m_seed = aSeed;
  options.m_snapshotIntervalEntries = kSnapshotIntervalEntries;
  options.m_snapshotIntervalBytes = kSnapshotIntervalBytes;
  options.m_retainedEntries = kRetainedEntries;
  options.m_retainedBytes = kRetainedBytes;
  options.m_resendDelay = kResendDelay;
  return options;
}

} // namespace rattanloft::coordinator
