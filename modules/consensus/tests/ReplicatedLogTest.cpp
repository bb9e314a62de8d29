#include <catch2/catch.hpp>

#include "TestCluster.h"

namespace rattanloft::consensus {

namespace {

uint64_t
AnyReplicaExcept(uint64_t aReplicaId)
{
  return aReplicaId == 1 ? 2 : 1;
}

// Proposes a command on the replica. The result is set once the proposal has
// failed.
std::shared_ptr<std::optional<RaftErrorCode>>
ProposeExpectingError(TestCluster& aCluster, uint64_t aReplicaId)
{
  auto result = std::make_shared<std::optional<RaftErrorCode>>();
  aCluster.GetReplica(aReplicaId)
    .m_log->Propose("x", aCluster.m_now, [result](auto aIndex) {
      if (!aIndex) {
        *result = aIndex.error().m_code;
      }
    });
  return result;
}

} // namespace

// Guards against a fault in the test harness itself: without injected faults,
// every command must be committed on all replicas.
TEST_CASE("A group of three commits commands")
{
  TestCluster cluster(1);
  cluster.StartFounders(3);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(cluster.CommitCommand("c" + std::to_string(i)) != 0);
  }
  cluster.RunFor(Seconds(1));
  for (uint64_t id = 1; id <= 3; ++id) {
    REQUIRE(cluster.GetReplica(id).m_stateMachine->m_appliedCommands.size() ==
            20);
  }
}

// Guards against an election that is forced by a replica that lost contact to
// the others and is back.
TEST_CASE("A replica that reconnects does not force a new term")
{
  TestCluster cluster(2);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t term = cluster.GetReplica(leader).m_log->Status().m_term;
  const uint64_t isolatedId = AnyReplicaExcept(leader);
  cluster.IsolateReplica(isolatedId);
  cluster.RunFor(Seconds(10));
  REQUIRE(cluster.GetReplica(isolatedId).m_log->Status().m_term == term);
  cluster.RestoreLinks();
  cluster.RunFor(Seconds(2));
  REQUIRE(cluster.LeaderId() == leader);
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_term == term);
}

// Guards against a leader being deposed by a replica that can send but not
// receive, while the others still hear the leader.
TEST_CASE("A link cut in one direction does not force a new term")
{
  TestCluster cluster(14);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t term = cluster.GetReplica(leader).m_log->Status().m_term;
  cluster.CutLink(leader, AnyReplicaExcept(leader));
  cluster.RunFor(Seconds(10));
  REQUIRE(cluster.LeaderId() == leader);
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_term == term);
}

// Guards against a deposed leader that continues to lead and serves stale
// reads.
TEST_CASE("A leader without a quorum steps down and confirms no read")
{
  TestCluster cluster(3);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  cluster.IsolateReplica(leader);
  const auto proposal = ProposeExpectingError(cluster, leader);
  REQUIRE_FALSE(cluster.ReadBarrierSucceeds(leader, Milliseconds(400)));
  cluster.RunFor(Milliseconds(430));
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_role != Role::kLeader);
  REQUIRE(*proposal == RaftErrorCode::kLeadershipLost);
  REQUIRE(cluster.CommitCommand("after") != 0);
}

// Guards against reads at a leader that receives nothing, although its messages
// still reach the followers.
TEST_CASE("A leader that receives no replies steps down and confirms no read")
{
  TestCluster cluster(4);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.CutLink(id, leader);
  }
  REQUIRE_FALSE(cluster.ReadBarrierSucceeds(leader, Milliseconds(820)));
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_role != Role::kLeader);
}

// Guards against a follower that acknowledges entries before they are synced.
TEST_CASE("A follower whose sync fails does not acknowledge entries")
{
  TestCluster cluster(5);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t failingId = AnyReplicaExcept(leader);
  cluster.CrashReplica(6 - leader - failingId);
  cluster.GetReplica(failingId).m_logStore.FailNextSync();
  const auto proposal = ProposeExpectingError(cluster, leader);
  cluster.RunFor(Seconds(2));
  REQUIRE(*proposal == RaftErrorCode::kLeadershipLost);
  REQUIRE(cluster.GetReplica(leader).m_stateMachine->m_appliedCommands.empty());
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_role != Role::kLeader);
}

// Guards against a leader that counts its own copy of an entry before it is
// synced.
TEST_CASE("A leader whose sync fails does not commit with one follower")
{
  TestCluster cluster(6);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  cluster.CrashReplica(AnyReplicaExcept(leader));
  cluster.GetReplica(leader).m_logStore.FailNextSync();
  const auto proposal = ProposeExpectingError(cluster, leader);
  cluster.RunFor(Milliseconds(100));
  REQUIRE(*proposal == RaftErrorCode::kLeadershipLost);
  REQUIRE(*ProposeExpectingError(cluster, leader) ==
          RaftErrorCode::kStorageFailure);
  REQUIRE(cluster.GetReplica(leader).m_stateMachine->m_appliedCommands.empty());
}

// Guards against a vote that is lost in a crash and then given a second time.
TEST_CASE("A replica whose sync fails does not vote")
{
  TestCluster cluster(7);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t voterId = AnyReplicaExcept(leader);
  cluster.CrashReplica(leader);
  cluster.GetReplica(voterId).m_logStore.FailNextSync();
  cluster.RunFor(Seconds(5));
  REQUIRE(cluster.GetReplica(voterId).m_logStore.HasFailed());
  REQUIRE(cluster.LeaderId() == 0);
}

// Guards against a group without a leader after each disk was full for a while.
TEST_CASE("Replicas take part again once their stores accept writes")
{
  TestCluster cluster(21);
  cluster.StartFounders(3);
  size_t committed = 0;
  for (uint64_t id = 1; id <= 3; ++id) {
    storage::MemoryLogStore& store = cluster.GetReplica(id).m_logStore;
    store.FailNextSync();
    while (!store.HasFailed()) {
      committed += cluster.CommitCommand("c") != 0 ? 1 : 0;
    }
    cluster.RunFor(Seconds(2));
    REQUIRE(cluster.GetReplica(id).m_log->Status().m_storageFailed);
    store.RepairDisk();
    cluster.RunFor(Seconds(1));
    REQUIRE_FALSE(cluster.GetReplica(id).m_log->Status().m_storageFailed);
  }
  REQUIRE(cluster.CommitCommand("last") != 0);
  cluster.RunFor(Seconds(1));
  const auto& applied = cluster.GetReplica(1).m_stateMachine->m_appliedCommands;
  REQUIRE(applied.size() > committed);
  for (uint64_t id = 2; id <= 3; ++id) {
    REQUIRE(cluster.GetReplica(id).m_stateMachine->m_appliedCommands ==
            applied);
  }
}

// Guards against a replica that leaves the group although only its snapshots
// cannot be saved.
TEST_CASE("Replicas go on without snapshots while they cannot be saved")
{
  TestCluster cluster(23, 10);
  cluster.StartFounders(3);
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.GetReplica(id).m_snapshotStore.SetSaveFails(true);
  }
  for (int i = 0; i < 40; ++i) {
    REQUIRE(cluster.CommitCommand("c") != 0);
  }
  cluster.RunFor(Seconds(1));
  for (uint64_t id = 1; id <= 3; ++id) {
    TestCluster::Replica& replica = cluster.GetReplica(id);
    REQUIRE_FALSE(replica.m_log->Status().m_storageFailed);
    REQUIRE(replica.m_stateMachine->m_appliedCommands.size() == 40);
    REQUIRE(replica.m_logStore.FirstIndex() == 1);
    replica.m_snapshotStore.SetSaveFails(false);
  }
  cluster.RunFor(Seconds(10));
  for (uint64_t id = 1; id <= 3; ++id) {
    REQUIRE(cluster.GetReplica(id).m_logStore.FirstIndex() > 40);
  }
}

// Guards against a replica that votes although it has forgotten what it
// acknowledged.
TEST_CASE("A replica whose disk lost applied entries stays out of the group")
{
  TestCluster cluster(22);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  TestCluster::Replica& replica = cluster.GetReplica(AnyReplicaExcept(leader));
  REQUIRE(cluster.CommitCommand("c") != 0);
  cluster.RunFor(Seconds(1));
  replica.m_logStore.FailNextSync();
  REQUIRE(cluster.CommitCommand("d") != 0);
  cluster.RunFor(Seconds(1));
  REQUIRE(replica.m_log->Status().m_storageFailed);
  replica.m_logStore = storage::MemoryLogStore();
  cluster.RunFor(Seconds(5));
  REQUIRE(replica.m_log->Status().m_storageFailed);
  REQUIRE(replica.m_logStore.LastIndex() == 0);
}

// Guards against a separate sync for each proposal.
TEST_CASE("Queued proposals are written with one sync")
{
  TestCluster cluster(8);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  TestCluster::Replica& replica = cluster.GetReplica(leader);
  const uint64_t before = replica.m_logStore.SyncCount();
  size_t done = 0;
  for (int i = 0; i < 500; ++i) {
    replica.m_log->Propose(
      "c", cluster.m_now, [&](auto aIndex) { done += aIndex ? 1 : 0; });
  }
  cluster.RunFor(Milliseconds(100));
  REQUIRE(done == 500);
  REQUIRE(replica.m_logStore.SyncCount() == before + 1);
}

// Guards against unbounded memory use while the commit index does not advance.
TEST_CASE("Proposals and reads beyond the pending limit are refused")
{
  TestCluster cluster(9);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  ReplicatedLog& log = *cluster.GetReplica(leader).m_log;
  cluster.IsolateReplica(leader);
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

// Guards against few large commands filling memory and disk before the number
// of entries triggers a snapshot.
TEST_CASE("Large commands trigger an early snapshot")
{
  TestCluster cluster(15);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  for (int i = 0; i < 100; ++i) {
    REQUIRE(cluster.CommitCommand(std::string(kMaxCommandBytes, 'x')) != 0);
  }
  REQUIRE(cluster.GetReplica(leader).m_log->Status().m_firstIndex > 80);
}

// Guards against a replica that cannot catch up once the log was compacted,
// while snapshot chunks are lost and duplicated on the way.
TEST_CASE("A replica behind the compacted log catches up from snapshot chunks")
{
  TestCluster cluster(10, 30);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  const uint64_t isolatedId = AnyReplicaExcept(leader);
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.GetReplica(id).m_stateMachine->m_snapshotPaddingBytes = 2'000'000;
  }
  cluster.IsolateReplica(isolatedId);
  for (int i = 0; i < 100; ++i) {
    REQUIRE(cluster.CommitCommand("c" + std::to_string(i)) != 0);
  }
  cluster.RestoreLinks();
  cluster.m_lossPercent = 20;
  cluster.m_duplicatePercent = 20;
  cluster.RunFor(Seconds(10));
  REQUIRE(cluster.m_deliveredSnapshotChunks >= 9);
  REQUIRE(cluster.GetReplica(isolatedId).m_stateMachine->m_appliedCommands ==
          cluster.GetReplica(leader).m_stateMachine->m_appliedCommands);
}

// Guards against a restart that loses state or applies commands twice, and
// against a start although the log or the snapshot is missing.
TEST_CASE("A restart continues from the snapshot and the log")
{
  TestCluster cluster(11, 30);
  cluster.StartFounders(1);
  for (int i = 0; i < 50; ++i) {
    REQUIRE(cluster.CommitCommand("c" + std::to_string(i)) != 0);
  }
  const auto applied = cluster.GetReplica(1).m_stateMachine->m_appliedCommands;
  cluster.CrashReplica(1);
  cluster.StartReplica(1);
  REQUIRE(cluster.WaitForLeader() == 1);
  REQUIRE(cluster.GetReplica(1).m_stateMachine->m_appliedCommands == applied);
  TestCluster::Replica& replica = cluster.GetReplica(1);
  storage::MemoryLogStore noLog;
  storage::MemorySnapshotStore noSnapshot;
  RecordingStateMachine machine;
  REQUIRE_FALSE(ReplicatedLog::Make(replica.m_options,
                                    noLog,
                                    replica.m_snapshotStore,
                                    machine,
                                    replica,
                                    cluster.m_now));
  REQUIRE_FALSE(ReplicatedLog::Make(replica.m_options,
                                    replica.m_logStore,
                                    noSnapshot,
                                    machine,
                                    replica,
                                    cluster.m_now));
}

// Guards against a planned stop of the leader that leaves the group without one
// for an election timeout.
TEST_CASE("Leadership transfer takes no election timeout")
{
  TestCluster cluster(12);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  cluster.GetReplica(leader).m_log->TransferLeadership(cluster.m_now);
  cluster.RunFor(Milliseconds(60));
  REQUIRE(cluster.LeaderId() != 0);
  REQUIRE(cluster.LeaderId() != leader);
}

// Guards against proposals that are refused forever after a leadership transfer
// to an unreachable replica.
TEST_CASE("A failed leadership transfer times out")
{
  TestCluster cluster(13);
  cluster.StartFounders(3);
  const uint64_t leader = cluster.WaitForLeader();
  // Replies still arrive at the leader, but nothing reaches the followers.
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.CutLink(leader, id);
  }
  cluster.GetReplica(leader).m_log->TransferLeadership(cluster.m_now);
  REQUIRE(*ProposeExpectingError(cluster, leader) == RaftErrorCode::kBusy);
  cluster.Step();
  cluster.RestoreLinks();
  cluster.RunFor(Seconds(2));
  REQUIRE(cluster.CommitCommand("after") != 0);
}

// Guards against the regular election timeout after all replicas restart: the
// group is unavailable until it has a leader.
TEST_CASE("A group that restarts as a whole elects a leader early")
{
  constexpr int kGroups = 40;
  int groupsWithEarlyLeader = 0;
  for (uint64_t seed = 1; seed <= kGroups; ++seed) {
    TestCluster cluster(seed);
    cluster.StartFounders(5);
    cluster.WaitForLeader();
    REQUIRE(cluster.CommitCommand("a") != 0);
    for (uint64_t id = 1; id <= 5; ++id) {
      cluster.CrashReplica(id);
    }
    for (uint64_t id = 1; id <= 5; ++id) {
      cluster.StartReplica(id);
    }
    cluster.RunFor(ReplicatedLogOptions().m_minElectionTimeout);
    groupsWithEarlyLeader += cluster.LeaderId() != 0 ? 1 : 0;
  }
  CHECK(groupsWithEarlyLeader > kGroups / 2);
}

// Guards against a restarted replica that deposes the leader because of its
// shorter election timeout after the start.
TEST_CASE("A replica that restarts does not depose the leader")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    TestCluster cluster(seed);
    cluster.StartFounders(5);
    const uint64_t leader = cluster.WaitForLeader();
    const uint64_t term = cluster.GetReplica(leader).m_log->Status().m_term;
    const uint64_t restarted = leader == 1 ? 2 : 1;
    cluster.CrashReplica(restarted);
    cluster.StartReplica(restarted);
    cluster.RunFor(Seconds(3));
    CHECK(cluster.LeaderId() == leader);
    CHECK(cluster.GetReplica(leader).m_log->Status().m_term == term);
  }
}

// Guards against a command that waits for the resend delay because one message
// with a small entry was lost and the transport does not report it.
TEST_CASE("A lost message with a small entry does not delay a command for long")
{
  const uint64_t seed = GENERATE(1U, 2U, 3U);
  TestCluster cluster(seed);
  cluster.StartFounders(3);
  for (uint64_t id = 1; id <= 3; ++id) {
    cluster.CrashReplica(id);
    cluster.GetReplica(id).m_options.m_resendDelay = Milliseconds(1200);
    cluster.StartReplica(id);
  }
  const uint64_t leader = cluster.WaitForLeader();
  REQUIRE(leader != 0);
  const uint64_t downId = AnyReplicaExcept(leader);
  cluster.CrashReplica(downId);
  REQUIRE(cluster.CommitCommand("before") != 0);
  cluster.RunFor(Milliseconds(300));
  const uint64_t otherId = 6 - leader - downId;
  bool done = false;
  cluster.GetReplica(leader).m_log->Propose(
    "small", cluster.m_now, [&done](auto aIndex) {
      done = aIndex.has_value();
    });
  cluster.CutLink(leader, otherId);
  cluster.GetReplica(leader).m_log->Flush(cluster.m_now);
  cluster.RestoreLinks();
  const TimePoint start = cluster.m_now;
  while (!done && cluster.m_now - start < Seconds(5)) {
    cluster.Step();
  }
  const int64_t delayMs = (cluster.m_now - start).m_ms;
  CAPTURE(seed, delayMs);
  CHECK(done);
  CHECK(delayMs <= 300);
}

} // namespace rattanloft::consensus
