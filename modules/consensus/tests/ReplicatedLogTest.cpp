#include <catch2/catch.hpp>

#include "TestCluster.h"

namespace rattanloft::consensus {

namespace {

uint64_t
OtherThan(uint64_t aId)
{
  return aId == 1 ? 2 : 1;
}

// The error of a proposal that was answered, or nothing.
std::shared_ptr<std::optional<RaftErrorCode>>
ProposeExpectingError(TestCluster& aCluster, uint64_t aId)
{
  auto result = std::make_shared<std::optional<RaftErrorCode>>();
  aCluster.At(aId).m_log->Propose("x", aCluster.m_now, [result](auto aIndex) {
    if (!aIndex) {
      *result = aIndex.error().m_code;
    }
  });
  return result;
}

} // namespace

// Guards the harness itself: without faults every command commits in order.
TEST_CASE("A group of three commits commands")
{
  TestCluster cluster(1);
  cluster.Found(3);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(cluster.Commit("c" + std::to_string(i)) != 0);
  }
  cluster.Run(Seconds(1));
  for (uint64_t id = 1; id <= 3; ++id) {
    REQUIRE(cluster.At(id).m_machine->m_applied.size() == 20);
  }
}

// Guards against a replica that lost contact forcing an election when it is
// back.
TEST_CASE("A replica that returns does not disturb the term")
{
  TestCluster cluster(2);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t term = cluster.At(leader).m_log->Status().m_term;
  const uint64_t away = OtherThan(leader);
  cluster.Isolate(away);
  cluster.Run(Seconds(10));
  REQUIRE(cluster.At(away).m_log->Status().m_term == term);
  cluster.Heal();
  cluster.Run(Seconds(2));
  REQUIRE(cluster.Leader() == leader);
  REQUIRE(cluster.At(leader).m_log->Status().m_term == term);
}

// Guards against a replica that cannot hear the leader, but can send, deposing
// a leader that the others hear.
TEST_CASE("A link cut in one direction does not disturb the term")
{
  TestCluster cluster(14);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t term = cluster.At(leader).m_log->Status().m_term;
  cluster.Cut(leader, OtherThan(leader));
  cluster.Run(Seconds(10));
  REQUIRE(cluster.Leader() == leader);
  REQUIRE(cluster.At(leader).m_log->Status().m_term == term);
}

// Guards against a deposed leader that goes on as leader, and against a stale
// read from it.
TEST_CASE("A leader without a quorum steps down and answers no read")
{
  TestCluster cluster(3);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  cluster.Isolate(leader);
  const auto proposal = ProposeExpectingError(cluster, leader);
  REQUIRE_FALSE(cluster.Read(leader, Milliseconds(400)));
  cluster.Run(Milliseconds(430));
  REQUIRE(cluster.At(leader).m_log->Status().m_role != Role::kLeader);
  REQUIRE(*proposal == RaftErrorCode::kLeadershipLost);
  REQUIRE(cluster.Commit("after") != 0);
}

// Guards against reads at a leader that hears nobody while requests still
// reach its followers.
TEST_CASE("A leader that receives no replies steps down")
{
  TestCluster cluster(4);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.Cut(id, leader);
  }
  REQUIRE_FALSE(cluster.Read(leader, Milliseconds(820)));
  REQUIRE(cluster.At(leader).m_log->Status().m_role != Role::kLeader);
}

// Guards against a follower that acknowledges entries before they are synced.
TEST_CASE("A follower whose sync fails does not acknowledge")
{
  TestCluster cluster(5);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t failing = OtherThan(leader);
  cluster.Crash(6 - leader - failing);
  cluster.At(failing).m_logStore.FailNextSync();
  const auto proposal = ProposeExpectingError(cluster, leader);
  cluster.Run(Seconds(2));
  REQUIRE(*proposal == RaftErrorCode::kLeadershipLost);
  REQUIRE(cluster.At(leader).m_machine->m_applied.empty());
  REQUIRE(cluster.At(leader).m_log->Status().m_role != Role::kLeader);
}

// Guards against a leader that counts its own entry before it is synced.
TEST_CASE("A leader whose sync fails does not commit with one follower")
{
  TestCluster cluster(6);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  cluster.Crash(OtherThan(leader));
  cluster.At(leader).m_logStore.FailNextSync();
  const auto proposal = ProposeExpectingError(cluster, leader);
  cluster.Run(Milliseconds(100));
  REQUIRE(*proposal == RaftErrorCode::kLeadershipLost);
  REQUIRE(*ProposeExpectingError(cluster, leader) ==
          RaftErrorCode::kStorageFailure);
  REQUIRE(cluster.At(leader).m_machine->m_applied.empty());
}

// Guards against a vote that is forgotten at a crash and then given again.
TEST_CASE("A replica whose sync fails does not vote")
{
  TestCluster cluster(7);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t voter = OtherThan(leader);
  cluster.Crash(leader);
  cluster.At(voter).m_logStore.FailNextSync();
  cluster.Run(Seconds(5));
  REQUIRE(cluster.At(voter).m_logStore.Failed());
  REQUIRE(cluster.Leader() == 0);
}

// Guards against one sync for each proposal.
TEST_CASE("Proposals that wait are written with one sync")
{
  TestCluster cluster(8);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  TestCluster::Node& node = cluster.At(leader);
  const uint64_t before = node.m_logStore.SyncCount();
  size_t done = 0;
  for (int i = 0; i < 500; ++i) {
    node.m_log->Propose(
      "c", cluster.m_now, [&](auto aIndex) { done += aIndex ? 1 : 0; });
  }
  cluster.Run(Milliseconds(100));
  REQUIRE(done == 500);
  REQUIRE(node.m_logStore.SyncCount() == before + 1);
}

// Guards against unbounded memory while commits do not advance.
TEST_CASE("Proposals and reads beyond the bound are refused")
{
  TestCluster cluster(9);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  ReplicatedLog& log = *cluster.At(leader).m_log;
  cluster.Isolate(leader);
  for (int i = 0; i < 4'096; ++i) {
    REQUIRE_FALSE(ProposeExpectingError(cluster, leader)->has_value());
    log.ReadBarrier(cluster.m_now, [](auto) {});
  }
  cluster.Step();
  REQUIRE(*ProposeExpectingError(cluster, leader) == RaftErrorCode::kBusy);
  RaftErrorCode code = RaftErrorCode::kInvalidArgument;
  log.ReadBarrier(cluster.m_now,
                  [&](auto aResult) { code = aResult.error().m_code; });
  REQUIRE(code == RaftErrorCode::kBusy);
  log.Propose(std::string(kMaxCommandBytes + 1, 'x'),
              cluster.m_now,
              [&](auto aIndex) { code = aIndex.error().m_code; });
  REQUIRE(code == RaftErrorCode::kInvalidArgument);
}

// Guards against a log of few large commands filling memory and disk.
TEST_CASE("Large commands lead to an early snapshot")
{
  TestCluster cluster(15);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  for (int i = 0; i < 100; ++i) {
    REQUIRE(cluster.Commit(std::string(kMaxCommandBytes, 'x')) != 0);
  }
  REQUIRE(cluster.At(leader).m_log->Status().m_firstIndex > 80);
}

// Guards against a new replica that cannot catch up once the log was
// compacted, with chunks lost and repeated on the way.
TEST_CASE("A replica behind the log catches up from a snapshot in chunks")
{
  TestCluster cluster(10, 30);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t away = OtherThan(leader);
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.At(id).m_machine->m_padding = 2'000'000;
  }
  cluster.Isolate(away);
  for (int i = 0; i < 100; ++i) {
    REQUIRE(cluster.Commit("c" + std::to_string(i)) != 0);
  }
  cluster.Heal();
  cluster.m_lossPercent = 20;
  cluster.m_repeatPercent = 20;
  cluster.Run(Seconds(10));
  REQUIRE(cluster.m_snapshotChunks >= 9);
  REQUIRE(cluster.At(away).m_machine->m_applied ==
          cluster.At(leader).m_machine->m_applied);
}

// Guards against a restart that loses state or applies commands twice, and
// against a start over a missing part.
TEST_CASE("A restart continues from snapshot and log")
{
  TestCluster cluster(11, 30);
  cluster.Found(1);
  for (int i = 0; i < 50; ++i) {
    REQUIRE(cluster.Commit("c" + std::to_string(i)) != 0);
  }
  const auto applied = cluster.At(1).m_machine->m_applied;
  cluster.Crash(1);
  cluster.Start(1);
  REQUIRE(cluster.WaitForLeader() == 1);
  REQUIRE(cluster.At(1).m_machine->m_applied == applied);
  TestCluster::Node& node = cluster.At(1);
  storage::MemoryLogStore noLog;
  storage::MemorySnapshotStore noSnapshot;
  RecordingMachine machine;
  REQUIRE_FALSE(ReplicatedLog::Make(
    node.m_options, noLog, node.m_snapshots, machine, node, cluster.m_now));
  REQUIRE_FALSE(ReplicatedLog::Make(
    node.m_options, node.m_logStore, noSnapshot, machine, node, cluster.m_now));
}

// Guards against a planned stop that costs an election timeout.
TEST_CASE("Leadership transfer takes no election timeout")
{
  TestCluster cluster(12);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  cluster.At(leader).m_log->TransferLeadership(cluster.m_now);
  cluster.Run(Milliseconds(60));
  REQUIRE(cluster.Leader() != 0);
  REQUIRE(cluster.Leader() != leader);
}

// Guards against proposals being refused for good after a transfer whose
// target is gone.
TEST_CASE("A failed leadership transfer ends")
{
  TestCluster cluster(13);
  cluster.Found(3);
  const uint64_t leader = cluster.WaitForLeader();
  // Replies arrive, but nothing reaches the target.
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.Cut(leader, id);
  }
  cluster.At(leader).m_log->TransferLeadership(cluster.m_now);
  REQUIRE(*ProposeExpectingError(cluster, leader) == RaftErrorCode::kBusy);
  cluster.Step();
  cluster.Heal();
  cluster.Run(Seconds(2));
  REQUIRE(cluster.Commit("after") != 0);
}

// Guards against the regular election timeout after a restart of everything: no
// one serves until there is a leader.
TEST_CASE("A group that restarts as a whole soon has a leader")
{
  constexpr int kRuns = 40;
  int quick = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    TestCluster cluster(seed);
    cluster.Found(5);
    cluster.WaitForLeader();
    REQUIRE(cluster.Commit("a") != 0);
    for (uint64_t id = 1; id <= 5; ++id) {
      cluster.Crash(id);
    }
    for (uint64_t id = 1; id <= 5; ++id) {
      cluster.Start(id);
    }
    cluster.Run(ReplicatedLogOptions().m_electionMin);
    quick += cluster.Leader() != 0 ? 1 : 0;
  }
  CHECK(quick > kRuns / 2);
}

// Guards against a restarted replica that deposes a leader with its short
// timeout.
TEST_CASE("A replica that restarts leaves the leader in place")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    TestCluster cluster(seed);
    cluster.Found(5);
    const uint64_t leader = cluster.WaitForLeader();
    const uint64_t term = cluster.At(leader).m_log->Status().m_term;
    const uint64_t restarted = leader == 1 ? 2 : 1;
    cluster.Crash(restarted);
    cluster.Start(restarted);
    cluster.Run(Seconds(3));
    CHECK(cluster.Leader() == leader);
    CHECK(cluster.At(leader).m_log->Status().m_term == term);
  }
}

} // namespace rattanloft::consensus
