#include "rattanloft/consensus/ReplicatedLog.h"

#include <algorithm>

#include <fmt/format.h>

#include "ReplicatedLogImpl.h"

namespace rattanloft::consensus {

namespace {

using storage::LogStore;
using storage::Snapshot;
using storage::StoreResult;

RaftError
ToRaftError(const storage::StoreError& aError)
{
  return { RaftErrorCode::kStorageFailure, aError.m_message };
}

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

// Makes the log continue after the snapshot, which it may not if the process
// crashed between saving the snapshot and changing the log.
StoreResult<void>
AlignLogWithSnapshot(LogStore& aStore, const wire::SnapshotMeta& aMeta)
{
  const uint64_t index = aMeta.index();
  if (aStore.GetHardState().term() == 0 || aStore.FirstIndex() > index + 1) {
    return tl::unexpected(storage::StoreError{
      storage::StoreErrorCode::kCorrupt,
      fmt::format("the log does not continue after the snapshot at index {}",
                  index) });
  }
  if (aStore.FirstIndex() == index + 1) {
    return {};
  }
  if (aStore.LastIndex() >= index) {
    const auto entry = aStore.Read(index, index);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    if (entry->front().term() == aMeta.term()) {
      return aStore.CompactPrefix(index + 1);
    }
  }
  auto result = aStore.Reset(index + 1);
  return result ? aStore.Sync() : result;
}

tl::expected<PersistedRaftState, RaftError>
LoadPersistedState(LogStore& aStore, std::optional<Snapshot> aSnapshot)
{
  PersistedRaftState state;
  if (aSnapshot) {
    if (auto result = AlignLogWithSnapshot(aStore, aSnapshot->m_meta);
        !result) {
      return tl::unexpected(ToRaftError(result.error()));
    }
    state.m_snapshot = std::make_shared<const Snapshot>(std::move(*aSnapshot));
  } else if (aStore.FirstIndex() > 1) {
    return tl::unexpected(
      RaftError{ RaftErrorCode::kStorageFailure,
                 "the log starts after entry 1 but the snapshot is missing" });
  }
  auto entries = aStore.Read(aStore.FirstIndex(), aStore.LastIndex());
  if (!entries) {
    return tl::unexpected(ToRaftError(entries.error()));
  }
  state.m_entries = std::move(*entries);
  state.m_hardState = aStore.GetHardState();
  // A crash in WriteBootstrapEntry() may leave the first entry without its term
  // in the hard state.
  if (!state.m_entries.empty()) {
    state.m_hardState.set_term(
      std::max(state.m_hardState.term(), state.m_entries.back().term()));
  }
  return state;
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
