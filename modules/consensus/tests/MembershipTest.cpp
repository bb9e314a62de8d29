#include <catch2/catch.hpp>

#include "TestCluster.h"

namespace rattanloft::consensus {

namespace {

wire::GroupConfig
ConfigOf(TestCluster& aCluster)
{
  return aCluster.At(aCluster.WaitForLeader()).m_log->Status().m_config;
}

} // namespace

// Guards against an instance with a new disk being stuck outside of the group,
// and against its old identity counting on.
TEST_CASE("A replaced disk joins as a learner and then votes")
{
  TestCluster cluster(20, 30);
  cluster.Found(3);
  for (int i = 0; i < 60; ++i) {
    REQUIRE(cluster.Commit("c" + std::to_string(i)) != 0);
  }
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t lost = leader == 1 ? 2 : 1;
  cluster.Remove(lost);
  cluster.AddNode(4);
  cluster.Start(4);
  REQUIRE(cluster.ChangeConfig(WithoutMember(ConfigOf(cluster), lost)));
  REQUIRE(cluster.ChangeConfig(WithMember(ConfigOf(cluster), 4, true)));
  cluster.Run(Seconds(1));
  REQUIRE(cluster.At(4).m_log->Status().m_role == Role::kLearner);
  REQUIRE(cluster.ChangeConfig(WithMember(ConfigOf(cluster), 4, false)));
  // A second loss right after the repair.
  cluster.Remove(leader);
  REQUIRE(cluster.Commit("after") != 0);
  REQUIRE(cluster.At(4).m_machine->m_applied.size() == 61);
}

// Guards against the new disk answering for the identity that was lost with
// the old one, which could vote twice in one term.
TEST_CASE("A message to another replica id is ignored")
{
  TestCluster cluster(21);
  cluster.Found(3);
  cluster.WaitForLeader();
  TestCluster::Node& fresh = cluster.AddNode(4);
  cluster.Start(4);
  wire::RaftMessage vote;
  vote.set_kind(wire::RAFT_MESSAGE_VOTE);
  vote.set_from(1);
  vote.set_to(2);
  vote.set_term(50);
  vote.set_log_index(1000);
  vote.set_log_term(49);
  fresh.m_log->Receive(vote, cluster.m_now);
  REQUIRE(fresh.m_log->Status().m_term == 0);
}

// Guards against a replica that cannot start again after a crash while it
// installed its first snapshot: a snapshot beside a store without a term looks
// like the loss of the log.
TEST_CASE("A crash during the first snapshot leaves a replica that starts")
{
  TestCluster cluster(25);
  TestCluster::Node& fresh = cluster.AddNode(4);
  cluster.Start(4);
  wire::RaftMessage chunk;
  chunk.set_kind(wire::RAFT_MESSAGE_SNAPSHOT_CHUNK);
  chunk.set_from(1);
  chunk.set_to(4);
  chunk.set_term(3);
  chunk.mutable_snapshot()->set_index(9);
  chunk.mutable_snapshot()->set_term(2);
  chunk.set_chunk_last(true);
  fresh.m_logStore.FailNextSync();
  fresh.m_log->Receive(chunk, cluster.m_now);
  cluster.Crash(4);
  cluster.Start(4);
  fresh.m_log->Receive(chunk, cluster.m_now);
  REQUIRE(fresh.m_log->Status().m_commitIndex == 9);
}

// Guards against a learner being counted in a quorum.
TEST_CASE("A learner does not make a quorum")
{
  TestCluster cluster(22);
  cluster.Found(3);
  // With two learners a majority of all five is up in the end.
  for (const uint64_t id : { 4, 5 }) {
    cluster.AddNode(id);
    cluster.Start(id);
    REQUIRE(cluster.ChangeConfig(WithMember(ConfigOf(cluster), id, true)));
  }
  cluster.Run(Seconds(1));
  const uint64_t leader = cluster.WaitForLeader();
  for (uint64_t id = 1; id <= 3; ++id) {
    if (id != leader) {
      cluster.Crash(id);
    }
  }
  REQUIRE_FALSE(cluster.Read(leader, Milliseconds(500)));
  cluster.Run(Seconds(3));
  REQUIRE(cluster.Leader() == 0);
}

// Guards against two majorities that do not overlap.
TEST_CASE("Unsafe membership changes are refused")
{
  TestCluster cluster(23);
  cluster.Found(3);
  const wire::GroupConfig config = ConfigOf(cluster);
  // A new voter without a time as learner.
  REQUIRE_FALSE(cluster.ChangeConfig(WithMember(config, 4, false)));
  // Two at once.
  REQUIRE_FALSE(
    cluster.ChangeConfig(WithMember(WithoutMember(config, 1), 4, true)));
  // One id twice.
  wire::GroupConfig twice = config;
  *twice.add_members() = config.members(0);
  REQUIRE_FALSE(cluster.ChangeConfig(twice));
  // One while another is not committed yet.
  ReplicatedLog& log = *cluster.At(cluster.Leader()).m_log;
  RaftErrorCode code = RaftErrorCode::kInvalidArgument;
  log.ProposeConfig(WithMember(config, 4, true), cluster.m_now, [](auto) {});
  log.ProposeConfig(WithoutMember(log.Status().m_config, 4),
                    cluster.m_now,
                    [&](auto aIndex) { code = aIndex.error().m_code; });
  REQUIRE(code == RaftErrorCode::kBusy);
  // A voter that has received nothing.
  cluster.Run(Seconds(1));
  for (int i = 0; i < 1'100; ++i) {
    log.Propose("c", cluster.m_now, [](auto) {});
  }
  cluster.Run(Seconds(1));
  REQUIRE_FALSE(
    cluster.ChangeConfig(WithMember(log.Status().m_config, 4, false)));
}

// Guards against a removed leader that goes on, and a group without one.
TEST_CASE("A removed leader steps down")
{
  TestCluster cluster(24);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  REQUIRE(cluster.ChangeConfig(WithoutMember(ConfigOf(cluster), leader)));
  REQUIRE(cluster.At(leader).m_log->Status().m_role != Role::kLeader);
  REQUIRE(cluster.Commit("after") != 0);
  REQUIRE(cluster.Leader() != leader);
}

} // namespace rattanloft::consensus
