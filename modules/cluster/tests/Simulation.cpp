#include "Simulation.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

constexpr int64_t kStepMs = 20;
constexpr int64_t kSyncTimeoutMs = 1000;
// A shard must be served again within this time after the last fault began.
constexpr int64_t kMaxUnservedMs = 5000;
// Time for the first placement, before faults are injected and checks for
// service begin.
constexpr int64_t kFaultFreeStartMs = 12000;
// Added to an incarnation that is gone.
constexpr uint64_t kIncarnationStep = 1000000;
const char* const kServices[] = { "shop", "desk" };

} // namespace

wire::SyncRequest
SimulatedNode::MakeRequest(int64_t aNow)
{
  wire::SyncRequest request;
  request.set_node_id(m_id);
  request.set_session(m_session);
  request.set_sequence(++m_sequence);
  request.set_answered(m_lastAnswered);
  request.set_backend_healthy(m_healthy);
  request.set_draining(m_draining);
  request.set_route_revision(m_routeRevision);
  request.set_catalogue_revision(m_catalogueRevision);
  *request.mutable_backend() =
    MakeRegister(m_id, m_incarnation, m_service, m_zone)
      .register_backend()
      .backend();
  for (ShardNumber shard = 0; shard < m_routes.size(); shard++) {
    const Route& route = m_routes[shard];
    if (m_backendNumber && route.m_owner == m_backendNumber &&
        route.m_releasedEpoch && route.m_releasedEpoch == route.m_epoch) {
      wire::ShardRef* released = request.add_released();
      released->set_service(m_service);
      released->set_shard(shard);
      released->set_epoch(route.m_epoch);
    }
  }
  m_nextRequestAt = aNow + kSyncTimeoutMs;
  return request;
}

void
SimulatedNode::OnReply(const wire::SyncReply& aReply,
                       uint64_t aSequence,
                       uint64_t aSession,
                       int64_t aSentAt,
                       int64_t aNow)
{
  if (aSession != m_session || aSequence <= m_lastAnswered ||
      aReply.status() == wire::SYNC_STATUS_REPLACED) {
    return;
  }
  REQUIRE(aReply.route_revision() >= m_routeRevision);
  m_lastAnswered = aSequence;
  m_nextRequestAt = aNow;
  m_catalogueRevision = aReply.catalogue_revision();
  m_routeRevision = aReply.route_revision();
  if (aReply.routes().full()) {
    m_routes.clear();
  }
  for (const wire::ServiceRoutes& table : aReply.routes().services()) {
    if (table.service() != m_service) {
      continue;
    }
    for (int i = 0; i < table.owners_size(); i++) {
      const ShardNumber shard =
        table.shards().empty() ? static_cast<ShardNumber>(i) : table.shards(i);
      m_routes.resize(std::max<size_t>(m_routes.size(), shard + 1));
      Route& route = m_routes[shard];
      REQUIRE(table.epochs(i) >= route.m_epoch);
      route = { table.owners(i),
                table.move_targets(i),
                table.epochs(i),
                route.m_releasedEpoch };
    }
  }
  if (aReply.incarnation() && aReply.incarnation() != m_incarnation) {
    return;
  }
  if (aReply.status() == wire::SYNC_STATUS_INCARNATION_GONE) {
    // The step is large, so that the new incarnation never equals one that a
    // fault assigns.
    RestartBackend(m_incarnation + kIncarnationStep);
    return;
  }
  if (aReply.backend_number() != m_backendNumber) {
    m_backendNumber = aReply.backend_number();
    m_leaseEnd = 0;
  }
  if (aReply.lease_ms()) {
    m_leaseEnd = std::max<int64_t>(
      m_leaseEnd, Clock(aSentAt) + aReply.lease_ms() - aReply.lease_ms() / 100);
  }
}

bool
SimulatedNode::WouldServe(ShardNumber aShard, int64_t aNow) const
{
  if (!m_backendNumber || aShard >= m_routes.size() || !HoldsLease(aNow)) {
    return false;
  }
  const Route& route = m_routes[aShard];
  return route.m_owner == m_backendNumber &&
         route.m_releasedEpoch != route.m_epoch;
}

bool
SimulatedNode::ReleaseRequestedShards()
{
  bool any = false;
  for (Route& route : m_routes) {
    if (m_backendNumber && route.m_owner == m_backendNumber &&
        route.m_moveTarget && route.m_releasedEpoch != route.m_epoch) {
      route.m_releasedEpoch = route.m_epoch;
      any = true;
    }
  }
  return any;
}

void
SimulatedNode::RestartBackend(uint64_t aIncarnation)
{
  m_incarnation = aIncarnation;
  m_backendNumber = 0;
  m_leaseEnd = 0;
}

void
SimulatedNode::RestartProcess(uint64_t aSession)
{
  m_session = aSession;
  m_sequence = 0;
  m_lastAnswered = 0;
  m_backendNumber = 0;
  m_leaseEnd = 0;
  m_routes.clear();
  m_routeRevision = 0;
  m_catalogueRevision = 0;
}

Simulation::Simulation(SimulationOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
{
  for (const char* service : kServices) {
    m_state.Apply(MakePut(MakeEntry(service, service), 0, service));
  }
  for (int i = 0; i < aOptions.m_nodes; i++) {
    const double clockRate = 1 + static_cast<double>(Random(-95, 95)) / 10000;
    m_nodes.push_back(std::make_unique<SimulatedNode>(
      "n" + std::to_string(i),
      kServices[i % 2],
      std::string(1, static_cast<char>('a' + i / 2 % 4)),
      clockRate));
    m_nodes.back()->m_clockOffsetMs = Random(0, 1000000);
  }
  ElectLeader();
  m_nextFaultAt = m_now + kFaultFreeStartMs;
  m_lastFaultAt = m_now + kFaultFreeStartMs;
}

int64_t
Simulation::Random(int64_t aMin, int64_t aMax)
{
  return std::uniform_int_distribution<int64_t>(aMin, aMax)(m_random);
}

// Whether to delay or lose a single message. This can delay service by up to a
// second, so it counts as a fault.
bool
Simulation::DrawMessageFault()
{
  const bool faulty = m_options.m_injectFaults && Random(0, 999) == 0;
  m_lastFaultAt = faulty ? std::max(m_lastFaultAt, m_now) : m_lastFaultAt;
  return faulty;
}

TimePoint
Simulation::LeaderNow() const
{
  return { m_leaderClockOffsetMs +
           static_cast<int64_t>(static_cast<double>(m_now) *
                                m_leaderClockRate) };
}

void
Simulation::Run()
{
  for (int step = 0; step < m_options.m_steps; step++) {
    if (m_options.m_injectFaults && m_now >= m_nextFaultAt) {
      InjectFaults();
    }
    Step();
  }
}

void
Simulation::Step()
{
  m_now += kStepMs;
  SendRequests();
  DeliverRequests();
  ApplyDueEntries();
  if (m_now >= m_noQuorumUntil) {
    TickOutcome outcome = m_coordinator->Tick(LeaderNow());
    Propose(std::move(outcome.m_commands));
    m_ready.insert(
      m_ready.end(), outcome.m_ready.begin(), outcome.m_ready.end());
    AnswerReadyCalls();
  }
  DeliverReplies();
  CheckExclusiveOwnership();
  CheckRevisions();
  CheckShardsServed();
}

// The last entries of the old leader may be lost. The others are applied before
// any read of the new leader is confirmed.
void
Simulation::ElectLeader()
{
  m_log.resize(
    static_cast<size_t>(Random(0, static_cast<int64_t>(m_log.size()))));
  m_earlierLeaderEntries = m_log.size();
  m_leaderClockOffsetMs = Random(0, 1000000);
  m_leaderClockRate = 1 + static_cast<double>(Random(-95, 95)) / 10000;
  m_coordinator = std::make_unique<Coordinator>(
    CoordinatorOptions(), m_state.m_state, LeaderNow());
  m_ready.clear();
  m_heldRequests.clear();
}

void
Simulation::InjectFaults()
{
  m_nextFaultAt = m_now + Random(0, 9000);
  m_lastFaultAt = m_now;
  const int64_t kind = Random(0, 9);
  LogInfo("sim", "at {}: fault {}", m_now, kind);
  if (kind == 0) {
    // The leader is lost, and it takes up to 1 s until the next one is elected.
    m_noQuorumUntil = m_now + Random(0, 1000);
    ElectLeader();
    return;
  }
  const auto faultyNodes =
    std::count_if(m_nodes.begin(), m_nodes.end(), [this](const auto& aNode) {
      return std::max({ aNode->m_pausedUntil,
                        aNode->m_partitionedUntil,
                        aNode->m_repliesLostUntil }) > m_now ||
             !aNode->m_healthy || aNode->m_draining;
    });
  SimulatedNode& node = *m_nodes[static_cast<size_t>(
    Random(0, static_cast<int64_t>(m_nodes.size()) - 1))];
  if (faultyNodes >= 2 || kind == 1) {
    node.m_healthy = true;
    node.m_draining = false;
    return;
  }
  InjectNodeFault(node, kind);
}

void
Simulation::InjectNodeFault(SimulatedNode& aNode, int64_t aKind)
{
  const int64_t until = m_now + Random(100, 9000);
  LogInfo("sim", "at {}: node {}, until {}", m_now, aNode.m_id, until);
  switch (aKind) {
    case 2:
      aNode.m_pausedUntil = until;
      break;
    case 3:
    case 4:
      aNode.m_partitionedUntil = until;
      break;
    case 5:
      aNode.m_repliesLostUntil = until;
      break;
    case 6:
      aNode.m_healthy = !aNode.m_healthy;
      break;
    case 7:
      aNode.m_draining = !aNode.m_draining;
      break;
    case 8:
      // The old process may go on serving until its lease has ended.
      m_replacedNodes.push_back(aNode);
      aNode.RestartProcess(++m_nextUniqueId);
      break;
    default:
      // The old incarnation may go on serving until its lease has ended, too.
      m_replacedNodes.push_back(aNode);
      aNode.RestartBackend(++m_nextUniqueId);
      break;
  }
}

void
Simulation::SendRequests()
{
  for (size_t i = 0; i < m_nodes.size(); i++) {
    SimulatedNode& node = *m_nodes[i];
    if (m_now < node.m_pausedUntil) {
      continue;
    }
    // A node whose backend server hangs cannot release shards.
    if (node.m_healthy && Random(0, 3) == 0 && node.ReleaseRequestedShards()) {
      node.m_nextRequestAt = m_now;
    }
    if (m_now < node.m_nextRequestAt) {
      continue;
    }
    PendingRequest request{ 0, i, m_now, node.MakeRequest(m_now) };
    const bool isLate = DrawMessageFault();
    request.m_dueAt = m_now + (isLate ? Random(500, 5000) : Random(1, 30));
    if (!IsPartitioned(node) && !DrawMessageFault()) {
      m_requests.push_back(std::move(request));
    }
  }
}

void
Simulation::DeliverRequests()
{
  std::vector<PendingRequest> due;
  std::erase_if(m_requests, [&](PendingRequest& aRequest) {
    if (aRequest.m_dueAt > m_now) {
      return false;
    }
    due.push_back(std::move(aRequest));
    return true;
  });
  for (PendingRequest& request : due) {
    const auto held = m_heldRequests.find(request.m_node);
    if (m_now < m_noQuorumUntil ||
        (held != m_heldRequests.end() &&
         held->second.m_request.session() == request.m_request.session() &&
         held->second.m_request.sequence() >= request.m_request.sequence())) {
      continue;
    }
    Propose(m_coordinator->OnSync(request.m_request, LeaderNow()));
    m_heldRequests[request.m_node] = std::move(request);
  }
}

void
Simulation::Propose(std::vector<wire::Command> aCommands)
{
  for (wire::Command& command : aCommands) {
    const int64_t last = m_log.empty() ? 0 : m_log.back().m_dueAt;
    m_log.push_back(
      { std::max(last, m_now + Random(2, 30)), std::move(command) });
  }
}

void
Simulation::ApplyDueEntries()
{
  while (m_now >= m_noQuorumUntil && !m_log.empty() &&
         m_log.front().m_dueAt <= m_now) {
    m_state.Apply(m_log.front().m_command);
    m_log.pop_front();
    m_earlierLeaderEntries -= m_earlierLeaderEntries > 0;
  }
}

void
Simulation::AnswerReadyCalls()
{
  if (m_earlierLeaderEntries > 0) {
    return;
  }
  for (const ReadyReply& ready : m_ready) {
    const auto held = std::find_if(
      m_heldRequests.begin(), m_heldRequests.end(), [&](const auto& aItem) {
        return aItem.second.m_request.node_id() == ready.m_nodeId;
      });
    if (held == m_heldRequests.end() ||
        held->second.m_request.sequence() != ready.m_sequence) {
      continue;
    }
    const PendingRequest& request = held->second;
    PendingReply reply{ m_now + Random(1, 30),
                        request.m_node,
                        request.m_request.sequence(),
                        request.m_request.session(),
                        request.m_sentAt,
                        m_coordinator->BuildReply(ready.m_nodeId,
                                                  LeaderNow()) };
    const SimulatedNode& node = *m_nodes[request.m_node];
    if (m_now >= node.m_repliesLostUntil && !DrawMessageFault()) {
      m_replies.push_back(std::move(reply));
    }
    m_heldRequests.erase(held);
  }
  m_ready.clear();
}

void
Simulation::DeliverReplies()
{
  std::vector<PendingReply> due;
  std::erase_if(m_replies, [&](PendingReply& aReply) {
    const SimulatedNode& node = *m_nodes[aReply.m_node];
    if (aReply.m_dueAt > m_now || node.m_pausedUntil > m_now) {
      return false;
    }
    due.push_back(std::move(aReply));
    return true;
  });
  for (const PendingReply& reply : due) {
    SimulatedNode& node = *m_nodes[reply.m_node];
    if (!IsPartitioned(node)) {
      node.OnReply(reply.m_reply,
                   reply.m_sequence,
                   reply.m_session,
                   reply.m_sentAt,
                   m_now);
    }
  }
}

// No shard may be served by two nodes at any time, judging by their own clocks.
void
Simulation::CheckExclusiveOwnership()
{
  std::erase_if(m_replacedNodes, [this](const SimulatedNode& aReplaced) {
    return !aReplaced.HoldsLease(m_now);
  });
  std::map<std::string, std::vector<const SimulatedNode*>> holders;
  const auto add = [&](const SimulatedNode& aNode) {
    if (!aNode.HoldsLease(m_now)) {
      return;
    }
    std::vector<const SimulatedNode*>& taken = holders[aNode.m_service];
    taken.resize(kHashedShards + kMaxHotKeys, nullptr);
    for (ShardNumber shard = 0; shard < aNode.m_routes.size(); shard++) {
      if (!aNode.WouldServe(shard, m_now)) {
        continue;
      }
      if (taken[shard]) {
        FAIL("seed " << m_options.m_seed << " at " << m_now << ": shard "
                     << shard << " (epochs "
                     << taken[shard]->m_routes[shard].m_epoch << ", "
                     << aNode.m_routes[shard].m_epoch << ", backends "
                     << taken[shard]->m_backendNumber << ", "
                     << aNode.m_backendNumber << ") of " << aNode.m_service
                     << " is served by " << taken[shard]->m_id << " and "
                     << aNode.m_id);
      }
      taken[shard] = &aNode;
    }
  };
  for (const auto& node : m_nodes) {
    add(*node);
  }
  for (const SimulatedNode& replaced : m_replacedNodes) {
    add(replaced);
  }
}

void
Simulation::CheckRevisions()
{
  REQUIRE(m_state.m_state.RouteRevision() >= m_lastRouteRevision);
  m_lastRouteRevision = m_state.m_state.RouteRevision();
}

// Checks for each shard the time since it was last served or since the last
// fault began, whichever is later.
void
Simulation::CheckShardsServed()
{
  m_lastServed.resize(std::size(kServices) * kHashedShards, m_now);
  for (const auto& node : m_nodes) {
    if (!node->m_healthy || m_now < node->m_pausedUntil) {
      continue;
    }
    const size_t first = node->m_service == kServices[0] ? 0 : kHashedShards;
    for (ShardNumber shard = 0; shard < kHashedShards; shard++) {
      if (node->WouldServe(shard, m_now)) {
        m_lastServed[first + shard] = m_now;
      }
    }
  }
  const int64_t longestUnserved =
    *std::min_element(m_lastServed.begin(), m_lastServed.end());
  const int64_t gapMs = m_now - std::max(m_lastFaultAt, longestUnserved);
  if (gapMs > m_longestGapMs) {
    LogInfo(
      "sim", "at {}: a shard has not been served for {} ms", m_now, gapMs);
    m_longestGapMs = gapMs;
  }
  if (gapMs > kMaxUnservedMs) {
    FAIL("seed " << m_options.m_seed << " at " << m_now
                 << ": a shard was not served for " << gapMs << " ms");
  }
}

} // namespace rattanloft::cluster
