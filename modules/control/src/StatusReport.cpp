#include "StatusReport.h"

#include <iterator>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "rattanloft/control/GroupText.h"

namespace rattanloft::control {

namespace {

using nlohmann::json;

const char*
RoleName(consensus::Role aRole)
{
  switch (aRole) {
    case consensus::Role::kLearner:
      return "learner";
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
  }
  return "unknown";
}

const char*
BackendStateName(wire::BackendState aState)
{
  switch (aState) {
    case wire::BACKEND_STATE_ACTIVE:
      return "active";
    case wire::BACKEND_STATE_DRAINING:
      return "draining";
    default:
      return "gone";
  }
}

json
MembersToJson(const wire::GroupConfig& aConfig)
{
  json members = json::array();
  for (const wire::GroupMember& member : aConfig.members()) {
    members.push_back({ { "replica_id", FormatReplicaId(member.replica_id()) },
                        { "grpc_address", member.grpc_address() },
                        { "http_address", member.http_address() },
                        { "zone", member.zone() },
                        { "learner", member.learner() } });
  }
  return members;
}

json
NodesToJson(const ControlCore& aCore)
{
  json nodes = json::array();
  for (const cluster::NodeStatus& node : aCore.Nodes()) {
    nodes.push_back(
      { { "node_id", node.m_nodeId },
        { "backend", node.m_backend },
        { "since_last_sync_ms", node.m_sinceLastSync.m_ms },
        { "lease_held", node.m_leaseHeld },
        { "healthy", node.m_healthy },
        { "draining", node.m_draining },
        { "catalogue_revision", node.m_catalogueRevision },
        { "in_flight", node.m_load.in_flight() },
        { "queued", node.m_load.queued() },
        { "requests_per_second", node.m_load.requests_per_second() } });
  }
  return nodes;
}

json
BackendsToJson(const cluster::ClusterState& aState)
{
  json backends = json::array();
  for (const auto& [number, backend] : aState.Backends()) {
    if (backend.state() != wire::BACKEND_STATE_GONE) {
      backends.push_back({ { "number", number },
                           { "node_id", backend.node_id() },
                           { "service", backend.service() },
                           { "zone", backend.zone() },
                           { "slots", backend.slots() },
                           { "state", BackendStateName(backend.state()) },
                           { "operator_drain", backend.operator_drain() } });
    }
  }
  return backends;
}

// Writes metrics in the Prometheus text format.
class MetricsWriter
{
public:
  void Add(std::string_view aName,
           std::string_view aType,
           std::string_view aHelp,
           uint64_t aValue)
  {
    fmt::format_to(std::back_inserter(m_text),
                   "# HELP rattanloft_control_{0} {2}\n"
                   "# TYPE rattanloft_control_{0} {1}\n"
                   "rattanloft_control_{0} {3}\n",
                   aName,
                   aType,
                   aHelp,
                   aValue);
  }
  std::string Take() { return std::move(m_text); }

private:
  std::string m_text;
};

} // namespace

json
StatusToJson(const ControlCore& aCore)
{
  const auto status = aCore.Status();
  const bool hasLeader = status.m_leaderId != 0;
  const auto& state = aCore.Cluster();
  return { { "replica_id", FormatReplicaId(status.m_replicaId) },
           { "role", RoleName(status.m_role) },
           { "control", hasLeader ? "ok" : "no control quorum" },
           { "leader_id",
             hasLeader ? json(FormatReplicaId(status.m_leaderId)) : json() },
           { "term", status.m_term },
           { "first_index", status.m_firstIndex },
           { "last_index", status.m_lastIndex },
           { "commit_index", status.m_commitIndex },
           { "applied_index", status.m_appliedIndex },
           { "catalogue_revision", state.CatalogueRevision() },
           { "route_revision", state.RouteRevision() },
           { "held_syncs", aCore.HeldSyncCount() },
           { "members", MembersToJson(status.m_config) },
           { "nodes", NodesToJson(aCore) },
           { "backends", BackendsToJson(state) } };
}

json
RoutesToJson(const cluster::ClusterState& aState, const std::string& aService)
{
  for (const wire::ServiceRoutes& service : aState.Routes()) {
    if (service.service() != aService) {
      continue;
    }
    json ranges = json::array();
    for (int i = 0; i < service.owners_size(); ++i) {
      const uint32_t shard = service.shards_size() > 0
                               ? service.shards(i)
                               : static_cast<uint32_t>(i);
      const uint32_t owner = service.owners(i);
      if (!ranges.empty() && ranges.back()["owner"] == owner &&
          ranges.back()["last"] == shard - 1) {
        ranges.back()["last"] = shard;
        continue;
      }
      ranges.push_back(
        { { "first", shard }, { "last", shard }, { "owner", owner } });
    }
    return { { "service", aService },
             { "revision", aState.RouteRevision() },
             { "ranges", std::move(ranges) } };
  }
  return nullptr;
}

std::string
MetricsText(const ControlCore& aCore)
{
  const auto status = aCore.Status();
  const CoreCounters& core = aCore.Counters();
  const TransportCounters& peers = aCore.PeerCounters();
  MetricsWriter out;
  out.Add("leader",
          "gauge",
          "1 on the leader",
          status.m_role == consensus::Role::kLeader ? 1 : 0);
  out.Add(
    "has_leader", "gauge", "1 if a leader is known", status.m_leaderId != 0);
  out.Add("storage_failed",
          "gauge",
          "1 while the disk refuses writes and the instance takes no part",
          status.m_storageFailed ? 1 : 0);
  out.Add("term", "gauge", "Raft term", status.m_term);
  out.Add("last_index", "gauge", "Last log index", status.m_lastIndex);
  out.Add("commit_index", "gauge", "Committed index", status.m_commitIndex);
  out.Add("applied_index", "gauge", "Applied index", status.m_appliedIndex);
  out.Add("catalogue_revision",
          "gauge",
          "Catalogue revision",
          aCore.Cluster().CatalogueRevision());
  out.Add("route_revision",
          "gauge",
          "Route revision",
          aCore.Cluster().RouteRevision());
  out.Add("held_syncs", "gauge", "Sync calls held", aCore.HeldSyncCount());
  out.Add(
    "syncs_total", "counter", "Sync calls received", core.m_syncsReceived);
  out.Add("sync_replies_total",
          "counter",
          "Sync calls answered by this leader",
          core.m_syncRepliesSent);
  out.Add("sync_reply_bytes_total",
          "counter",
          "Bytes of those answers",
          core.m_syncReplyBytesSent);
  out.Add("read_barriers_total",
          "counter",
          "Barriers begun",
          core.m_readBarriersStarted);
  out.Add("read_barriers_failed_total",
          "counter",
          "Barriers failed",
          core.m_readBarriersFailed);
  out.Add(
    "commands_total", "counter", "Commands proposed", core.m_commandsProposed);
  out.Add("raft_messages_sent_total",
          "counter",
          "Messages sent",
          peers.m_messagesSent);
  out.Add("raft_messages_dropped_total",
          "counter",
          "Messages dropped from full queues or without an address",
          peers.m_messagesDropped);
  out.Add("raft_batches_failed_total",
          "counter",
          "Batches that a peer did not acknowledge",
          peers.m_batchesFailed);
  out.Add("syncs_relayed_total",
          "counter",
          "Sync calls passed on to the leader",
          peers.m_syncsRelayed);
  return out.Take();
}

} // namespace rattanloft::control
