// Measures the processing times and the sizes of ClusterState and Coordinator
// with 560 backends and 6 services. Run by hand.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <set>

#include <fmt/format.h>
#include <malloc.h>

#include "ClusterStateImpl.h"
#include "Fixture.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/cluster/Coordinator.h"
#include "rattanloft/cluster/Placement.h"

namespace rattanloft::cluster {

namespace {

constexpr int kNodes = 560;
constexpr int kServices = 6;

double
MicrosecondsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

size_t
AllocatedBytes()
{
  return mallinfo2().uordblks;
}

// A state and a coordinator whose commands are applied at once, and the Sync
// requests of their nodes.
class Cluster
{
public:
  Cluster()
  {
    const size_t before = AllocatedBytes();
    for (int i = 0; i < kServices; i++) {
      const std::string name = fmt::format("service-{}", i);
      m_state.Apply(MakePut(MakeEntry(name, name), 0, name));
    }
    m_coordinator = std::make_unique<Coordinator>(
      CoordinatorOptions(), m_state.m_state, m_now);
    for (int i = 0; i < kNodes; i++) {
      AddNode(i);
    }
    RunFor(Seconds(12));
    fmt::print("memory of state and coordinator: {} KB\n",
               (AllocatedBytes() - before) / 1024);
  }

  void AddNode(int aIndex)
  {
    wire::SyncRequest& request = m_nodes.emplace_back();
    request.set_node_id(fmt::format("node-{:04}", aIndex));
    request.set_session(7);
    request.set_backend_healthy(true);
    *request.mutable_backend() =
      MakeRegister(request.node_id(),
                   0x123456789abcdef0ULL + static_cast<uint64_t>(aIndex),
                   fmt::format("service-{}", aIndex % kServices),
                   fmt::format("zone-{}", aIndex % 4))
        .register_backend()
        .backend();
  }

  void Apply(const std::vector<wire::Command>& aCommands)
  {
    for (const wire::Command& command : aCommands) {
      m_moveCount += command.begin_moves().targets_size();
      const auto start = std::chrono::steady_clock::now();
      m_state.Apply(command);
      if (command.assign_shards().assignments_size() == 1024) {
        m_assignTimes.push_back(MicrosecondsSince(start));
      }
      ReleaseAtOnce(command.begin_moves());
    }
  }

  void ReleaseAtOnce(const wire::BeginMoves& aMoves)
  {
    const RouteStore& routes = m_state.m_state.InternalState().m_routes;
    for (const wire::ShardAssignment& move : aMoves.targets()) {
      const ShardState& shard =
        routes.Services().at(move.service()).m_shards[move.shard()];
      wire::Command command =
        MakeRelease(shard.m_owner, move.shard(), shard.m_epoch);
      command.mutable_release_shards()->mutable_shards(0)->set_service(
        move.service());
      m_state.Apply(command);
    }
  }

  void RunFor(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now = m_now + Milliseconds(20);
      if (m_now.m_ms % 400 == 0) {
        SyncAll();
      }
      Tick();
    }
  }

  void SyncAll()
  {
    for (wire::SyncRequest& node : m_nodes) {
      if (m_silentNodes.contains(node.node_id())) {
        continue;
      }
      node.set_sequence(node.sequence() + 1);
      if (m_loadFluctuates) {
        wire::NodeLoad* load = node.mutable_load();
        load->set_requests_per_second(500 +
                                      static_cast<double>(m_random() % 1000));
        load->set_in_flight(static_cast<uint32_t>(3 + m_random() % 7));
      }
      Apply(m_coordinator->OnSync(node, m_now));
    }
  }

  void Tick()
  {
    const auto start = std::chrono::steady_clock::now();
    const TickOutcome outcome = m_coordinator->Tick(m_now);
    m_tickTimes.push_back(MicrosecondsSince(start));
    Apply(outcome.m_commands);
    for (const ReadyReply& ready : outcome.m_ready) {
      const auto replyStart = std::chrono::steady_clock::now();
      const wire::SyncReply reply =
        m_coordinator->BuildReply(ready.m_nodeId, m_now);
      (reply.has_routes() ? m_deltaReplyTimes : m_plainReplyTimes)
        .push_back(MicrosecondsSince(replyStart));
      wire::SyncRequest& node = m_nodes[std::stoul(ready.m_nodeId.substr(5))];
      node.set_route_revision(reply.route_revision());
      node.set_catalogue_revision(reply.catalogue_revision());
      node.set_answered(node.sequence());
    }
  }

  void ClearMeasurements()
  {
    for (auto* times : { &m_tickTimes,
                         &m_assignTimes,
                         &m_deltaReplyTimes,
                         &m_plainReplyTimes }) {
      times->clear();
    }
  }

  TimePoint m_now{ 100000 };
  TestState m_state;
  std::unique_ptr<Coordinator> m_coordinator;
  std::vector<wire::SyncRequest> m_nodes;
  std::set<std::string> m_silentNodes;
  // Nodes report random loads of 500 to 1,500 requests/s and 3 to 9 requests in
  // flight.
  bool m_loadFluctuates = false;
  std::mt19937_64 m_random{ 1 };
  int m_moveCount = 0;
  // Processing times in microseconds.
  std::vector<double> m_tickTimes;
  std::vector<double> m_assignTimes;
  std::vector<double> m_deltaReplyTimes;
  std::vector<double> m_plainReplyTimes;
};

void
PrintTimes(const char* aName, std::vector<double> aTimes)
{
  if (aTimes.empty()) {
    fmt::print("{}: none\n", aName);
    return;
  }
  std::sort(aTimes.begin(), aTimes.end());
  fmt::print("{}: median {:.1f} us, p99 {:.1f} us, max {:.1f} us, n {}\n",
             aName,
             aTimes[aTimes.size() / 2],
             aTimes[aTimes.size() * 99 / 100],
             aTimes.back(),
             aTimes.size());
}

void
MeasureCluster()
{
  Cluster cluster;
  const wire::RouteUpdate full = cluster.m_state.m_state.RoutesSince(0);
  fmt::print("full route update: {} bytes, {} backends\n",
             full.ByteSizeLong(),
             full.backends_size());
  cluster.ClearMeasurements();
  cluster.RunFor(Seconds(20));
  PrintTimes("tick, quiet", cluster.m_tickTimes);
  PrintTimes("reply without delta", cluster.m_plainReplyTimes);

  cluster.ClearMeasurements();
  cluster.m_loadFluctuates = true;
  cluster.RunFor(Seconds(120));
  fmt::print("moves in 120 s of load reports that swing by 50 %: {}\n",
             cluster.m_moveCount);
  PrintTimes("tick, load reports", cluster.m_tickTimes);
  cluster.m_loadFluctuates = false;

  cluster.ClearMeasurements();
  const uint64_t before = cluster.m_state.m_state.RouteRevision();
  cluster.m_silentNodes.insert("node-0000");
  cluster.RunFor(Seconds(5));
  const wire::RouteUpdate delta = cluster.m_state.m_state.RoutesSince(before);
  fmt::print("delta for one lost node: {} bytes, {} shards\n",
             delta.ByteSizeLong(),
             delta.services(0).shards_size());
  PrintTimes("tick, one node lost", cluster.m_tickTimes);
  PrintTimes("reply with that delta", cluster.m_deltaReplyTimes);

  cluster.ClearMeasurements();
  for (int i = 1; i < kNodes; i += 4) {
    cluster.m_silentNodes.insert(fmt::format("node-{:04}", i));
  }
  cluster.RunFor(Seconds(5));
  PrintTimes("tick, a zone of 140 lost", cluster.m_tickTimes);
  PrintTimes("apply of 1024 assignments", cluster.m_assignTimes);
  PrintTimes("reply with delta, a zone lost", cluster.m_deltaReplyTimes);
}

PlacementInput
MakeInput(size_t aBackends)
{
  PlacementInput input;
  for (size_t i = 0; i < aBackends; i++) {
    input.m_backends.push_back({ static_cast<uint32_t>(i + 1),
                                 fmt::format("zone-{}", i % 4),
                                 12,
                                 true,
                                 false,
                                 false });
  }
  input.m_shards.resize(kHashedShards);
  input.m_maxAssignments = kHashedShards;
  input.m_maxMoves = 32;
  return input;
}

size_t
ApplyPlansUntilStable(PlacementInput& aInput)
{
  size_t changes = 0;
  for (int round = 0; round < 1000; round++) {
    const PlacementPlan plan = PlanPlacement(aInput);
    for (const auto& list : { plan.m_assignments, plan.m_moves }) {
      for (const ShardPlacement& placed : list) {
        aInput.m_shards[placed.m_shard].m_owner = placed.m_backend;
        changes++;
      }
    }
    if (plan.m_assignments.empty() && plan.m_moves.empty()) {
      break;
    }
  }
  return changes;
}

// Prints the number of moves when a backend joins, divided by the least
// possible number, which is the new backend's share of the shards.
void
MeasureChurn(size_t aBackends)
{
  PlacementInput input = MakeInput(aBackends);
  ApplyPlansUntilStable(input);
  input.m_rebalance = true;
  input.m_backends.push_back(input.m_backends[0]);
  input.m_backends.back().m_number = 10000;
  const auto start = std::chrono::steady_clock::now();
  const auto moved = static_cast<double>(ApplyPlansUntilStable(input));
  const double least =
    std::floor(kHashedShards / static_cast<double>(aBackends + 1));
  fmt::print("churn_join_ratio at {} + 1 backends: {:.3f} ({} moves, {:.0f} us)"
             "\n",
             aBackends,
             moved / least,
             moved,
             MicrosecondsSince(start));
}

// Prints the imbalance before and after rebalancing shards with random loads.
void
MeasureImbalance(size_t aBackends)
{
  PlacementInput input = MakeInput(aBackends);
  ApplyPlansUntilStable(input);
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> load(0, 1);
  for (PlacementShard& shard : input.m_shards) {
    shard.m_weight = load(random);
  }
  input.m_rebalance = true;
  const double before = PlanPlacement(input).m_imbalance;
  const size_t moved = ApplyPlansUntilStable(input);
  fmt::print("imbalance at {} backends, lognormal shard loads: {:.3f} before, "
             "{:.3f} after {} moves\n",
             aBackends,
             before,
             PlanPlacement(input).m_imbalance,
             moved);
}

} // namespace

} // namespace rattanloft::cluster

int
main()
{
  using namespace rattanloft;
  SetLogLevel(LogLevel::kWarning);
  cluster::MeasureCluster();
  for (const size_t backends : { 4, 5, 93, 560 }) {
    cluster::MeasureChurn(backends);
    cluster::MeasureImbalance(backends);
  }
}
