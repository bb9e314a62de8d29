#include "PersistedRaftState.h"

#include <algorithm>

#include <fmt/format.h>

namespace rattanloft::consensus {

namespace {

using storage::LogStore;
using storage::Snapshot;
using storage::StoreResult;

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

} // namespace

RaftError
ToRaftError(const storage::StoreError& aError)
{
  return { RaftErrorCode::kStorageFailure, aError.m_message };
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

} // namespace rattanloft::consensus
