#pragma once

#include <string>
#include <vector>

#include "rattanloft/base/Shard.h"
#include "rattanloft/cluster/ClusterState.h"

namespace rattanloft::cluster {

// A valid entry with the method GET, for a keyed service.
inline wire::CatalogueEntry
MakeEntry(const std::string& aName, const std::string& aService)
{
  wire::CatalogueEntry entry;
  entry.set_name(aName);
  entry.set_owner("team-a");
  entry.set_service(aService);
  entry.add_methods("GET");
  entry.set_idempotent(true);
  entry.set_keyed(true);
  entry.mutable_limits()->set_deadline_ms(1000);
  entry.mutable_limits()->set_max_body_bytes(1024);
  return entry;
}

inline wire::Command
MakePut(const wire::CatalogueEntry& aEntry,
        uint64_t aExpectedRevision,
        const std::string& aChangeId)
{
  wire::Command command;
  wire::CatalogueChange* change = command.mutable_change();
  change->set_change_id(aChangeId);
  change->set_expected_revision(aExpectedRevision);
  *change->mutable_put() = aEntry;
  return command;
}

inline wire::Command
MakeRegister(const std::string& aNodeId,
             uint64_t aIncarnation,
             const std::string& aService = "shop",
             const std::string& aZone = "a")
{
  wire::Command command;
  wire::Backend* backend =
    command.mutable_register_backend()->mutable_backend();
  backend->set_node_id(aNodeId);
  backend->set_incarnation(aIncarnation);
  backend->set_service(aService);
  backend->set_zone(aZone);
  backend->set_peer_address("127.0.0.1:7000");
  backend->set_slots(12);
  return command;
}

inline wire::Command
MakeAssign(ShardNumber aShard,
           uint32_t aBackend,
           const std::string& aService = "shop")
{
  wire::Command command;
  auto* item = command.mutable_assign_shards()->add_assignments();
  item->set_service(aService);
  item->set_shard(aShard);
  item->set_backend(aBackend);
  return command;
}

inline wire::Command
MakeBeginMove(ShardNumber aShard,
              uint32_t aBackend,
              const std::string& aService = "shop")
{
  wire::Command command;
  auto* item = command.mutable_begin_moves()->add_targets();
  item->set_service(aService);
  item->set_shard(aShard);
  item->set_backend(aBackend);
  return command;
}

inline wire::Command
MakeRelease(uint32_t aBackend, ShardNumber aShard, uint64_t aEpoch)
{
  wire::Command command;
  command.mutable_release_shards()->set_backend(aBackend);
  wire::ShardRef* shard = command.mutable_release_shards()->add_shards();
  shard->set_service("shop");
  shard->set_shard(aShard);
  shard->set_epoch(aEpoch);
  return command;
}

inline wire::Command
MakeSetBackendState(uint32_t aBackend, wire::BackendState aState)
{
  wire::Command command;
  command.mutable_set_backend_state()->set_backend(aBackend);
  command.mutable_set_backend_state()->set_state(aState);
  return command;
}

inline wire::Command
MakeOperatorDrain(uint32_t aBackend, bool aDrain)
{
  wire::Command command;
  command.mutable_set_operator_drain()->set_backend(aBackend);
  command.mutable_set_operator_drain()->set_drain(aDrain);
  return command;
}

// A ClusterState that counts the log indexes of its commands. The accessors
// read the shards of the first service.
class TestState
{
public:
  CommandResult Apply(const wire::Command& aCommand)
  {
    return m_state.Apply(aCommand, ++m_index);
  }
  wire::ServiceRoutes Routes() const { return m_state.Routes().at(0); }
  uint32_t Owner(ShardNumber aShard) const
  {
    return Routes().owners(static_cast<int>(aShard));
  }
  uint64_t Epoch(ShardNumber aShard) const
  {
    return Routes().epochs(static_cast<int>(aShard));
  }
  uint32_t MoveTarget(ShardNumber aShard) const
  {
    return Routes().move_targets(static_cast<int>(aShard));
  }

  ClusterState m_state;
  // Log index of the last command.
  uint64_t m_index = 0;
};

} // namespace rattanloft::cluster
