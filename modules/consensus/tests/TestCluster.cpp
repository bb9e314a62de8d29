#include "TestCluster.h"

#include "rattanloft/base/Assert.h"

namespace rattanloft::consensus {

void
RecordingStateMachine::Apply(uint64_t aIndex, std::string_view aCommand)
{
  RATTANLOFT_ASSERT(m_appliedCommands.empty() ||
                    m_appliedCommands.back().first < aIndex);
  m_appliedCommands.emplace_back(aIndex, aCommand);
}

std::string
RecordingStateMachine::TakeSnapshot() const
{
  std::string result;
  for (const auto& [index, command] : m_appliedCommands) {
    result += std::to_string(index) + ' ' + command + '\n';
  }
  return result + std::string(m_snapshotPaddingBytes, ' ');
}

tl::expected<void, std::string>
RecordingStateMachine::RestoreSnapshot(std::string_view aSnapshot)
{
  m_appliedCommands.clear();
  ++m_restoreCount;
  for (size_t end = aSnapshot.find('\n'); end != std::string_view::npos;
       end = aSnapshot.find('\n')) {
    const std::string line(aSnapshot.substr(0, end));
    const size_t space = line.find(' ');
    m_appliedCommands.emplace_back(std::stoull(line), line.substr(space + 1));
    aSnapshot.remove_prefix(end + 1);
  }
  return {};
}

void
TestCluster::Replica::Send(const wire::RaftMessage& aMessage)
{
  m_cluster->PostMessage(aMessage);
}

TestCluster::TestCluster(uint64_t aSeed, uint64_t aSnapshotIntervalEntries)
  : m_random(aSeed)
  , m_snapshotIntervalEntries(aSnapshotIntervalEntries)
{
}

void
TestCluster::StartFounders(size_t aCount)
{
  for (uint64_t id = 1; id <= aCount; ++id) {
    m_founderConfig.add_members()->set_replica_id(id);
  }
  for (uint64_t id = 1; id <= aCount; ++id) {
    AddReplica(id).m_options.m_bootstrapConfig = m_founderConfig;
    StartReplica(id);
  }
}

TestCluster::Replica&
TestCluster::AddReplica(uint64_t aReplicaId)
{
  auto replica = std::make_unique<Replica>();
  replica->m_cluster = this;
  replica->m_options.m_replicaId = aReplicaId;
  replica->m_options.m_snapshotIntervalEntries = m_snapshotIntervalEntries;
  replica->m_options.m_retainedEntries = 10;
  return *(m_replicas[aReplicaId] = std::move(replica));
}

void
TestCluster::StartReplica(uint64_t aReplicaId)
{
  Replica& replica = GetReplica(aReplicaId);
  replica.m_options.m_seed = m_random();
  replica.m_stateMachine = std::make_unique<RecordingStateMachine>();
  auto log = ReplicatedLog::Make(replica.m_options,
                                 replica.m_logStore,
                                 replica.m_snapshotStore,
                                 *replica.m_stateMachine,
                                 replica,
                                 m_now);
  if (!log && replica.m_logStore.HasFailed()) {
    // The start failed because of an injected sync failure. The test may start
    // the replica again.
    CrashReplica(aReplicaId);
    return;
  }
  RATTANLOFT_ASSERT(log.has_value());
  replica.m_log = std::move(*log);
}

void
TestCluster::CrashReplica(uint64_t aReplicaId)
{
  GetReplica(aReplicaId).m_log.reset();
  GetReplica(aReplicaId).m_logStore.Crash();
}

void
TestCluster::RemoveReplica(uint64_t aReplicaId)
{
  m_replicas.erase(aReplicaId);
}

void
TestCluster::PostMessage(const wire::RaftMessage& aMessage)
{
  if (m_cutLinks.count({ aMessage.from(), aMessage.to() }) != 0 ||
      m_random() % 100 < m_lossPercent) {
    return;
  }
  const size_t copies = m_random() % 100 < m_duplicatePercent ? 2 : 1;
  for (size_t copy = 0; copy < copies; ++copy) {
    const auto delay =
      static_cast<int64_t>(m_random() % (uint64_t(m_maxMessageDelayMs) + 1));
    m_messagesInTransit.emplace(m_now + Milliseconds(delay), aMessage);
  }
}

void
TestCluster::DeliverDueMessages()
{
  while (!m_messagesInTransit.empty() &&
         m_messagesInTransit.begin()->first <= m_now) {
    const wire::RaftMessage message = m_messagesInTransit.begin()->second;
    m_messagesInTransit.erase(m_messagesInTransit.begin());
    const auto found = m_replicas.find(message.to());
    if (found == m_replicas.end() || !found->second->m_log ||
        m_cutLinks.count({ message.from(), message.to() }) != 0) {
      continue;
    }
    if (found->second->m_paused) {
      // The message waits in the socket buffer until the process continues.
      m_messagesInTransit.emplace(m_now + Milliseconds(50), message);
      continue;
    }
    if (message.kind() == wire::RAFT_MESSAGE_SNAPSHOT_CHUNK) {
      ++m_deliveredSnapshotChunks;
    }
    found->second->m_log->Receive(message, m_now);
    RecordLeaders();
  }
}

void
TestCluster::RecordLeaders()
{
  for (const auto& [id, replica] : m_replicas) {
    if (!replica->m_log || replica->m_log->Status().m_role != Role::kLeader) {
      continue;
    }
    const uint64_t term = replica->m_log->Status().m_term;
    // A term has at most one leader.
    RATTANLOFT_ASSERT(m_leaderIdByTerm.emplace(term, id).first->second == id);
  }
}

void
TestCluster::Step()
{
  m_now = m_now + Milliseconds(10);
  DeliverDueMessages();
  for (const auto& [id, replica] : m_replicas) {
    if (replica->m_log && !replica->m_paused) {
      replica->m_log->Tick(m_now);
    }
  }
  RecordLeaders();
}

void
TestCluster::RunFor(Duration aDuration)
{
  const TimePoint end = m_now + aDuration;
  while (m_now < end) {
    Step();
  }
}

uint64_t
TestCluster::LeaderId() const
{
  uint64_t leader = 0;
  uint64_t term = 0;
  for (const auto& [id, replica] : m_replicas) {
    if (!replica->m_log || replica->m_paused) {
      continue;
    }
    const RaftStatus status = replica->m_log->Status();
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
    const uint64_t leader = LeaderId();
    if (leader != 0 && ReadBarrierSucceeds(leader, Milliseconds(200))) {
      return leader;
    }
    Step();
  }
  return 0;
}

void
TestCluster::IsolateReplica(uint64_t aReplicaId)
{
  for (const auto& [id, replica] : m_replicas) {
    if (id != aReplicaId) {
      CutLink(id, aReplicaId);
      CutLink(aReplicaId, id);
    }
  }
}

uint64_t
TestCluster::CommitCommand(const std::string& aCommand)
{
  const uint64_t leader = WaitForLeader();
  uint64_t result = 0;
  bool done = leader == 0;
  if (leader != 0) {
    GetReplica(leader).m_log->Propose(aCommand, m_now, [&](auto aIndex) {
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
    GetReplica(leader).m_log->ProposeConfig(aConfig, m_now, [&](auto aIndex) {
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
TestCluster::ReadBarrierSucceeds(uint64_t aReplicaId, Duration aTimeout)
{
  // Shared, because the callback may run after this function has returned.
  auto success = std::make_shared<bool>(false);
  GetReplica(aReplicaId).m_log->ReadBarrier(m_now, [success](auto aResult) {
    *success = aResult.has_value();
  });
  const TimePoint end = m_now + aTimeout;
  while (m_now < end && !*success) {
    Step();
  }
  return *success;
}

wire::GroupConfig
WithMember(wire::GroupConfig aConfig, uint64_t aReplicaId, bool aIsLearner)
{
  for (wire::GroupMember& member : *aConfig.mutable_members()) {
    if (member.replica_id() == aReplicaId) {
      member.set_learner(aIsLearner);
      return aConfig;
    }
  }
  wire::GroupMember& member = *aConfig.add_members();
  member.set_replica_id(aReplicaId);
  member.set_learner(aIsLearner);
  return aConfig;
}

wire::GroupConfig
WithoutMember(const wire::GroupConfig& aConfig, uint64_t aReplicaId)
{
  wire::GroupConfig result;
  for (const wire::GroupMember& member : aConfig.members()) {
    if (member.replica_id() != aReplicaId) {
      *result.add_members() = member;
    }
  }
  return result;
}

} // namespace rattanloft::consensus
