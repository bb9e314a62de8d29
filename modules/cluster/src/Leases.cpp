// Leases and failure detection of Coordinator.
#include "CoordinatorData.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

// A silent node counts as quiet well before its lease has ended, so that a mass
// of silent nodes is recognised before the first of them is given up.
constexpr Duration kQuietAfter = Milliseconds(1500);
// How long a mass of quiet nodes keeps its shards.
constexpr Duration kMaxDeferral = Seconds(10);
// In a smaller group a coincidence of single losses is as likely as a fault
// that cuts off the observer.
constexpr size_t kMinMass = 4;
constexpr Duration kColdFor = Seconds(10);
constexpr Duration kPlacementInterval = Milliseconds(100);
// An unhealthy backend's lease is renewed for this long, which spares a backend
// that recovers with its next probe. Releases go on until the lease ends. With
// 500 ms, detection (1.5 s), grace, lease (2.6 s) and a request sent just
// before (1 s) exceeded 5 s.
constexpr Duration kUnhealthyGrace = Milliseconds(100);

} // namespace

Coordinator::Data::Lease&
Coordinator::Data::LeaseOf(uint32_t aNumber, TimePoint aNow)
{
  const auto [lease, added] = m_leases.try_emplace(aNumber);
  if (added) {
    lease->second.m_grantedAt = aNow;
    lease->second.m_coldUntil = aNow + kColdFor;
  }
  return lease->second;
}

bool
Coordinator::Data::LeaseEnded(uint32_t aNumber, TimePoint aNow) const
{
  const auto lease = m_leases.find(aNumber);
  const Duration wait =
    m_options.m_lease + m_options.m_lease / 100 + m_options.m_revocationMargin;
  return lease != m_leases.end() && aNow - lease->second.m_grantedAt > wait;
}

bool
Coordinator::Data::MayGrant(const Node& aNode,
                            const wire::Backend& aBackend,
                            TimePoint aNow) const
{
  if (aBackend.state() == wire::BACKEND_STATE_GONE ||
      aBackend.session() != aNode.m_last.session() || !Confirms(aNode, aNow) ||
      IsUnhealthyTooLong(aBackend, aNow)) {
    return false;
  }
  const auto lease = m_leases.find(aBackend.number());
  return lease == m_leases.end() ||
         (!lease->second.m_final &&
          lease->second.m_wantedSession.value_or(aBackend.session()) ==
            aBackend.session());
}

bool
Coordinator::Data::IsUnhealthyTooLong(const wire::Backend& aBackend,
                                      TimePoint aNow) const
{
  const auto lease = m_leases.find(aBackend.number());
  return lease != m_leases.end() && lease->second.m_unhealthySince &&
         aNow - *lease->second.m_unhealthySince > kUnhealthyGrace;
}

void
Coordinator::Data::SweepLeases(TimePoint aNow)
{
  std::erase_if(m_leases, [this](const auto& aItem) {
    const wire::Backend* backend = Routes().Find(aItem.first);
    return !backend || backend->state() == wire::BACKEND_STATE_GONE;
  });
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() != wire::BACKEND_STATE_GONE) {
      LeaseOf(number, aNow);
    }
  }
  // Nodes without a backend of their own are forgotten once they are silent.
  std::erase_if(m_nodes, [&](const auto& aItem) {
    return aNow - aItem.second.m_heardAt > kMaxDeferral * 6 &&
           !Routes().Current(aItem.first);
  });
}

// Health counts only while most backends of the service are well: if most are
// not, the cause is likely one that moving shards does not cure, and the others
// could not carry the load.
void
Coordinator::Data::UpdateHealth(TimePoint aNow)
{
  std::map<std::string_view, std::pair<size_t, size_t>> counts;
  std::vector<const wire::Backend*> unhealthy;
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    auto& [bad, all] = counts[backend.service()];
    all++;
    const Node* node = NodeOf(backend);
    if (node && !node->m_last.backend_healthy()) {
      bad++;
      unhealthy.push_back(&backend);
    }
  }
  m_unhealthy.clear();
  for (const wire::Backend* backend : unhealthy) {
    const auto [bad, all] = counts[backend->service()];
    if (bad * 2 <= all) {
      m_unhealthy.insert(backend->number());
    }
  }
  for (auto& [number, lease] : m_leases) {
    if (!m_unhealthy.contains(number)) {
      const wire::Backend* backend = Routes().Find(number);
      lease.m_seenHealthy |= backend && NodeOf(*backend);
      lease.m_unhealthySince.reset();
    } else if (!lease.m_unhealthySince) {
      // A backend that this leader never saw well has had its time to release
      // under the old one.
      lease.m_unhealthySince = lease.m_seenHealthy ? aNow : m_startedAt;
    }
  }
}

// True while more than half of the backends, from more than one zone, are
// quiet. Most likely this observer is cut off from them, while they are well;
// taking their shards away would overload the others and could not be undone.
// Their leases end by themselves, so nothing is served wrongly meanwhile. The
// loss of one zone is never deferred.
bool
Coordinator::Data::DefersLosses(TimePoint aNow)
{
  size_t all = 0;
  size_t quiet = 0;
  std::set<std::string_view> zones;
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    all++;
    const Node* node = NodeOf(backend);
    if (aNow - (node ? node->m_heardAt : m_startedAt) > kQuietAfter) {
      quiet++;
      zones.insert(backend.zone());
    }
  }
  if (quiet < kMinMass || quiet * 2 <= all || zones.size() < 2) {
    m_deferringSince.reset();
    return false;
  }
  if (!m_deferringSince) {
    m_deferringSince = aNow;
    LogInfo("lease",
            "{} of {} backends are silent at once; their shards stay for up "
            "to {} s",
            quiet,
            all,
            kMaxDeferral.m_ms / 1000);
  }
  return aNow - *m_deferringSince < kMaxDeferral;
}

bool
Coordinator::Data::IsLost(const wire::Backend& aBackend, TimePoint aNow) const
{
  if (!LeaseEnded(aBackend.number(), aNow)) {
    return false;
  }
  const Node* node = NodeOf(aBackend);
  if (!node || !IsHeard(aBackend, aNow) ||
      m_leases.at(aBackend.number()).m_final) {
    return true;
  }
  // The node is heard. Its lease ended on purpose, or a new process of it waits
  // to be registered, or the leader could not confirm its reads for a while.
  return node->m_last.session() == aBackend.session() &&
         (!Confirms(*node, aNow) || IsUnhealthyTooLong(aBackend, aNow));
}

void
Coordinator::Data::EndLeases(TimePoint aNow, Commands& aCommands)
{
  const bool defers = DefersLosses(aNow);
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() == wire::BACKEND_STATE_GONE ||
        !LeaseEnded(number, aNow)) {
      continue;
    }
    Lease& lease = LeaseOf(number, aNow);
    const bool proposed = lease.m_proposedAt.has_value();
    if (!proposed && (defers || !IsLost(backend, aNow))) {
      continue;
    }
    if (proposed && aNow - *lease.m_proposedAt < kProposalInterval) {
      continue;
    }
    if (!proposed) {
      LogInfo("lease",
              "node {}: lease of backend {} ended, {}",
              backend.node_id(),
              number,
              IsHeard(backend, aNow) ? "withheld" : "silent");
    }
    lease.m_final = true;
    lease.m_proposedAt = aNow;
    wire::SetBackendState* set =
      aCommands.emplace_back().mutable_set_backend_state();
    set->set_backend(number);
    set->set_state(wire::BACKEND_STATE_GONE);
  }
}

void
Coordinator::Data::Place(TimePoint aNow, Commands& aCommands)
{
  if (aNow < m_nextPlacement) {
    return;
  }
  m_nextPlacement = aNow + kPlacementInterval;
  std::erase_if(m_placers, [this](const auto& aItem) {
    return !Routes().All().contains(aItem.first);
  });
  for (const auto& [service, table] : Routes().All()) {
    ServicePlacer& placer =
      m_placers.try_emplace(service, service).first->second;
    for (wire::Command& command :
         placer.Tick(table, ViewsOf(service, aNow), aNow)) {
      aCommands.push_back(std::move(command));
    }
  }
}

} // namespace rattanloft::cluster
