#include <catch2/catch.hpp>

#include "TestCluster.h"

namespace rattanloft::consensus {

namespace {

wire::GroupConfig
CurrentConfig(TestCluster& aCluster)
{
  return aCluster.GetReplica(aCluster.WaitForLeader()).m_log->Status().m_config;
}

} // namespace

// Guards against an instance with a new disk that cannot rejoin the group, and
// against its old replica id still counting as a voter.
TEST_CASE("A replica with a replaced disk joins as a learner and then votes")
{
  TestCluster cluster(20, 30);
  cluster.StartFounders(3);
  for (int i = 0; i < 60; ++i) {
    REQUIRE(cluster.CommitCommand("c" + std::to_string(i)) != 0);
  }
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t lostId = leader == 1 ? 2 : 1;
  cluster.RemoveReplica(lostId);
  cluster.AddReplica(4);
  cluster.StartReplica(4);
  REQUIRE(cluster.ChangeConfig(WithoutMember(CurrentConfig(cluster), lostId)));
  REQUIRE(cluster.ChangeConfig(WithMember(CurrentConfig(cluster), 4, true)));
  cluster.RunFor(Seconds(1));
  REQUIRE(cluster.GetReplica(4).m_log->Status().m_role == Role::kLearner);
  REQUIRE(cluster.ChangeConfig(WithMember(CurrentConfig(cluster), 4, false)));
  // Lose a second replica right after the repair.
  cluster.RemoveReplica(leader);
  REQUIRE(cluster.CommitCommand("after") != 0);
  REQUIRE(cluster.GetReplica(4).m_stateMachine->m_appliedCommands.size() == 61);
}

// Guards against a replica with a new disk that answers for the replica id of
// the old disk and so votes twice in one term.
TEST_CASE("A message for another replica id is ignored")
{
  TestCluster cluster(21);
  cluster.StartFounders(3);
  cluster.WaitForLeader();
  TestCluster::Replica& newReplica = cluster.AddReplica(4);
  cluster.StartReplica(4);
  wire::RaftMessage vote;
  vote.set_kind(wire::RAFT_MESSAGE_VOTE);
  vote.set_from(1);
  vote.set_to(2);
  vote.set_term(50);
  vote.set_log_index(1000);
  vote.set_log_term(49);
  newReplica.m_log->Receive(vote, cluster.m_now);
  REQUIRE(newReplica.m_log->Status().m_term == 0);
}

// Guards against a replica that cannot start after it crashed while it
// installed its first snapshot: a snapshot beside a log store without a term
// looks like a lost log.
TEST_CASE("A replica starts after a crash during its first snapshot")
{
  TestCluster cluster(25);
  TestCluster::Replica& newReplica = cluster.AddReplica(4);
  cluster.StartReplica(4);
  wire::RaftMessage chunk;
  chunk.set_kind(wire::RAFT_MESSAGE_SNAPSHOT_CHUNK);
  chunk.set_from(1);
  chunk.set_to(4);
  chunk.set_term(3);
  chunk.mutable_snapshot()->set_index(9);
  chunk.mutable_snapshot()->set_term(2);
  chunk.set_chunk_last(true);
  newReplica.m_logStore.FailNextSync();
  newReplica.m_log->Receive(chunk, cluster.m_now);
  cluster.CrashReplica(4);
  cluster.StartReplica(4);
  newReplica.m_log->Receive(chunk, cluster.m_now);
  REQUIRE(newReplica.m_log->Status().m_commitIndex == 9);
}

// Guards against learners that are counted in a quorum.
TEST_CASE("Learners do not count towards a quorum")
{
  TestCluster cluster(22);
  cluster.StartFounders(3);
  // With two learners, three of five members are still up after the two crashes
  // below, but only one of three voters.
  for (const uint64_t id : { 4, 5 }) {
    cluster.AddReplica(id);
    cluster.StartReplica(id);
    REQUIRE(cluster.ChangeConfig(WithMember(CurrentConfig(cluster), id, true)));
  }
  cluster.RunFor(Seconds(1));
  const uint64_t leader = cluster.WaitForLeader();
  for (uint64_t id = 1; id <= 3; ++id) {
    if (id != leader) {
      cluster.CrashReplica(id);
    }
  }
  REQUIRE_FALSE(cluster.ReadBarrierSucceeds(leader, Milliseconds(500)));
  cluster.RunFor(Seconds(3));
  REQUIRE(cluster.LeaderId() == 0);
}

// Guards against membership changes after which two majorities need not
// overlap.
TEST_CASE("Unsafe membership changes are refused")
{
  TestCluster cluster(23);
  cluster.StartFounders(3);
  const wire::GroupConfig config = CurrentConfig(cluster);
  // A new voter that has not been a learner.
  REQUIRE_FALSE(cluster.ChangeConfig(WithMember(config, 4, false)));
  // Two changed members at once.
  REQUIRE_FALSE(
    cluster.ChangeConfig(WithMember(WithoutMember(config, 1), 4, true)));
  // The same replica id twice.
  wire::GroupConfig duplicated = config;
  *duplicated.add_members() = config.members(0);
  REQUIRE_FALSE(cluster.ChangeConfig(duplicated));
  // A change while another one is not committed yet.
  ReplicatedLog& log = *cluster.GetReplica(cluster.LeaderId()).m_log;
  RaftErrorCode code = RaftErrorCode::kInvalidArgument;
  log.ProposeConfig(WithMember(config, 4, true), cluster.m_now, [](auto) {});
  log.ProposeConfig(WithoutMember(log.Status().m_config, 4),
                    cluster.m_now,
                    [&](auto aIndex) { code = aIndex.error().m_code; });
  REQUIRE(code == RaftErrorCode::kBusy);
  // The promotion of a learner that has received no entries.
  cluster.RunFor(Seconds(1));
  for (int i = 0; i < 1'100; ++i) {
    log.Propose("c", cluster.m_now, [](auto) {});
  }
  cluster.RunFor(Seconds(1));
  REQUIRE_FALSE(
    cluster.ChangeConfig(WithMember(log.Status().m_config, 4, false)));
}

// Guards against a removed leader that continues to lead, and against a group
// that elects no other one.
TEST_CASE("A removed leader steps down and another one takes over")
{
  TestCluster cluster(24);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  REQUIRE(cluster.ChangeConfig(WithoutMember(CurrentConfig(cluster), leader)));
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_role != Role::kLeader);
  REQUIRE(cluster.CommitCommand("after") != 0);
  REQUIRE(cluster.LeaderId() != leader);
}

} // namespace rattanloft::consensus
