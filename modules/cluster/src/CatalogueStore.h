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
// Catalogue revisions that a delta can reach back.
constexpr size_t kMaxCatalogueChanges = 1024;

// The offending field and why, or empty for a valid entry. Checks the entry by
// itself.
std::string
ValidateEntry(const wire::CatalogueEntry& aEntry);

// Catalogue entries, change ids and history. Part of ClusterState.
class CatalogueStore
{
public:
  using EntryMap = std::map<std::string, wire::CatalogueEntry>;

  // A change sent again under a known id gets the first result.
  // aShardRoom tells whether the service may have shards.
  wire::ChangeResult Apply(const wire::CatalogueChange& aChange,
                           uint64_t aIndex,
                           bool aHasShardRoom);

  const EntryMap& Entries() const { return m_entries; }
  uint64_t Revision() const { return m_revision; }
  wire::CatalogueUpdate UpdateSince(uint64_t aRevision) const;
  const wire::HistoryRecord* FindChange(std::string_view aChangeId) const;
  std::vector<wire::HistoryRecord> History(size_t aMax) const;
  // True if the service is keyed or has an entry that is not idempotent.
  bool NeedsShards(std::string_view aService) const;

  void SaveTo(wire::ClusterSnapshot& aSnapshot) const;
  void LoadFrom(const wire::ClusterSnapshot& aSnapshot);

private:
  struct EntryChange
  {
    uint64_t m_revision = 0;
    std::string m_name;
  };

  wire::ChangeResult EvaluateChange(const wire::CatalogueChange& aChange,
                                    bool aHasShardRoom) const;
  std::string ValidateAgainstService(const wire::CatalogueEntry& aEntry) const;
  void RecordChange(const wire::CatalogueChange& aChange,
                    const wire::ChangeResult& aResult,
                    uint64_t aIndex);
  void NoteEntryChange(const std::string& aName, uint64_t aIndex);

  EntryMap m_entries;
  uint64_t m_revision = 0;
  // Deltas reach back to this revision.
  uint64_t m_oldestDeltaRevision = 0;
  std::deque<EntryChange> m_changes;
  std::deque<wire::HistoryRecord> m_history;
  // Change id to log index; m_history is sorted by index.
  std::unordered_map<std::string, uint64_t> m_indexByChangeId;
};

} // namespace rattanloft::cluster
