#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cluster.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::routing {

// A node's immutable copy of the catalogue. Shared between threads.
class Catalogue
{
public:
  // aRevision is the cluster's catalogue revision that the entries belong to.
  static std::shared_ptr<const Catalogue> Make(
    uint64_t aRevision,
    std::vector<wire::CatalogueEntry> aEntries);

  uint64_t Revision() const { return m_revision; }
  const std::vector<wire::CatalogueEntry>& Entries() const { return m_entries; }
  bool HasService(std::string_view aService) const;

  // The entry for a method of a service, or null.
  const wire::CatalogueEntry* Find(std::string_view aService,
                                   std::string_view aMethod) const;

private:
  uint64_t m_revision = 0;
  // Sorted by service.
  std::vector<wire::CatalogueEntry> m_entries;
};

// The deadline in force at an hour of the day in UTC. Hour ranges may wrap past
// midnight; the first that matches wins.
Duration
DeadlineAt(const wire::Limits& aLimits, int aHourUtc);

} // namespace rattanloft::routing
