#include "rattanloft/cluster/Coordinator.h"

#include "CoordinatorImpl.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

constexpr size_t kMaxKnownNodes = 4096;
// A node that was not heard for this long counts as silent. Nodes sync at least
// every 400 ms plus the round trip time.
constexpr Duration kMaxNodeSilence = Seconds(1);
// The leader takes its replies to a node as lost once this many of them are
// unconfirmed and none was confirmed for this long. A single lost reply is
// common.
constexpr uint32_t kUnconfirmedReplyLimit = 2;
constexpr Duration kUnconfirmedTimeLimit = Seconds(1);
// Failure detection looks at all backends, so it does not run after each
// applied command.
constexpr Duration kFailureCheckInterval = Milliseconds(20);
// After a reply, news is collected for this long and sent in one reply.
constexpr Duration kReplyBatchInterval = Milliseconds(20);

bool
IsSameAnnouncement(const wire::Backend& aRegistered,
                   const wire::Backend& aAnnounced)
{
  return aRegistered.zone() == aAnnounced.zone() &&
         aRegistered.peer_address() == aAnnounced.peer_address() &&
         aRegistered.slots() == aAnnounced.slots() &&
         aRegistered.verifies_tokens() == aAnnounced.verifies_tokens();
}

} // namespace

Coordinator::Coordinator(CoordinatorOptions aOptions,
                         const ClusterState& aState,
                         TimePoint aNow)
  : m_impl(std::make_unique<Impl>(aOptions, aState, aNow))
{
}

Coordinator::~Coordinator() = default;

std::vector<wire::Command>
Coordinator::OnSync(const wire::SyncRequest& aRequest, TimePoint aNow)
{
  return m_impl->OnSync(aRequest, aNow);
}

TickOutcome
Coordinator::Tick(TimePoint aNow)
{
  return m_impl->Tick(aNow);
}

wire::SyncReply
Coordinator::BuildReply(const std::string& aNodeId, TimePoint aNow)
{
  return m_impl->BuildReply(aNodeId, aNow);
}

std::vector<NodeStatus>
Coordinator::Nodes(TimePoint aNow) const
{
  return m_impl->Nodes(aNow);
}

std::vector<wire::QuarantineEntry>
Coordinator::Quarantine(TimePoint aNow) const
{
  return m_impl->Quarantine(aNow);
}

bool
Coordinator::ClearQuarantine(uint64_t aFingerprint, TimePoint aNow)
{
  return m_impl->ClearQuarantine(aFingerprint, aNow);
}

Coordinator::Impl::Impl(CoordinatorOptions aOptions,
                        const ClusterState& aState,
                        TimePoint aNow)
  : m_options(aOptions)
  , m_state(aState)
  , m_startedAt(aNow)
  , m_nextPlacementAt(aNow)
{
  // Earlier leaders may have granted leases until the election.
  for (const auto& [number, backend] : aState.Backends()) {
    if (backend.state() != wire::BACKEND_STATE_GONE) {
      m_leases[number].m_grantedAt = aNow;
    }
  }
}

const CatalogueStore&
Coordinator::Impl::Catalogue() const
{
  return m_state.InternalState().m_catalogue;
}

const RouteStore&
Coordinator::Impl::Routes() const
{
  return m_state.InternalState().m_routes;
}

std::vector<wire::Command>
Coordinator::Impl::OnSync(const wire::SyncRequest& aRequest, TimePoint aNow)
{
  Commands commands;
  const std::string& nodeId = aRequest.node_id();
  if (nodeId.empty() ||
      (!m_nodes.contains(nodeId) && m_nodes.size() >= kMaxKnownNodes)) {
    return commands;
  }
  NodeState& node = m_nodes[nodeId];
  if (IsOvertaken(node, aRequest, aNow)) {
    return commands;
  }
  StoreReport(node, aRequest, aNow);
  for (const wire::QuarantineEntry& entry : aRequest.quarantine()) {
    m_quarantine.Merge(entry, aNow);
  }
  ProposeRegistration(node, aNow, commands);
  ProposeDrainState(node, commands);
  ProposeReleases(node, commands);
  return commands;
}

// A request is overtaken by a later one of the same node process, or by one of
// a new process. A late request of the old process would otherwise renew the
// lease whose end the new process waits for.
bool
Coordinator::Impl::IsOvertaken(const NodeState& aNode,
                               const wire::SyncRequest& aRequest,
                               TimePoint aNow) const
{
  if (aNode.m_lastRequest.node_id().empty()) {
    return false;
  }
  if (aRequest.session() == aNode.m_lastRequest.session()) {
    return aRequest.sequence() <= aNode.m_lastRequest.sequence();
  }
  return aRequest.session() == aNode.m_previousSession &&
         aNow - aNode.m_lastHeardAt < kMaxNodeSilence;
}

void
Coordinator::Impl::StoreReport(NodeState& aNode,
                               const wire::SyncRequest& aRequest,
                               TimePoint aNow)
{
  const bool sameSession =
    aNode.m_lastRequest.session() == aRequest.session() &&
    !aNode.m_lastRequest.node_id().empty();
  if (!sameSession || !aRequest.has_answered() ||
      aRequest.answered() > aNode.m_lastRequest.answered()) {
    aNode.m_unconfirmedReplies = 0;
    aNode.m_hasConfirmedReply = sameSession || !aRequest.has_answered();
    aNode.m_lastConfirmedAt = aNow;
  }
  if (!sameSession && !aNode.m_lastRequest.node_id().empty()) {
    aNode.m_previousSession = aNode.m_lastRequest.session();
  }
  wire::NodeLoad load = std::move(*aNode.m_lastRequest.mutable_load());
  aNode.m_lastRequest = aRequest;
  if (!aRequest.has_load()) {
    *aNode.m_lastRequest.mutable_load() = std::move(load);
  }
  aNode.m_lastHeardAt = aNow;
  // The time is kept when a call is replaced, so that a node that replaces its
  // call again and again still gets its lease renewed.
  const TimePoint since =
    aNode.m_heldCall ? aNode.m_heldCall->m_heldSince : aNow;
  aNode.m_heldCall = HeldCall{ aRequest.sequence(), since, false };
}

const wire::Backend*
Coordinator::Impl::AnnouncedBackend(const NodeState& aNode) const
{
  return aNode.m_lastRequest.has_backend()
           ? Routes().FindBackend(aNode.m_lastRequest.node_id(),
                                  aNode.m_lastRequest.backend().incarnation())
           : nullptr;
}

// Proposes to register a new incarnation, or a change of a known incarnation.
// An older incarnation or an older process of the node may still use its lease,
// so the new one is registered only after that lease has ended.
void
Coordinator::Impl::ProposeRegistration(NodeState& aNode,
                                       TimePoint aNow,
                                       Commands& aCommands)
{
  if (!aNode.m_lastRequest.has_backend() || aNow < aNode.m_nextRegistrationAt) {
    return;
  }
  wire::Backend wanted = aNode.m_lastRequest.backend();
  wanted.set_node_id(aNode.m_lastRequest.node_id());
  wanted.set_session(aNode.m_lastRequest.session());
  const wire::Backend* known = AnnouncedBackend(aNode);
  if (known && (known->state() == wire::BACKEND_STATE_GONE ||
                known->service() != wanted.service() ||
                (known->session() == wanted.session() &&
                 IsSameAnnouncement(*known, wanted)))) {
    return;
  }
  const wire::Backend* current = Routes().CurrentBackend(wanted.node_id());
  if (current && (current != known || current->session() != wanted.session())) {
    if (!MayReplaceBackend(*current, aNow)) {
      return;
    }
    Lease& lease = GetOrAddLease(current->number(), aNow);
    if (lease.m_renewalEnded && current == known) {
      return;
    }
    lease.m_renewalEnded |= current != known;
    lease.m_pendingSession = wanted.session();
  }
  aNode.m_nextRegistrationAt = aNow + kProposalRetryInterval;
  *aCommands.emplace_back().mutable_register_backend()->mutable_backend() =
    wanted;
}

bool
Coordinator::Impl::MayReplaceBackend(const wire::Backend& aCurrent,
                                     TimePoint aNow) const
{
  return !Routes().Services().contains(aCurrent.service()) ||
         HasLeaseEnded(aCurrent.number(), aNow);
}

void
Coordinator::Impl::ProposeDrainState(const NodeState& aNode,
                                     Commands& aCommands) const
{
  const wire::Backend* known = AnnouncedBackend(aNode);
  if (!known || known->session() != aNode.m_lastRequest.session()) {
    return;
  }
  const bool shouldDrain =
    aNode.m_lastRequest.draining() || known->operator_drain();
  const wire::BackendState wanted =
    shouldDrain ? wire::BACKEND_STATE_DRAINING : wire::BACKEND_STATE_ACTIVE;
  if (known->state() == wanted || known->state() == wire::BACKEND_STATE_GONE) {
    return;
  }
  wire::SetBackendState* set =
    aCommands.emplace_back().mutable_set_backend_state();
  set->set_backend(known->number());
  set->set_state(wanted);
}

void
Coordinator::Impl::ProposeReleases(const NodeState& aNode,
                                   Commands& aCommands) const
{
  const wire::Backend* known = AnnouncedBackend(aNode);
  if (!known || known->state() == wire::BACKEND_STATE_GONE ||
      known->session() != aNode.m_lastRequest.session()) {
    return;
  }
  wire::ReleaseShards release;
  for (const wire::ShardRef& released : aNode.m_lastRequest.released()) {
    const auto table = Routes().Services().find(released.service());
    if (table == Routes().Services().end() ||
        released.shard() >= table->second.m_shards.size()) {
      continue;
    }
    const ShardState& shard = table->second.m_shards[released.shard()];
    if (shard.m_owner == known->number() && shard.m_epoch == released.epoch()) {
      *release.add_shards() = released;
    }
  }
  if (release.shards().empty()) {
    return;
  }
  release.set_backend(known->number());
  *aCommands.emplace_back().mutable_release_shards() = std::move(release);
}

TickOutcome
Coordinator::Impl::Tick(TimePoint aNow)
{
  TickOutcome outcome;
  if (aNow >= m_nextFailureCheckAt) {
    m_nextFailureCheckAt = aNow + kFailureCheckInterval;
    RefreshLeases(aNow);
    UpdateHealth(aNow);
    for (auto& [nodeId, node] : m_nodes) {
      if (aNow - node.m_lastHeardAt < kMaxNodeSilence) {
        ProposeRegistration(node, aNow, outcome.m_commands);
      }
    }
    ProposeGoneBackends(aNow, outcome.m_commands);
  }
  PlaceShards(aNow, outcome.m_commands);
  CollectReadyReplies(aNow, outcome.m_ready);
  return outcome;
}

void
Coordinator::Impl::CollectReadyReplies(TimePoint aNow,
                                       std::vector<ReadyReply>& aReady)
{
  for (auto& [nodeId, node] : m_nodes) {
    if (!node.m_heldCall || node.m_heldCall->m_ready) {
      continue;
    }
    const bool due =
      aNow - node.m_heldCall->m_heldSince >= m_options.m_maxSyncHold;
    const bool batched = aNow - node.m_lastReadyAt < kReplyBatchInterval;
    if (!due && (batched || !HasNewsFor(node))) {
      continue;
    }
    node.m_heldCall->m_ready = true;
    node.m_lastReadyAt = aNow;
    aReady.push_back({ nodeId, node.m_heldCall->m_sequence });
  }
}

bool
Coordinator::Impl::HasNewsFor(const NodeState& aNode) const
{
  if (aNode.m_lastRequest.catalogue_revision() != m_state.CatalogueRevision() ||
      aNode.m_lastRequest.route_revision() != m_state.RouteRevision() ||
      m_quarantine.HasUpdateFor(aNode.m_lastRequest, m_options.m_term)) {
    return true;
  }
  const wire::Backend* known = AnnouncedBackend(aNode);
  return known && known->state() == wire::BACKEND_STATE_GONE &&
         aNode.m_reportedGoneIncarnation != known->incarnation();
}

std::vector<wire::QuarantineEntry>
Coordinator::Impl::Quarantine(TimePoint aNow) const
{
  std::vector<wire::QuarantineEntry> entries =
    m_quarantine.Table().ListWireEntries(aNow);
  std::erase_if(entries, [](const wire::QuarantineEntry& aEntry) {
    return aEntry.state() == wire::QUARANTINE_STATE_CLEARED;
  });
  return entries;
}

bool
Coordinator::Impl::ClearQuarantine(uint64_t aFingerprint, TimePoint aNow)
{
  return m_quarantine.Clear(aFingerprint, aNow);
}

wire::SyncReply
Coordinator::Impl::BuildReply(const std::string& aNodeId, TimePoint aNow)
{
  wire::SyncReply reply;
  const auto found = m_nodes.find(aNodeId);
  if (found == m_nodes.end() || !found->second.m_heldCall) {
    reply.set_status(wire::SYNC_STATUS_REPLACED);
    return reply;
  }
  NodeState& node = found->second;
  node.m_heldCall.reset();
  reply.set_catalogue_revision(m_state.CatalogueRevision());
  reply.set_route_revision(m_state.RouteRevision());
  if (node.m_lastRequest.catalogue_revision() != m_state.CatalogueRevision()) {
    *reply.mutable_catalogue() =
      m_state.CatalogueSince(node.m_lastRequest.catalogue_revision());
  }
  if (node.m_lastRequest.route_revision() != m_state.RouteRevision()) {
    *reply.mutable_routes() =
      m_state.RoutesSince(node.m_lastRequest.route_revision());
  }
  reply.set_quarantine_sequence(node.m_lastRequest.sequence());
  if (!m_quarantine.IsCurrent(node.m_lastRequest, m_options.m_term)) {
    *reply.mutable_quarantine() =
      m_quarantine.MakeUpdate(node.m_lastRequest, m_options.m_term, aNow);
  }
  const wire::Backend* known = AnnouncedBackend(node);
  if (!known) {
    return reply;
  }
  reply.set_incarnation(known->incarnation());
  if (known->state() == wire::BACKEND_STATE_GONE) {
    reply.set_status(wire::SYNC_STATUS_INCARNATION_GONE);
    node.m_reportedGoneIncarnation = known->incarnation();
    return reply;
  }
  reply.set_backend_number(known->number());
  reply.set_operator_drain(known->operator_drain());
  if (MayGrantLease(node, *known, aNow)) {
    GetOrAddLease(known->number(), aNow).m_grantedAt = aNow;
    reply.set_lease_ms(static_cast<uint32_t>(m_options.m_leaseDuration.m_ms));
  }
  node.m_unconfirmedReplies++;
  return reply;
}

std::vector<NodeStatus>
Coordinator::Impl::Nodes(TimePoint aNow) const
{
  std::vector<NodeStatus> nodes;
  for (const auto& [nodeId, node] : m_nodes) {
    NodeStatus& status = nodes.emplace_back();
    status.m_nodeId = nodeId;
    status.m_sinceLastSync = aNow - node.m_lastHeardAt;
    status.m_healthy = node.m_lastRequest.backend_healthy();
    status.m_draining = node.m_lastRequest.draining();
    status.m_catalogueRevision = node.m_lastRequest.catalogue_revision();
    status.m_load = node.m_lastRequest.load();
    const wire::Backend* known = AnnouncedBackend(node);
    if (known && known->state() != wire::BACKEND_STATE_GONE) {
      status.m_backend = known->number();
      status.m_leaseHeld = !HasLeaseEnded(known->number(), aNow);
    }
  }
  return nodes;
}

bool
Coordinator::Impl::ConfirmsReplies(const NodeState& aNode, TimePoint aNow) const
{
  // A process that has not confirmed any reply of this leader may already have
  // received no replies of the previous leader, so it gets only one.
  if (!aNode.m_hasConfirmedReply) {
    return aNode.m_unconfirmedReplies == 0;
  }
  return aNode.m_unconfirmedReplies < kUnconfirmedReplyLimit ||
         aNow - aNode.m_lastConfirmedAt < kUnconfirmedTimeLimit;
}

const Coordinator::Impl::NodeState*
Coordinator::Impl::FindNode(const wire::Backend& aBackend) const
{
  const auto node = m_nodes.find(aBackend.node_id());
  if (node == m_nodes.end() || !node->second.m_lastRequest.has_backend() ||
      node->second.m_lastRequest.backend().incarnation() !=
        aBackend.incarnation()) {
    return nullptr;
  }
  return &node->second;
}

bool
Coordinator::Impl::WasHeardRecently(const wire::Backend& aBackend,
                                    TimePoint aNow) const
{
  const NodeState* node = FindNode(aBackend);
  return node && aNow - node->m_lastHeardAt < kMaxNodeSilence;
}

std::vector<BackendView>
Coordinator::Impl::MakeBackendViews(std::string_view aService,
                                    TimePoint aNow) const
{
  std::vector<BackendView> views;
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.service() != aService ||
        backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    BackendView& view = views.emplace_back();
    view.m_backend = &backend;
    view.m_healthy = !m_unhealthyBackends.contains(number);
    const auto lease = m_leases.find(number);
    if (const NodeState* node = FindNode(backend)) {
      view.m_reachable = aNow - node->m_lastHeardAt < kMaxNodeSilence &&
                         MayGrantLease(*node, backend, aNow);
      view.m_load = node->m_lastRequest.load();
    }
    view.m_cold = lease != m_leases.end() && aNow < lease->second.m_coldUntil;
  }
  return views;
}

} // namespace rattanloft::cluster
