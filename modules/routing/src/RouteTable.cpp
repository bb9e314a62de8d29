#include "rattanloft/routing/RouteTable.h"

#include <algorithm>

namespace rattanloft::routing {

struct RouteTable::Service
{
  std::vector<ShardRoute> m_shards;
  std::unordered_map<std::string, ShardNumber, StringHash, std::equal_to<>>
    m_hotKeys;
  // Backend numbers in ascending order.
  std::vector<uint32_t> m_backends;
};

namespace {

constexpr ShardNumber kMaxShards = kHashedShards + kMaxHotKeys;

bool
IsWellFormed(const wire::ServiceRoutes& aRoutes)
{
  const int count = aRoutes.owners_size();
  if (aRoutes.epochs_size() != count ||
      (aRoutes.shards_size() != count && aRoutes.shards_size() != 0) ||
      (aRoutes.move_targets_size() != count &&
       aRoutes.move_targets_size() != 0)) {
    return false;
  }
  if (aRoutes.shards_size() == 0) {
    return static_cast<ShardNumber>(count) <= kMaxShards;
  }
  return std::all_of(aRoutes.shards().begin(),
                     aRoutes.shards().end(),
                     [](uint32_t aShard) { return aShard < kMaxShards; });
}

bool
IsWellFormed(const wire::RouteUpdate& aUpdate)
{
  const auto isHotShard = [](const wire::HotKey& aKey) {
    return aKey.shard() >= kHashedShards && aKey.shard() < kMaxShards;
  };
  return std::all_of(aUpdate.services().begin(),
                     aUpdate.services().end(),
                     [](const wire::ServiceRoutes& aRoutes) {
                       return IsWellFormed(aRoutes);
                     }) &&
         std::all_of(
           aUpdate.hot_keys().begin(), aUpdate.hot_keys().end(), isHotShard);
}

void
ApplyRoutes(std::vector<ShardRoute>& aShards,
            const wire::ServiceRoutes& aRoutes)
{
  for (int i = 0; i < aRoutes.owners_size(); ++i) {
    const ShardNumber shard = aRoutes.shards_size() == 0
                                ? static_cast<ShardNumber>(i)
                                : aRoutes.shards(i);
    if (shard >= aShards.size()) {
      // Reserves the exact size, since growth by doubling would take twice the
      // memory for a few hot keys.
      aShards.reserve(shard < kHashedShards ? kHashedShards : kMaxShards);
      aShards.resize(std::max<size_t>(shard + 1, kHashedShards));
    }
    const uint32_t target =
      aRoutes.move_targets_size() == 0 ? 0 : aRoutes.move_targets(i);
    aShards[shard] = { aRoutes.owners(i), target, aRoutes.epochs(i) };
  }
}

} // namespace

// Changes a new table that still shares its content with the previous one.
// Copies each service and the backend map at most once per update.
class RouteTable::Editor
{
public:
  explicit Editor(RouteTable* aTable)
    : m_table(aTable)
  {
  }

  Service& EditService(const std::string& aService)
  {
    auto& copy = m_serviceCopies[aService];
    if (!copy) {
      const auto found = m_table->m_services.find(aService);
      copy = found == m_table->m_services.end()
               ? std::make_shared<Service>()
               : std::make_shared<Service>(*found->second);
      m_table->m_services.insert_or_assign(aService, copy);
    }
    return *copy;
  }

  void SetBackend(const wire::Backend& aBackend)
  {
    // An update about a backend that is gone may carry no more than its number,
    // so the service is taken from the table.
    RemoveBackend(aBackend.number());
    if (aBackend.state() == wire::BACKEND_STATE_GONE) {
      return;
    }
    EditBackends().insert_or_assign(aBackend.number(), aBackend);
    auto& numbers = EditService(aBackend.service()).m_backends;
    numbers.insert(
      std::lower_bound(numbers.begin(), numbers.end(), aBackend.number()),
      aBackend.number());
  }

private:
  void RemoveBackend(uint32_t aNumber)
  {
    BackendMap& backends = EditBackends();
    const auto known = backends.find(aNumber);
    if (known == backends.end()) {
      return;
    }
    std::erase(EditService(known->second.service()).m_backends, aNumber);
    backends.erase(known);
  }

  BackendMap& EditBackends()
  {
    if (!m_backends) {
      m_backends = m_table->m_backends
                     ? std::make_shared<BackendMap>(*m_table->m_backends)
                     : std::make_shared<BackendMap>();
      m_table->m_backends = m_backends;
    }
    return *m_backends;
  }

  RouteTable* m_table;
  std::shared_ptr<BackendMap> m_backends;
  std::unordered_map<std::string, std::shared_ptr<Service>> m_serviceCopies;
};

std::shared_ptr<const RouteTable>
RouteTable::MakeEmpty()
{
  return std::make_shared<RouteTable>();
}

std::shared_ptr<const RouteTable>
RouteTable::WithUpdate(const wire::RouteUpdate& aUpdate) const
{
  // The elements of an update are absolute values. Applying an update that is
  // older than the table would bring back routes that have been replaced since.
  if (aUpdate.revision() < m_revision || !IsWellFormed(aUpdate)) {
    return nullptr;
  }
  auto table = aUpdate.full() ? std::make_shared<RouteTable>()
                              : std::make_shared<RouteTable>(*this);
  table->m_revision = aUpdate.revision();
  Editor editor(table.get());
  for (const wire::Backend& backend : aUpdate.backends()) {
    editor.SetBackend(backend);
  }
  for (const wire::HotKey& key : aUpdate.removed_hot_keys()) {
    editor.EditService(key.service()).m_hotKeys.erase(key.key());
  }
  for (const wire::HotKey& key : aUpdate.hot_keys()) {
    editor.EditService(key.service())
      .m_hotKeys.insert_or_assign(key.key(), key.shard());
  }
  for (const wire::ServiceRoutes& routes : aUpdate.services()) {
    ApplyRoutes(editor.EditService(routes.service()).m_shards, routes);
  }
  return table;
}

uint64_t
RouteTable::Revision() const
{
  return m_revision;
}

const RouteTable::Service*
RouteTable::FindService(std::string_view aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? nullptr : found->second.get();
}

ShardNumber
RouteTable::ShardOf(std::string_view aService, std::string_view aKey) const
{
  if (const Service* service = FindService(aService)) {
    const auto found = service->m_hotKeys.find(aKey);
    if (found != service->m_hotKeys.end()) {
      return found->second;
    }
  }
  return HashedShard(aKey);
}

const ShardRoute*
RouteTable::Find(std::string_view aService, ShardNumber aShard) const
{
  const auto shards = Shards(aService);
  return aShard < shards.size() ? &shards[aShard] : nullptr;
}

std::span<const ShardRoute>
RouteTable::Shards(std::string_view aService) const
{
  const Service* service = FindService(aService);
  return service == nullptr ? std::span<const ShardRoute>()
                            : std::span<const ShardRoute>(service->m_shards);
}

const RouteTable::BackendMap&
RouteTable::Backends() const
{
  static const BackendMap sNoBackends;
  return m_backends ? *m_backends : sNoBackends;
}

const wire::Backend*
RouteTable::FindBackend(uint32_t aNumber) const
{
  const BackendMap& backends = Backends();
  const auto found = backends.find(aNumber);
  return found == backends.end() ? nullptr : &found->second;
}

std::span<const uint32_t>
RouteTable::BackendsOf(std::string_view aService) const
{
  const Service* service = FindService(aService);
  return service == nullptr ? std::span<const uint32_t>()
                            : std::span<const uint32_t>(service->m_backends);
}

} // namespace rattanloft::routing
