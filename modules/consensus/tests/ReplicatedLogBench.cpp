// Measures the committed proposals per second of groups of 1 and 3 replicas
// over file stores. All replicas run in one thread and messages are delivered
// in memory. Arguments: data folder, seconds per case.

#include <chrono>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <memory>
#include <vector>

#include <fmt/format.h>

#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/storage/FileLogStore.h"
#include "rattanloft/storage/FileSnapshotStore.h"

namespace rattanloft::consensus {

namespace {

constexpr size_t kCommandBytes = 128;

class CountingStateMachine final : public StateMachine
{
public:
  void Apply(uint64_t, std::string_view) override { ++m_count; }
  std::string TakeSnapshot() const override { return std::to_string(m_count); }
  tl::expected<void, std::string> RestoreSnapshot(std::string_view) override
  {
    return {};
  }

private:
  uint64_t m_count = 0;
};

// Holds the messages of all replicas until they are delivered.
class MessageQueue final : public Transport
{
public:
  void Send(const wire::RaftMessage& aMessage) override
  {
    m_messages.push_back(aMessage);
  }
  void SetMembers(const wire::GroupConfig&) override {}

  std::deque<wire::RaftMessage> m_messages;
};

struct Replica
{
  std::unique_ptr<storage::DataFolder> m_folder;
  std::unique_ptr<storage::FileLogStore> m_logStore;
  std::unique_ptr<storage::FileSnapshotStore> m_snapshotStore;
  CountingStateMachine m_stateMachine;
  std::unique_ptr<ReplicatedLog> m_log;
};

// Replicas with their stores in subfolders of one folder.
class ReplicaGroup
{
public:
  ReplicaGroup(const std::string& aFolder, size_t aCount)
  {
    wire::GroupConfig config;
    for (size_t i = 0; i < aCount; ++i) {
      auto replica = std::make_unique<Replica>();
      replica->m_folder =
        *storage::DataFolder::Make(fmt::format("{}/{}", aFolder, i));
      replica->m_logStore = *storage::FileLogStore::Make(*replica->m_folder);
      replica->m_snapshotStore =
        std::make_unique<storage::FileSnapshotStore>(*replica->m_folder);
      config.add_members()->set_replica_id(replica->m_folder->ReplicaId());
      m_replicas.push_back(std::move(replica));
    }
    for (const auto& replica : m_replicas) {
      StartReplica(*replica, config);
    }
  }

  ReplicatedLog* FindLeader()
  {
    for (const auto& replica : m_replicas) {
      if (replica->m_log->Status().m_role == Role::kLeader) {
        return replica->m_log.get();
      }
    }
    return nullptr;
  }

  // Ticks all replicas and delivers messages until none is left.
  void TickAndDeliver()
  {
    for (const auto& replica : m_replicas) {
      replica->m_log->Tick(m_clock.Now());
    }
    while (!m_transport.m_messages.empty()) {
      const wire::RaftMessage message =
        std::move(m_transport.m_messages.front());
      m_transport.m_messages.pop_front();
      for (const auto& replica : m_replicas) {
        replica->m_log->Receive(message, m_clock.Now());
      }
    }
  }

  BootClock m_clock;

private:
  void StartReplica(Replica& aReplica, const wire::GroupConfig& aConfig)
  {
    ReplicatedLogOptions options;
    options.m_replicaId = aReplica.m_folder->ReplicaId();
    options.m_bootstrapConfig = aConfig;
    options.m_seed = options.m_replicaId;
    aReplica.m_log = *ReplicatedLog::Make(options,
                                          *aReplica.m_logStore,
                                          *aReplica.m_snapshotStore,
                                          aReplica.m_stateMachine,
                                          m_transport,
                                          m_clock.Now());
  }

  std::vector<std::unique_ptr<Replica>> m_replicas;
  MessageQueue m_transport;
};

// Keeps aMaxOutstanding proposals open for aSeconds and prints the rate.
void
MeasureThroughput(const std::string& aFolder,
                  size_t aReplicaCount,
                  size_t aMaxOutstanding,
                  double aSeconds)
{
  std::filesystem::remove_all(aFolder);
  ReplicaGroup group(aFolder, aReplicaCount);
  while (group.FindLeader() == nullptr) {
    group.TickAndDeliver();
  }
  using SteadyClock = std::chrono::steady_clock;
  const auto start = SteadyClock::now();
  uint64_t committed = 0;
  uint64_t failed = 0;
  size_t outstanding = 0;
  double seconds = 0;
  while (seconds < aSeconds) {
    ReplicatedLog* const leader = group.FindLeader();
    while (leader != nullptr && outstanding < aMaxOutstanding) {
      ++outstanding;
      leader->Propose(
        std::string(kCommandBytes, 'x'), group.m_clock.Now(), [&](auto aIndex) {
          --outstanding;
          ++(aIndex ? committed : failed);
        });
    }
    group.TickAndDeliver();
    seconds = std::chrono::duration<double>(SteadyClock::now() - start).count();
  }
  fmt::print("{} replicas, {:4} outstanding: {:8.0f} proposals/s, {} failed\n",
             aReplicaCount,
             aMaxOutstanding,
             static_cast<double>(committed) / seconds,
             failed);
}

} // namespace

} // namespace rattanloft::consensus

int
main(int aCount, char** aArguments)
{
  rattanloft::SetLogLevel(rattanloft::LogLevel::kError);
  const std::string folder =
    aCount > 1 ? aArguments[1] : "/tmp/rattanloft-log-bench";
  const double seconds = aCount > 2 ? std::atof(aArguments[2]) : 3;
  for (const size_t replicas : { 1, 3 }) {
    for (const size_t maxOutstanding : { 1, 64, 1024 }) {
      rattanloft::consensus::MeasureThroughput(
        folder, replicas, maxOutstanding, seconds);
    }
  }
  std::filesystem::remove_all(folder);
}
