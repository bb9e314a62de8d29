#include <cstdlib>

#include <catch2/catch.hpp>

#include "TestCluster.h"
#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

namespace {

// What happened in all runs of a test.
struct FaultRunCounts
{
  size_t m_steps = 0;
  size_t m_acknowledgedCommands = 0;
  size_t m_confirmedReads = 0;
  size_t m_crashes = 0;
  size_t m_syncFailures = 0;
  size_t m_repairedDisks = 0;
  size_t m_replacedDisks = 0;
  size_t m_configChanges = 0;
  size_t m_termsWithLeader = 0;
  size_t m_snapshotChunks = 0;
};

size_t
CountVoters(const wire::GroupConfig& aConfig)
{
  size_t voters = 0;
  for (const wire::GroupMember& member : aConfig.members()) {
    voters += member.learner() ? 0 : 1;
  }
  return voters;
}

// Runs one group under random faults. After every step it asserts that the
// commands that each replica applied are a prefix of one common history.
class RandomFaultRun
{
public:
  RandomFaultRun(uint64_t aSeed, FaultRunCounts& aCounts)
    : m_cluster(aSeed, 40)
    , m_random(aSeed ^ 0x5bd1e995)
    , m_counts(aCounts)
  {
    const size_t founders = 3 + m_random() % 3;
    m_cluster.StartFounders(founders);
    m_nextReplicaId = founders + 1;
    m_cluster.m_lossPercent = static_cast<uint32_t>(m_random() % 12);
    m_cluster.m_duplicatePercent = static_cast<uint32_t>(m_random() % 12);
    m_cluster.m_maxMessageDelayMs = static_cast<int64_t>(1 + m_random() % 90);
  }

  void Run(size_t aSteps);
  // Ends all faults except duplicated messages. Returns whether the group then
  // commits commands and all replicas agree.
  bool Recovers();

private:
  bool ChancePerMille(uint32_t aPerThousand)
  {
    return m_random() % 1000 < aPerThousand;
  }
  uint64_t RandomReplicaId();
  void RunStep();
  void ProposeOnRandomReplica();
  void ReadOnRandomReplica();
  void InjectFaults();
  void CutRandomLinks();
  void CrashRandomReplica();
  // Whether the group survives the loss of a disk now. With two voters left it
  // would lose its quorum forever.
  bool ToleratesDiskLoss() const;
  void ReplaceRandomDisk();
  void RestartStoppedReplicas();
  // Acts as the operator: proposes the next membership change, if any.
  void AdvanceMembership();
  void SubmitConfig(uint64_t aLeader, const wire::GroupConfig& aConfig);
  // Removes members whose disk is gone, adds new replicas as learners and
  // promotes learners, one at a time.
  std::optional<wire::GroupConfig> NextConfigChange(const RaftStatus& aStatus);
  void CheckAppliedHistory();
  // Asserts the log matching property of Raft for all pairs of replicas.
  void CheckLogMatching();
  void CheckLogsMatch(const storage::LogStore& aLeft,
                      const storage::LogStore& aRight);

  TestCluster m_cluster;
  std::mt19937_64 m_random;
  FaultRunCounts& m_counts;
  uint64_t m_nextReplicaId = 0;
  uint64_t m_nextCommand = 0;
  // The common history: each replica applies a prefix of it.
  std::vector<std::pair<uint64_t, std::string>> m_appliedHistory;
  // By log index.
  std::map<uint64_t, std::string> m_acknowledgedCommands;
  // By replica id: the snapshots restored and the number of applied commands
  // that are already checked.
  std::map<uint64_t, std::pair<size_t, size_t>> m_checkedEntries;
  // Id of a member whose disk is gone, until its removal is committed. 0 for
  // none.
  uint64_t m_lostReplicaId = 0;
  // Whether only lost members are still removed, not working ones.
  bool m_recovering = false;
};

uint64_t
RandomFaultRun::RandomReplicaId()
{
  auto at = m_cluster.m_replicas.begin();
  std::advance(at, static_cast<long>(m_random() % m_cluster.m_replicas.size()));
  return at->first;
}

void
RandomFaultRun::ProposeOnRandomReplica()
{
  TestCluster::Replica& replica = m_cluster.GetReplica(RandomReplicaId());
  if (!replica.m_log || replica.m_paused) {
    return;
  }
  std::string command = "c" + std::to_string(m_nextCommand++);
  replica.m_log->Propose(
    command, m_cluster.m_now, [this, command](auto aIndex) {
      if (aIndex) {
        m_acknowledgedCommands[*aIndex] = command;
        ++m_counts.m_acknowledgedCommands;
      }
    });
}

void
RandomFaultRun::ReadOnRandomReplica()
{
  const uint64_t id = RandomReplicaId();
  TestCluster::Replica& replica = m_cluster.GetReplica(id);
  if (!replica.m_log || replica.m_paused) {
    return;
  }
  const uint64_t acknowledged =
    m_acknowledgedCommands.empty() ? 0 : m_acknowledgedCommands.rbegin()->first;
  replica.m_log->ReadBarrier(
    m_cluster.m_now, [this, &replica, acknowledged](auto aResult) {
      if (aResult) {
        ++m_counts.m_confirmedReads;
        // A read must see every write that was acknowledged before it began.
        RATTANLOFT_ASSERT(replica.m_log->Status().m_appliedIndex >=
                          acknowledged);
      }
    });
}

void
RandomFaultRun::CutRandomLinks()
{
  const uint64_t id = RandomReplicaId();
  if (ChancePerMille(300)) {
    m_cluster.IsolateReplica(id);
    return;
  }
  const uint64_t other = RandomReplicaId();
  m_cluster.CutLink(id, other);
  if (ChancePerMille(500)) {
    m_cluster.CutLink(other, id);
  }
}

void
RandomFaultRun::CrashRandomReplica()
{
  const uint64_t id = RandomReplicaId();
  if (m_cluster.GetReplica(id).m_log) {
    m_cluster.CrashReplica(id);
    ++m_counts.m_crashes;
  }
}

bool
RandomFaultRun::ToleratesDiskLoss() const
{
  const uint64_t leader = m_cluster.LeaderId();
  if (m_lostReplicaId != 0 || leader == 0) {
    return false;
  }
  const RaftStatus status = m_cluster.m_replicas.at(leader)->m_log->Status();
  const std::string config = status.m_config.SerializeAsString();
  for (const auto& [id, replica] : m_cluster.m_replicas) {
    if (!replica->m_log ||
        replica->m_log->Status().m_config.SerializeAsString() != config) {
      return false;
    }
  }
  return status.m_commitIndex == status.m_lastIndex &&
         CountVoters(status.m_config) >= 3;
}

void
RandomFaultRun::ReplaceRandomDisk()
{
  if (!ToleratesDiskLoss()) {
    return;
  }
  m_lostReplicaId = RandomReplicaId();
  m_cluster.RemoveReplica(m_lostReplicaId);
  m_cluster.AddReplica(m_nextReplicaId);
  m_cluster.StartReplica(m_nextReplicaId);
  ++m_nextReplicaId;
  ++m_counts.m_replacedDisks;
}

void
RandomFaultRun::RestartStoppedReplicas()
{
  for (const auto& [id, replica] : m_cluster.m_replicas) {
    if (replica->m_logStore.HasFailed() && ChancePerMille(50)) {
      m_cluster.CrashReplica(id);
    }
    if (replica->m_logStore.HasFailed() && ChancePerMille(50)) {
      replica->m_logStore.RepairDisk();
      ++m_counts.m_repairedDisks;
    }
    if (!replica->m_log && ChancePerMille(30)) {
      replica->m_paused = false;
      m_cluster.StartReplica(id);
      m_checkedEntries.erase(id);
    }
  }
}

void
RandomFaultRun::InjectFaults()
{
  if (ChancePerMille(8)) {
    CutRandomLinks();
  }
  if (ChancePerMille(10)) {
    m_cluster.RestoreLinks();
  }
  if (ChancePerMille(5)) {
    CrashRandomReplica();
  }
  if (ChancePerMille(5)) {
    m_cluster.GetReplica(RandomReplicaId()).m_logStore.FailNextSync();
    ++m_counts.m_syncFailures;
  }
  TestCluster::Replica& replica = m_cluster.GetReplica(RandomReplicaId());
  if (ChancePerMille(replica.m_paused ? 60 : 6)) {
    replica.m_paused = !replica.m_paused;
  }
  if (ChancePerMille(10)) {
    ReplaceRandomDisk();
  }
  if (ChancePerMille(3) && replica.m_log && !replica.m_paused) {
    replica.m_log->TransferLeadership(m_cluster.m_now);
  }
}

std::optional<wire::GroupConfig>
RandomFaultRun::NextConfigChange(const RaftStatus& aStatus)
{
  const wire::GroupConfig& config = aStatus.m_config;
  std::set<uint64_t> members;
  for (const wire::GroupMember& member : config.members()) {
    members.insert(member.replica_id());
    if (!m_cluster.HasReplica(member.replica_id())) {
      return WithoutMember(config, member.replica_id());
    }
  }
  for (const auto& [id, replica] : m_cluster.m_replicas) {
    if (members.count(id) == 0) {
      return WithMember(config, id, true);
    }
  }
  for (const wire::GroupMember& member : config.members()) {
    if (member.learner()) {
      return WithMember(config, member.replica_id(), false);
    }
  }
  if (!m_recovering && CountVoters(config) > 3 && m_lostReplicaId == 0 &&
      ChancePerMille(50)) {
    return WithoutMember(config, RandomReplicaId());
  }
  return std::nullopt;
}

void
RandomFaultRun::AdvanceMembership()
{
  const uint64_t leader = m_cluster.LeaderId();
  if (leader == 0) {
    return;
  }
  const RaftStatus status = m_cluster.GetReplica(leader).m_log->Status();
  // The removal of the lost member counts only once it is committed.
  if (status.m_commitIndex == status.m_lastIndex) {
    bool present = false;
    for (const wire::GroupMember& member : status.m_config.members()) {
      present |= member.replica_id() == m_lostReplicaId;
    }
    m_lostReplicaId = present ? m_lostReplicaId : 0;
  }
  if (const auto config = NextConfigChange(status)) {
    SubmitConfig(leader, *config);
  }
}

void
RandomFaultRun::SubmitConfig(uint64_t aLeader, const wire::GroupConfig& aConfig)
{
  m_cluster.GetReplica(aLeader).m_log->ProposeConfig(
    aConfig, m_cluster.m_now, [this](auto aIndex) {
      m_counts.m_configChanges += aIndex.has_value() ? 1 : 0;
    });
}

void
RandomFaultRun::CheckAppliedHistory()
{
  for (const auto& [id, replica] : m_cluster.m_replicas) {
    if (!replica->m_log) {
      continue;
    }
    const auto& applied = replica->m_stateMachine->m_appliedCommands;
    auto& [restores, checked] = m_checkedEntries[id];
    if (restores != replica->m_stateMachine->m_restoreCount) {
      restores = replica->m_stateMachine->m_restoreCount;
      checked = 0;
    }
    for (; checked < applied.size(); ++checked) {
      if (checked == m_appliedHistory.size()) {
        m_appliedHistory.push_back(applied[checked]);
      }
      RATTANLOFT_ASSERT(m_appliedHistory[checked] == applied[checked]);
    }
  }
}

void
RandomFaultRun::CheckLogsMatch(const storage::LogStore& aLeft,
                               const storage::LogStore& aRight)
{
  const uint64_t first = std::max(aLeft.FirstIndex(), aRight.FirstIndex());
  const uint64_t last = std::min(aLeft.LastIndex(), aRight.LastIndex());
  if (first > last) {
    return;
  }
  const auto left = aLeft.Read(first, last);
  const auto right = aRight.Read(first, last);
  RATTANLOFT_ASSERT(left && right);
  bool sameTermSeen = false;
  for (size_t i = left->size(); i-- > 0;) {
    sameTermSeen |= (*left)[i].term() == (*right)[i].term();
    RATTANLOFT_ASSERT(!sameTermSeen || (*left)[i].SerializeAsString() ==
                                         (*right)[i].SerializeAsString());
  }
}

void
RandomFaultRun::CheckLogMatching()
{
  for (const auto& [left, leftReplica] : m_cluster.m_replicas) {
    for (const auto& [right, rightReplica] : m_cluster.m_replicas) {
      if (left < right) {
        CheckLogsMatch(leftReplica->m_logStore, rightReplica->m_logStore);
      }
    }
  }
}

void
RandomFaultRun::RunStep()
{
  for (int i = 0; i < 3; ++i) {
    ProposeOnRandomReplica();
  }
  ReadOnRandomReplica();
  if (ChancePerMille(30)) {
    AdvanceMembership();
  }
  RestartStoppedReplicas();
  m_cluster.Step();
  CheckAppliedHistory();
  if (ChancePerMille(20)) {
    CheckLogMatching();
  }
  ++m_counts.m_steps;
}

void
RandomFaultRun::Run(size_t aSteps)
{
  for (size_t step = 0; step < aSteps; ++step) {
    InjectFaults();
    RunStep();
  }
}

bool
RandomFaultRun::Recovers()
{
  m_recovering = true;
  m_cluster.RestoreLinks();
  m_cluster.m_lossPercent = 0;
  m_cluster.m_maxMessageDelayMs = 5;
  for (const auto& [id, replica] : m_cluster.m_replicas) {
    replica->m_paused = false;
    replica->m_logStore.FailNextSync(false);
  }
  const size_t before = m_counts.m_acknowledgedCommands;
  for (int step = 0; step < 1500; ++step) {
    RunStep();
  }
  m_cluster.RunFor(Seconds(3));
  CheckAppliedHistory();
  CheckLogMatching();
  size_t completeReplicas = 0;
  for (const auto& [id, replica] : m_cluster.m_replicas) {
    const bool hasWholeHistory =
      replica->m_stateMachine->m_appliedCommands == m_appliedHistory;
    completeReplicas += hasWholeHistory ? 1 : 0;
    if (!hasWholeHistory && replica->m_log) {
      const RaftStatus status = replica->m_log->Status();
      UNSCOPED_INFO("replica " << id << " term " << status.m_term << " commit "
                               << status.m_commitIndex << " last "
                               << status.m_lastIndex << " leader "
                               << status.m_leaderId << " failed "
                               << replica->m_logStore.HasFailed() << " members "
                               << status.m_config.ShortDebugString());
    }
  }
  const std::map<uint64_t, std::string> history(m_appliedHistory.begin(),
                                                m_appliedHistory.end());
  for (const auto& [index, command] : m_acknowledgedCommands) {
    const auto found = history.find(index);
    RATTANLOFT_ASSERT(found != history.end() && found->second == command);
  }
  m_counts.m_termsWithLeader += m_cluster.m_leaderIdByTerm.size();
  m_counts.m_snapshotChunks += m_cluster.m_deliveredSnapshotChunks;
  return m_counts.m_acknowledgedCommands > before &&
         completeReplicas == m_cluster.m_replicas.size();
}

// Returns aDefault if the variable is not set.
uint64_t
ReadIntegerEnvironmentVariable(const char* aName, uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against lost or reordered committed commands and against stale reads
// when several faults coincide. The environment variables RATTANLOFT_SEED and
// RATTANLOFT_STEPS select other seeds and longer runs.
TEST_CASE("Random faults lose no committed command")
{
  constexpr size_t kStepsPerGroup = 4'000;
  SetLogLevel(LogLevel::kError);
  const uint64_t seed = ReadIntegerEnvironmentVariable("RATTANLOFT_SEED", 1);
  const uint64_t steps =
    ReadIntegerEnvironmentVariable("RATTANLOFT_STEPS", 200'000);
  FaultRunCounts counts;
  for (uint64_t done = 0; done < steps; done += kStepsPerGroup) {
    const uint64_t groupSeed = seed * 1'000'000 + done / kStepsPerGroup;
    INFO("group seed " << groupSeed);
    RandomFaultRun run(groupSeed, counts);
    run.Run(kStepsPerGroup);
    REQUIRE(run.Recovers());
  }
  SetLogLevel(LogLevel::kInfo);
  LogInfo("raft",
          "{} steps, {} commands, {} reads, {} terms, {} crashes, "
          "{} sync failures, {} disks repaired, {} disks replaced, "
          "{} configurations, {} chunks",
          counts.m_steps,
          counts.m_acknowledgedCommands,
          counts.m_confirmedReads,
          counts.m_termsWithLeader,
          counts.m_crashes,
          counts.m_syncFailures,
          counts.m_repairedDisks,
          counts.m_replacedDisks,
          counts.m_configChanges,
          counts.m_snapshotChunks);
  REQUIRE(counts.m_confirmedReads > 0);
  REQUIRE(counts.m_snapshotChunks > 0);
  REQUIRE(counts.m_repairedDisks > 0);
}

} // namespace rattanloft::consensus
