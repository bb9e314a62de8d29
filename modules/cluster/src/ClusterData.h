#pragma once

#include <vector>

#include "CatalogueStore.h"
#include "RouteStore.h"
#include "rattanloft/cluster/ClusterState.h"

namespace rattanloft::cluster {

class ClusterState::Data
{
public:
  CatalogueStore m_catalogue;
  RouteStore m_routes;
  uint64_t m_appliedIndex = 0;

  // Recent route updates of the current revision. Most nodes ask from the same
  // revision, and after the loss of a zone an update takes milliseconds to
  // make.
  static constexpr size_t kMaxCachedUpdates = 8;
  struct CachedUpdate
  {
    uint64_t m_fromRevision = 0;
    wire::RouteUpdate m_update;
  };
  std::vector<CachedUpdate> m_cachedUpdates;
};

} // namespace rattanloft::cluster
