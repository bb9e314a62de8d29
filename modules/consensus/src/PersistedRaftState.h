#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "raft.pb.h"
#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/storage/LogStore.h"
#include "rattanloft/storage/SnapshotStore.h"

namespace rattanloft::consensus {

// The state that the stores held at the start of the process, or when they
// accepted writes again after a failure.
struct PersistedRaftState
{
  wire::HardState m_hardState;
  // Null if there is none.
  std::shared_ptr<const storage::Snapshot> m_snapshot;
  // The entries after the snapshot.
  std::vector<wire::LogEntry> m_entries;
};

// Reads the state from the log store and the snapshot, if there is one. Makes
// the log continue after the snapshot.
tl::expected<PersistedRaftState, RaftError>
LoadPersistedState(storage::LogStore& aStore,
                   std::optional<storage::Snapshot> aSnapshot);

RaftError
ToRaftError(const storage::StoreError& aError);

} // namespace rattanloft::consensus
