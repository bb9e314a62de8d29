#include "rattanloft/routing/NodeAgent.h"

#include <random>

#include "Builders.h"

#include <catch2/catch.hpp>

namespace rattanloft::routing {

namespace {

constexpr TimePoint kStart{ 100'000 };
constexpr TimePoint kLater{ 100'010 };

wire::Backend
MakeAnnouncement(uint64_t aIncarnation)
{
  wire::Backend backend = MakeBackend(0);
  backend.set_incarnation(aIncarnation);
  return backend;
}

wire::SyncReply
MakeReply(uint32_t aNumber, uint32_t aLeaseMs = 2500)
{
  wire::SyncReply reply;
  reply.set_backend_number(aNumber);
  reply.set_lease_ms(aLeaseMs);
  return reply;
}

wire::SyncReply
MakeReply(uint32_t aNumber, const wire::RouteUpdate& aRoutes)
{
  wire::SyncReply reply = MakeReply(aNumber);
  *reply.mutable_routes() = aRoutes;
  return reply;
}

// Makes an agent whose backend server has number 7 and owns shard 1 under epoch
// 50.
NodeAgent
MakeAgentOwningShard1()
{
  NodeAgent agent({ "node7", 1, "z1", "127.0.0.1:20007" });
  REQUIRE(agent.SetBackend(MakeAnnouncement(1007)));
  agent.OnReply(MakeReply(7, MakeDelta(5, 1, 7, 50)), kStart, kLater);
  REQUIRE(agent.CurrentView()->MayServe("shop", 1, kLater));
  return agent;
}

bool
MayServe(const NodeAgent& aAgent, TimePoint aNow = kLater)
{
  return aAgent.CurrentView()->MayServe("shop", 1, aNow);
}

} // namespace

// Guards against a node that serves after the control side has reassigned its
// shards: the lease counts from the time at which the request was sent and is
// shortened by the maximum clock drift.
TEST_CASE("The lease counts from the request and ends 1 % early")
{
  const NodeAgent agent = MakeAgentOwningShard1();
  REQUIRE(MayServe(agent, kStart + Milliseconds(2474)));
  REQUIRE_FALSE(MayServe(agent, kStart + Milliseconds(2475)));
}

// Guards against a late reply that shortens a lease already in use.
TEST_CASE("The lease end never moves back")
{
  NodeAgent agent = MakeAgentOwningShard1();
  const TimePoint end = agent.CurrentView()->m_leaseEnd;
  agent.OnReply(MakeReply(7), kStart - Seconds(1), kLater);
  agent.OnReply(MakeReply(7, 0), kLater, kLater);
  REQUIRE(agent.CurrentView()->m_leaseEnd == end);
}

// Guards against serving under grants of an incarnation that is gone, even when
// an older reply arrives late.
TEST_CASE("An incarnation declared gone ends the lease at once")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::SyncReply gone;
  gone.set_status(wire::SYNC_STATUS_INCARNATION_GONE);
  agent.OnReply(gone, kLater, kLater);
  REQUIRE_FALSE(MayServe(agent));
  agent.OnReply(MakeReply(7), kStart + Milliseconds(5), kLater);
  REQUIRE_FALSE(MayServe(agent));
}

// Guards against a node that was paused beyond its lease and afterwards owns no
// keys, refuses every request as stale, or syncs without a delay.
TEST_CASE("A running backend server registers again after it was declared gone")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::SyncReply gone;
  gone.set_status(wire::SYNC_STATUS_INCARNATION_GONE);
  gone.set_incarnation(1007);
  *gone.mutable_routes() = MakeDelta(6, 1, 3, 60);
  agent.OnReply(gone, kLater, kLater);
  REQUIRE_FALSE(agent.CurrentView()->IsStale(kLater));
  REQUIRE(agent.CurrentView()->m_routes->Revision() == 6);

  agent.SetBackendHealthy(false);
  REQUIRE_FALSE(agent.MakeRequest().has_backend());
  agent.SetBackendHealthy(true);
  const uint64_t incarnation = agent.MakeRequest().backend().incarnation();
  REQUIRE(incarnation != 1007);
  REQUIRE(agent.SetBackend(MakeAnnouncement(1007)));
  REQUIRE(agent.MakeRequest().backend().incarnation() == incarnation);

  const TimePoint after = kLater + Milliseconds(10);
  agent.OnReply(MakeReply(7), after, after);
  REQUIRE(agent.CurrentView()->m_backend == 0);
  agent.OnReply(gone, after, after);
  REQUIRE(agent.MakeRequest().backend().incarnation() == incarnation);
  agent.OnReply(MakeReply(8, MakeDelta(7, 1, 8, 70)),
                after + Milliseconds(1),
                after + Milliseconds(1));
  REQUIRE(MayServe(agent, after + Milliseconds(2)));
}

// Guards against a node that is never given shards again, because its backend
// server keeps announcing the incarnation that the cluster has declared gone.
TEST_CASE("Requests announce a new incarnation in place of a gone one")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::SyncReply gone;
  gone.set_status(wire::SYNC_STATUS_INCARNATION_GONE);
  gone.set_incarnation(1007);
  agent.OnReply(gone, kLater, kLater);
  const uint64_t renewed = agent.MakeRequest().backend().incarnation();
  REQUIRE(renewed != 1007);
  // A repeated announcement and a late reply change nothing.
  REQUIRE(agent.SetBackend(MakeAnnouncement(1007)));
  agent.OnReply(gone, kLater, kLater);
  REQUIRE(agent.MakeRequest().backend().incarnation() == renewed);
  agent.OnReply(MakeReply(7), kLater + Milliseconds(1), kLater);
  REQUIRE(agent.CurrentView()->m_backend == 0);
  // The new registration inherits no shard and can be given one.
  const TimePoint later = kLater + Milliseconds(2);
  agent.OnReply(MakeReply(8), later, later);
  REQUIRE(agent.CurrentView()->m_backend == 8);
  REQUIRE_FALSE(MayServe(agent, later));
  agent.OnReply(MakeReply(8, MakeDelta(6, 1, 8, 60)), later, later);
  REQUIRE(MayServe(agent, later));
  // A restarted backend server announces a new incarnation.
  REQUIRE(agent.SetBackend(MakeAnnouncement(2007)));
  REQUIRE(agent.MakeRequest().backend().incarnation() == 2007);
  REQUIRE_FALSE(agent.SetBackend(MakeAnnouncement(1007)));
}

// Guards against an entry node that stays stale because the cluster has
// declared its own backend server gone.
TEST_CASE("An incarnation declared gone leaves catalogue and routes current")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::SyncReply gone;
  gone.set_status(wire::SYNC_STATUS_INCARNATION_GONE);
  gone.set_incarnation(1007);
  gone.set_catalogue_revision(9);
  gone.mutable_catalogue()->set_revision(9);
  gone.mutable_catalogue()->set_full(true);
  *gone.mutable_routes() = MakeDelta(6, 1, 8, 60);
  const TimePoint later = kStart + Seconds(7);
  REQUIRE(agent.CurrentView()->IsStale(later));
  agent.OnReply(gone, later, later);
  REQUIRE_FALSE(agent.CurrentView()->IsStale(later));
  REQUIRE(agent.CurrentView()->m_catalogue->Revision() == 9);
  REQUIRE(agent.CurrentView()->m_routes->Revision() == 6);
}

// Guards against serving under old grants when the cluster names another
// registration.
TEST_CASE("A reply that names another backend ends the lease at once")
{
  const uint32_t number = GENERATE(0U, 8U);
  NodeAgent agent = MakeAgentOwningShard1();
  agent.OnReply(MakeReply(number), kLater, kLater);
  REQUIRE_FALSE(MayServe(agent));
  agent.OnReply(MakeReply(7), kStart, kLater);
  REQUIRE_FALSE(MayServe(agent));
}

// Guards against a restarted backend server that inherits grants through the
// running lease, a late reply, or the routes of its predecessor.
TEST_CASE("A new incarnation inherits no grants")
{
  NodeAgent agent = MakeAgentOwningShard1();
  REQUIRE(agent.SetBackend(MakeAnnouncement(2007)));
  REQUIRE_FALSE(MayServe(agent));
  agent.OnReply(MakeReply(7), kLater, kLater);
  REQUIRE_FALSE(MayServe(agent));
  agent.OnReply(MakeReply(8), kLater, kLater);
  REQUIRE(agent.CurrentView()->m_backend == 8);
  REQUIRE_FALSE(MayServe(agent));
  agent.OnReply(MakeReply(8, MakeDelta(6, 1, 8, 60)), kLater, kLater);
  REQUIRE(MayServe(agent));
}

// Guards against taking another incarnation's number for the own one when the
// reply that named it was lost.
TEST_CASE("A backend number of another incarnation is not adopted")
{
  NodeAgent agent({ "node7", 1, "z1", "127.0.0.1:20007" });
  REQUIRE(agent.SetBackend(MakeAnnouncement(2007)));
  wire::RouteUpdate routes = MakeDelta(5, 1, 7, 50);
  *routes.add_backends() = MakeBackend(7);
  agent.OnReply(MakeReply(7, routes), kStart, kLater);
  REQUIRE(agent.CurrentView()->m_backend == 0);
  REQUIRE_FALSE(MayServe(agent));
}

// Guards against an old process that resumes and announces itself again.
TEST_CASE("An announcement of a replaced incarnation is refused")
{
  NodeAgent agent = MakeAgentOwningShard1();
  REQUIRE(agent.SetBackend(MakeAnnouncement(2007)));
  REQUIRE_FALSE(agent.SetBackend(MakeAnnouncement(1007)));
  REQUIRE(agent.MakeRequest().backend().incarnation() == 2007);
}

// Guards against an operator's drain that is ended by a reordered reply, that
// carries over to the next incarnation, or that the node reports as its own,
// which would make it outlast the end of the operator's drain.
TEST_CASE("An operator's drain follows the newest reply about the incarnation")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::SyncReply reply = MakeReply(7);
  reply.set_incarnation(1007);
  reply.set_operator_drain(true);
  agent.OnReply(reply, kLater, kLater);
  REQUIRE(agent.CurrentView()->m_operatorDrain);
  REQUIRE_FALSE(agent.MakeRequest().draining());

  reply.set_operator_drain(false);
  agent.OnReply(reply, kStart, kLater);
  REQUIRE(agent.CurrentView()->m_operatorDrain);
  agent.OnReply(reply, kLater + Milliseconds(1), kLater);
  REQUIRE_FALSE(agent.CurrentView()->m_operatorDrain);

  reply.set_operator_drain(true);
  agent.OnReply(reply, kLater + Milliseconds(2), kLater);
  REQUIRE(agent.SetBackend(MakeAnnouncement(2007)));
  REQUIRE_FALSE(agent.CurrentView()->m_operatorDrain);
  agent.OnReply(reply, kLater + Milliseconds(3), kLater);
  REQUIRE_FALSE(agent.CurrentView()->m_operatorDrain);
}

// Guards against a suspect request that the leader never learns of because one
// sync was lost, and against an entry that is sent for ever.
TEST_CASE("Quarantine entries are sent until the leader has them")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::QuarantineEntry entry;
  entry.set_fingerprint(77);
  const uint64_t before = agent.MakeRequest().sequence();
  agent.AddQuarantine({ entry });
  REQUIRE(agent.MakeRequest().quarantine_size() == 1);
  wire::SyncReply reply = MakeReply(7);
  reply.set_quarantine_sequence(before);
  reply.mutable_quarantine()->set_term(4);
  reply.mutable_quarantine()->set_revision(9);
  agent.OnReply(reply, kLater, kLater);
  const wire::SyncRequest next = agent.MakeRequest();
  REQUIRE(next.quarantine_size() == 1);
  REQUIRE(next.quarantine_term() == 4);
  REQUIRE(next.quarantine_revision() == 9);
  reply.set_quarantine_sequence(next.sequence());
  agent.OnReply(reply, kLater, kLater);
  REQUIRE(agent.MakeRequest().quarantine_size() == 0);
}

// Guards against serving with a catalogue that may be out of date: only a reply
// with a confirmed read counts, from the time at which its request was sent.
TEST_CASE("Only confirmed replies keep a node from being stale")
{
  NodeAgent agent({ "node7", 1, "z1", "127.0.0.1:20007" });
  REQUIRE(agent.CurrentView()->IsStale(TimePoint{ 0 }));
  wire::SyncReply reply;
  for (const auto status :
       { wire::SYNC_STATUS_NO_LEADER, wire::SYNC_STATUS_REPLACED }) {
    reply.set_status(status);
    REQUIRE_FALSE(agent.OnReply(reply, kStart, kLater));
    REQUIRE(agent.CurrentView()->IsStale(kLater));
  }
  // The reply names a newer catalogue revision than the one it contains.
  reply.set_status(wire::SYNC_STATUS_OK);
  reply.set_catalogue_revision(3);
  agent.OnReply(reply, kStart, kLater);
  REQUIRE(agent.CurrentView()->IsStale(kLater));
  reply.mutable_catalogue()->set_revision(3);
  agent.OnReply(reply, kStart, kLater);
  REQUIRE_FALSE(agent.CurrentView()->IsStale(kStart + Milliseconds(5999)));
  REQUIRE(agent.CurrentView()->IsStale(kStart + Seconds(6)));
}

// Guards against a removed entry that comes back with a reordered reply.
TEST_CASE("A catalogue delta that is not newer is ignored")
{
  NodeAgent agent({ "node7", 1, "z1", "127.0.0.1:20007" });
  wire::SyncReply first;
  first.mutable_catalogue()->set_revision(4);
  first.mutable_catalogue()->add_entries()->set_name("browse");
  wire::SyncReply second;
  second.mutable_catalogue()->set_revision(6);
  second.mutable_catalogue()->add_entries()->set_name("deposit");
  second.mutable_catalogue()->add_removed("browse");
  agent.OnReply(second, kStart, kLater);
  agent.OnReply(first, kStart, kLater);
  const auto& entries = agent.CurrentView()->m_catalogue->Entries();
  REQUIRE(entries.size() == 1);
  REQUIRE(entries.at(0).name() == "deposit");
  REQUIRE(agent.MakeRequest().catalogue_revision() == 6);
}

// Guards against a node that keeps wrong routes after a malformed update.
TEST_CASE("A refused route update leads to a request for a full one")
{
  NodeAgent agent = MakeAgentOwningShard1();
  wire::RouteUpdate broken = MakeDelta(6, 1, 9, 60);
  broken.mutable_services(0)->clear_epochs();
  agent.OnReply(MakeReply(7, broken), kLater, kLater);
  REQUIRE(agent.MakeRequest().route_revision() == 0);
  wire::RouteUpdate full = MakeDelta(6, 1, 9, 60);
  full.set_full(true);
  agent.OnReply(MakeReply(7, full), kLater, kLater);
  REQUIRE(agent.MakeRequest().route_revision() == 6);
  REQUIRE_FALSE(MayServe(agent));
}

// Guards against new work on a shard that has to move, and against serving the
// shard again after its release was reported.
TEST_CASE("A shard whose release is requested or reported is not served")
{
  NodeAgent agent = MakeAgentOwningShard1();
  agent.OnReply(MakeReply(7, MakeDelta(6, 1, 7, 50, 9)), kLater, kLater);
  REQUIRE_FALSE(MayServe(agent));
  REQUIRE(agent.ShardsToRelease().size() == 1);
  REQUIRE(agent.OwnsAnyShard());
  agent.MarkReleased("shop", 1, 49);
  REQUIRE(agent.MakeRequest().released_size() == 0);
  agent.MarkReleased("shop", 1, 50);
  REQUIRE(agent.MakeRequest().released_size() == 1);
  // Without the epoch the coordinator would not count the release.
  REQUIRE(agent.MakeRequest().released(0).epoch() == 50);
  REQUIRE(agent.ShardsToRelease().empty());
  REQUIRE(agent.OwnedShards().empty());
  // A node that stops now would lose the release.
  REQUIRE(agent.OwnsAnyShard());
  // The move is cancelled before the release arrives.
  agent.OnReply(MakeReply(7, MakeDelta(7, 1, 7, 50)), kLater, kLater);
  REQUIRE_FALSE(MayServe(agent));
  // The same node gets a new grant.
  agent.OnReply(MakeReply(7, MakeDelta(8, 1, 7, 70)), kLater, kLater);
  REQUIRE(agent.MakeRequest().released_size() == 0);
  REQUIRE(MayServe(agent));
  agent.OnReply(MakeReply(7, MakeDelta(9, 1, 9, 80)), kLater, kLater);
  REQUIRE_FALSE(agent.OwnsAnyShard());
}

// Guards against any decrease of a revision, the confirmation time or the lease
// end when replies are lost, reordered and repeated.
TEST_CASE("Revisions, confirmation and lease of a view never decrease")
{
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    NodeAgent agent = MakeAgentOwningShard1();
    std::vector<std::pair<wire::SyncReply, TimePoint>> replies;
    TimePoint now = kLater;
    for (uint64_t step = 6; step < 400; ++step) {
      now = now + Milliseconds(static_cast<int64_t>(random() % 50));
      const uint64_t epoch = 100 + step;
      wire::SyncReply reply =
        MakeReply(7, MakeDelta(step, random() % 4, 7 + random() % 2, epoch));
      reply.mutable_catalogue()->set_revision(step);
      reply.set_catalogue_revision(step);
      replies.emplace_back(reply, now);
      if (random() % 3 == 0) {
        continue;
      }
      const auto before = agent.CurrentView();
      const auto& [late, sentAt] = replies[random() % replies.size()];
      agent.OnReply(late, sentAt, now);
      const auto after = agent.CurrentView();
      REQUIRE(after->m_routes->Revision() >= before->m_routes->Revision());
      REQUIRE(after->m_catalogue->Revision() >=
              before->m_catalogue->Revision());
      REQUIRE(after->m_confirmedAt >= before->m_confirmedAt);
      REQUIRE(after->m_leaseEnd >= before->m_leaseEnd);
      REQUIRE(after->m_leaseEnd <= now + Milliseconds(2475));
      for (ShardNumber i = 0; i < 4; ++i) {
        const ShardRoute* beforeRoute = before->m_routes->Find("shop", i);
        REQUIRE(beforeRoute->m_epoch <=
                after->m_routes->Find("shop", i)->m_epoch);
      }
    }
  }
}

} // namespace rattanloft::routing
