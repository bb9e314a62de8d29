#pragma once

#include <string>

#include "control.pb.h"

namespace rattanloft::routing {

inline wire::Backend
MakeBackend(uint32_t aNumber,
            std::string_view aService = "shop",
            std::string_view aZone = "z1",
            uint32_t aSlots = 12)
{
  wire::Backend backend;
  backend.set_number(aNumber);
  backend.set_node_id("node" + std::to_string(aNumber));
  backend.set_incarnation(1000 + aNumber);
  backend.set_service(std::string(aService));
  backend.set_zone(std::string(aZone));
  backend.set_peer_address("127.0.0.1:" + std::to_string(20000 + aNumber));
  backend.set_slots(aSlots);
  return backend;
}

inline void
AddRoute(wire::ServiceRoutes& aRoutes,
         uint32_t aShard,
         uint32_t aOwner,
         uint64_t aEpoch,
         uint32_t aTarget = 0)
{
  aRoutes.add_shards(aShard);
  aRoutes.add_owners(aOwner);
  aRoutes.add_epochs(aEpoch);
  aRoutes.add_move_targets(aTarget);
}

// Makes a delta with one route of the service "shop".
inline wire::RouteUpdate
MakeDelta(uint64_t aRevision,
          uint32_t aShard,
          uint32_t aOwner,
          uint64_t aEpoch,
          uint32_t aTarget = 0)
{
  wire::RouteUpdate update;
  update.set_revision(aRevision);
  wire::ServiceRoutes* routes = update.add_services();
  routes->set_service("shop");
  AddRoute(*routes, aShard, aOwner, aEpoch, aTarget);
  return update;
}

} // namespace rattanloft::routing
