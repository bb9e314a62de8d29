#include "rattanloft/consensus/ReplicatedLog.h"

#include <algorithm>

#include "PersistedRaftState.h"
#include "ReplicatedLogImpl.h"

namespace rattanloft::consensus {

namespace {

using storage::LogStore;
using storage::StoreResult;

// Writes the founding configuration as the first entry of an empty log. Every
// founding member writes the same entry, so their logs match.
StoreResult<void>
WriteBootstrapEntry(LogStore& aStore, const wire::GroupConfig& aConfig)
{
  wire::LogEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  entry.set_kind(wire::ENTRY_KIND_CONFIG);
  entry.set_payload(aConfig.SerializeAsString());
  wire::HardState state;
  state.set_term(1);
  auto result = aStore.Append({ &entry, 1 });
  if (result) {
    result = aStore.SetHardState(state);
  }
  return result ? aStore.Sync() : result;
}

bool
ContainsMember(const wire::GroupConfig& aConfig, uint64_t aReplicaId)
{
  return std::any_of(aConfig.members().begin(),
                     aConfig.members().end(),
                     [aReplicaId](const wire::GroupMember& aMember) {
                       return aMember.replica_id() == aReplicaId;
                     });
}

} // namespace

tl::expected<std::unique_ptr<ReplicatedLog>, RaftError>
ReplicatedLog::Make(const ReplicatedLogOptions& aOptions,
                    LogStore& aLogStore,
                    storage::SnapshotStore& aSnapshotStore,
                    StateMachine& aStateMachine,
                    Transport& aTransport,
                    TimePoint aNow)
{
  if (aOptions.m_replicaId == 0 || aOptions.m_snapshotIntervalEntries == 0) {
    return tl::unexpected(
      RaftError{ RaftErrorCode::kInvalidArgument,
                 "the replica id and the snapshot interval must not be 0" });
  }
  auto snapshot = aSnapshotStore.Load();
  if (!snapshot) {
    return tl::unexpected(ToRaftError(snapshot.error()));
  }
  const bool storesEmpty = !*snapshot && aLogStore.LastIndex() == 0 &&
                           aLogStore.GetHardState().term() == 0;
  if (storesEmpty &&
      ContainsMember(aOptions.m_bootstrapConfig, aOptions.m_replicaId)) {
    if (auto result =
          WriteBootstrapEntry(aLogStore, aOptions.m_bootstrapConfig);
        !result) {
      return tl::unexpected(ToRaftError(result.error()));
    }
  }
  auto state = LoadPersistedState(aLogStore, std::move(*snapshot));
  if (!state) {
    return tl::unexpected(state.error());
  }
  if (state->m_snapshot) {
    auto restored = aStateMachine.RestoreSnapshot(state->m_snapshot->m_data);
    if (!restored) {
      return tl::unexpected(
        RaftError{ RaftErrorCode::kStorageFailure, restored.error() });
    }
  }
  return std::make_unique<ReplicatedLogImpl>(aOptions,
                                             std::move(*state),
                                             aLogStore,
                                             aSnapshotStore,
                                             aStateMachine,
                                             aTransport,
                                             aNow);
}

} // namespace rattanloft::consensus
