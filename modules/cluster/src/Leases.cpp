// The functions of the Coordinator for leases and failure detection.
#include "CoordinatorImpl.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

// A node that was not heard for this long counts towards a mass outage. This is
// well below the lease, so that a mass outage is recognised before the first of
// its nodes loses its shards.
constexpr Duration kMassOutageSilenceLimit = Milliseconds(1500);
// How long silent nodes keep their shards in a mass outage.
constexpr Duration kMaxLossDeferral = Seconds(10);
// Silent backends that make a mass outage. With fewer, independent losses at
// the same time are as likely as a fault that cuts off the leader.
constexpr size_t kMinMassOutageBackends = 4;
// How long a newly registered backend counts as cold.
constexpr Duration kColdDuration = Seconds(10);
constexpr Duration kPlacementInterval = Milliseconds(100);
// The lease of an unhealthy backend is renewed for this long, which spares a
// backend that recovers with its next probe. Until the lease ends, the backend
// goes on releasing shards. With 500 ms, the sum of detection (1.5 s), this
// grace, the lease (2.6 s) and a request sent just before (1 s) exceeded 5 s.
constexpr Duration kUnhealthyLeaseGrace = Milliseconds(100);

} // namespace

Coordinator::Impl::Lease&
Coordinator::Impl::GetOrAddLease(uint32_t aNumber, TimePoint aNow)
{
  const auto [lease, added] = m_leases.try_emplace(aNumber);
  if (added) {
    lease->second.m_grantedAt = aNow;
    lease->second.m_coldUntil = aNow + kColdDuration;
  }
  return lease->second;
}

bool
Coordinator::Impl::HasLeaseEnded(uint32_t aNumber, TimePoint aNow) const
{
  const auto lease = m_leases.find(aNumber);
  // The additional 1 % allows for the drift of the node's clock.
  const Duration wait = m_options.m_leaseDuration +
                        m_options.m_leaseDuration / 100 +
                        m_options.m_revocationMargin;
  return lease != m_leases.end() && aNow - lease->second.m_grantedAt > wait;
}

bool
Coordinator::Impl::MayGrantLease(const NodeState& aNode,
                                 const wire::Backend& aBackend,
                                 TimePoint aNow) const
{
  if (aBackend.state() == wire::BACKEND_STATE_GONE ||
      aBackend.session() != aNode.m_lastRequest.session() ||
      !ConfirmsReplies(aNode, aNow) || IsUnhealthyTooLong(aBackend, aNow)) {
    return false;
  }
  const auto lease = m_leases.find(aBackend.number());
  return lease == m_leases.end() ||
         (!lease->second.m_renewalEnded &&
          lease->second.m_pendingSession.value_or(aBackend.session()) ==
            aBackend.session());
}

bool
Coordinator::Impl::IsUnhealthyTooLong(const wire::Backend& aBackend,
                                      TimePoint aNow) const
{
  const auto lease = m_leases.find(aBackend.number());
  return lease != m_leases.end() && lease->second.m_unhealthySince &&
         aNow - *lease->second.m_unhealthySince > kUnhealthyLeaseGrace;
}

void
Coordinator::Impl::RefreshLeases(TimePoint aNow)
{
  std::erase_if(m_leases, [this](const auto& aItem) {
    const wire::Backend* backend = Routes().FindBackend(aItem.first);
    return !backend || backend->state() == wire::BACKEND_STATE_GONE;
  });
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() != wire::BACKEND_STATE_GONE) {
      GetOrAddLease(number, aNow);
    }
  }
  // Forgets nodes without a backend after they have been silent for a minute.
  std::erase_if(m_nodes, [&](const auto& aItem) {
    return aNow - aItem.second.m_lastHeardAt > kMaxLossDeferral * 6 &&
           !Routes().CurrentBackend(aItem.first);
  });
}

// A backend counts as unhealthy only while at least half of the backends of its
// service are healthy. If most are unhealthy, moving shards is unlikely to
// remove the cause, and the healthy backends could not carry the load.
void
Coordinator::Impl::UpdateHealth(TimePoint aNow)
{
  std::map<std::string_view, std::pair<size_t, size_t>> counts;
  std::vector<const wire::Backend*> unhealthy;
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    auto& [unhealthyCount, total] = counts[backend.service()];
    total++;
    const NodeState* node = FindNode(backend);
    if (node && !node->m_lastRequest.backend_healthy()) {
      unhealthyCount++;
      unhealthy.push_back(&backend);
    }
  }
  m_unhealthyBackends.clear();
  for (const wire::Backend* backend : unhealthy) {
    const auto [unhealthyCount, total] = counts[backend->service()];
    if (unhealthyCount * 2 <= total) {
      m_unhealthyBackends.insert(backend->number());
    }
  }
  for (auto& [number, lease] : m_leases) {
    if (!m_unhealthyBackends.contains(number)) {
      const wire::Backend* backend = Routes().FindBackend(number);
      lease.m_wasSeenHealthy |= backend && FindNode(*backend);
      lease.m_unhealthySince.reset();
    } else if (!lease.m_unhealthySince) {
      // A backend that this leader has never seen healthy had the time to
      // release its shards under the previous leader.
      lease.m_unhealthySince = lease.m_wasSeenHealthy ? aNow : m_startedAt;
    }
  }
}

// True during a mass outage, for at most kMaxLossDeferral: more than half of
// the backends, from more than one zone, are silent. Most likely the leader is
// cut off from them while they are healthy. Taking their shards away would
// overload the others and could not be undone. Their leases expire without the
// leader, so no shard is served by two owners meanwhile. The loss of a single
// zone is never deferred.
bool
Coordinator::Impl::ShouldDeferLosses(TimePoint aNow)
{
  size_t total = 0;
  size_t silentCount = 0;
  std::set<std::string_view> zones;
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    total++;
    const NodeState* node = FindNode(backend);
    if (aNow - (node ? node->m_lastHeardAt : m_startedAt) >
        kMassOutageSilenceLimit) {
      silentCount++;
      zones.insert(backend.zone());
    }
  }
  if (silentCount < kMinMassOutageBackends || silentCount * 2 <= total ||
      zones.size() < 2) {
    m_deferringLossesSince.reset();
    return false;
  }
  if (!m_deferringLossesSince) {
    m_deferringLossesSince = aNow;
    LogInfo("lease",
            "{} of {} backends are silent at once; they keep their shards "
            "for up to {} s",
            silentCount,
            total,
            kMaxLossDeferral.m_ms / 1000);
  }
  return aNow - *m_deferringLossesSince < kMaxLossDeferral;
}

bool
Coordinator::Impl::IsLost(const wire::Backend& aBackend, TimePoint aNow) const
{
  if (!HasLeaseEnded(aBackend.number(), aNow)) {
    return false;
  }
  const NodeState* node = FindNode(aBackend);
  if (!node || !WasHeardRecently(aBackend, aNow) ||
      m_leases.at(aBackend.number()).m_renewalEnded) {
    return true;
  }
  // The node is heard, so its lease has ended for another reason: it was
  // withheld, or a new process of the node waits to be registered, or the
  // leader could not confirm its reads for a while. The backend is lost only if
  // its lease was withheld.
  return node->m_lastRequest.session() == aBackend.session() &&
         (!ConfirmsReplies(*node, aNow) || IsUnhealthyTooLong(aBackend, aNow));
}

void
Coordinator::Impl::ProposeGoneBackends(TimePoint aNow, Commands& aCommands)
{
  const bool defersLosses = ShouldDeferLosses(aNow);
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.state() == wire::BACKEND_STATE_GONE ||
        !HasLeaseEnded(number, aNow)) {
      continue;
    }
    Lease& lease = GetOrAddLease(number, aNow);
    const bool wasProposed = lease.m_goneProposedAt.has_value();
    if (!wasProposed && (defersLosses || !IsLost(backend, aNow))) {
      continue;
    }
    if (wasProposed &&
        aNow - *lease.m_goneProposedAt < kProposalRetryInterval) {
      continue;
    }
    if (!wasProposed) {
      LogInfo("lease",
              "node {}: lease of backend {} ended, {}",
              backend.node_id(),
              number,
              WasHeardRecently(backend, aNow) ? "withheld" : "silent");
    }
    lease.m_renewalEnded = true;
    lease.m_goneProposedAt = aNow;
    wire::SetBackendState* set =
      aCommands.emplace_back().mutable_set_backend_state();
    set->set_backend(number);
    set->set_state(wire::BACKEND_STATE_GONE);
  }
}

void
Coordinator::Impl::PlaceShards(TimePoint aNow, Commands& aCommands)
{
  if (aNow < m_nextPlacementAt) {
    return;
  }
  m_nextPlacementAt = aNow + kPlacementInterval;
  std::erase_if(m_placers, [this](const auto& aItem) {
    return !Routes().Services().contains(aItem.first);
  });
  for (const auto& [service, table] : Routes().Services()) {
    ServicePlacer& placer =
      m_placers.try_emplace(service, service).first->second;
    for (wire::Command& command :
         placer.Tick(table, MakeBackendViews(service, aNow), aNow)) {
      aCommands.push_back(std::move(command));
    }
  }
}

} // namespace rattanloft::cluster
