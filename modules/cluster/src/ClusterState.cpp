#include "rattanloft/cluster/ClusterState.h"

#include "ClusterStateImpl.h"
#include "rattanloft/base/Assert.h"

namespace rattanloft::cluster {

namespace {

// The service of the entry that the change puts or removes; empty if the entry
// to remove is unknown.
std::string
ServiceOfChange(const CatalogueStore& aCatalogue,
                const wire::CatalogueChange& aChange)
{
  if (aChange.has_put()) {
    return aChange.put().service();
  }
  const auto found = aCatalogue.Entries().find(aChange.remove());
  return found == aCatalogue.Entries().end() ? "" : found->second.service();
}

CommandResult
ApplyChange(ClusterState::Impl& aImpl,
            const wire::CatalogueChange& aChange,
            uint64_t aIndex)
{
  // The change may move the entry from one service to another, so the shard
  // tables of both services are updated.
  std::string oldService;
  if (aChange.has_put()) {
    const auto found = aImpl.m_catalogue.Entries().find(aChange.put().name());
    if (found != aImpl.m_catalogue.Entries().end()) {
      oldService = found->second.service();
    }
  }
  const std::string service = ServiceOfChange(aImpl.m_catalogue, aChange);
  CommandResult result;
  result.m_change = aImpl.m_catalogue.Apply(
    aChange, aIndex, aImpl.m_routes.HasRoomForService(service));
  if (result.m_change.status() != wire::CHANGE_STATUS_ACCEPTED) {
    return result;
  }
  for (const std::string& name : { oldService, service }) {
    if (!name.empty()) {
      aImpl.m_routes.SetSharded(
        name, aImpl.m_catalogue.NeedsShards(name), aIndex);
    }
  }
  return result;
}

} // namespace

ClusterState::ClusterState()
  : m_impl(std::make_unique<Impl>())
{
}

ClusterState::~ClusterState() = default;

CommandResult
ClusterState::Apply(const wire::Command& aCommand, uint64_t aIndex)
{
  RATTANLOFT_ASSERT(aIndex > m_impl->m_appliedIndex);
  m_impl->m_appliedIndex = aIndex;
  RouteStore& routes = m_impl->m_routes;
  CommandResult result;
  switch (aCommand.command_case()) {
    case wire::Command::kChange:
      return ApplyChange(*m_impl, aCommand.change(), aIndex);
    case wire::Command::kRegisterBackend:
      result.m_backend = routes.Apply(aCommand.register_backend(), aIndex);
      break;
    case wire::Command::kSetBackendState:
      routes.Apply(aCommand.set_backend_state(), aIndex);
      break;
    case wire::Command::kSetOperatorDrain:
      routes.Apply(aCommand.set_operator_drain(), aIndex);
      break;
    case wire::Command::kAssignShards:
      routes.Apply(aCommand.assign_shards(), aIndex);
      break;
    case wire::Command::kBeginMoves:
      routes.Apply(aCommand.begin_moves(), aIndex);
      break;
    case wire::Command::kReleaseShards:
      routes.Apply(aCommand.release_shards(), aIndex);
      break;
    case wire::Command::kPlaceHotKey:
      routes.Apply(aCommand.place_hot_key(), aIndex);
      break;
    case wire::Command::kRemoveHotKey:
      routes.Apply(aCommand.remove_hot_key(), aIndex);
      break;
    case wire::Command::COMMAND_NOT_SET:
      break;
  }
  return result;
}

wire::ClusterSnapshot
ClusterState::Snapshot() const
{
  wire::ClusterSnapshot snapshot;
  snapshot.set_applied_index(m_impl->m_appliedIndex);
  m_impl->m_catalogue.SaveTo(snapshot);
  m_impl->m_routes.SaveTo(snapshot);
  return snapshot;
}

tl::expected<void, std::string>
ClusterState::Restore(const wire::ClusterSnapshot& aSnapshot)
{
  auto impl = std::make_unique<Impl>();
  impl->m_appliedIndex = aSnapshot.applied_index();
  impl->m_catalogue.LoadFrom(aSnapshot);
  std::string error = impl->m_routes.LoadFrom(aSnapshot);
  if (!error.empty()) {
    return tl::unexpected(std::move(error));
  }
  for (const wire::ServiceRoutes& table : aSnapshot.routes()) {
    impl->m_routes.SetSharded(table.service(),
                              impl->m_catalogue.NeedsShards(table.service()),
                              impl->m_appliedIndex);
  }
  // Replaces the data in place, since a Coordinator may refer to this state.
  *m_impl = std::move(*impl);
  return {};
}

uint64_t
ClusterState::AppliedIndex() const
{
  return m_impl->m_appliedIndex;
}

uint64_t
ClusterState::CatalogueRevision() const
{
  return m_impl->m_catalogue.Revision();
}

uint64_t
ClusterState::RouteRevision() const
{
  return m_impl->m_routes.Revision();
}

wire::CatalogueUpdate
ClusterState::CatalogueSince(uint64_t aRevision) const
{
  return m_impl->m_catalogue.UpdateSince(aRevision);
}

wire::RouteUpdate
ClusterState::RoutesSince(uint64_t aRevision) const
{
  std::vector<Impl::CachedUpdate>& cache = m_impl->m_cachedUpdates;
  if (!cache.empty() && cache[0].m_update.revision() != RouteRevision()) {
    cache.clear();
  }
  for (const Impl::CachedUpdate& cached : cache) {
    if (cached.m_fromRevision == aRevision) {
      return cached.m_update;
    }
  }
  if (cache.size() >= Impl::kMaxCachedUpdates) {
    cache.erase(cache.begin());
  }
  cache.push_back({ aRevision, m_impl->m_routes.UpdateSince(aRevision) });
  return cache.back().m_update;
}

const std::map<std::string, wire::CatalogueEntry>&
ClusterState::CatalogueEntries() const
{
  return m_impl->m_catalogue.Entries();
}

const std::map<uint32_t, wire::Backend>&
ClusterState::Backends() const
{
  return m_impl->m_routes.Backends();
}

const wire::HistoryRecord*
ClusterState::FindChange(std::string_view aChangeId) const
{
  return m_impl->m_catalogue.FindChange(aChangeId);
}

std::vector<wire::HistoryRecord>
ClusterState::History(size_t aMax) const
{
  return m_impl->m_catalogue.History(aMax);
}

std::vector<wire::ServiceRoutes>
ClusterState::Routes() const
{
  return m_impl->m_routes.MakeRouteTables();
}

} // namespace rattanloft::cluster
