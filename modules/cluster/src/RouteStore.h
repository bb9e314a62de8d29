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

constexpr size_t kMaxBackends = 4096;
// Gone incarnations that are remembered of one node. An older one that
// announces itself late would register under a new number, without grants.
constexpr size_t kMaxGoneIncarnationsPerNode = 8;
// Away from backends that leave. With 32, one of 4 backends still had 262 of
// its 1,062 shards 2.9 s after its drain began, and new work with them.
constexpr size_t kMaxMovesPerService = 128;
// While as many moves are in flight, none is begun for balance.
constexpr size_t kMaxBalancingMoves = 32;
constexpr size_t kMaxShardedServices = 64;
constexpr size_t kMaxTextBytes = 256;
// Route revisions that a delta can reach back.
constexpr size_t kMaxRouteChanges = 1024;
// Shards named by the change buffer, so that large batches cannot fill memory.
constexpr size_t kMaxChangedShards = 65536;

struct ShardState
{
  // Backend number, 0 for none. Stays set when the backend is gone, until the
  // shard is assigned anew.
  uint32_t m_owner = 0;
  uint32_t m_moveTarget = 0;
  // Log index of the assignment, 0 if the shard never had an owner.
  uint64_t m_epoch = 0;
};

struct ServiceTable
{
  // Indexed by shard number. Those from kHashedShards upwards are hot keys.
  std::vector<ShardState> m_shards;
  std::map<std::string, ShardNumber> m_hotKeys;
  size_t m_movesInFlight = 0;
};

// Backends, shards, moves and hot keys. Part of ClusterState.
class RouteStore
{
public:
  using ServiceMap = std::map<std::string, ServiceTable>;

  uint32_t Apply(const wire::RegisterBackend& aCommand, uint64_t aIndex);
  void Apply(const wire::SetBackendState& aCommand, uint64_t aIndex);
  void Apply(const wire::SetOperatorDrain& aCommand, uint64_t aIndex);
  void Apply(const wire::AssignShards& aCommand, uint64_t aIndex);
  void Apply(const wire::BeginMoves& aCommand, uint64_t aIndex);
  void Apply(const wire::ReleaseShards& aCommand, uint64_t aIndex);
  void Apply(const wire::PlaceHotKey& aCommand, uint64_t aIndex);
  void Apply(const wire::RemoveHotKey& aCommand, uint64_t aIndex);

  // Creates the table of a service, or drops it once no backend that may hold a
  // lease owns any of it.
  void SetSharded(const std::string& aService, bool aSharded, uint64_t aIndex);
  bool HasRoomForService(const std::string& aService) const;

  const std::map<uint32_t, wire::Backend>& Backends() const
  {
    return m_backends;
  }
  // Null if unknown.
  const wire::Backend* FindBackend(uint32_t aNumber) const;
  // The incarnation with its state, which may be gone. Null if unknown.
  const wire::Backend* FindBackend(std::string_view aNodeId,
                                   uint64_t aIncarnation) const;
  // The incarnation of the node that is not gone, or null.
  const wire::Backend* CurrentBackend(std::string_view aNodeId) const;
  const ServiceMap& Services() const { return m_services; }
  // True if the shard has an owner that may hold a lease.
  bool IsHeld(const ShardState& aShard) const;

  uint64_t Revision() const { return m_revision; }
  wire::RouteUpdate UpdateSince(uint64_t aRevision) const;
  std::vector<wire::ServiceRoutes> MakeRouteTables() const;

  void SaveTo(wire::ClusterSnapshot& aSnapshot) const;
  std::string LoadFrom(const wire::ClusterSnapshot& aSnapshot);

private:
  struct RouteChange
  {
    uint64_t m_revision = 0;
    std::vector<uint32_t> m_backends;
    std::vector<std::pair<std::string, ShardNumber>> m_shards;
    // Service and key of hot keys that were placed or removed.
    std::vector<std::pair<std::string, std::string>> m_hotKeys;
  };

  ShardState* FindShard(const std::string& aService, ShardNumber aShard);
  bool IsActiveFor(uint32_t aBackend, std::string_view aService) const;
  void MarkGone(wire::Backend& aBackend, uint64_t aIndex);
  bool MakeRoomForNode(const std::string& aNodeId);
  void RemoveBackend(uint32_t aNumber);
  bool OwnsShards(uint32_t aNumber) const;
  void AddBackend(const wire::Backend& aBackend);
  void CancelMovesOf(uint32_t aOwner,
                     const std::string& aService,
                     uint64_t aIndex);
  void DropTableIfUnused(const std::string& aService, uint64_t aIndex);

  RouteChange& ChangeAt(uint64_t aIndex);
  void NoteShardChange(const std::string& aService,
                       ShardNumber aShard,
                       uint64_t aIndex);
  // Makes every node take a full update.
  void DropChanges(uint64_t aIndex);
  struct ChangeSet;
  ChangeSet CollectChangesSince(uint64_t aRevision) const;
  wire::RouteUpdate MakeFullUpdate() const;
  wire::RouteUpdate MakeDeltaUpdate(const ChangeSet& aChanges) const;

  std::map<uint32_t, wire::Backend> m_backends;
  // Numbers of each node's incarnations, oldest first.
  std::map<std::string, std::vector<uint32_t>, std::less<>> m_numbersByNode;
  uint32_t m_nextBackendNumber = 1;
  ServiceMap m_services;
  // Services whose last entry that needs shards was removed.
  std::set<std::string> m_unneededServices;

  uint64_t m_revision = 0;
  uint64_t m_oldestDeltaRevision = 0;
  std::deque<RouteChange> m_changes;
  size_t m_changedShardCount = 0;
};

} // namespace rattanloft::cluster
