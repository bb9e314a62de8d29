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

constexpr size_t kMaxEntries = 1000;
constexpr size_t kMaxHistory = 10000;
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
  using Entries = std::map<std::string, wire::CatalogueEntry>;

  // A change sent again under a known id gets the first result.
  // aShardRoom tells whether the service may have shards.
  wire::ChangeResult Apply(const wire::CatalogueChange& aChange,
                           uint64_t aIndex,
                           bool aShardRoom);

  const Entries& All() const { return m_entries; }
  uint64_t Revision() const { return m_revision; }
  wire::CatalogueUpdate Since(uint64_t aRevision) const;
  const wire::HistoryRecord* Find(std::string_view aChangeId) const;
  std::vector<wire::HistoryRecord> History(size_t aMax) const;
  // True if the service is keyed or has an entry that is not idempotent.
  bool NeedsShards(std::string_view aService) const;

  void Save(wire::ClusterSnapshot& aSnapshot) const;
  void Load(const wire::ClusterSnapshot& aSnapshot);

private:
  struct Touched
  {
    uint64_t m_revision = 0;
    std::string m_name;
  };

  wire::ChangeResult Decide(const wire::CatalogueChange& aChange,
                            bool aShardRoom) const;
  std::string ValidateAgainstOthers(const wire::CatalogueEntry& aEntry) const;
  void Record(const wire::CatalogueChange& aChange,
              const wire::ChangeResult& aResult,
              uint64_t aIndex);
  void Touch(const std::string& aName, uint64_t aIndex);

  Entries m_entries;
  uint64_t m_revision = 0;
  // Deltas reach back to this revision.
  uint64_t m_floor = 0;
  std::deque<Touched> m_changes;
  std::deque<wire::HistoryRecord> m_history;
  // Change id to log index; m_history is sorted by index.
  std::unordered_map<std::string, uint64_t> m_ids;
};

} // namespace rattanloft::cluster
