#include "rattanloft/cluster/Coordinator.h"

#include "CoordinatorData.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

constexpr size_t kMaxNodes = 4096;
// A node syncs at least every 400 ms plus the way there and back.
constexpr Duration kHeardWithin = Seconds(1);
// Replies that must stay unconfirmed, and for how long, before the leader takes
// them as lost. One lost reply alone is common.
constexpr uint32_t kUnconfirmedReplies = 2;
constexpr Duration kUnconfirmedFor = Seconds(1);
// Failure detection looks at all backends, so not after each command.
constexpr Duration kSweepInterval = Milliseconds(20);
// News within this time goes into one reply.
constexpr Duration kBatchInterval = Milliseconds(20);

bool
IsSameAnnouncement(const wire::Backend& aKnown, const wire::Backend& aWanted)
{
  return aKnown.zone() == aWanted.zone() &&
         aKnown.peer_address() == aWanted.peer_address() &&
         aKnown.slots() == aWanted.slots() &&
         aKnown.verifies_tokens() == aWanted.verifies_tokens();
}

} // namespace

Coordinator::Coordinator(CoordinatorOptions aOptions,
                         const ClusterState& aState,
                         TimePoint aNow)
  : m_data(std::make_unique<Data>(aOptions, aState, aNow))
{
}

Coordinator::~Coordinator() = default;

std::vector<wire::Command>
Coordinator::OnSync(const wire::SyncRequest& aRequest, TimePoint aNow)
{
  return m_data->OnSync(aRequest, aNow);
}

TickOutcome
Coordinator::Tick(TimePoint aNow)
{
  return m_data->Tick(aNow);
}

wire::SyncReply
Coordinator::BuildReply(const std::string& aNodeId, TimePoint aNow)
{
  return m_data->BuildReply(aNodeId, aNow);
}

std::vector<NodeStatus>
Coordinator::Nodes(TimePoint aNow) const
{
  return m_data->Nodes(aNow);
}

std::vector<wire::QuarantineEntry>
Coordinator::Quarantine(TimePoint aNow) const
{
  return m_data->Quarantine(aNow);
}

bool
Coordinator::ClearQuarantine(uint64_t aFingerprint, TimePoint aNow)
{
  return m_data->ClearQuarantine(aFingerprint, aNow);
}

Coordinator::Data::Data(CoordinatorOptions aOptions,
                        const ClusterState& aState,
                        TimePoint aNow)
  : m_options(aOptions)
  , m_state(aState)
  , m_startedAt(aNow)
  , m_nextPlacement(aNow)
{
  // Earlier leaders may have granted leases until now.
  for (const auto& [number, backend] : aState.Backends()) {
    if (backend.state() != wire::BACKEND_STATE_GONE) {
      m_leases[number].m_grantedAt = aNow;
    }
  }
}

const CatalogueStore&
Coordinator::Data::Catalogue() const
{
  return m_state.Inside().m_catalogue;
}

const RouteStore&
Coordinator::Data::Routes() const
{
  return m_state.Inside().m_routes;
}

std::vector<wire::Command>
Coordinator::Data::OnSync(const wire::SyncRequest& aRequest, TimePoint aNow)
{
  Commands commands;
  const std::string& nodeId = aRequest.node_id();
  if (nodeId.empty() ||
      (!m_nodes.contains(nodeId) && m_nodes.size() >= kMaxNodes)) {
    return commands;
  }
  Node& node = m_nodes[nodeId];
  if (IsStale(node, aRequest, aNow)) {
    return commands;
  }
  TakeReport(node, aRequest, aNow);
  for (const wire::QuarantineEntry& entry : aRequest.quarantine()) {
    m_quarantineRevision += m_quarantine.Merge(entry, aNow) ? 1 : 0;
  }
  Register(node, aNow, commands);
  SetDraining(node, commands);
  Release(node, commands);
  return commands;
}

// A request that was overtaken by a later one of the same process, or by those
// of a new process. A late request of the old process would otherwise renew the
// lease whose end the new one waits for.
bool
Coordinator::Data::IsStale(const Node& aNode,
                           const wire::SyncRequest& aRequest,
                           TimePoint aNow) const
{
  if (aNode.m_last.node_id().empty()) {
    return false;
  }
  if (aRequest.session() == aNode.m_last.session()) {
    return aRequest.sequence() <= aNode.m_last.sequence();
  }
  return aRequest.session() == aNode.m_previousSession &&
         aNow - aNode.m_heardAt < kHeardWithin;
}

void
Coordinator::Data::TakeReport(Node& aNode,
                              const wire::SyncRequest& aRequest,
                              TimePoint aNow)
{
  const bool sameSession = aNode.m_last.session() == aRequest.session() &&
                           !aNode.m_last.node_id().empty();
  if (!sameSession || !aRequest.has_answered() ||
      aRequest.answered() > aNode.m_last.answered()) {
    aNode.m_unconfirmed = 0;
    aNode.m_everConfirmed = sameSession || !aRequest.has_answered();
    aNode.m_confirmedAt = aNow;
  }
  if (!sameSession && !aNode.m_last.node_id().empty()) {
    aNode.m_previousSession = aNode.m_last.session();
  }
  wire::NodeLoad load = std::move(*aNode.m_last.mutable_load());
  aNode.m_last = aRequest;
  if (!aRequest.has_load()) {
    *aNode.m_last.mutable_load() = std::move(load);
  }
  aNode.m_heardAt = aNow;
  // A node that replaces its call again and again still gets its lease renewed.
  const TimePoint since = aNode.m_held ? aNode.m_held->m_since : aNow;
  aNode.m_held = HeldCall{ aRequest.sequence(), since, false };
}

const wire::Backend*
Coordinator::Data::Announced(const Node& aNode) const
{
  return aNode.m_last.has_backend()
           ? Routes().Find(aNode.m_last.node_id(),
                           aNode.m_last.backend().incarnation())
           : nullptr;
}

// Registers a new incarnation, or a change of a known one. An older incarnation
// or an older process of the node may still use its lease, so their successor
// waits until that has ended.
void
Coordinator::Data::Register(Node& aNode, TimePoint aNow, Commands& aCommands)
{
  if (!aNode.m_last.has_backend() || aNow < aNode.m_nextRegistration) {
    return;
  }
  wire::Backend wanted = aNode.m_last.backend();
  wanted.set_node_id(aNode.m_last.node_id());
  wanted.set_session(aNode.m_last.session());
  const wire::Backend* known = Announced(aNode);
  if (known && (known->state() == wire::BACKEND_STATE_GONE ||
                known->service() != wanted.service() ||
                (known->session() == wanted.session() &&
                 IsSameAnnouncement(*known, wanted)))) {
    return;
  }
  const wire::Backend* current = Routes().Current(wanted.node_id());
  if (current && (current != known || current->session() != wanted.session())) {
    if (!MayReplace(*current, aNow)) {
      return;
    }
    Lease& lease = LeaseOf(current->number(), aNow);
    if (lease.m_final && current == known) {
      return;
    }
    lease.m_final |= current != known;
    lease.m_wantedSession = wanted.session();
  }
  aNode.m_nextRegistration = aNow + kProposalInterval;
  *aCommands.emplace_back().mutable_register_backend()->mutable_backend() =
    wanted;
}

bool
Coordinator::Data::MayReplace(const wire::Backend& aOld, TimePoint aNow) const
{
  return !Routes().All().contains(aOld.service()) ||
         LeaseEnded(aOld.number(), aNow);
}

void
Coordinator::Data::SetDraining(const Node& aNode, Commands& aCommands) const
{
  const wire::Backend* known = Announced(aNode);
  if (!known || known->session() != aNode.m_last.session()) {
    return;
  }
  const bool drains = aNode.m_last.draining() || known->operator_drain();
  const wire::BackendState wanted =
    drains ? wire::BACKEND_STATE_DRAINING : wire::BACKEND_STATE_ACTIVE;
  if (known->state() == wanted || known->state() == wire::BACKEND_STATE_GONE) {
    return;
  }
  wire::SetBackendState* set =
    aCommands.emplace_back().mutable_set_backend_state();
  set->set_backend(known->number());
  set->set_state(wanted);
}

void
Coordinator::Data::Release(const Node& aNode, Commands& aCommands) const
{
  const wire::Backend* known = Announced(aNode);
  if (!known || known->state() == wire::BACKEND_STATE_GONE ||
      known->session() != aNode.m_last.session()) {
    return;
  }
  wire::ReleaseShards release;
  for (const wire::ShardRef& released : aNode.m_last.released()) {
    const auto table = Routes().All().find(released.service());
    if (table == Routes().All().end() ||
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
Coordinator::Data::Tick(TimePoint aNow)
{
  TickOutcome outcome;
  if (aNow >= m_nextSweep) {
    m_nextSweep = aNow + kSweepInterval;
    SweepLeases(aNow);
    UpdateHealth(aNow);
    for (auto& [nodeId, node] : m_nodes) {
      if (aNow - node.m_heardAt < kHeardWithin) {
        Register(node, aNow, outcome.m_commands);
      }
    }
    EndLeases(aNow, outcome.m_commands);
  }
  Place(aNow, outcome.m_commands);
  CollectReady(aNow, outcome.m_ready);
  return outcome;
}

void
Coordinator::Data::CollectReady(TimePoint aNow, std::vector<ReadyReply>& aReady)
{
  for (auto& [nodeId, node] : m_nodes) {
    if (!node.m_held || node.m_held->m_ready) {
      continue;
    }
    const bool due = aNow - node.m_held->m_since >= m_options.m_hold;
    const bool batched = aNow - node.m_readyAt < kBatchInterval;
    if (!due && (batched || !HasNews(node))) {
      continue;
    }
    node.m_held->m_ready = true;
    node.m_readyAt = aNow;
    aReady.push_back({ nodeId, node.m_held->m_sequence });
  }
}

bool
Coordinator::Data::HasNews(const Node& aNode) const
{
  if (aNode.m_last.catalogue_revision() != m_state.CatalogueRevision() ||
      aNode.m_last.route_revision() != m_state.RouteRevision() ||
      (m_quarantineRevision > 0 && !HasQuarantine(aNode))) {
    return true;
  }
  const wire::Backend* known = Announced(aNode);
  return known && known->state() == wire::BACKEND_STATE_GONE &&
         aNode.m_toldGone != known->incarnation();
}

bool
Coordinator::Data::HasQuarantine(const Node& aNode) const
{
  return aNode.m_last.quarantine_term() == m_options.m_term &&
         aNode.m_last.quarantine_revision() == m_quarantineRevision;
}

std::vector<wire::QuarantineEntry>
Coordinator::Data::Quarantine(TimePoint aNow) const
{
  std::vector<wire::QuarantineEntry> entries =
    m_quarantine.ListWireEntries(aNow);
  std::erase_if(entries, [](const wire::QuarantineEntry& aEntry) {
    return aEntry.state() == wire::QUARANTINE_STATE_CLEARED;
  });
  return entries;
}

bool
Coordinator::Data::ClearQuarantine(uint64_t aFingerprint, TimePoint aNow)
{
  const quarantine::QuarantineTableEntry* entry =
    m_quarantine.Find(aFingerprint, aNow);
  if (!entry) {
    return false;
  }
  const std::string service = entry->m_service;
  m_quarantine.SetState(
    aFingerprint, service, wire::QUARANTINE_STATE_CLEARED, aNow);
  m_quarantineRevision++;
  return true;
}

wire::SyncReply
Coordinator::Data::BuildReply(const std::string& aNodeId, TimePoint aNow)
{
  wire::SyncReply reply;
  const auto found = m_nodes.find(aNodeId);
  if (found == m_nodes.end() || !found->second.m_held) {
    reply.set_status(wire::SYNC_STATUS_REPLACED);
    return reply;
  }
  Node& node = found->second;
  node.m_held.reset();
  reply.set_catalogue_revision(m_state.CatalogueRevision());
  reply.set_route_revision(m_state.RouteRevision());
  if (node.m_last.catalogue_revision() != m_state.CatalogueRevision()) {
    *reply.mutable_catalogue() =
      m_state.CatalogueSince(node.m_last.catalogue_revision());
  }
  if (node.m_last.route_revision() != m_state.RouteRevision()) {
    *reply.mutable_routes() = m_state.RoutesSince(node.m_last.route_revision());
  }
  reply.set_quarantine_sequence(node.m_last.sequence());
  if (!HasQuarantine(node)) {
    wire::QuarantineUpdate* update = reply.mutable_quarantine();
    update->set_term(m_options.m_term);
    update->set_revision(m_quarantineRevision);
    for (wire::QuarantineEntry& entry : m_quarantine.ListWireEntries(aNow)) {
      *update->add_entries() = std::move(entry);
    }
  }
  const wire::Backend* known = Announced(node);
  if (!known) {
    return reply;
  }
  reply.set_incarnation(known->incarnation());
  if (known->state() == wire::BACKEND_STATE_GONE) {
    reply.set_status(wire::SYNC_STATUS_INCARNATION_GONE);
    node.m_toldGone = known->incarnation();
    return reply;
  }
  reply.set_backend_number(known->number());
  reply.set_operator_drain(known->operator_drain());
  if (MayGrant(node, *known, aNow)) {
    LeaseOf(known->number(), aNow).m_grantedAt = aNow;
    reply.set_lease_ms(static_cast<uint32_t>(m_options.m_lease.m_ms));
  }
  node.m_unconfirmed++;
  return reply;
}

std::vector<NodeStatus>
Coordinator::Data::Nodes(TimePoint aNow) const
{
  std::vector<NodeStatus> nodes;
  for (const auto& [nodeId, node] : m_nodes) {
    NodeStatus& status = nodes.emplace_back();
    status.m_nodeId = nodeId;
    status.m_sinceLastSync = aNow - node.m_heardAt;
    status.m_healthy = node.m_last.backend_healthy();
    status.m_draining = node.m_last.draining();
    status.m_catalogueRevision = node.m_last.catalogue_revision();
    status.m_load = node.m_last.load();
    const wire::Backend* known = Announced(node);
    if (known && known->state() != wire::BACKEND_STATE_GONE) {
      status.m_backend = known->number();
      status.m_leaseHeld = !LeaseEnded(known->number(), aNow);
    }
  }
  return nodes;
}

bool
Coordinator::Data::Confirms(const Node& aNode, TimePoint aNow) const
{
  // A process that never confirmed a reply of this leader may have been without
  // replies under the old one already, so it gets one only.
  if (!aNode.m_everConfirmed) {
    return aNode.m_unconfirmed == 0;
  }
  return aNode.m_unconfirmed < kUnconfirmedReplies ||
         aNow - aNode.m_confirmedAt < kUnconfirmedFor;
}

const Coordinator::Data::Node*
Coordinator::Data::NodeOf(const wire::Backend& aBackend) const
{
  const auto node = m_nodes.find(aBackend.node_id());
  if (node == m_nodes.end() || !node->second.m_last.has_backend() ||
      node->second.m_last.backend().incarnation() != aBackend.incarnation()) {
    return nullptr;
  }
  return &node->second;
}

bool
Coordinator::Data::IsHeard(const wire::Backend& aBackend, TimePoint aNow) const
{
  const Node* node = NodeOf(aBackend);
  return node && aNow - node->m_heardAt < kHeardWithin;
}

std::vector<BackendView>
Coordinator::Data::ViewsOf(std::string_view aService, TimePoint aNow) const
{
  std::vector<BackendView> views;
  for (const auto& [number, backend] : m_state.Backends()) {
    if (backend.service() != aService ||
        backend.state() == wire::BACKEND_STATE_GONE) {
      continue;
    }
    BackendView& view = views.emplace_back();
    view.m_backend = &backend;
    view.m_healthy = !m_unhealthy.contains(number);
    const auto lease = m_leases.find(number);
    if (const Node* node = NodeOf(backend)) {
      view.m_reachable =
        aNow - node->m_heardAt < kHeardWithin && MayGrant(*node, backend, aNow);
      view.m_load = node->m_last.load();
    }
    view.m_cold = lease != m_leases.end() && aNow < lease->second.m_coldUntil;
  }
  return views;
}

} // namespace rattanloft::cluster
