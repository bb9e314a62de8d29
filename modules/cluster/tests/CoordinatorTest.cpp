#include "rattanloft/cluster/Coordinator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "Fixture.h"

namespace rattanloft::cluster {

namespace {

// A state and a coordinator whose commands are applied at once, with the keyed
// service "shop" on nodes "n0", "n1" and so on in four zones. Nodes sync every
// 100 ms unless they are silent. The constructor runs for 6 s, in which all
// shards are placed.
class CoordinatorFixture
{
public:
  explicit CoordinatorFixture(int aNodes)
  {
    m_state.Apply(MakePut(MakeEntry("browse", "shop"), 0, "c1"));
    for (int i = 0; i < aNodes; i++) {
      wire::SyncRequest& request = m_nodes["n" + std::to_string(i)];
      request.set_node_id("n" + std::to_string(i));
      request.set_session(7);
      request.set_backend_healthy(true);
      *request.mutable_backend() =
        MakeRegister(request.node_id(),
                     100,
                     "shop",
                     std::string(1, static_cast<char>('a' + i % 4)))
          .register_backend()
          .backend();
    }
    RestartCoordinator();
    RunFor(Seconds(6));
  }

  // Replaces the coordinator as a change of leader does.
  void RestartCoordinator()
  {
    m_coordinator = std::make_unique<Coordinator>(
      CoordinatorOptions(), m_state.m_state, m_now);
  }
  void Apply(const std::vector<wire::Command>& aCommands)
  {
    for (const wire::Command& command : aCommands) {
      m_assignedCount += command.assign_shards().assignments_size();
      m_largestBatch =
        std::max(m_largestBatch, command.assign_shards().assignments_size());
      m_movedCount += command.begin_moves().targets_size();
      m_state.Apply(command);
    }
  }
  void Sync(wire::SyncRequest& aNode)
  {
    aNode.set_sequence(aNode.sequence() + 1);
    Apply(m_coordinator->OnSync(aNode, m_now));
  }
  // Answers the calls that are ready. Returns the commands without applying
  // them.
  std::vector<wire::Command> TickAndAnswer()
  {
    const TickOutcome outcome = m_coordinator->Tick(m_now);
    for (const ReadyReply& ready : outcome.m_ready) {
      wire::SyncRequest& node = m_nodes[ready.m_nodeId];
      const wire::SyncReply reply =
        m_coordinator->BuildReply(ready.m_nodeId, m_now);
      m_replies[ready.m_nodeId] = reply;
      node.set_route_revision(reply.route_revision());
      node.set_catalogue_revision(reply.catalogue_revision());
      if (!m_replyLosingNodes.contains(ready.m_nodeId)) {
        node.set_answered(node.sequence());
      }
    }
    return outcome.m_commands;
  }
  void RunFor(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now = m_now + Milliseconds(20);
      for (auto& [name, node] : m_nodes) {
        if (m_now.m_ms % 100 == 0 && !m_silentNodes.contains(name)) {
          ReportReleases(node);
          Sync(node);
        }
      }
      Apply(TickAndAnswer());
    }
  }
  // Lets the node report the release of each shard that it was asked to
  // release.
  void ReportReleases(wire::SyncRequest& aNode)
  {
    aNode.clear_released();
    if (m_frozenNodes.contains(aNode.node_id())) {
      return;
    }
    const uint32_t number = BackendNumber(aNode.node_id());
    const wire::ServiceRoutes routes = m_state.Routes();
    for (int i = 0; i < routes.owners_size(); i++) {
      if (number && routes.owners(i) == number && routes.move_targets(i)) {
        wire::ShardRef* released = aNode.add_released();
        released->set_service("shop");
        released->set_shard(static_cast<uint32_t>(i));
        released->set_epoch(routes.epochs(i));
      }
    }
  }
  // Number of the node's backend that is not gone, or 0.
  uint32_t BackendNumber(const std::string& aNode) const
  {
    for (const auto& [number, backend] : m_state.m_state.Backends()) {
      if (backend.node_id() == aNode &&
          backend.state() != wire::BACKEND_STATE_GONE) {
        return number;
      }
    }
    return 0;
  }
  int CountOwnedShards(uint32_t aNumber) const
  {
    const wire::ServiceRoutes routes = m_state.Routes();
    return static_cast<int>(
      std::count(routes.owners().begin(), routes.owners().end(), aNumber));
  }
  bool IsGone(uint32_t aNumber) const
  {
    return m_state.m_state.Backends().at(aNumber).state() ==
           wire::BACKEND_STATE_GONE;
  }

  TimePoint m_now{ 100000 };
  TestState m_state;
  std::map<std::string, wire::SyncRequest> m_nodes;
  std::map<std::string, wire::SyncReply> m_replies;
  // Nodes that send no Sync requests.
  std::set<std::string> m_silentNodes;
  // Nodes that do not release shards.
  std::set<std::string> m_frozenNodes;
  // Nodes that never receive the replies to them.
  std::set<std::string> m_replyLosingNodes;
  std::unique_ptr<Coordinator> m_coordinator;
  // Shards assigned in all, and in the largest command.
  int m_assignedCount = 0;
  int m_largestBatch = 0;
  // Moves begun.
  int m_movedCount = 0;
};

} // namespace

// Guards against a first placement that gives all shards to the first backend,
// so that most of them are moved again.
TEST_CASE("The first placement gives each backend its share at once")
{
  CoordinatorFixture fixture(4);
  REQUIRE(fixture.CountOwnedShards(fixture.BackendNumber("n0")) == 1024);
  REQUIRE(fixture.m_assignedCount == 4096);
  REQUIRE(fixture.m_movedCount == 0);
  REQUIRE(fixture.m_replies["n0"].lease_ms() == 2500);
}

// Guards against two owners of a shard, since a silent node may serve until its
// lease ends, and against an outage of more than 5 s.
TEST_CASE("A silent node loses its shards after its lease and not before")
{
  CoordinatorFixture fixture(4);
  const uint32_t lost = fixture.BackendNumber("n0");
  fixture.m_silentNodes.insert("n0");
  fixture.m_largestBatch = 0;
  fixture.RunFor(Milliseconds(2600));
  REQUIRE_FALSE(fixture.IsGone(lost));
  REQUIRE(fixture.CountOwnedShards(lost) == 1024);
  fixture.RunFor(Milliseconds(1600));
  REQUIRE(fixture.IsGone(lost));
  REQUIRE(fixture.CountOwnedShards(lost) == 0);
  REQUIRE(fixture.m_largestBatch == 1024);
  REQUIRE(fixture.m_assignedCount == 4096 + 1024);

  // The node comes back and announces the incarnation that is gone.
  fixture.m_silentNodes.clear();
  fixture.RunFor(Milliseconds(200));
  REQUIRE(fixture.m_replies["n0"].status() ==
          wire::SYNC_STATUS_INCARNATION_GONE);
  REQUIRE(fixture.m_replies["n0"].lease_ms() == 0);
}

// Guards against granting a lease while the command that ends it has been
// proposed but not yet applied.
TEST_CASE("A lease is not renewed once its end has been proposed")
{
  CoordinatorFixture fixture(4);
  fixture.m_silentNodes.insert("n0");
  wire::SyncRequest old = fixture.m_nodes["n0"];
  bool gone = true;
  SECTION("The node is silent") {}
  SECTION("A new process of the node waits")
  {
    gone = false;
    fixture.m_nodes["n0"].set_session(8);
  }
  std::vector<wire::Command> late;
  while (late.empty()) {
    if (!gone) {
      fixture.Sync(fixture.m_nodes["n0"]);
    }
    fixture.m_now = fixture.m_now + Milliseconds(20);
    for (const char* name : { "n1", "n2", "n3" }) {
      fixture.Sync(fixture.m_nodes[name]);
    }
    late = fixture.TickAndAnswer();
  }
  REQUIRE(late[0].has_set_backend_state() == gone);
  REQUIRE(late[0].has_register_backend() == !gone);
  old.set_sequence(old.sequence() + 1000);
  fixture.Sync(old);
  const wire::SyncReply reply =
    fixture.m_coordinator->BuildReply("n0", fixture.m_now);
  REQUIRE(reply.backend_number() == fixture.BackendNumber("n0"));
  REQUIRE(reply.lease_ms() == 0);
}

// Guards against a second owner of a shard: a new leader does not know the
// leases that the old one granted.
TEST_CASE("A new leader waits a whole lease before a silent node is lost")
{
  CoordinatorFixture fixture(4);
  const uint32_t lost = fixture.BackendNumber("n0");
  fixture.m_silentNodes.insert("n0");
  fixture.RunFor(Milliseconds(2400));
  fixture.RestartCoordinator();
  fixture.RunFor(Milliseconds(2600));
  REQUIRE_FALSE(fixture.IsGone(lost));
  fixture.RunFor(Milliseconds(300));
  REQUIRE(fixture.IsGone(lost));
}

// Guards against taking the shards away from most nodes because the leader is
// cut off from them.
TEST_CASE("Nodes keep their shards for a limited time in a mass outage")
{
  CoordinatorFixture fixture(12);
  for (int i = 0; i < 8; i++) {
    fixture.m_silentNodes.insert("n" + std::to_string(i));
  }
  const uint32_t silent = fixture.BackendNumber("n0");
  fixture.RunFor(Seconds(9));
  REQUIRE_FALSE(fixture.IsGone(silent));
  SECTION("The nodes return and keep their shards")
  {
    fixture.m_silentNodes.clear();
    fixture.RunFor(Seconds(5));
    REQUIRE_FALSE(fixture.IsGone(silent));
    REQUIRE(fixture.m_replies["n0"].lease_ms() == 2500);
  }
  SECTION("The nodes stay silent and lose their shards")
  {
    fixture.RunFor(Seconds(5));
    REQUIRE(fixture.IsGone(silent));
    REQUIRE(fixture.CountOwnedShards(silent) == 0);
  }
}

// Guards against the rule for mass outages delaying the loss of a zone, and
// against batches so large that they overload the other backends.
TEST_CASE("The shards of a lost zone are assigned within 5 s in batches")
{
  CoordinatorFixture fixture(12);
  fixture.m_largestBatch = 0;
  for (const char* name : { "n0", "n4", "n8" }) {
    fixture.m_silentNodes.insert(name);
  }
  const uint32_t lost = fixture.BackendNumber("n4");
  fixture.RunFor(Milliseconds(4500));
  REQUIRE(fixture.IsGone(lost));
  REQUIRE(fixture.CountOwnedShards(lost) == 0);
  REQUIRE(fixture.m_largestBatch == 1024);
}

// Guards against a drain that cuts off running requests or never ends.
TEST_CASE("A draining backend hands over all its shards")
{
  CoordinatorFixture fixture(4);
  fixture.m_nodes["n0"].set_draining(true);
  const uint32_t number = fixture.BackendNumber("n0");
  const int assigned = fixture.m_assignedCount;
  fixture.RunFor(Seconds(15));
  REQUIRE(fixture.CountOwnedShards(number) == 0);
  REQUIRE(fixture.m_movedCount == 1024);
  REQUIRE(fixture.m_assignedCount == assigned);
  REQUIRE_FALSE(fixture.IsGone(number));
}

// Guards against a block that stays on one node, that a new leader does not
// know, or that an operator cannot clear.
TEST_CASE("Quarantine entries reach every node and a new leader")
{
  CoordinatorFixture fixture(2);
  const auto block = [&] {
    wire::QuarantineEntry* entry = fixture.m_nodes["n0"].add_quarantine();
    entry->set_fingerprint(77);
    entry->set_service("shop");
    entry->set_state(wire::QUARANTINE_STATE_BLOCKED);
    entry->set_version(3);
    entry->set_left_ms(600'000);
  };
  block();
  fixture.RunFor(Milliseconds(200));
  for (const char* node : { "n0", "n1" }) {
    const wire::SyncReply& reply = fixture.m_replies[node];
    REQUIRE(reply.quarantine().entries_size() == 1);
    REQUIRE(reply.quarantine().entries(0).fingerprint() == 77);
    REQUIRE(reply.quarantine_sequence() > 0);
  }
  fixture.m_nodes["n0"].clear_quarantine();
  REQUIRE(fixture.m_coordinator->Quarantine(fixture.m_now).size() == 1);
  REQUIRE(fixture.m_coordinator->ClearQuarantine(77, fixture.m_now));
  REQUIRE_FALSE(fixture.m_coordinator->ClearQuarantine(77, fixture.m_now));
  REQUIRE(fixture.m_coordinator->Quarantine(fixture.m_now).empty());
  // An entry that was sent before does not undo the operator's decision.
  block();
  fixture.RunFor(Milliseconds(500));
  REQUIRE(fixture.m_coordinator->Quarantine(fixture.m_now).empty());
  REQUIRE(fixture.m_replies["n1"].quarantine().entries(0).state() ==
          wire::QUARANTINE_STATE_CLEARED);
  fixture.RestartCoordinator();
  fixture.RunFor(Milliseconds(500));
  REQUIRE(fixture.m_coordinator->Quarantine(fixture.m_now).size() == 1);
}

// Guards against a draining backend server that gets new requests for more than
// 3 s, and against a rebalancing that moves as many shards at once as a drain.
TEST_CASE("128 shards move at once from a draining backend, otherwise 32")
{
  CoordinatorFixture fixture(2);
  const auto movesInFlight = [&] {
    const wire::ServiceRoutes routes = fixture.m_state.Routes();
    return routes.move_targets_size() -
           std::count(
             routes.move_targets().begin(), routes.move_targets().end(), 0U);
  };
  const auto mostMovesWithin = [&](Duration aSpan) {
    std::ptrdiff_t highest = 0;
    const TimePoint end = fixture.m_now + aSpan;
    while (fixture.m_now < end) {
      fixture.RunFor(Milliseconds(20));
      highest = std::max<std::ptrdiff_t>(highest, movesInFlight());
    }
    return highest;
  };
  wire::SyncRequest& joined = fixture.m_nodes["n2"];
  joined = fixture.m_nodes["n1"];
  joined.set_node_id("n2");
  joined.mutable_backend()->set_node_id("n2");
  joined.set_sequence(0);
  REQUIRE(mostMovesWithin(Seconds(30)) == 32);
  fixture.m_nodes["n0"].set_draining(true);
  REQUIRE(mostMovesWithin(Milliseconds(3000)) == 128);
  REQUIRE(fixture.CountOwnedShards(fixture.BackendNumber("n0")) == 0);
}

// Guards against an operator's drain that ends with the next Sync of the node
// or with a change of leader, and against one that cannot be undone.
TEST_CASE("An operator's drain lasts until the operator ends it")
{
  CoordinatorFixture fixture(4);
  const uint32_t number = fixture.BackendNumber("n0");
  fixture.Apply({ MakeOperatorDrain(number, true) });
  fixture.RunFor(Milliseconds(200));
  REQUIRE(fixture.m_replies["n0"].operator_drain());
  REQUIRE_FALSE(fixture.m_replies["n1"].operator_drain());
  fixture.RunFor(Seconds(7));
  fixture.RestartCoordinator();
  fixture.RunFor(Seconds(8));
  const auto& backends = fixture.m_state.m_state.Backends();
  REQUIRE(backends.at(number).state() == wire::BACKEND_STATE_DRAINING);
  REQUIRE(fixture.CountOwnedShards(number) == 0);

  // The backend server still announces the drain that it learned of.
  fixture.m_nodes["n0"].set_draining(true);
  fixture.Apply({ MakeOperatorDrain(number, false) });
  fixture.RunFor(Milliseconds(200));
  REQUIRE_FALSE(fixture.m_replies["n0"].operator_drain());
  REQUIRE(backends.at(number).state() == wire::BACKEND_STATE_DRAINING);
  fixture.m_nodes["n0"].set_draining(false);
  fixture.RunFor(Seconds(10));
  REQUIRE(backends.at(number).state() == wire::BACKEND_STATE_ACTIVE);
  REQUIRE(fixture.CountOwnedShards(number) > 0);
}

// Guards against shards that stay with a backend server that answers no
// requests and whose node cannot release them.
TEST_CASE("An unhealthy backend that does not release loses its lease")
{
  CoordinatorFixture fixture(4);
  const uint32_t number = fixture.BackendNumber("n0");
  fixture.m_nodes["n0"].set_backend_healthy(false);
  fixture.m_frozenNodes.insert("n0");
  fixture.RunFor(Milliseconds(2600));
  REQUIRE_FALSE(fixture.IsGone(number));
  REQUIRE(fixture.m_replies["n0"].lease_ms() == 0);
  fixture.RunFor(Milliseconds(800));
  REQUIRE(fixture.IsGone(number));
  REQUIRE(fixture.CountOwnedShards(number) == 0);
}

// Guards against an outage of the service when health probes fail everywhere.
TEST_CASE("Health is disregarded when most backends are unhealthy")
{
  CoordinatorFixture fixture(4);
  for (const char* name : { "n0", "n1", "n2" }) {
    fixture.m_nodes[name].set_backend_healthy(false);
  }
  fixture.RunFor(Seconds(8));
  REQUIRE(fixture.CountOwnedShards(fixture.BackendNumber("n0")) == 1024);
  REQUIRE(fixture.m_movedCount == 0);
}

// Guards against shards that stay with a node whose requests arrive but which
// gets no replies, so that its lease has ended.
TEST_CASE("A node that gets no replies loses its shards")
{
  CoordinatorFixture fixture(4);
  const uint32_t number = fixture.BackendNumber("n0");
  fixture.m_replyLosingNodes.insert("n0");
  fixture.RunFor(Milliseconds(4900));
  REQUIRE(fixture.IsGone(number));
  REQUIRE_FALSE(fixture.IsGone(fixture.BackendNumber("n1")));
}

// Guards against a new node process or backend server that serves while the old
// one may still use the lease.
TEST_CASE("A restarted process gets a lease only after the old lease has ended")
{
  CoordinatorFixture fixture(4);
  const uint32_t number = fixture.BackendNumber("n0");
  wire::SyncRequest& node = fixture.m_nodes["n0"];
  SECTION("Node process")
  {
    node.set_session(8);
    node.set_sequence(0);
    fixture.RunFor(Milliseconds(2000));
    REQUIRE(fixture.m_replies["n0"].lease_ms() == 0);
    fixture.RunFor(Milliseconds(1500));
    REQUIRE(fixture.m_replies["n0"].lease_ms() == 2500);
    REQUIRE(fixture.m_replies["n0"].backend_number() == number);
  }
  SECTION("Backend server")
  {
    node.mutable_backend()->set_incarnation(101);
    fixture.RunFor(Milliseconds(2000));
    REQUIRE(fixture.m_replies["n0"].backend_number() == 0);
    REQUIRE_FALSE(fixture.IsGone(number));
    fixture.RunFor(Milliseconds(1500));
    REQUIRE(fixture.IsGone(number));
    REQUIRE(fixture.m_replies["n0"].backend_number() != number);
    REQUIRE(fixture.m_replies["n0"].lease_ms() == 2500);
  }
}

// Guards against moving shards with each swing of the load.
TEST_CASE("Only a lasting change of the load moves shards")
{
  CoordinatorFixture fixture(4);
  const auto setLoad = [&](double aHotFactor) {
    for (auto& [name, node] : fixture.m_nodes) {
      node.mutable_load()->clear_shards();
      node.mutable_load()->set_requests_per_second(
        name == "n0" ? 1000 * aHotFactor : 1000);
    }
  };
  setLoad(1);
  fixture.RunFor(Seconds(60));
  REQUIRE(fixture.m_movedCount == 0);
  // The imbalance exceeds the tolerance, but lasts less than 10 s.
  setLoad(3);
  fixture.RunFor(Seconds(3));
  setLoad(1);
  fixture.RunFor(Seconds(60));
  REQUIRE(fixture.m_movedCount == 0);
  for (int i = 0; i < 30; i++) {
    setLoad(2);
    fixture.RunFor(Seconds(4));
    setLoad(0.2);
    fixture.RunFor(Seconds(5));
  }
  REQUIRE(fixture.m_movedCount == 0);
  setLoad(3);
  fixture.RunFor(Seconds(40));
  REQUIRE(fixture.m_movedCount > 0);
}

// Guards against a hot key that goes on loading the owner of its hashed shard,
// and against shards of single keys that accumulate.
TEST_CASE("A hot key gets its own shard and loses it when it has cooled")
{
  CoordinatorFixture fixture(4);
  for (auto& [name, node] : fixture.m_nodes) {
    node.mutable_load()->set_requests_per_second(1000);
  }
  wire::KeyLoad* key = fixture.m_nodes["n1"].mutable_load()->add_keys();
  key->set_service("shop");
  key->set_key("stand-1");
  key->set_requests_per_second(400);
  fixture.RunFor(Seconds(60));
  REQUIRE(fixture.m_state.m_state.Snapshot().hot_keys_size() == 1);
  fixture.m_nodes["n1"].mutable_load()->clear_keys();
  fixture.RunFor(Seconds(180));
  REQUIRE(fixture.m_state.m_state.Snapshot().hot_keys_size() == 0);
}

// Guards against an absurd figure in a load report: backends that report
// plausible figures must not lose shards.
TEST_CASE("Absurd load figures of one node leave the other nodes their shards")
{
  CoordinatorFixture fixture(4);
  for (auto& [name, node] : fixture.m_nodes) {
    node.mutable_load()->set_requests_per_second(1000);
  }
  const double absurd[] = { std::nan(""), INFINITY, -1e300, 1e300 };
  for (const double value : absurd) {
    wire::NodeLoad* load = fixture.m_nodes["n0"].mutable_load();
    load->set_requests_per_second(value);
    load->clear_shards();
    load->add_shards()->set_service("shop");
    load->mutable_shards(0)->set_requests_per_second(value);
    fixture.RunFor(Seconds(20));
  }
  REQUIRE(fixture.CountOwnedShards(0) == 0);
  for (const char* name : { "n1", "n2", "n3" }) {
    REQUIRE(fixture.CountOwnedShards(fixture.BackendNumber(name)) >= 1024);
  }
  // Plausible figures of the node are used again afterwards.
  wire::NodeLoad* load = fixture.m_nodes["n0"].mutable_load();
  load->clear_shards();
  load->set_requests_per_second(1000);
  fixture.m_nodes["n1"].mutable_load()->set_requests_per_second(4000);
  const int before = fixture.CountOwnedShards(fixture.BackendNumber("n1"));
  fixture.RunFor(Seconds(200));
  REQUIRE(fixture.CountOwnedShards(fixture.BackendNumber("n1")) < before);
}

// Guards against a late request that overwrites a newer report or releases a
// shard that was assigned to the node again.
TEST_CASE("A request that a later one has overtaken is ignored")
{
  CoordinatorFixture fixture(4);
  wire::SyncRequest late = fixture.m_nodes["n0"];
  late.set_draining(true);
  REQUIRE(fixture.m_coordinator->OnSync(late, fixture.m_now).empty());

  // A request of a replaced process must not renew the old lease.
  late.set_sequence(late.sequence() + 1);
  fixture.m_nodes["n0"].set_session(8);
  fixture.RunFor(Seconds(1));
  REQUIRE(fixture.m_coordinator->OnSync(late, fixture.m_now).empty());
  fixture.RunFor(Seconds(2));
  REQUIRE(fixture.m_replies["n0"].lease_ms() == 2500);
}

// Guards against a crash or an endless loop when there is no backend for the
// shards.
TEST_CASE("A service without backends has no assigned shards")
{
  CoordinatorFixture fixture(0);
  REQUIRE(fixture.m_assignedCount == 0);
  REQUIRE(fixture.m_state.Owner(0) == 0);
}

} // namespace rattanloft::cluster
