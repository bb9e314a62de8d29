#pragma once

#include <vector>

#include "CatalogueStore.h"
#include "RouteStore.h"
#include "rattanloft/cluster/ClusterState.h"

namespace rattanloft::cluster {

// The stores that make up the replicated state.
class ClusterState::Impl
{
public:
  CatalogueStore m_catalogue;
  RouteStore m_routes;
  uint64_t m_appliedIndex = 0;

  // Route updates to the current revision, oldest first. Most nodes ask for the
  // changes since the same revision, and after the loss of a zone it takes
  // milliseconds to make an update.
  static constexpr size_t kMaxCachedUpdates = 8;
  struct CachedUpdate
  {
    // The update has the changes after this revision.
    uint64_t m_fromRevision = 0;
    wire::RouteUpdate m_update;
  };
  std::vector<CachedUpdate> m_cachedUpdates;
};

} // namespace rattanloft::cluster
