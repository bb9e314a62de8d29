// The functions of RouteStore that record revisions, make updates for nodes,
// and save and load snapshots.
#include <algorithm>

#include <fmt/format.h>

#include "RouteStore.h"

namespace rattanloft::cluster {

// What changed over several revisions.
struct RouteStore::ChangeSet
{
  std::set<uint32_t> m_backends;
  std::map<std::string, std::set<ShardNumber>> m_shards;
  // Service and key.
  std::set<std::pair<std::string, std::string>> m_hotKeys;
  // Shards in m_shards, of all services.
  size_t m_shardCount = 0;
};

namespace {

void
AppendShard(wire::ServiceRoutes& aRoutes, const ShardState& aShard)
{
  aRoutes.add_owners(aShard.m_owner);
  aRoutes.add_epochs(aShard.m_epoch);
  aRoutes.add_move_targets(aShard.m_moveTarget);
}

wire::HotKey
MakeHotKey(const std::string& aService,
           const std::string& aKey,
           ShardNumber aShard)
{
  wire::HotKey hot;
  hot.set_service(aService);
  hot.set_key(aKey);
  hot.set_shard(aShard);
  return hot;
}

// Returns an error, or an empty string.
std::string
LoadTable(const wire::ServiceRoutes& aRoutes, ServiceTable& aTable)
{
  const auto count = static_cast<size_t>(aRoutes.owners_size());
  if (count < kHashedShards || count > kHashedShards + kMaxHotKeys ||
      aRoutes.epochs_size() != aRoutes.owners_size() ||
      aRoutes.move_targets_size() != aRoutes.owners_size()) {
    return fmt::format("routes of {}: bad length", aRoutes.service());
  }
  aTable.m_shards.resize(count);
  for (size_t i = 0; i < count; i++) {
    const int at = static_cast<int>(i);
    aTable.m_shards[i] = { aRoutes.owners(at),
                           aRoutes.move_targets(at),
                           aRoutes.epochs(at) };
    aTable.m_movesInFlight += aRoutes.move_targets(at) != 0;
  }
  return "";
}

} // namespace

RouteStore::RouteChange&
RouteStore::ChangeAt(uint64_t aIndex)
{
  m_revision = aIndex;
  if (m_changes.empty() || m_changes.back().m_revision != aIndex) {
    m_changes.emplace_back().m_revision = aIndex;
  }
  while (m_changes.size() > kMaxRouteChanges ||
         (m_changedShardCount > kMaxChangedShards && m_changes.size() > 1)) {
    m_oldestDeltaRevision = m_changes.front().m_revision;
    m_changedShardCount -= m_changes.front().m_shards.size();
    m_changes.pop_front();
  }
  return m_changes.back();
}

void
RouteStore::NoteShardChange(const std::string& aService,
                            ShardNumber aShard,
                            uint64_t aIndex)
{
  ChangeAt(aIndex).m_shards.emplace_back(aService, aShard);
  m_changedShardCount++;
}

void
RouteStore::DropChanges(uint64_t aIndex)
{
  m_changes.clear();
  m_changedShardCount = 0;
  m_revision = aIndex;
  m_oldestDeltaRevision = aIndex;
}

wire::RouteUpdate
RouteStore::UpdateSince(uint64_t aRevision) const
{
  if (aRevision == 0 || aRevision < m_oldestDeltaRevision ||
      aRevision > m_revision) {
    return MakeFullUpdate();
  }
  const ChangeSet changes = CollectChangesSince(aRevision);
  size_t total = 0;
  for (const auto& [name, table] : m_services) {
    total += table.m_shards.size();
  }
  // A delta also lists the shard numbers, so a full update is smaller when more
  // than half of all shards have changed.
  return changes.m_shardCount * 2 > total ? MakeFullUpdate()
                                          : MakeDeltaUpdate(changes);
}

RouteStore::ChangeSet
RouteStore::CollectChangesSince(uint64_t aRevision) const
{
  ChangeSet changes;
  for (auto it = m_changes.rbegin();
       it != m_changes.rend() && it->m_revision > aRevision;
       ++it) {
    changes.m_backends.insert(it->m_backends.begin(), it->m_backends.end());
    changes.m_hotKeys.insert(it->m_hotKeys.begin(), it->m_hotKeys.end());
    for (const auto& [service, shard] : it->m_shards) {
      changes.m_shardCount += changes.m_shards[service].insert(shard).second;
    }
  }
  return changes;
}

wire::RouteUpdate
RouteStore::MakeFullUpdate() const
{
  wire::RouteUpdate update;
  update.set_full(true);
  update.set_revision(m_revision);
  for (const auto& [number, backend] : m_backends) {
    if (backend.state() != wire::BACKEND_STATE_GONE) {
      wire::Backend* copy = update.add_backends();
      *copy = backend;
    }
  }
  for (wire::ServiceRoutes& table : MakeRouteTables()) {
    *update.add_services() = std::move(table);
  }
  for (const auto& [service, table] : m_services) {
    for (const auto& [key, shard] : table.m_hotKeys) {
      *update.add_hot_keys() = MakeHotKey(service, key, shard);
    }
  }
  return update;
}

wire::RouteUpdate
RouteStore::MakeDeltaUpdate(const ChangeSet& aChanges) const
{
  wire::RouteUpdate update;
  update.set_revision(m_revision);
  for (const uint32_t number : aChanges.m_backends) {
    wire::Backend* copy = update.add_backends();
    const wire::Backend* backend = FindBackend(number);
    if (backend && backend->state() != wire::BACKEND_STATE_GONE) {
      *copy = *backend;
    } else {
      copy->set_number(number);
      copy->set_state(wire::BACKEND_STATE_GONE);
    }
  }
  for (const auto& [service, shards] : aChanges.m_shards) {
    const ServiceTable& table = m_services.at(service);
    wire::ServiceRoutes* routes = update.add_services();
    routes->set_service(service);
    for (const ShardNumber shard : shards) {
      routes->add_shards(shard);
      AppendShard(*routes, table.m_shards[shard]);
    }
  }
  for (const auto& [service, key] : aChanges.m_hotKeys) {
    const auto& hotKeys = m_services.at(service).m_hotKeys;
    const auto hot = hotKeys.find(key);
    if (hot == hotKeys.end()) {
      *update.add_removed_hot_keys() = MakeHotKey(service, key, 0);
    } else {
      *update.add_hot_keys() = MakeHotKey(service, key, hot->second);
    }
  }
  return update;
}

std::vector<wire::ServiceRoutes>
RouteStore::MakeRouteTables() const
{
  std::vector<wire::ServiceRoutes> tables;
  for (const auto& [service, table] : m_services) {
    wire::ServiceRoutes& routes = tables.emplace_back();
    routes.set_service(service);
    for (const ShardState& shard : table.m_shards) {
      AppendShard(routes, shard);
    }
  }
  return tables;
}

void
RouteStore::SaveTo(wire::ClusterSnapshot& aSnapshot) const
{
  aSnapshot.set_route_revision(m_revision);
  aSnapshot.set_next_backend_number(m_nextBackendNumber);
  for (const auto& [number, backend] : m_backends) {
    *aSnapshot.add_backends() = backend;
  }
  for (wire::ServiceRoutes& table : MakeRouteTables()) {
    *aSnapshot.add_routes() = std::move(table);
  }
  for (const auto& [service, table] : m_services) {
    for (const auto& [key, shard] : table.m_hotKeys) {
      *aSnapshot.add_hot_keys() = MakeHotKey(service, key, shard);
    }
  }
}

std::string
RouteStore::LoadFrom(const wire::ClusterSnapshot& aSnapshot)
{
  *this = RouteStore();
  m_revision = aSnapshot.route_revision();
  m_oldestDeltaRevision = m_revision;
  m_nextBackendNumber = std::max(1U, aSnapshot.next_backend_number());
  for (const wire::Backend& backend : aSnapshot.backends()) {
    if (backend.number() >= m_nextBackendNumber) {
      return fmt::format("backend {}: not below the next number",
                         backend.number());
    }
    AddBackend(backend);
  }
  for (const wire::ServiceRoutes& routes : aSnapshot.routes()) {
    std::string error = LoadTable(routes, m_services[routes.service()]);
    if (!error.empty()) {
      return error;
    }
  }
  for (const wire::HotKey& hot : aSnapshot.hot_keys()) {
    const auto table = m_services.find(hot.service());
    if (table == m_services.end() || hot.shard() < kHashedShards ||
        hot.shard() >= table->second.m_shards.size()) {
      return fmt::format("hot key {}: no such shard", hot.key());
    }
    table->second.m_hotKeys[hot.key()] = hot.shard();
  }
  return "";
}

} // namespace rattanloft::cluster
