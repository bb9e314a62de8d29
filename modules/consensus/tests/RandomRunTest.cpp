#include <cstdlib>

#include <catch2/catch.hpp>

#include "TestCluster.h"
#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::consensus {

namespace {

struct RunCounts
{
  size_t m_steps = 0;
  size_t m_acknowledged = 0;
  size_t m_reads = 0;
  size_t m_crashes = 0;
  size_t m_syncFailures = 0;
  size_t m_replacements = 0;
  size_t m_configChanges = 0;
  size_t m_terms = 0;
  size_t m_chunks = 0;
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

// One group under random faults. Checks after every step that applied
// sequences are prefixes of one history, and asserts inside the process.
class RandomRun
{
public:
  RandomRun(uint64_t aSeed, RunCounts& aCounts)
    : m_cluster(aSeed, 40)
    , m_random(aSeed ^ 0x5bd1e995)
    , m_counts(aCounts)
  {
    const size_t founders = 3 + m_random() % 3;
    m_cluster.Found(founders);
    m_nextId = founders + 1;
    m_cluster.m_lossPercent = static_cast<uint32_t>(m_random() % 12);
    m_cluster.m_repeatPercent = static_cast<uint32_t>(m_random() % 12);
    m_cluster.m_maxDelayMs = static_cast<int64_t>(1 + m_random() % 90);
  }

  void Run(size_t aSteps);
  // Without faults the group must work again and all replicas must agree.
  bool Recovers();

private:
  bool Chance(uint32_t aPerThousand)
  {
    return m_random() % 1000 < aPerThousand;
  }
  uint64_t RandomId();
  void StepOnce();
  void Propose();
  void Read();
  void Disturb();
  void CutLinks();
  void StopProcess();
  // With two voters left, the loss of a disk would end the group for good.
  bool ToleratesDiskLoss() const;
  void ReplaceDisk();
  void RestartStopped();
  void Operate();
  void SubmitConfig(uint64_t aLeader, const wire::GroupConfig& aConfig);
  std::optional<wire::GroupConfig> NextConfig(const RaftStatus& aStatus);
  void CheckHistory();
  void CheckLogMatching();
  void CompareLogs(const storage::LogStore& aLeft,
                   const storage::LogStore& aRight);

  TestCluster m_cluster;
  std::mt19937_64 m_random;
  RunCounts& m_counts;
  uint64_t m_nextId = 0;
  uint64_t m_nextCommand = 0;
  // The one history that every replica applies a prefix of.
  std::vector<std::pair<uint64_t, std::string>> m_history;
  std::map<uint64_t, std::string> m_acknowledged;
  // Replica id to (restores, entries checked).
  std::map<uint64_t, std::pair<size_t, size_t>> m_checked;
  // A member whose disk is gone, until it is removed; only one at a time.
  uint64_t m_lostId = 0;
  // Replicas are no longer removed, only added.
  bool m_recovering = false;
};

uint64_t
RandomRun::RandomId()
{
  auto at = m_cluster.m_nodes.begin();
  std::advance(at, static_cast<long>(m_random() % m_cluster.m_nodes.size()));
  return at->first;
}

void
RandomRun::Propose()
{
  TestCluster::Node& node = m_cluster.At(RandomId());
  if (!node.m_log || node.m_paused) {
    return;
  }
  std::string command = "c" + std::to_string(m_nextCommand++);
  node.m_log->Propose(command, m_cluster.m_now, [this, command](auto aIndex) {
    if (aIndex) {
      m_acknowledged[*aIndex] = command;
      ++m_counts.m_acknowledged;
    }
  });
}

void
RandomRun::Read()
{
  const uint64_t id = RandomId();
  TestCluster::Node& node = m_cluster.At(id);
  if (!node.m_log || node.m_paused) {
    return;
  }
  const uint64_t acknowledged =
    m_acknowledged.empty() ? 0 : m_acknowledged.rbegin()->first;
  node.m_log->ReadBarrier(
    m_cluster.m_now, [this, &node, acknowledged](auto aResult) {
      if (aResult) {
        ++m_counts.m_reads;
        // A read must see every write that was answered before it began.
        RATTANLOFT_ASSERT(node.m_log->Status().m_appliedIndex >= acknowledged);
      }
    });
}

void
RandomRun::CutLinks()
{
  const uint64_t id = RandomId();
  if (Chance(300)) {
    m_cluster.Isolate(id);
    return;
  }
  const uint64_t other = RandomId();
  m_cluster.Cut(id, other);
  if (Chance(500)) {
    m_cluster.Cut(other, id);
  }
}

void
RandomRun::StopProcess()
{
  const uint64_t id = RandomId();
  if (m_cluster.At(id).m_log) {
    m_cluster.Crash(id);
    ++m_counts.m_crashes;
  }
}

bool
RandomRun::ToleratesDiskLoss() const
{
  const uint64_t leader = m_cluster.Leader();
  if (m_lostId != 0 || leader == 0) {
    return false;
  }
  const RaftStatus status = m_cluster.m_nodes.at(leader)->m_log->Status();
  const std::string config = status.m_config.SerializeAsString();
  for (const auto& [id, node] : m_cluster.m_nodes) {
    if (!node->m_log ||
        node->m_log->Status().m_config.SerializeAsString() != config) {
      return false;
    }
  }
  return status.m_commitIndex == status.m_lastIndex &&
         CountVoters(status.m_config) >= 3;
}

void
RandomRun::ReplaceDisk()
{
  if (!ToleratesDiskLoss()) {
    return;
  }
  m_lostId = RandomId();
  m_cluster.Remove(m_lostId);
  m_cluster.AddNode(m_nextId);
  m_cluster.Start(m_nextId);
  ++m_nextId;
  ++m_counts.m_replacements;
}

void
RandomRun::RestartStopped()
{
  for (const auto& [id, node] : m_cluster.m_nodes) {
    if (node->m_logStore.Failed() && Chance(50)) {
      m_cluster.Crash(id);
    }
    if (!node->m_log && Chance(30)) {
      node->m_paused = false;
      m_cluster.Start(id);
      m_checked.erase(id);
    }
  }
}

void
RandomRun::Disturb()
{
  if (Chance(8)) {
    CutLinks();
  }
  if (Chance(10)) {
    m_cluster.Heal();
  }
  if (Chance(5)) {
    StopProcess();
  }
  if (Chance(5)) {
    m_cluster.At(RandomId()).m_logStore.FailNextSync();
    ++m_counts.m_syncFailures;
  }
  TestCluster::Node& node = m_cluster.At(RandomId());
  if (Chance(node.m_paused ? 60 : 6)) {
    node.m_paused = !node.m_paused;
  }
  if (Chance(10)) {
    ReplaceDisk();
  }
  if (Chance(3) && node.m_log && !node.m_paused) {
    node.m_log->TransferLeadership(m_cluster.m_now);
  }
}

std::optional<wire::GroupConfig>
RandomRun::NextConfig(const RaftStatus& aStatus)
{
  const wire::GroupConfig& config = aStatus.m_config;
  std::set<uint64_t> members;
  for (const wire::GroupMember& member : config.members()) {
    members.insert(member.replica_id());
    if (!m_cluster.Has(member.replica_id())) {
      return WithoutMember(config, member.replica_id());
    }
  }
  for (const auto& [id, node] : m_cluster.m_nodes) {
    if (members.count(id) == 0) {
      return WithMember(config, id, true);
    }
  }
  for (const wire::GroupMember& member : config.members()) {
    if (member.learner()) {
      return WithMember(config, member.replica_id(), false);
    }
  }
  if (!m_recovering && CountVoters(config) > 3 && m_lostId == 0 && Chance(50)) {
    return WithoutMember(config, RandomId());
  }
  return std::nullopt;
}

void
RandomRun::Operate()
{
  const uint64_t leader = m_cluster.Leader();
  if (leader == 0) {
    return;
  }
  const RaftStatus status = m_cluster.At(leader).m_log->Status();
  // The removal counts only once it is committed.
  if (status.m_commitIndex == status.m_lastIndex) {
    bool present = false;
    for (const wire::GroupMember& member : status.m_config.members()) {
      present |= member.replica_id() == m_lostId;
    }
    m_lostId = present ? m_lostId : 0;
  }
  if (const auto config = NextConfig(status)) {
    SubmitConfig(leader, *config);
  }
}

void
RandomRun::SubmitConfig(uint64_t aLeader, const wire::GroupConfig& aConfig)
{
  m_cluster.At(aLeader).m_log->ProposeConfig(
    aConfig, m_cluster.m_now, [this](auto aIndex) {
      m_counts.m_configChanges += aIndex.has_value() ? 1 : 0;
    });
}

void
RandomRun::CheckHistory()
{
  for (const auto& [id, node] : m_cluster.m_nodes) {
    if (!node->m_log) {
      continue;
    }
    const auto& applied = node->m_machine->m_applied;
    auto& [restores, checked] = m_checked[id];
    if (restores != node->m_machine->m_restores) {
      restores = node->m_machine->m_restores;
      checked = 0;
    }
    for (; checked < applied.size(); ++checked) {
      if (checked == m_history.size()) {
        m_history.push_back(applied[checked]);
      }
      RATTANLOFT_ASSERT(m_history[checked] == applied[checked]);
    }
  }
}

void
RandomRun::CompareLogs(const storage::LogStore& aLeft,
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
  bool same = false;
  for (size_t i = left->size(); i-- > 0;) {
    same |= (*left)[i].term() == (*right)[i].term();
    RATTANLOFT_ASSERT(!same || (*left)[i].SerializeAsString() ==
                                 (*right)[i].SerializeAsString());
  }
}

void
RandomRun::CheckLogMatching()
{
  for (const auto& [left, leftNode] : m_cluster.m_nodes) {
    for (const auto& [right, rightNode] : m_cluster.m_nodes) {
      if (left < right) {
        CompareLogs(leftNode->m_logStore, rightNode->m_logStore);
      }
    }
  }
}

void
RandomRun::StepOnce()
{
  for (int i = 0; i < 3; ++i) {
    Propose();
  }
  Read();
  if (Chance(30)) {
    Operate();
  }
  RestartStopped();
  m_cluster.Step();
  CheckHistory();
  if (Chance(20)) {
    CheckLogMatching();
  }
  ++m_counts.m_steps;
}

void
RandomRun::Run(size_t aSteps)
{
  for (size_t step = 0; step < aSteps; ++step) {
    Disturb();
    StepOnce();
  }
}

bool
RandomRun::Recovers()
{
  m_recovering = true;
  m_cluster.Heal();
  m_cluster.m_lossPercent = 0;
  m_cluster.m_maxDelayMs = 5;
  for (const auto& [id, node] : m_cluster.m_nodes) {
    node->m_paused = false;
    node->m_logStore.FailNextSync(false);
  }
  const size_t before = m_counts.m_acknowledged;
  for (int step = 0; step < 1500; ++step) {
    StepOnce();
  }
  m_cluster.Run(Seconds(3));
  CheckHistory();
  CheckLogMatching();
  size_t complete = 0;
  for (const auto& [id, node] : m_cluster.m_nodes) {
    const bool same = node->m_machine->m_applied == m_history;
    complete += same ? 1 : 0;
    if (!same && node->m_log) {
      const RaftStatus status = node->m_log->Status();
      UNSCOPED_INFO("replica " << id << " term " << status.m_term << " commit "
                               << status.m_commitIndex << " last "
                               << status.m_lastIndex << " leader "
                               << status.m_leaderId << " failed "
                               << node->m_logStore.Failed() << " members "
                               << status.m_config.ShortDebugString());
    }
  }
  const std::map<uint64_t, std::string> history(m_history.begin(),
                                                m_history.end());
  for (const auto& [index, command] : m_acknowledged) {
    const auto found = history.find(index);
    RATTANLOFT_ASSERT(found != history.end() && found->second == command);
  }
  m_counts.m_terms += m_cluster.m_leaders.size();
  m_counts.m_chunks += m_cluster.m_snapshotChunks;
  return m_counts.m_acknowledged > before &&
         complete == m_cluster.m_nodes.size();
}

uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against any loss or reordering of committed commands and against
// stale reads under combined faults. RATTANLOFT_SEED and RATTANLOFT_STEPS
// select other and longer runs.
TEST_CASE("Random faults lose no committed command")
{
  constexpr size_t kStepsPerGroup = 4'000;
  SetLogLevel(LogLevel::kError);
  const uint64_t seed = FromEnvironment("RATTANLOFT_SEED", 1);
  const uint64_t steps = FromEnvironment("RATTANLOFT_STEPS", 200'000);
  RunCounts counts;
  for (uint64_t done = 0; done < steps; done += kStepsPerGroup) {
    const uint64_t groupSeed = seed * 1'000'000 + done / kStepsPerGroup;
    INFO("group seed " << groupSeed);
    RandomRun run(groupSeed, counts);
    run.Run(kStepsPerGroup);
    REQUIRE(run.Recovers());
  }
  SetLogLevel(LogLevel::kInfo);
  LogInfo("raft",
          "{} steps, {} commands, {} reads, {} terms, {} crashes, "
          "{} sync failures, {} disks replaced, {} configurations, {} chunks",
          counts.m_steps,
          counts.m_acknowledged,
          counts.m_reads,
          counts.m_terms,
          counts.m_crashes,
          counts.m_syncFailures,
          counts.m_replacements,
          counts.m_configChanges,
          counts.m_chunks);
  REQUIRE(counts.m_reads > 0);
  REQUIRE(counts.m_chunks > 0);
}

} // namespace rattanloft::consensus
