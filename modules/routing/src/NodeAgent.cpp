#include "rattanloft/routing/NodeAgent.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::routing {

namespace {

constexpr size_t kMaxReplacedIncarnations = 64;

// The clocks of nodes and control instances may drift apart by 1 %. The result
// is rounded towards the earlier end of the lease.
Duration
SubtractClockDrift(Duration aLease)
{
  return aLease - Milliseconds((aLease.m_ms + 99) / 100);
}

// Derives the next incarnation without a source of randomness, which this class
// does not have; the session is random.
uint64_t
NextIncarnation(uint64_t aSession, uint64_t aIncarnation)
{
  const uint64_t next =
    Hash64(std::to_string(aSession) + "/" + std::to_string(aIncarnation));
  return std::max<uint64_t>(next, 1);
}

std::tuple<std::string_view, ShardNumber>
ShardKeyOf(const OwnedShard& aShard)
{
  return { aShard.m_service, aShard.m_shard };
}

const OwnedShard*
FindReleased(const RoutingView& aView,
             std::string_view aService,
             ShardNumber aShard)
{
  if (!aView.m_released) {
    return nullptr;
  }
  const auto key = std::tuple(aService, aShard);
  const auto at =
    std::lower_bound(aView.m_released->begin(),
                     aView.m_released->end(),
                     key,
                     [](const OwnedShard& aLeft, const auto& aRight) {
                       return ShardKeyOf(aLeft) < aRight;
                     });
  return at != aView.m_released->end() && ShardKeyOf(*at) == key ? &*at
                                                                 : nullptr;
}

bool
IsReleased(const RoutingView& aView,
           std::string_view aService,
           ShardNumber aShard,
           uint64_t aEpoch)
{
  const OwnedShard* released = FindReleased(aView, aService, aShard);
  return released != nullptr && released->m_epoch >= aEpoch;
}

// Calls aVisitor for each shard that the backend server owns and has not
// released, and tells whether its release is requested. A backend server
// belongs to one service, so only the shards of that service are visited.
template<typename Visitor>
void
ForEachOwnedShard(const RoutingView& aView,
                  const std::optional<wire::Backend>& aBackend,
                  Visitor aVisitor)
{
  if (aView.m_backend == 0 || !aBackend) {
    return;
  }
  const std::string& service = aBackend->service();
  const auto shards = aView.m_routes->Shards(service);
  for (ShardNumber i = 0; i < shards.size(); ++i) {
    if (shards[i].m_owner == aView.m_backend &&
        !IsReleased(aView, service, i, shards[i].m_epoch)) {
      aVisitor(OwnedShard{ service, i, shards[i].m_epoch },
               shards[i].m_moveTarget != 0);
    }
  }
}

} // namespace

bool
RoutingView::MayServe(std::string_view aService,
                      ShardNumber aShard,
                      TimePoint aNow) const
{
  if (m_backend == 0 || aNow >= m_leaseEnd) {
    return false;
  }
  const ShardRoute* route = m_routes->Find(aService, aShard);
  return route != nullptr && route->m_owner == m_backend &&
         route->m_moveTarget == 0 &&
         !IsReleased(*this, aService, aShard, route->m_epoch);
}

NodeAgent::NodeAgent(NodeAgentOptions aOptions)
  : m_options(std::move(aOptions))
{
  RoutingView view;
  view.m_routes = RouteTable::MakeEmpty();
  view.m_catalogue = Catalogue::Make(0, {});
  // Without a reply the view is stale from the start.
  view.m_confirmedAt = TimePoint{} - kMaxConfirmationAge;
  Publish(std::move(view));
}

bool
NodeAgent::SetBackend(const wire::Backend& aBackend)
{
  const uint64_t incarnation = aBackend.incarnation();
  const auto& replaced = m_replacedIncarnations;
  if (std::find(replaced.begin(), replaced.end(), incarnation) !=
      replaced.end()) {
    LogWarning("lease",
               "refused the announcement of replaced incarnation {:x}",
               incarnation);
    return false;
  }
  if (m_backend && m_backend->incarnation() != incarnation) {
    if (m_replacedIncarnations.size() >= kMaxReplacedIncarnations) {
      m_replacedIncarnations.erase(m_replacedIncarnations.begin());
    }
    m_replacedIncarnations.push_back(m_backend->incarnation());
    RoutingView view = *m_view;
    m_lastReplacedNumber = std::max(m_lastReplacedNumber, view.m_backend);
    // Grants belong to the replaced incarnation.
    view.m_backend = 0;
    view.m_leaseEnd = TimePoint{};
    view.m_released = nullptr;
    view.m_operatorDrain = false;
    Publish(std::move(view));
    LogInfo("lease", "lease ended: new incarnation {:x}", incarnation);
  }
  if (!m_backend || m_backend->incarnation() != incarnation) {
    m_registeredIncarnation = incarnation;
    m_incarnationGone = false;
  }
  m_backend = aBackend;
  m_backend->set_number(0);
  m_backend->set_node_id(m_options.m_nodeId);
  m_backend->set_zone(m_options.m_zone);
  m_backend->set_peer_address(m_options.m_peerAddress);
  return true;
}

void
NodeAgent::SetBackendHealthy(bool aHealthy)
{
  m_healthy = aHealthy;
}

void
NodeAgent::SetDraining(bool aDraining)
{
  RoutingView view = *m_view;
  view.m_draining = aDraining;
  Publish(std::move(view));
}

void
NodeAgent::SetLoad(wire::NodeLoad aLoad)
{
  m_pendingLoad = std::move(aLoad);
}

void
NodeAgent::MarkReleased(std::string_view aService,
                        ShardNumber aShard,
                        uint64_t aEpoch)
{
  const ShardRoute* route = m_view->m_routes->Find(aService, aShard);
  if (m_view->m_backend == 0 || route == nullptr ||
      route->m_owner != m_view->m_backend || route->m_epoch != aEpoch ||
      IsReleased(*m_view, aService, aShard, aEpoch)) {
    return;
  }
  auto released =
    m_view->m_released
      ? std::make_shared<std::vector<OwnedShard>>(*m_view->m_released)
      : std::make_shared<std::vector<OwnedShard>>();
  OwnedShard shard{ std::string(aService), aShard, aEpoch };
  const auto byShardKey = [](const OwnedShard& aLeft,
                             const OwnedShard& aRight) {
    return ShardKeyOf(aLeft) < ShardKeyOf(aRight);
  };
  const auto at =
    std::lower_bound(released->begin(), released->end(), shard, byShardKey);
  if (at != released->end() && ShardKeyOf(*at) == ShardKeyOf(shard)) {
    *at = std::move(shard);
  } else {
    released->insert(at, std::move(shard));
  }
  RoutingView view = *m_view;
  view.m_released = std::move(released);
  Publish(std::move(view));
}

void
NodeAgent::AddQuarantine(const std::vector<wire::QuarantineEntry>& aEntries)
{
  m_quarantineReport.Add(aEntries, m_sequence);
}

wire::SyncRequest
NodeAgent::MakeRequest()
{
  wire::SyncRequest request;
  request.set_node_id(m_options.m_nodeId);
  request.set_sequence(++m_sequence);
  request.set_session(m_options.m_session);
  if (m_incarnationGone && m_healthy) {
    m_registeredIncarnation =
      NextIncarnation(m_options.m_session, m_registeredIncarnation);
    m_incarnationGone = false;
  }
  // An unresponsive backend server is registered again only once it is healthy.
  if (m_backend && !m_incarnationGone) {
    *request.mutable_backend() = *m_backend;
    request.mutable_backend()->set_incarnation(m_registeredIncarnation);
  }
  request.set_backend_healthy(m_healthy);
  request.set_draining(m_view->m_draining);
  request.set_catalogue_revision(m_view->m_catalogue->Revision());
  request.set_route_revision(m_needsFullRoutes ? 0
                                               : m_view->m_routes->Revision());
  if (m_view->m_released) {
    for (const OwnedShard& shard : *m_view->m_released) {
      wire::ShardRef* ref = request.add_released();
      ref->set_service(shard.m_service);
      ref->set_shard(shard.m_shard);
      ref->set_epoch(shard.m_epoch);
    }
  }
  if (m_pendingLoad) {
    *request.mutable_load() = std::move(*m_pendingLoad);
    m_pendingLoad.reset();
  }
  m_quarantineReport.FillRequest(request);
  return request;
}

bool
NodeAgent::OnReply(const wire::SyncReply& aReply,
                   TimePoint aSentAt,
                   TimePoint aNow)
{
  RoutingView view = *m_view;
  const bool gone = aReply.status() == wire::SYNC_STATUS_INCARNATION_GONE;
  if (!gone && aReply.status() != wire::SYNC_STATUS_OK) {
    return false;
  }
  if (aReply.has_catalogue()) {
    ApplyCatalogue(aReply.catalogue(), view);
  }
  if (aReply.has_routes()) {
    ApplyRoutes(aReply.routes(), view);
  }
  if (!gone) {
    ApplyLease(aReply, aSentAt, aNow, view);
    ApplyOperatorDrain(aReply, aSentAt, view);
  } else if (aReply.incarnation() == 0 ||
             aReply.incarnation() == m_registeredIncarnation) {
    EndRegistration(aSentAt, aNow, view);
  }
  if (aReply.has_quarantine()) {
    m_quarantineReport.OnUpdate(aReply.quarantine());
  }
  m_quarantineReport.OnConfirmed(aReply.quarantine_sequence());
  // A reply confirms the catalogue only if this node has the revision that the
  // reply calls current.
  if (view.m_catalogue->Revision() >= aReply.catalogue_revision()) {
    view.m_confirmedAt = std::max(view.m_confirmedAt, aSentAt);
  }
  DropConfirmedReleases(view);
  Publish(std::move(view));
  return true;
}

bool
NodeAgent::ApplyCatalogue(const wire::CatalogueUpdate& aUpdate,
                          RoutingView& aView)
{
  // Replies can arrive out of order; an older catalogue must not come back.
  if (aUpdate.revision() <= aView.m_catalogue->Revision()) {
    return false;
  }
  std::map<std::string, wire::CatalogueEntry> entries;
  if (!aUpdate.full()) {
    for (const wire::CatalogueEntry& entry : aView.m_catalogue->Entries()) {
      entries.insert_or_assign(entry.name(), entry);
    }
  }
  for (const std::string& name : aUpdate.removed()) {
    entries.erase(name);
  }
  for (const wire::CatalogueEntry& entry : aUpdate.entries()) {
    entries.insert_or_assign(entry.name(), entry);
  }
  std::vector<wire::CatalogueEntry> list;
  list.reserve(entries.size());
  for (auto& [name, entry] : entries) {
    list.push_back(std::move(entry));
  }
  LogInfo("route",
          "received catalogue revision {} with {} entries",
          aUpdate.revision(),
          list.size());
  aView.m_catalogue = Catalogue::Make(aUpdate.revision(), std::move(list));
  return true;
}

bool
NodeAgent::ApplyRoutes(const wire::RouteUpdate& aUpdate, RoutingView& aView)
{
  if (aUpdate.revision() <= aView.m_routes->Revision() &&
      !(m_needsFullRoutes && aUpdate.full() &&
        aUpdate.revision() == aView.m_routes->Revision())) {
    return false;
  }
  auto routes = aView.m_routes->WithUpdate(aUpdate);
  if (!routes) {
    LogWarning(
      "route",
      "refused the route update to revision {}; requesting a full update",
      aUpdate.revision());
    m_needsFullRoutes = true;
    return false;
  }
  LogDebug("route", "updated the routes to revision {}", aUpdate.revision());
  m_needsFullRoutes = m_needsFullRoutes && !aUpdate.full();
  aView.m_routes = std::move(routes);
  return true;
}

void
NodeAgent::ApplyLease(const wire::SyncReply& aReply,
                      TimePoint aSentAt,
                      TimePoint aNow,
                      RoutingView& aView)
{
  const uint32_t number = aReply.backend_number();
  const bool late = m_numberWithdrawn ? aSentAt <= m_numberRequestSentAt
                                      : aSentAt < m_numberRequestSentAt;
  if (number != aView.m_backend) {
    // A late reply does not show which of the two numbers is current, so the
    // lease ends in either case.
    EndLease(aView, aNow, "reply names another backend number");
    if (late) {
      return;
    }
    if (aView.m_backend != 0) {
      m_numberRequestSentAt = aSentAt;
      m_numberWithdrawn = true;
    }
    aView.m_backend = 0;
    aView.m_released = nullptr;
  }
  if (!IsOwnNumber(number, aView)) {
    return;
  }
  if (number != aView.m_backend) {
    LogInfo("lease", "registered as backend {}", number);
    aView.m_backend = number;
    aView.m_leaseEnd = TimePoint{};
  }
  m_numberRequestSentAt = std::max(m_numberRequestSentAt, aSentAt);
  m_numberWithdrawn = false;
  if (aReply.lease_ms() > 0) {
    aView.m_leaseEnd =
      std::max(aView.m_leaseEnd,
               aSentAt + SubtractClockDrift(Milliseconds(aReply.lease_ms())));
  }
}

void
NodeAgent::ApplyOperatorDrain(const wire::SyncReply& aReply,
                              TimePoint aSentAt,
                              RoutingView& aView)
{
  // A late reply, or one about a replaced incarnation, is out of date.
  if (!m_backend || aReply.incarnation() != m_backend->incarnation() ||
      aSentAt < m_operatorDrainRequestSentAt) {
    return;
  }
  m_operatorDrainRequestSentAt = aSentAt;
  if (aView.m_operatorDrain != aReply.operator_drain()) {
    LogInfo("route",
            "operator drain of backend {} is {}",
            aReply.backend_number(),
            aReply.operator_drain() ? "on" : "off");
  }
  aView.m_operatorDrain = aReply.operator_drain();
}

bool
NodeAgent::IsOwnNumber(uint32_t aNumber, const RoutingView& aView) const
{
  // Backend numbers grow and are never reused, so a late reply about a replaced
  // incarnation is recognised by its number.
  if (!m_backend || aNumber == 0 || aNumber <= m_lastReplacedNumber) {
    return false;
  }
  const wire::Backend* known = aView.m_routes->FindBackend(aNumber);
  return known == nullptr || (known->incarnation() == m_registeredIncarnation &&
                              known->node_id() == m_options.m_nodeId);
}

void
NodeAgent::EndLease(RoutingView& aView,
                    TimePoint aNow,
                    std::string_view aReason)
{
  if (aView.m_backend != 0 && aView.m_leaseEnd > aNow) {
    LogInfo("lease", "lease of backend {} ended: {}", aView.m_backend, aReason);
  }
  aView.m_leaseEnd = std::min(aView.m_leaseEnd, aNow);
}

void
NodeAgent::EndRegistration(TimePoint aSentAt,
                           TimePoint aNow,
                           RoutingView& aView)
{
  EndLease(aView, aNow, "incarnation declared gone");
  m_lastReplacedNumber = std::max(m_lastReplacedNumber, aView.m_backend);
  aView.m_backend = 0;
  aView.m_released = nullptr;
  m_numberRequestSentAt = std::max(m_numberRequestSentAt, aSentAt);
  m_numberWithdrawn = true;
  m_incarnationGone = true;
}

void
NodeAgent::DropConfirmedReleases(RoutingView& aView)
{
  if (!aView.m_released) {
    return;
  }
  auto kept = std::make_shared<std::vector<OwnedShard>>();
  for (const OwnedShard& shard : *aView.m_released) {
    const ShardRoute* route =
      aView.m_routes->Find(shard.m_service, shard.m_shard);
    if (route != nullptr && route->m_owner == aView.m_backend &&
        route->m_epoch == shard.m_epoch) {
      kept->push_back(shard);
    }
  }
  if (kept->size() == aView.m_released->size()) {
    return;
  }
  aView.m_released = kept->empty() ? nullptr : std::move(kept);
}

void
NodeAgent::Publish(RoutingView aView)
{
  m_view = std::make_shared<const RoutingView>(std::move(aView));
}

std::vector<OwnedShard>
NodeAgent::ShardsToRelease() const
{
  std::vector<OwnedShard> shards;
  ForEachOwnedShard(
    *m_view, m_backend, [&](OwnedShard aShard, bool aReleaseAsked) {
      if (aReleaseAsked) {
        shards.push_back(std::move(aShard));
      }
    });
  return shards;
}

std::vector<OwnedShard>
NodeAgent::OwnedShards() const
{
  std::vector<OwnedShard> shards;
  ForEachOwnedShard(*m_view, m_backend, [&](OwnedShard aShard, bool) {
    shards.push_back(std::move(aShard));
  });
  return shards;
}

bool
NodeAgent::OwnsAnyShard() const
{
  if (m_view->m_backend == 0 || !m_backend) {
    return false;
  }
  const auto shards = m_view->m_routes->Shards(m_backend->service());
  return std::any_of(
    shards.begin(), shards.end(), [this](const ShardRoute& aRoute) {
      return aRoute.m_owner == m_view->m_backend;
    });
}

} // namespace rattanloft::routing
