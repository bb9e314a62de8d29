#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster.pb.h"
#include "control.pb.h"
#include "rattanloft/base/Shard.h"

namespace rattanloft::cluster {

// Backend incarnations of the whole cluster, including those that are gone.
constexpr size_t kMaxBackends = 4096;
// Gone incarnations that are remembered for each node. An older incarnation
// that announces itself late would be registered under a new number, without
// shards.
constexpr size_t kMaxGoneIncarnationsPerNode = 8;
// Moves in flight of one service. Those beyond kMaxBalancingMoves are kept for
// shards of leaving backends: with 32 moves, one of 4 backends still had 262 of
// its 1,062 shards 2.9 s after its drain began, and new requests for them.
constexpr size_t kMaxMovesPerService = 128;
// While this many moves of a service are in flight, none is begun for balance.
constexpr size_t kMaxBalancingMoves = 32;
constexpr size_t kMaxShardedServices = 64;
// Longest service name, zone, peer address and hot key.
constexpr size_t kMaxTextBytes = 256;
// Route revisions that are buffered for deltas; an older revision gets the full
// routes.
constexpr size_t kMaxRouteChanges = 1024;
// Shard changes that are buffered for deltas, so that large batches cannot fill
// memory.
constexpr size_t kMaxChangedShards = 65536;

struct ShardState
{
  // Backend number, 0 for none. Stays set when the backend is gone, until the
  // shard is assigned to another.
  uint32_t m_owner = 0;
  // Backend number, 0 if the shard is not being moved.
  uint32_t m_moveTarget = 0;
  // Log index of the assignment, 0 if the shard never had an owner.
  uint64_t m_epoch = 0;
};

// The shards of one service.
struct ServiceTable
{
  // Indexed by shard number. Shards from kHashedShards upwards hold one hot key
  // each.
  std::vector<ShardState> m_shards;
  // Shard number by hot key.
  std::map<std::string, ShardNumber> m_hotKeys;
  size_t m_movesInFlight = 0;
};

// The backends, and the shards of all services with their owners, moves and hot
// keys. Part of ClusterState. Parts of a command that the state does not allow
// are skipped; aIndex is the log index of the command.
class RouteStore
{
public:
  using ServiceMap = std::map<std::string, ServiceTable>;

  // Returns the number of the backend, or 0 if the registration is refused.
  uint32_t Apply(const wire::RegisterBackend& aCommand, uint64_t aIndex);
  void Apply(const wire::SetBackendState& aCommand, uint64_t aIndex);
  void Apply(const wire::SetOperatorDrain& aCommand, uint64_t aIndex);
  void Apply(const wire::AssignShards& aCommand, uint64_t aIndex);
  void Apply(const wire::BeginMoves& aCommand, uint64_t aIndex);
  void Apply(const wire::ReleaseShards& aCommand, uint64_t aIndex);
  void Apply(const wire::PlaceHotKey& aCommand, uint64_t aIndex);
  void Apply(const wire::RemoveHotKey& aCommand, uint64_t aIndex);

  // Creates the shard table of a service; or, if aSharded is false, drops it
  // once no backend that may hold a lease owns any of its shards.
  void SetSharded(const std::string& aService, bool aSharded, uint64_t aIndex);
  // Whether the service has a shard table or may get one.
  bool HasRoomForService(const std::string& aService) const;

  const std::map<uint32_t, wire::Backend>& Backends() const
  {
    return m_backends;
  }
  // Null if the number is unknown.
  const wire::Backend* FindBackend(uint32_t aNumber) const;
  // The backend of this incarnation, whose state may be gone. Null if unknown.
  const wire::Backend* FindBackend(std::string_view aNodeId,
                                   uint64_t aIncarnation) const;
  // The backend of the node that is not gone, or null.
  const wire::Backend* CurrentBackend(std::string_view aNodeId) const;
  const ServiceMap& Services() const { return m_services; }
  // Whether the shard has an owner that may hold a lease.
  bool IsHeld(const ShardState& aShard) const;

  uint64_t Revision() const { return m_revision; }
  wire::RouteUpdate UpdateSince(uint64_t aRevision) const;
  std::vector<wire::ServiceRoutes> MakeRouteTables() const;

  void SaveTo(wire::ClusterSnapshot& aSnapshot) const;
  // Returns an error, or an empty string. On error the store is incomplete.
  std::string LoadFrom(const wire::ClusterSnapshot& aSnapshot);

private:
  // What changed at one revision.
  struct RouteChange
  {
    uint64_t m_revision = 0;
    std::vector<uint32_t> m_backends;
    std::vector<std::pair<std::string, ShardNumber>> m_shards;
    // Service and key of the hot keys that were placed or removed.
    std::vector<std::pair<std::string, std::string>> m_hotKeys;
  };

  // Null for an unknown service or shard, and for the shard number of a removed
  // hot key.
  ShardState* FindShard(const std::string& aService, ShardNumber aShard);
  // Whether the backend serves the service and may be assigned shards.
  bool IsActiveFor(uint32_t aBackend, std::string_view aService) const;
  void MarkGone(wire::Backend& aBackend, uint64_t aIndex);
  // Removes gone backends to make room for a new backend of the node. Returns
  // false if there is still no room.
  bool MakeRoomForNode(const std::string& aNodeId);
  void RemoveBackend(uint32_t aNumber);
  bool OwnsShards(uint32_t aNumber) const;
  void AddBackend(const wire::Backend& aBackend);
  void CancelMovesOf(uint32_t aOwner,
                     const std::string& aService,
                     uint64_t aIndex);
  void DropTableIfUnused(const std::string& aService, uint64_t aIndex);

  // Raises the revision to aIndex and returns the change to extend.
  RouteChange& ChangeAt(uint64_t aIndex);
  void NoteShardChange(const std::string& aService,
                       ShardNumber aShard,
                       uint64_t aIndex);
  // Drops the buffered changes, so that every node gets a full update.
  void DropChanges(uint64_t aIndex);
  struct ChangeSet;
  ChangeSet CollectChangesSince(uint64_t aRevision) const;
  wire::RouteUpdate MakeFullUpdate() const;
  wire::RouteUpdate MakeDeltaUpdate(const ChangeSet& aChanges) const;

  std::map<uint32_t, wire::Backend> m_backends;
  // Numbers of the backends of each node, oldest first.
  std::map<std::string, std::vector<uint32_t>, std::less<>> m_numbersByNode;
  uint32_t m_nextBackendNumber = 1;
  ServiceMap m_services;
  // Services that have a shard table but no longer an entry that needs it.
  std::set<std::string> m_unneededServices;

  // Log index of the last change.
  uint64_t m_revision = 0;
  // A delta can start at this revision or a later one.
  uint64_t m_oldestDeltaRevision = 0;
  // The last changes, oldest first.
  std::deque<RouteChange> m_changes;
  // Sum of the shards in m_changes.
  size_t m_changedShardCount = 0;
};

} // namespace rattanloft::cluster
