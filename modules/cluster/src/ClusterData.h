#pragma once

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
};

} // namespace rattanloft::cluster
