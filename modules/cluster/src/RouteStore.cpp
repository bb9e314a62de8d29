#include "RouteStore.h"

#include <algorithm>

#include "rattanloft/base/Assert.h"

namespace rattanloft::cluster {

namespace {

constexpr size_t kMaxNodeIdBytes = 128;

bool
IsWellFormed(const wire::Backend& aBackend)
{
  return !aBackend.node_id().empty() &&
         aBackend.node_id().size() <= kMaxNodeIdBytes &&
         aBackend.incarnation() && !aBackend.service().empty() &&
         aBackend.service().size() <= kMaxTextBytes &&
         aBackend.zone().size() <= kMaxTextBytes &&
         aBackend.peer_address().size() <= kMaxTextBytes;
}

void
ClearMove(ServiceTable& aTable, ShardState& aShard)
{
  if (aShard.m_moveTarget) {
    aShard.m_moveTarget = 0;
    aTable.m_movesInFlight--;
  }
}

} // namespace

uint32_t
RouteStore::Apply(const wire::RegisterBackend& aCommand, uint64_t aIndex)
{
  wire::Backend wanted = aCommand.backend();
  if (!IsWellFormed(wanted)) {
    return 0;
  }
  wanted.set_state(wire::BACKEND_STATE_ACTIVE);
  wanted.clear_operator_drain();
  const wire::Backend* known =
    FindBackend(wanted.node_id(), wanted.incarnation());
  if (known) {
    // A gone incarnation never becomes active again, and an incarnation keeps
    // its service, since its shards belong to that service.
    if (known->state() == wire::BACKEND_STATE_GONE ||
        known->service() != wanted.service()) {
      return 0;
    }
    wanted.set_number(known->number());
    wanted.set_state(known->state());
    wanted.set_operator_drain(known->operator_drain());
    m_backends[wanted.number()] = wanted;
    ChangeAt(aIndex).m_backends.push_back(wanted.number());
    return wanted.number();
  }
  if (const wire::Backend* older = CurrentBackend(wanted.node_id())) {
    MarkGone(m_backends[older->number()], aIndex);
  }
  if (!MakeRoomForNode(wanted.node_id())) {
    return 0;
  }
  wanted.set_number(m_nextBackendNumber++);
  AddBackend(wanted);
  ChangeAt(aIndex).m_backends.push_back(wanted.number());
  return wanted.number();
}

void
RouteStore::Apply(const wire::SetBackendState& aCommand, uint64_t aIndex)
{
  const auto found = m_backends.find(aCommand.backend());
  if (found == m_backends.end() ||
      !wire::BackendState_IsValid(aCommand.state())) {
    return;
  }
  wire::Backend& backend = found->second;
  if (backend.state() == aCommand.state() ||
      backend.state() == wire::BACKEND_STATE_GONE) {
    return;
  }
  if (aCommand.state() == wire::BACKEND_STATE_GONE) {
    MarkGone(backend, aIndex);
    return;
  }
  // The command may have been proposed before the operator's drain was
  // committed.
  if (backend.operator_drain() &&
      aCommand.state() == wire::BACKEND_STATE_ACTIVE) {
    return;
  }
  backend.set_state(aCommand.state());
  ChangeAt(aIndex).m_backends.push_back(backend.number());
}

void
RouteStore::Apply(const wire::SetOperatorDrain& aCommand, uint64_t aIndex)
{
  const auto found = m_backends.find(aCommand.backend());
  if (found == m_backends.end() ||
      found->second.state() == wire::BACKEND_STATE_GONE ||
      found->second.operator_drain() == aCommand.drain()) {
    return;
  }
  wire::Backend& backend = found->second;
  backend.set_operator_drain(aCommand.drain());
  // When the drain is undone, the state stays until the next Sync of the node
  // tells whether the backend server itself is draining.
  if (aCommand.drain()) {
    backend.set_state(wire::BACKEND_STATE_DRAINING);
  }
  ChangeAt(aIndex).m_backends.push_back(backend.number());
}

void
RouteStore::Apply(const wire::AssignShards& aCommand, uint64_t aIndex)
{
  for (const wire::ShardAssignment& wanted : aCommand.assignments()) {
    ShardState* shard = FindShard(wanted.service(), wanted.shard());
    if (!shard || IsHeld(*shard) ||
        !IsActiveFor(wanted.backend(), wanted.service())) {
      continue;
    }
    ClearMove(m_services[wanted.service()], *shard);
    shard->m_owner = wanted.backend();
    shard->m_epoch = aIndex;
    NoteShardChange(wanted.service(), wanted.shard(), aIndex);
  }
}

void
RouteStore::Apply(const wire::BeginMoves& aCommand, uint64_t aIndex)
{
  for (const wire::ShardAssignment& wanted : aCommand.targets()) {
    ShardState* shard = FindShard(wanted.service(), wanted.shard());
    if (!shard || !IsHeld(*shard) || shard->m_owner == wanted.backend() ||
        shard->m_moveTarget == wanted.backend() ||
        !IsActiveFor(wanted.backend(), wanted.service())) {
      continue;
    }
    ServiceTable& table = m_services[wanted.service()];
    if (!shard->m_moveTarget) {
      if (table.m_movesInFlight >= kMaxMovesPerService) {
        continue;
      }
      table.m_movesInFlight++;
    }
    shard->m_moveTarget = wanted.backend();
    NoteShardChange(wanted.service(), wanted.shard(), aIndex);
  }
}

void
RouteStore::Apply(const wire::ReleaseShards& aCommand, uint64_t aIndex)
{
  if (!aCommand.backend()) {
    return;
  }
  for (const wire::ShardRef& released : aCommand.shards()) {
    ShardState* shard = FindShard(released.service(), released.shard());
    // The epoch distinguishes a delayed release of an earlier assignment from a
    // release of the current assignment.
    if (!shard || shard->m_owner != aCommand.backend() ||
        shard->m_epoch != released.epoch()) {
      continue;
    }
    const uint32_t target = shard->m_moveTarget;
    ClearMove(m_services[released.service()], *shard);
    shard->m_owner = IsActiveFor(target, released.service()) ? target : 0;
    shard->m_epoch = aIndex;
    NoteShardChange(released.service(), released.shard(), aIndex);
    DropTableIfUnused(released.service(), aIndex);
  }
}

void
RouteStore::Apply(const wire::PlaceHotKey& aCommand, uint64_t aIndex)
{
  const auto found = m_services.find(aCommand.service());
  if (found == m_services.end() || aCommand.key().empty() ||
      aCommand.key().size() > kMaxTextBytes) {
    return;
  }
  ServiceTable& table = found->second;
  const ShardState hashed = table.m_shards[HashedShard(aCommand.key())];
  // While the hashed shard is being moved, its owner may already have stopped
  // serving the key.
  if (table.m_hotKeys.contains(aCommand.key()) || hashed.m_moveTarget ||
      table.m_hotKeys.size() >= kMaxHotKeys) {
    return;
  }
  std::vector<bool> used(kMaxHotKeys, false);
  for (const auto& [key, shard] : table.m_hotKeys) {
    used[shard - kHashedShards] = true;
  }
  const auto offset = std::find(used.begin(), used.end(), false) - used.begin();
  const auto number = kHashedShards + static_cast<ShardNumber>(offset);
  if (table.m_shards.size() <= number) {
    table.m_shards.resize(number + 1);
  }
  table.m_hotKeys[aCommand.key()] = number;
  table.m_shards[number] = { hashed.m_owner, 0, aIndex };
  NoteShardChange(aCommand.service(), number, aIndex);
  ChangeAt(aIndex).m_hotKeys.emplace_back(aCommand.service(), aCommand.key());
}

void
RouteStore::Apply(const wire::RemoveHotKey& aCommand, uint64_t aIndex)
{
  const auto found = m_services.find(aCommand.service());
  if (found == m_services.end()) {
    return;
  }
  ServiceTable& table = found->second;
  const auto hot = table.m_hotKeys.find(aCommand.key());
  if (hot == table.m_hotKeys.end()) {
    return;
  }
  const ShardNumber hashedNumber = HashedShard(aCommand.key());
  ShardState& hashed = table.m_shards[hashedNumber];
  ShardState& own = table.m_shards[hot->second];
  if (own.m_owner != hashed.m_owner || own.m_moveTarget ||
      hashed.m_moveTarget) {
    return;
  }
  own = {};
  // Gives the hashed shard a new epoch, so that a release is ignored that the
  // owner sent before it knew that the hashed shard has the key again.
  hashed.m_epoch = aIndex;
  NoteShardChange(aCommand.service(), hot->second, aIndex);
  NoteShardChange(aCommand.service(), hashedNumber, aIndex);
  table.m_hotKeys.erase(hot);
  ChangeAt(aIndex).m_hotKeys.emplace_back(aCommand.service(), aCommand.key());
}

void
RouteStore::SetSharded(const std::string& aService,
                       bool aSharded,
                       uint64_t aIndex)
{
  if (!aSharded) {
    if (m_services.contains(aService)) {
      m_unneededServices.insert(aService);
      DropTableIfUnused(aService, aIndex);
    }
    return;
  }
  m_unneededServices.erase(aService);
  if (!m_services.contains(aService)) {
    m_services[aService].m_shards.resize(kHashedShards);
    DropChanges(aIndex);
  }
}

bool
RouteStore::HasRoomForService(const std::string& aService) const
{
  return m_services.contains(aService) ||
         m_services.size() < kMaxShardedServices;
}

void
RouteStore::DropTableIfUnused(const std::string& aService, uint64_t aIndex)
{
  if (!m_unneededServices.contains(aService)) {
    return;
  }
  const std::vector<ShardState>& shards = m_services[aService].m_shards;
  const bool held =
    std::any_of(shards.begin(), shards.end(), [this](const ShardState& aShard) {
      return IsHeld(aShard);
    });
  if (!held) {
    m_services.erase(aService);
    m_unneededServices.erase(aService);
    DropChanges(aIndex);
  }
}

const wire::Backend*
RouteStore::FindBackend(uint32_t aNumber) const
{
  const auto found = m_backends.find(aNumber);
  return found == m_backends.end() ? nullptr : &found->second;
}

const wire::Backend*
RouteStore::FindBackend(std::string_view aNodeId, uint64_t aIncarnation) const
{
  const auto node = m_numbersByNode.find(aNodeId);
  if (node == m_numbersByNode.end()) {
    return nullptr;
  }
  for (const uint32_t number : node->second) {
    const wire::Backend* backend = FindBackend(number);
    if (backend->incarnation() == aIncarnation) {
      return backend;
    }
  }
  return nullptr;
}

const wire::Backend*
RouteStore::CurrentBackend(std::string_view aNodeId) const
{
  const auto node = m_numbersByNode.find(aNodeId);
  if (node == m_numbersByNode.end()) {
    return nullptr;
  }
  const wire::Backend* newest = FindBackend(node->second.back());
  return newest->state() == wire::BACKEND_STATE_GONE ? nullptr : newest;
}

bool
RouteStore::IsHeld(const ShardState& aShard) const
{
  const wire::Backend* owner = FindBackend(aShard.m_owner);
  return owner && owner->state() != wire::BACKEND_STATE_GONE;
}

ShardState*
RouteStore::FindShard(const std::string& aService, ShardNumber aShard)
{
  const auto table = m_services.find(aService);
  if (table == m_services.end() || aShard >= table->second.m_shards.size()) {
    return nullptr;
  }
  ServiceTable& service = table->second;
  if (aShard >= kHashedShards &&
      std::none_of(service.m_hotKeys.begin(),
                   service.m_hotKeys.end(),
                   [&](const auto& aHot) { return aHot.second == aShard; })) {
    return nullptr;
  }
  return &service.m_shards[aShard];
}

bool
RouteStore::IsActiveFor(uint32_t aBackend, std::string_view aService) const
{
  const wire::Backend* backend = FindBackend(aBackend);
  return backend && backend->state() == wire::BACKEND_STATE_ACTIVE &&
         backend->service() == aService;
}

void
RouteStore::MarkGone(wire::Backend& aBackend, uint64_t aIndex)
{
  aBackend.set_state(wire::BACKEND_STATE_GONE);
  ChangeAt(aIndex).m_backends.push_back(aBackend.number());
  const std::string service = aBackend.service();
  CancelMovesOf(aBackend.number(), service, aIndex);
  DropTableIfUnused(service, aIndex);
}

// Cancels the moves of shards that the gone backend owned. Moves towards a gone
// backend go on, since the owners may already have stopped serving: the release
// then leaves the shard unowned, or the move gets another target.
void
RouteStore::CancelMovesOf(uint32_t aOwner,
                          const std::string& aService,
                          uint64_t aIndex)
{
  const auto found = m_services.find(aService);
  if (found == m_services.end() || !found->second.m_movesInFlight) {
    return;
  }
  std::vector<ShardState>& shards = found->second.m_shards;
  for (ShardNumber number = 0; number < shards.size(); number++) {
    if (shards[number].m_owner == aOwner && shards[number].m_moveTarget) {
      ClearMove(found->second, shards[number]);
      NoteShardChange(aService, number, aIndex);
    }
  }
}

bool
RouteStore::OwnsShards(uint32_t aNumber) const
{
  const auto table = m_services.find(FindBackend(aNumber)->service());
  if (table == m_services.end()) {
    return false;
  }
  const std::vector<ShardState>& shards = table->second.m_shards;
  return std::any_of(
    shards.begin(), shards.end(), [aNumber](const ShardState& aShard) {
      return aShard.m_owner == aNumber;
    });
}

bool
RouteStore::MakeRoomForNode(const std::string& aNodeId)
{
  const auto node = m_numbersByNode.find(aNodeId);
  if (node != m_numbersByNode.end() &&
      node->second.size() > kMaxGoneIncarnationsPerNode) {
    for (const uint32_t number : std::vector<uint32_t>(node->second)) {
      if (node->second.size() > kMaxGoneIncarnationsPerNode &&
          !OwnsShards(number)) {
        RemoveBackend(number);
      }
    }
  }
  if (m_backends.size() < kMaxBackends) {
    return true;
  }
  for (const auto& [number, backend] : m_backends) {
    if (backend.state() == wire::BACKEND_STATE_GONE && !OwnsShards(number)) {
      RemoveBackend(number);
      return true;
    }
  }
  return false;
}

void
RouteStore::RemoveBackend(uint32_t aNumber)
{
  const auto node = m_numbersByNode.find(m_backends[aNumber].node_id());
  std::erase(node->second, aNumber);
  if (node->second.empty()) {
    m_numbersByNode.erase(node);
  }
  m_backends.erase(aNumber);
}

void
RouteStore::AddBackend(const wire::Backend& aBackend)
{
  m_numbersByNode[aBackend.node_id()].push_back(aBackend.number());
  m_backends[aBackend.number()] = aBackend;
}

} // namespace rattanloft::cluster
