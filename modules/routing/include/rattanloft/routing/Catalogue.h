#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cluster.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::routing {

// A node's immutable copy of the service catalogue. Shared between threads.
class Catalogue
{
public:
  // aRevision is the revision of the cluster's catalogue that the entries
  // belong to.
  static std::shared_ptr<const Catalogue> Make(
    uint64_t aRevision,
    std::vector<wire::CatalogueEntry> aEntries);

  uint64_t Revision() const { return m_revision; }
  const std::vector<wire::CatalogueEntry>& Entries() const { return m_entries; }
  bool HasService(std::string_view aService) const;

  // Returns the entry for an HTTP method of a service, or null if there is
  // none.
  const wire::CatalogueEntry* Find(std::string_view aService,
                                   std::string_view aMethod) const;

private:
  uint64_t m_revision = 0;
  // Sorted by service, then by name.
  std::vector<wire::CatalogueEntry> m_entries;
};

// Returns the deadline in force at an hour of the day (0 to 23, UTC). Hour
// ranges may wrap past midnight. The first range that contains the hour wins;
// without one the general deadline applies.
Duration
DeadlineAt(const wire::Limits& aLimits, int aHourUtc);

} // namespace rattanloft::routing
