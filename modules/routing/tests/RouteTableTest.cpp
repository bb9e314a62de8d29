#include "rattanloft/routing/RouteTable.h"

#include <map>
#include <random>

#include "Builders.h"
#include "rattanloft/routing/Catalogue.h"

#include <catch2/catch.hpp>

namespace rattanloft::routing {

// Guards against an older update that brings back routes which have been
// replaced.
TEST_CASE("A route table refuses an older update")
{
  const auto table =
    RouteTable::MakeEmpty()->WithUpdate(MakeDelta(5, 1, 7, 50));
  REQUIRE(table->WithUpdate(MakeDelta(4, 1, 6, 40)) == nullptr);
  wire::RouteUpdate full = MakeDelta(4, 1, 6, 40);
  full.set_full(true);
  REQUIRE(table->WithUpdate(full) == nullptr);
  REQUIRE(table->Find("shop", 1)->m_owner == 7);
}

// Guards against a crash or unbounded memory use caused by a malformed update.
TEST_CASE("A route table refuses malformed updates")
{
  const auto table = RouteTable::MakeEmpty();
  wire::RouteUpdate missing = MakeDelta(1, 1, 7, 50);
  missing.mutable_services(0)->clear_epochs();
  REQUIRE(table->WithUpdate(missing) == nullptr);
  REQUIRE(table->WithUpdate(MakeDelta(1, kHashedShards + kMaxHotKeys, 7, 50)) ==
          nullptr);
  wire::RouteUpdate hot = MakeDelta(1, 1, 7, 50);
  hot.add_hot_keys()->set_shard(1);
  REQUIRE(table->WithUpdate(hot) == nullptr);
}

// Guards against a change in a table that another thread is reading, and
// against copies of services that an update does not contain.
TEST_CASE("An update copies only the services and backends it contains")
{
  wire::RouteUpdate first = MakeDelta(1, 1, 7, 50);
  wire::ServiceRoutes* other = first.add_services();
  other->set_service("press");
  AddRoute(*other, 2, 8, 51);
  *first.add_backends() = MakeBackend(7);
  const auto before = RouteTable::MakeEmpty()->WithUpdate(first);
  const auto after = before->WithUpdate(MakeDelta(2, 1, 9, 60));
  REQUIRE(before->Find("shop", 1)->m_owner == 7);
  REQUIRE(after->Find("shop", 1)->m_owner == 9);
  REQUIRE(before->Shards("press").data() == after->Shards("press").data());
  REQUIRE(before->FindBackend(7) == after->FindBackend(7));
}

// Guards against a backend number that its service still lists after the record
// of the backend is gone, which crashed nodes that looked it up. The cluster
// sends only the number of a backend that has left.
TEST_CASE("A gone backend is unlisted by number alone, without its service")
{
  wire::RouteUpdate update = MakeDelta(1, 1, 7, 50);
  *update.add_backends() = MakeBackend(7);
  const auto table = RouteTable::MakeEmpty()->WithUpdate(update);
  REQUIRE(table->BackendsOf("shop").size() == 1);
  wire::RouteUpdate gone;
  gone.set_revision(2);
  wire::Backend* backend = gone.add_backends();
  backend->set_number(7);
  backend->set_state(wire::BACKEND_STATE_GONE);
  const auto after = table->WithUpdate(gone);
  REQUIRE(after->BackendsOf("shop").empty());
  REQUIRE(after->FindBackend(7) == nullptr);
}

// Guards against routing requests to a backend that is gone.
TEST_CASE("A backend that is gone is no longer listed for its service")
{
  wire::RouteUpdate update = MakeDelta(1, 1, 7, 50);
  *update.add_backends() = MakeBackend(9);
  *update.add_backends() = MakeBackend(7);
  const auto table = RouteTable::MakeEmpty()->WithUpdate(update);
  const auto listed = table->BackendsOf("shop");
  REQUIRE(std::vector(listed.begin(), listed.end()) ==
          std::vector<uint32_t>{ 7, 9 });
  wire::RouteUpdate gone;
  gone.set_revision(2);
  *gone.add_backends() = MakeBackend(7);
  gone.mutable_backends(0)->set_state(wire::BACKEND_STATE_GONE);
  const auto later = table->WithUpdate(gone);
  REQUIRE(later->BackendsOf("shop").size() == 1);
  REQUIRE(later->FindBackend(7) == nullptr);
}

// Guards against a hot key that is routed to the shard of its hash, or that
// keeps its own shard after its removal.
TEST_CASE("A hot key has its own shard until it is removed")
{
  wire::RouteUpdate update = MakeDelta(1, 4100, 7, 50);
  wire::HotKey* key = update.add_hot_keys();
  key->set_service("shop");
  key->set_key("stand-17");
  key->set_shard(4100);
  const auto table = RouteTable::MakeEmpty()->WithUpdate(update);
  REQUIRE(table->ShardOf("shop", "stand-17") == 4100);
  REQUIRE(table->ShardOf("press", "stand-17") == HashedShard("stand-17"));
  REQUIRE(table->Find("shop", 4099)->m_owner == 0);
  REQUIRE(table->Find("shop", 4101) == nullptr);
  wire::RouteUpdate removal;
  removal.set_revision(2);
  *removal.add_removed_hot_keys() = *key;
  REQUIRE(table->WithUpdate(removal)->ShardOf("shop", "stand-17") ==
          HashedShard("stand-17"));
}

// Guards against wrong application of deltas: a table built from deltas that
// leave out or repeat revisions equals the one that a full update gives.
TEST_CASE("Deltas lead to the same routes as a full update")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::map<uint64_t, wire::RouteUpdate> changes;
    std::vector<ShardRoute> model(kHashedShards);
    auto table = RouteTable::MakeEmpty();
    uint64_t applied = 0;
    for (uint64_t revision = 1; revision <= 200; ++revision) {
      const auto shard = static_cast<uint32_t>(random() % kHashedShards);
      const auto owner = static_cast<uint32_t>(1 + random() % 50);
      model[shard] = { owner, 0, revision };
      changes[revision] = MakeDelta(revision, shard, owner, revision);
      if (random() % 4 != 0) {
        continue;
      }
      // The delta starts at or before the table's revision, as for a late
      // request.
      wire::RouteUpdate delta;
      delta.set_revision(revision);
      wire::ServiceRoutes* routes = delta.add_services();
      routes->set_service("shop");
      const uint64_t from = applied - std::min(applied, random() % 3);
      for (uint64_t r = from + 1; r <= revision; ++r) {
        const auto& one = changes[r].services(0);
        AddRoute(*routes, one.shards(0), one.owners(0), one.epochs(0));
      }
      table = table->WithUpdate(delta);
      applied = revision;
      for (ShardNumber i = 0; i < model.size(); ++i) {
        const ShardRoute& route = *table->Find("shop", i);
        REQUIRE((route.m_owner == model[i].m_owner &&
                 route.m_epoch == model[i].m_epoch));
      }
    }
  }
}

// Guards against the deadline of a wrong hour, in particular around midnight.
TEST_CASE("The first matching hour range gives the deadline")
{
  wire::Limits limits;
  limits.set_deadline_ms(300);
  const auto add = [&](uint32_t aFrom, uint32_t aTo, uint32_t aMs) {
    wire::HourDeadline* range = limits.add_hour_deadlines();
    range->set_from_hour(aFrom);
    range->set_to_hour(aTo);
    range->set_deadline_ms(aMs);
  };
  add(22, 4, 900);
  add(3, 6, 600);
  const std::map<int, int64_t> expected{ { 21, 300 }, { 22, 900 }, { 23, 900 },
                                         { 0, 900 },  { 3, 900 },  { 4, 600 },
                                         { 5, 600 },  { 6, 300 } };
  for (const auto& [hour, ms] : expected) {
    CAPTURE(hour);
    REQUIRE(DeadlineAt(limits, hour) == Milliseconds(ms));
  }
}

// Guards against handling a request by the rules of another method or service.
TEST_CASE("A catalogue entry is found by service and method")
{
  std::vector<wire::CatalogueEntry> entries(3);
  entries[0].set_name("z-browse");
  entries[0].set_service("shop");
  entries[0].add_methods("GET");
  entries[1].set_name("cut");
  entries[1].set_service("press");
  entries[1].add_methods("POST");
  entries[2].set_name("deposit");
  entries[2].set_service("shop");
  entries[2].add_methods("POST");
  entries[2].add_methods("PUT");
  const auto catalogue = Catalogue::Make(3, entries);
  REQUIRE(catalogue->Find("shop", "GET")->name() == "z-browse");
  REQUIRE(catalogue->Find("shop", "PUT")->name() == "deposit");
  REQUIRE(catalogue->Find("shop", "DELETE") == nullptr);
  REQUIRE(catalogue->Find("press", "GET") == nullptr);
  REQUIRE(catalogue->HasService("press"));
  REQUIRE_FALSE(catalogue->HasService("pres"));
}

} // namespace rattanloft::routing
