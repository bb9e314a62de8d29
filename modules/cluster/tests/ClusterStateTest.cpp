#include "rattanloft/cluster/ClusterState.h"

#include <catch2/catch.hpp>

#include "Fixture.h"

namespace rattanloft::cluster {

namespace {

constexpr auto kGone = wire::BACKEND_STATE_GONE;
constexpr auto kDraining = wire::BACKEND_STATE_DRAINING;

// A state with the keyed service "shop" and its backends 1 and 2.
class KeyedServiceState : public TestState
{
public:
  KeyedServiceState()
  {
    Apply(MakePut(MakeEntry("browse", "shop"), 0, "c1"));
    REQUIRE(Apply(MakeRegister("n1", 11)).m_backend == 1);
    REQUIRE(Apply(MakeRegister("n2", 21)).m_backend == 2);
  }
};

wire::Command
MakeHotKeyCommand(const std::string& aKey, bool aPlace)
{
  wire::Command command;
  if (aPlace) {
    command.mutable_place_hot_key()->set_service("shop");
    command.mutable_place_hot_key()->set_key(aKey);
  } else {
    command.mutable_remove_hot_key()->set_service("shop");
    command.mutable_remove_hot_key()->set_key(aKey);
  }
  return command;
}

} // namespace

// Guards against an entry that no node can serve, and against an error message
// that does not tell the operator what to change.
TEST_CASE("An invalid entry is refused with the name of its field")
{
  struct Case
  {
    const char* m_field;
    void (*m_break)(wire::CatalogueEntry&);
  };
  const Case cases[] = {
    { "name", [](auto& aE) { aE.set_name("Browse"); } },
    { "name", [](auto& aE) { aE.set_name(std::string(65, 'a')); } },
    { "owner", [](auto& aE) { aE.clear_owner(); } },
    { "service", [](auto& aE) { aE.clear_service(); } },
    { "methods", [](auto& aE) { aE.clear_methods(); } },
    { "methods", [](auto& aE) { aE.add_methods("GET"); } },
    { "limits.deadline_ms",
      [](auto& aE) { aE.mutable_limits()->set_deadline_ms(0); } },
    { "limits.deadline_ms",
      [](auto& aE) { aE.mutable_limits()->set_deadline_ms(600001); } },
    { "limits.max_body_bytes",
      [](auto& aE) { aE.mutable_limits()->set_max_body_bytes(8388609); } },
    { "limits.hour_deadlines[0].from_hour",
      [](auto& aE) {
        aE.mutable_limits()->add_hour_deadlines()->set_from_hour(24);
      } },
    { "limits.hour_deadlines[0].to_hour",
      [](auto& aE) {
        aE.mutable_limits()->add_hour_deadlines()->set_to_hour(25);
      } },
    { "limits.hour_deadlines[0].deadline_ms",
      [](auto& aE) {
        aE.mutable_limits()->add_hour_deadlines()->set_to_hour(24);
      } },
  };
  for (const Case& item : cases) {
    TestState test;
    wire::CatalogueEntry entry = MakeEntry("browse", "shop");
    item.m_break(entry);
    const auto result = test.Apply(MakePut(entry, 0, "c1")).m_change;
    CHECK(result.status() == wire::CHANGE_STATUS_INVALID);
    CHECK(result.message().starts_with(std::string(item.m_field) + ":"));
    CHECK(test.m_state.CatalogueEntries().empty());
  }
}

// Guards against two entries of a service that both match a request, so that a
// node cannot choose between them.
TEST_CASE("Entries of one service must be consistent")
{
  KeyedServiceState test;
  const auto put = [&](const wire::CatalogueEntry& aEntry, const char* aId) {
    return test.Apply(MakePut(aEntry, 0, aId)).m_change;
  };
  wire::CatalogueEntry entry = MakeEntry("order", "shop");
  REQUIRE(put(entry, "c2").message().starts_with("methods:"));
  entry.set_methods(0, "POST");
  entry.set_keyed(false);
  REQUIRE(put(entry, "c3").message().starts_with("keyed:"));
  entry.set_keyed(true);
  REQUIRE(put(entry, "c4").status() == wire::CHANGE_STATUS_ACCEPTED);
}

// Guards against a lost update when two operators change an entry at once, and
// against a second effect of a change that was sent again after its reply was
// lost.
TEST_CASE("A change needs the current revision and is applied once")
{
  KeyedServiceState test;
  wire::CatalogueEntry entry = MakeEntry("browse", "shop");
  const uint64_t first =
    test.m_state.CatalogueEntries().at("browse").revision();
  entry.set_owner("team-b");
  const auto won = test.Apply(MakePut(entry, first, "c2")).m_change;
  REQUIRE(won.status() == wire::CHANGE_STATUS_ACCEPTED);
  entry.set_owner("team-c");
  const auto lost = test.Apply(MakePut(entry, first, "c3")).m_change;
  REQUIRE(lost.status() == wire::CHANGE_STATUS_REVISION_MISMATCH);
  REQUIRE(lost.revision() == won.revision());

  REQUIRE(test.Apply(MakePut(entry, won.revision(), "c4")).m_change.status() ==
          wire::CHANGE_STATUS_ACCEPTED);
  TestState restored;
  REQUIRE(restored.m_state.Restore(test.m_state.Snapshot()));
  restored.m_index = test.m_index;
  const auto again = restored.Apply(MakePut(entry, first, "c2")).m_change;
  REQUIRE(again.SerializeAsString() == won.SerializeAsString());
  REQUIRE(restored.m_state.CatalogueEntries().at("browse").owner() == "team-c");
  REQUIRE(restored.m_state.FindChange("c2")->result().revision() ==
          won.revision());
}

// Guards against memory that grows with each entry and each change id.
TEST_CASE("The catalogue and its history are bounded")
{
  TestState test;
  for (int i = 0; i < 1000; i++) {
    const std::string name = "e" + std::to_string(i);
    wire::CatalogueEntry entry = MakeEntry(name, name);
    entry.set_keyed(false);
    REQUIRE(test.Apply(MakePut(entry, 0, name)).m_change.status() ==
            wire::CHANGE_STATUS_ACCEPTED);
  }
  wire::CatalogueEntry entry = MakeEntry("last", "last");
  entry.set_keyed(false);
  for (int i = 0; i < 10000; i++) {
    REQUIRE(test.Apply(MakePut(entry, 0, "f" + std::to_string(i)))
              .m_change.status() == wire::CHANGE_STATUS_CATALOGUE_FULL);
  }
  REQUIRE(test.m_state.History(20000).size() == 10000);
  REQUIRE(test.m_state.FindChange("e0") == nullptr);
  REQUIRE(test.m_state.FindChange("f0") != nullptr);
}

// Guards against two backends with one number, and against a backend server
// whose old incarnation comes back with the shards that it owned before.
TEST_CASE("A newer incarnation makes the older one gone for good")
{
  KeyedServiceState test;
  wire::Command again = MakeRegister("n1", 11);
  again.mutable_register_backend()->mutable_backend()->set_slots(6);
  REQUIRE(test.Apply(again).m_backend == 1);
  REQUIRE(test.m_state.Backends().at(1).slots() == 6);
  REQUIRE(test.Apply(MakeRegister("n1", 12)).m_backend == 3);
  REQUIRE(test.m_state.Backends().at(1).state() == kGone);
  REQUIRE(test.Apply(MakeRegister("n1", 11)).m_backend == 0);
  test.Apply(MakeSetBackendState(1, wire::BACKEND_STATE_ACTIVE));
  REQUIRE(test.m_state.Backends().at(1).state() == kGone);
  REQUIRE(test.m_state.Backends().at(3).state() != kGone);
}

// Guards against memory that grows with each restart, and against forgetting an
// incarnation while shards still name it as their owner.
TEST_CASE("Gone incarnations are bounded, and those that own shards are kept")
{
  KeyedServiceState test;
  test.Apply(MakeAssign(7, 1));
  for (uint64_t i = 0; i < 50; i++) {
    REQUIRE(test.Apply(MakeRegister("n1", 100 + i)).m_backend == 3 + i);
  }
  REQUIRE(test.m_state.Backends().size() <= 12);
  REQUIRE(test.m_state.Backends().contains(1));
  REQUIRE(test.Apply(MakeRegister("n1", 148)).m_backend == 0);
}

// Guards against an operator's drain that is ended by a change of state
// proposed before it, by a registration of a new node process, or by a
// snapshot.
TEST_CASE("An operator's drain ends only when undone or with the incarnation")
{
  KeyedServiceState test;
  test.Apply(MakeOperatorDrain(1, true));
  const auto isDraining = [&](uint32_t aNumber) {
    return test.m_state.Backends().at(aNumber).state() == kDraining;
  };
  REQUIRE(isDraining(1));
  test.Apply(MakeSetBackendState(1, wire::BACKEND_STATE_ACTIVE));
  REQUIRE(isDraining(1));
  REQUIRE(test.Apply(MakeRegister("n1", 11)).m_backend == 1);
  REQUIRE(test.m_state.Backends().at(1).operator_drain());
  REQUIRE(test.m_state.Restore(test.m_state.Snapshot()).has_value());
  test.Apply(MakeSetBackendState(1, wire::BACKEND_STATE_ACTIVE));
  REQUIRE(isDraining(1));

  test.Apply(MakeOperatorDrain(1, false));
  test.Apply(MakeSetBackendState(1, wire::BACKEND_STATE_ACTIVE));
  REQUIRE_FALSE(isDraining(1));

  test.Apply(MakeOperatorDrain(1, true));
  wire::Command forged = MakeRegister("n1", 12);
  forged.mutable_register_backend()->mutable_backend()->set_operator_drain(
    true);
  const uint32_t next = test.Apply(forged).m_backend;
  REQUIRE_FALSE(isDraining(next));
  REQUIRE_FALSE(test.m_state.Backends().at(next).operator_drain());
  // The gone incarnation stays gone.
  test.Apply(MakeOperatorDrain(1, false));
  test.Apply(MakeOperatorDrain(1, true));
  REQUIRE(test.m_state.Backends().at(1).state() == kGone);
}

// Guards against a second owner of a shard whose first owner may still hold a
// lease.
TEST_CASE("A shard can be assigned only if it has no owner or a gone one")
{
  KeyedServiceState test;
  test.Apply(MakeAssign(7, 1));
  const uint64_t epoch = test.Epoch(7);
  REQUIRE(epoch == test.m_index);
  test.Apply(MakeAssign(7, 2));
  REQUIRE(test.Owner(7) == 1);
  test.Apply(MakeSetBackendState(1, kDraining));
  test.Apply(MakeAssign(7, 2));
  REQUIRE(test.Owner(7) == 1);
  test.Apply(MakeSetBackendState(1, kGone));
  REQUIRE(test.Owner(7) == 1);
  test.Apply(MakeAssign(7, 1));
  REQUIRE(test.Epoch(7) == epoch);
  test.Apply(MakeAssign(7, 2));
  REQUIRE(test.Owner(7) == 2);
  REQUIRE(test.Epoch(7) > epoch);
}

// Guards against a release that takes a shard from another owner, or ends a
// later assignment to the same backend.
TEST_CASE("A release is accepted only from the owner and for its epoch")
{
  KeyedServiceState test;
  test.Apply(MakeAssign(7, 1));
  const uint64_t epoch = test.Epoch(7);
  test.Apply(MakeBeginMove(7, 2));
  REQUIRE(test.MoveTarget(7) == 2);
  test.Apply(MakeRelease(2, 7, epoch));
  test.Apply(MakeRelease(1, 7, epoch - 1));
  REQUIRE(test.Owner(7) == 1);
  test.Apply(MakeRelease(1, 7, epoch));
  REQUIRE(test.Owner(7) == 2);
  REQUIRE(test.MoveTarget(7) == 0);
  REQUIRE(test.Epoch(7) == test.m_index);
}

// Guards against cancelling a move towards a gone backend when the owner has
// already released the shard and the release is on its way.
TEST_CASE("A move towards a gone backend goes on and leaves no owner")
{
  KeyedServiceState test;
  test.Apply(MakeAssign(7, 1));
  test.Apply(MakeBeginMove(7, 2));
  test.Apply(MakeSetBackendState(2, kGone));
  REQUIRE(test.MoveTarget(7) == 2);
  test.Apply(MakeRelease(1, 7, test.Epoch(7)));
  REQUIRE(test.Owner(7) == 0);
}

// Guards against a service that is unavailable because too many of its shards
// move at once.
TEST_CASE("At most 128 shards of a service move at once")
{
  KeyedServiceState test;
  for (ShardNumber shard = 0; shard < 140; shard++) {
    test.Apply(MakeAssign(shard, 1));
  }
  for (ShardNumber shard = 0; shard < 140; shard++) {
    test.Apply(MakeBeginMove(shard, 2));
  }
  REQUIRE(test.MoveTarget(127) == 2);
  REQUIRE(test.MoveTarget(128) == 0);
  test.Apply(MakeRelease(1, 3, test.Epoch(3)));
  test.Apply(MakeBeginMove(128, 2));
  REQUIRE(test.MoveTarget(128) == 2);
}

// Guards against two owners of one key, through its own shard and through its
// hashed shard.
TEST_CASE("A hot key starts and ends with the owner of its hashed shard")
{
  KeyedServiceState test;
  const ShardNumber hashed = HashedShard("stand-1");
  test.Apply(MakeAssign(hashed, 1));
  test.Apply(MakeBeginMove(hashed, 2));
  test.Apply(MakeHotKeyCommand("stand-1", true));
  REQUIRE(test.Routes().owners_size() == 4096);
  test.Apply(MakeRelease(1, hashed, test.Epoch(hashed)));
  test.Apply(MakeHotKeyCommand("stand-1", true));
  REQUIRE(test.Owner(4096) == 2);

  test.Apply(MakeBeginMove(4096, 1));
  test.Apply(MakeHotKeyCommand("stand-1", false));
  test.Apply(MakeRelease(2, 4096, test.Epoch(4096)));
  test.Apply(MakeHotKeyCommand("stand-1", false));
  REQUIRE(test.Owner(4096) == 1);
  test.Apply(MakeBeginMove(4096, 2));
  test.Apply(MakeRelease(1, 4096, test.Epoch(4096)));
  const uint64_t before = test.Epoch(hashed);
  test.Apply(MakeHotKeyCommand("stand-1", false));
  REQUIRE(test.Owner(4096) == 0);
  // A release sent before the removal is ignored.
  test.Apply(MakeRelease(2, hashed, before));
  REQUIRE(test.Owner(hashed) == 2);
  // The shard number of the removed key cannot be assigned.
  test.Apply(MakeAssign(4096, 1));
  REQUIRE(test.Owner(4096) == 0);
}

// Guards against dropping the shards of a service with its last entry while an
// owner still holds a lease, and against tables that are never dropped.
TEST_CASE("A service keeps its table while a backend owns any of its shards")
{
  KeyedServiceState test;
  test.Apply(MakeAssign(7, 1));
  wire::Command remove;
  remove.mutable_change()->set_change_id("r");
  remove.mutable_change()->set_remove("browse");
  remove.mutable_change()->set_expected_revision(1);
  REQUIRE(test.Apply(remove).m_change.status() == wire::CHANGE_STATUS_ACCEPTED);
  REQUIRE(test.Owner(7) == 1);
  test.Apply(MakeSetBackendState(1, kGone));
  REQUIRE(test.m_state.Routes().empty());
}

// Guards against a node that misses a change, and against one that keeps an old
// table when the changes that it lacks are no longer buffered.
TEST_CASE("A delta has what changed, and a too old revision gets a full update")
{
  KeyedServiceState test;
  const uint64_t start = test.m_state.RouteRevision();
  test.Apply(MakeAssign(7, 1));
  test.Apply(MakeSetBackendState(2, kDraining));
  const wire::RouteUpdate delta = test.m_state.RoutesSince(start);
  REQUIRE_FALSE(delta.full());
  REQUIRE(delta.services(0).shards_size() == 1);
  REQUIRE(delta.services(0).shards(0) == 7);
  REQUIRE(delta.backends_size() == 1);
  REQUIRE(delta.revision() == test.m_state.RouteRevision());
  REQUIRE(test.m_state.RoutesSince(delta.revision() + 1).full());
  for (int i = 0; i < 600; i++) {
    test.Apply(MakeSetBackendState(2, wire::BACKEND_STATE_ACTIVE));
    test.Apply(MakeSetBackendState(2, kDraining));
  }
  REQUIRE(test.m_state.RoutesSince(start).full());
}

// Guards against replicas that differ after one of them took a snapshot.
TEST_CASE("A snapshot restores the state exactly")
{
  KeyedServiceState test;
  test.Apply(MakeAssign(HashedShard("stand-1"), 1));
  test.Apply(MakeAssign(9, 1));
  test.Apply(MakeBeginMove(9, 2));
  test.Apply(MakeHotKeyCommand("stand-1", true));
  test.Apply(MakeRegister("n2", 22));
  ClusterState copy;
  REQUIRE(copy.Restore(test.m_state.Snapshot()));
  REQUIRE(copy.Snapshot().SerializeAsString() ==
          test.m_state.Snapshot().SerializeAsString());
  for (const wire::Command& command :
       { MakeRelease(1, 9, test.Epoch(9)), MakeRegister("n3", 5) }) {
    test.Apply(command);
    copy.Apply(command, test.m_index);
  }
  REQUIRE(copy.Snapshot().SerializeAsString() ==
          test.m_state.Snapshot().SerializeAsString());
}

} // namespace rattanloft::cluster
