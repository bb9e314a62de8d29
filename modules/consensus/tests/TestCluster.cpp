#include "TestCluster.h"

#include "rattanloft/base/Assert.h"

namespace rattanloft::consensus {

void
RecordingMachine::Apply(uint64_t aIndex, std::string_view aCommand)
{
  RATTANLOFT_ASSERT(m_applied.empty() || m_applied.back().first < aIndex);
  m_applied.emplace_back(aIndex, aCommand);
}

std::string
RecordingMachine::TakeSnapshot() const
{
  std::string result;
  for (const auto& [index, command] : m_applied) {
    result += std::to_string(index) + ' ' + command + '\n';
  }
  return result + std::string(m_padding, ' ');
}

tl::expected<void, std::string>
RecordingMachine::RestoreSnapshot(std::string_view aSnapshot)
{
  m_applied.clear();
  ++m_restores;
  for (size_t end = aSnapshot.find('\n'); end != std::string_view::npos;
       end = aSnapshot.find('\n')) {
    const std::string line(aSnapshot.substr(0, end));
    const size_t space = line.find(' ');
    m_applied.emplace_back(std::stoull(line), line.substr(space + 1));
    aSnapshot.remove_prefix(end + 1);
  }
  return {};
}

void
TestCluster::Node::Send(const wire::RaftMessage& aMessage)
{
  m_cluster->Post(aMessage);
}

TestCluster::TestCluster(uint64_t aSeed, uint64_t aSnapshotInterval)
  : m_random(aSeed)
  , m_snapshotIntervalEntries(aSnapshotInterval)
{
}

void
TestCluster::Found(size_t aCount)
{
  for (uint64_t id = 1; id <= aCount; ++id) {
    m_founders.add_members()->set_replica_id(id);
  }
  for (uint64_t id = 1; id <= aCount; ++id) {
    AddNode(id).m_options.m_bootstrapConfig = m_founders;
    Start(id);
  }
}

TestCluster::Node&
TestCluster::AddNode(uint64_t aId)
{
  auto node = std::make_unique<Node>();
  node->m_cluster = this;
  node->m_options.m_replicaId = aId;
  node->m_options.m_snapshotIntervalEntries = m_snapshotIntervalEntries;
  node->m_options.m_retainedEntries = 10;
  return *(m_nodes[aId] = std::move(node));
}

void
TestCluster::Start(uint64_t aId)
{
  Node& node = At(aId);
  node.m_options.m_seed = m_random();
  node.m_machine = std::make_unique<RecordingMachine>();
  auto log = ReplicatedLog::Make(node.m_options,
                                 node.m_logStore,
                                 node.m_snapshots,
                                 *node.m_machine,
                                 node,
                                 m_now);
  if (!log && node.m_logStore.Failed()) {
    // The start ended with the injected failure; it may be tried again.
    Crash(aId);
    return;
  }
  RATTANLOFT_ASSERT(log.has_value());
  node.m_log = std::move(*log);
}

void
TestCluster::Crash(uint64_t aId)
{
  At(aId).m_log.reset();
  At(aId).m_logStore.Crash();
}

void
TestCluster::Remove(uint64_t aId)
{
  m_nodes.erase(aId);
}

void
TestCluster::Post(const wire::RaftMessage& aMessage)
{
  if (m_cut.count({ aMessage.from(), aMessage.to() }) != 0 ||
      m_random() % 100 < m_lossPercent) {
    return;
  }
  const size_t copies = m_random() % 100 < m_repeatPercent ? 2 : 1;
  for (size_t copy = 0; copy < copies; ++copy) {
    const auto delay =
      static_cast<int64_t>(m_random() % (uint64_t(m_maxDelayMs) + 1));
    m_bag.emplace(m_now + Milliseconds(delay), aMessage);
  }
}

void
TestCluster::Deliver()
{
  while (!m_bag.empty() && m_bag.begin()->first <= m_now) {
    const wire::RaftMessage message = m_bag.begin()->second;
    m_bag.erase(m_bag.begin());
    const auto found = m_nodes.find(message.to());
    if (found == m_nodes.end() || !found->second->m_log ||
        m_cut.count({ message.from(), message.to() }) != 0) {
      continue;
    }
    if (found->second->m_paused) {
      // Waits in the socket buffer until the process goes on.
      m_bag.emplace(m_now + Milliseconds(50), message);
      continue;
    }
    if (message.kind() == wire::RAFT_MESSAGE_SNAPSHOT_CHUNK) {
      ++m_snapshotChunks;
    }
    found->second->m_log->Receive(message, m_now);
    NoteLeaders();
  }
}

void
TestCluster::NoteLeaders()
{
  for (const auto& [id, node] : m_nodes) {
    if (!node->m_log || node->m_log->Status().m_role != Role::kLeader) {
      continue;
    }
    const uint64_t term = node->m_log->Status().m_term;
    // One leader a term.
    RATTANLOFT_ASSERT(m_leaders.emplace(term, id).first->second == id);
  }
}

void
TestCluster::Step()
{
  m_now = m_now + Milliseconds(10);
  Deliver();
  for (const auto& [id, node] : m_nodes) {
    if (node->m_log && !node->m_paused) {
      node->m_log->Tick(m_now);
    }
  }
  NoteLeaders();
}

void
TestCluster::Run(Duration aSpan)
{
  const TimePoint end = m_now + aSpan;
  while (m_now < end) {
    Step();
  }
}

uint64_t
TestCluster::Leader() const
{
  uint64_t leader = 0;
  uint64_t term = 0;
  for (const auto& [id, node] : m_nodes) {
    if (!node->m_log || node->m_paused) {
      continue;
    }
    const RaftStatus status = node->m_log->Status();
    if (status.m_role == Role::kLeader && status.m_term > term) {
      leader = id;
      term = status.m_term;
    }
  }
  return leader;
}

uint64_t
TestCluster::WaitForLeader()
{
  for (int step = 0; step < 1000; ++step) {
    const uint64_t leader = Leader();
    if (leader != 0 && Read(leader, Milliseconds(200))) {
      return leader;
    }
    Step();
  }
  return 0;
}

void
TestCluster::Isolate(uint64_t aId)
{
  for (const auto& [id, node] : m_nodes) {
    if (id != aId) {
      Cut(id, aId);
      Cut(aId, id);
    }
  }
}

uint64_t
TestCluster::Commit(const std::string& aCommand)
{
  const uint64_t leader = WaitForLeader();
  uint64_t result = 0;
  bool done = leader == 0;
  if (leader != 0) {
    At(leader).m_log->Propose(aCommand, m_now, [&](auto aIndex) {
      done = true;
      result = aIndex ? *aIndex : 0;
    });
  }
  for (int step = 0; step < 500 && !done; ++step) {
    Step();
  }
  RATTANLOFT_ASSERT(done);
  return result;
}

bool
TestCluster::ChangeConfig(const wire::GroupConfig& aConfig)
{
  const uint64_t leader = WaitForLeader();
  bool done = leader == 0;
  bool result = false;
  if (leader != 0) {
    At(leader).m_log->ProposeConfig(aConfig, m_now, [&](auto aIndex) {
      done = true;
      result = aIndex.has_value();
    });
  }
  for (int step = 0; step < 500 && !done; ++step) {
    Step();
  }
  RATTANLOFT_ASSERT(done);
  return result;
}

bool
TestCluster::Read(uint64_t aId, Duration aSpan)
{
  // Shared, since the answer may come after this call has returned.
  auto success = std::make_shared<bool>(false);
  At(aId).m_log->ReadBarrier(
    m_now, [success](auto aResult) { *success = aResult.has_value(); });
  const TimePoint end = m_now + aSpan;
  while (m_now < end && !*success) {
    Step();
  }
  return *success;
}

wire::GroupConfig
WithMember(wire::GroupConfig aConfig, uint64_t aId, bool aLearner)
{
  for (wire::GroupMember& member : *aConfig.mutable_members()) {
    if (member.replica_id() == aId) {
      member.set_learner(aLearner);
      return aConfig;
    }
  }
  wire::GroupMember& member = *aConfig.add_members();
  member.set_replica_id(aId);
  member.set_learner(aLearner);
  return aConfig;
}

wire::GroupConfig
WithoutMember(const wire::GroupConfig& aConfig, uint64_t aId)
{
  wire::GroupConfig result;
  for (const wire::GroupMember& member : aConfig.members()) {
    if (member.replica_id() != aId) {
      *result.add_members() = member;
    }
  }
  return result;
}

} // namespace rattanloft::consensus
