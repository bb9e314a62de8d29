#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster.pb.h"
#include "control.pb.h"

namespace rattanloft::cluster {

constexpr size_t kMaxCatalogueEntries = 1000;
constexpr size_t kMaxHistoryRecords = 10000;
// Entry changes that are buffered for deltas; an older revision gets the full
// catalogue.
constexpr size_t kMaxCatalogueChanges = 1024;

// Checks an entry by itself, without the other entries. Returns the invalid
// field and the reason as "field: reason", or an empty string if it is valid.
std::string
ValidateEntry(const wire::CatalogueEntry& aEntry);

// The catalogue entries, and the history of their changes by change id. Part of
// ClusterState.
class CatalogueStore
{
public:
  using EntryMap = std::map<std::string, wire::CatalogueEntry>;

  // Applies a change if it is valid, and records it. A change that is sent
  // again under a known change id gets the first result and has no second
  // effect. aHasShardRoom tells whether the service has or may get a shard
  // table.
  wire::ChangeResult Apply(const wire::CatalogueChange& aChange,
                           uint64_t aIndex,
                           bool aHasShardRoom);

  const EntryMap& Entries() const { return m_entries; }
  uint64_t Revision() const { return m_revision; }
  wire::CatalogueUpdate UpdateSince(uint64_t aRevision) const;
  const wire::HistoryRecord* FindChange(std::string_view aChangeId) const;
  std::vector<wire::HistoryRecord> History(size_t aMax) const;
  // Whether the service is keyed or has an entry that is not idempotent.
  bool NeedsShards(std::string_view aService) const;

  void SaveTo(wire::ClusterSnapshot& aSnapshot) const;
  void LoadFrom(const wire::ClusterSnapshot& aSnapshot);

private:
  struct EntryChange
  {
    uint64_t m_revision = 0;
    std::string m_name;
  };

  // The result that the change would have. The revision of an accepted change
  // is still to be set.
  wire::ChangeResult EvaluateChange(const wire::CatalogueChange& aChange,
                                    bool aHasShardRoom) const;
  // Checks the entry against the other entries of its service; returns as
  // ValidateEntry does.
  std::string ValidateAgainstService(const wire::CatalogueEntry& aEntry) const;
  void RecordChange(const wire::CatalogueChange& aChange,
                    const wire::ChangeResult& aResult,
                    uint64_t aIndex);
  // Buffers the change for deltas and sets the revision.
  void NoteEntryChange(const std::string& aName, uint64_t aIndex);

  EntryMap m_entries;
  // Log index of the last accepted change.
  uint64_t m_revision = 0;
  // A delta can start at this revision or a later one.
  uint64_t m_oldestDeltaRevision = 0;
  // The last accepted changes, oldest first.
  std::deque<EntryChange> m_changes;
  // The last changes, accepted or not, sorted by log index.
  std::deque<wire::HistoryRecord> m_history;
  // Log index in m_history by change id.
  std::unordered_map<std::string, uint64_t> m_indexByChangeId;
};

} // namespace rattanloft::cluster
