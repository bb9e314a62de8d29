#include <algorithm>
#include <chrono>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "InternalCalls.h"
#include "LogOptions.h"
#include "LossyLink.h"
#include "MemberTransport.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/consensus/ReplicatedLog.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/storage/MemoryLogStore.h"
#include "rattanloft/storage/MemorySnapshotStore.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;
using boost::beast::http::status;

constexpr uint64_t kLeaderId = 1;
constexpr uint64_t kLearnerId = 2;
// The interval of FleetControl.
constexpr std::chrono::milliseconds kTickInterval{ 40 };
constexpr std::chrono::milliseconds kWriteInterval{ 200 };
constexpr size_t kCommandCount = 100;
constexpr size_t kCommandBytes = 30 * 1024;
// Catch-up time of the deployments.
constexpr Duration kMaxCatchUpTime = Milliseconds(4000);
constexpr uint64_t kMaxLagEntries = 32;
// Longest election timeout of the log.
constexpr Duration kMaxSilence = Milliseconds(800);
// The learner needs the log at most once. The rest allows for repeats of what
// was in flight when a connection was reset.
constexpr uint64_t kMaxTransfersOfLog = 3;

// Like the state of the fleet, holds what the last command contains.
class LastCommand final : public consensus::StateMachine
{
public:
  void Apply(uint64_t, std::string_view aCommand) override
  {
    m_command = aCommand;
  }
  std::string TakeSnapshot() const override
  {
    return m_command + std::string(m_paddingBytes, 'p');
  }
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override
  {
    m_command = aSnapshot.substr(0, aSnapshot.size() - m_paddingBytes);
    return {};
  }

  size_t m_paddingBytes = 0;
  std::string m_command;
};

// Passes messages on and counts the bytes of log entries and snapshots.
class CountingTransport final : public consensus::Transport
{
public:
  explicit CountingTransport(MemberTransport& aTransport)
    : m_transport(aTransport)
  {
  }

  void Send(const wire::RaftMessage& aMessage) override
  {
    for (const wire::LogEntry& entry : aMessage.entries()) {
      m_payloadBytes += entry.payload().size();
    }
    m_payloadBytes += aMessage.chunk().size();
    m_transport.Send(aMessage);
  }
  void SetMembers(const wire::GroupConfig& aConfig) override
  {
    m_transport.SetMembers(aConfig);
  }

  uint64_t m_payloadBytes = 0;

private:
  MemberTransport& m_transport;
};

// A replica whose server is reached through a lossy link.
class Member
{
public:
  Member(asio::io_context& aContext,
         const Clock& aClock,
         uint64_t aReplicaId,
         double aLossProbability,
         uint32_t aSeed)
    : m_clock(aClock)
    , m_tickTimer(aContext)
  {
    http::ClientOptions clientOptions;
    clientOptions.m_connectTimeout = Milliseconds(300);
    m_client = http::Client::Make(aContext, clientOptions);
    http::ServerOptions serverOptions;
    serverOptions.m_maxBodyBytes = 16 * 1024 * 1024;
    serverOptions.m_isControl = true;
    auto server = http::Server::Make(
      aContext,
      serverOptions,
      [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
        return OnRequest(std::move(aRequest));
      });
    REQUIRE(server);
    m_server = std::move(*server);
    auto link =
      LossyLink::Make(aContext, { m_server->Port(), aLossProbability, aSeed });
    REQUIRE(link);
    m_link = std::move(*link);
    m_memberTransport = std::make_unique<MemberTransport>(
      aContext, m_clock, *m_client, aReplicaId, m_link->Address());
    m_transport = std::make_unique<CountingTransport>(*m_memberTransport);
    consensus::ReplicatedLogOptions options = MakeLogOptions(aReplicaId, aSeed);
    if (aReplicaId == kLeaderId) {
      wire::GroupMember& self = *options.m_bootstrapConfig.add_members();
      self.set_replica_id(aReplicaId);
      self.set_grpc_address(m_link->Address());
    }
    auto log = consensus::ReplicatedLog::Make(options,
                                              m_logStore,
                                              m_snapshotStore,
                                              m_state,
                                              *m_transport,
                                              m_clock.Now());
    REQUIRE(log);
    m_log = std::move(*log);
    m_memberTransport->SetMembers(m_log->Status().m_config);
    m_memberTransport->SetLossHandler([this](uint64_t aPeerId) {
      m_log->OnMessagesLost(aPeerId, m_clock.Now());
    });
    ScheduleTick();
  }

  // Ends all connections and timers, so that the context runs out of work.
  void Stop()
  {
    m_stopped = true;
    m_tickTimer.cancel();
    m_link.reset();
  }

  // Longest time between two messages of the leader, up to now.
  Duration LongestSilence() const
  {
    return m_lastContactAt
             ? std::max(m_longestSilence, m_clock.Now() - *m_lastContactAt)
             : m_longestSilence;
  }

  const Clock& m_clock;
  storage::MemoryLogStore m_logStore;
  storage::MemorySnapshotStore m_snapshotStore;
  LastCommand m_state;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<LossyLink> m_link;
  std::unique_ptr<MemberTransport> m_memberTransport;
  std::unique_ptr<CountingTransport> m_transport;
  std::unique_ptr<consensus::ReplicatedLog> m_log;
  std::optional<TimePoint> m_lastContactAt;

private:
  void ScheduleTick()
  {
    m_tickTimer.expires_after(kTickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError && !m_stopped) {
        m_log->Tick(m_clock.Now());
        ScheduleTick();
      }
    });
  }

  asio::awaitable<http::Response> OnRequest(http::Request aRequest)
  {
    wire::RaftBatch batch;
    if (aRequest.target() != fleet::kRaftPath ||
        !http::ParseMessage(aRequest.body(), batch)) {
      co_return MakeResponse(status::bad_request, "unreadable batch\n");
    }
    co_return MakeResponse(status::ok, OnRaftBatch(batch).SerializeAsString());
  }

  // As FleetControl::OnRaftBatch().
  wire::DeliverReply OnRaftBatch(const wire::RaftBatch& aBatch)
  {
    const TimePoint now = m_clock.Now();
    for (const wire::RaftMessage& message : aBatch.messages()) {
      m_memberTransport->LearnAddress(message.from(), aBatch.sender_address());
      m_log->Receive(message, now);
      if (message.kind() == wire::RAFT_MESSAGE_APPEND ||
          message.kind() == wire::RAFT_MESSAGE_SNAPSHOT_CHUNK) {
        m_longestSilence = LongestSilence();
        m_lastContactAt = now;
      }
    }
    const consensus::RaftStatus state = m_log->Status();
    wire::DeliverReply reply;
    if (!state.m_storageFailed) {
      reply.set_replica_id(state.m_replicaId);
    }
    reply.set_applied_index(state.m_appliedIndex);
    return reply;
  }

  asio::steady_timer m_tickTimer;
  Duration m_longestSilence;
  bool m_stopped = false;
};

// A leader with a log of kCommandCount commands and a replica without any.
class CatchUpRun
{
public:
  CatchUpRun(double aLossProbability,
             uint32_t aSeed,
             size_t aCommandCount = kCommandCount,
             size_t aCommandBytes = kCommandBytes,
             size_t aPaddingBytes = 0)
    : m_commandBytes(aCommandBytes)
    , m_leader(m_context, m_clock, kLeaderId, aLossProbability, 2 * aSeed)
    , m_learner(m_context, m_clock, kLearnerId, aLossProbability, 2 * aSeed + 1)
    , m_writeTimer(m_context)
    , m_readTimer(m_context)
  {
    m_leader.m_state.m_paddingBytes = aPaddingBytes;
    m_learner.m_state.m_paddingBytes = aPaddingBytes;
    RunUntil(Seconds(5), [this] {
      return m_leader.m_log->Status().m_role == consensus::Role::kLeader;
    });
    for (size_t count = 0; count < aCommandCount; ++count) {
      ProposeCommand();
    }
    RunUntil(Seconds(5), [&] { return m_committed == aCommandCount; });
    REQUIRE(m_committed == aCommandCount);
  }

  ~CatchUpRun()
  {
    m_stopped = true;
    m_writeTimer.cancel();
    m_readTimer.cancel();
    m_leader.Stop();
    m_learner.Stop();
    // Lets the exchanges fail while the clients still exist.
    m_context.run_for(std::chrono::milliseconds(100));
  }

  CatchUpRun(const CatchUpRun&) = delete;
  CatchUpRun& operator=(const CatchUpRun&) = delete;

  // Adds the learner and goes on writing.
  void AddLearner()
  {
    wire::GroupConfig config = m_leader.m_log->Status().m_config;
    wire::GroupMember& member = *config.add_members();
    member.set_replica_id(kLearnerId);
    member.set_grpc_address(m_learner.m_link->Address());
    member.set_learner(true);
    m_addedAt = m_clock.Now();
    m_leader.m_log->ProposeConfig(
      config, m_addedAt, [this](const auto& aIndex) {
        m_addRefused = !aIndex;
      });
    REQUIRE_FALSE(m_addRefused);
    ScheduleWrite();
  }

  // Runs until aMinimum after AddLearner(), and until the learner has caught up
  // or kMaxCatchUpTime has passed.
  void RunUntilCaughtUp(Duration aMinimum)
  {
    RunUntil(kMaxCatchUpTime, [this, aMinimum] {
      if (!m_catchUpTime && LagEntries() <= kMaxLagEntries) {
        m_catchUpTime = m_clock.Now() - m_addedAt;
      }
      return m_catchUpTime && m_clock.Now() - m_addedAt >= aMinimum;
    });
  }

  // Ends the writes and returns whether both states become equal.
  bool StatesBecomeEqual(Duration aTimeout)
  {
    m_stopped = true;
    return RunUntil(aTimeout, [this] {
      return LagEntries() == 0 &&
             m_learner.m_state.m_command == m_leader.m_state.m_command;
    });
  }

  uint64_t LagEntries() const
  {
    return m_leader.m_log->Status().m_commitIndex -
           m_learner.m_log->Status().m_appliedIndex;
  }

  // Reads at an interval, each of which starts a heartbeat round.
  void ScheduleRead(std::chrono::milliseconds aInterval)
  {
    m_readTimer.expires_after(aInterval);
    m_readTimer.async_wait(
      [this, aInterval](const boost::system::error_code& aError) {
        if (!aError && !m_stopped) {
          m_leader.m_log->ReadBarrier(m_clock.Now(), [](const auto&) {});
          m_leader.m_log->Flush(m_clock.Now());
          ScheduleRead(aInterval);
        }
      });
  }

  uint64_t LogBytes() const { return m_proposed * m_commandBytes; }

  std::string Describe() const
  {
    return fmt::format(
      "caught up after {} ms, learner at {} of {}, longest silence {} ms, {} "
      "KB arrived, {} KB sent by the log of {} KB, {} segments lost",
      m_catchUpTime ? m_catchUpTime->m_ms : -1,
      m_learner.m_log->Status().m_appliedIndex,
      m_leader.m_log->Status().m_commitIndex,
      m_learner.LongestSilence().m_ms,
      m_learner.m_link->BytesToTarget() / 1024,
      m_leader.m_transport->m_payloadBytes / 1024,
      LogBytes() / 1024,
      m_learner.m_link->LostSegments() + m_leader.m_link->LostSegments());
  }

  void CheckCatchUp() const
  {
    CAPTURE(Describe());
    CHECK(m_catchUpTime.has_value());
    CHECK(m_catchUpTime.value_or(kMaxCatchUpTime).m_ms <= kMaxCatchUpTime.m_ms);
    CHECK(m_learner.m_lastContactAt.has_value());
    CHECK(m_learner.LongestSilence().m_ms <= kMaxSilence.m_ms);
    CHECK(m_learner.m_link->BytesToTarget() < kMaxTransfersOfLog * LogBytes());
    CHECK(m_leader.m_transport->m_payloadBytes <
          kMaxTransfersOfLog * LogBytes());
  }

private:
  template<typename Condition>
  bool RunUntil(Duration aTimeout, Condition aCondition)
  {
    const TimePoint end = m_clock.Now() + aTimeout;
    while (!aCondition()) {
      if (m_clock.Now() >= end) {
        return false;
      }
      m_context.run_for(std::chrono::milliseconds(1));
    }
    return true;
  }

  void ProposeCommand()
  {
    std::string command = fmt::format("{:08}", ++m_proposed);
    command.resize(m_commandBytes, 'x');
    m_leader.m_log->Propose(
      std::move(command), m_clock.Now(), [this](const auto& aIndex) {
        m_committed += aIndex ? 1 : 0;
      });
  }

  void ScheduleWrite()
  {
    m_writeTimer.expires_after(kWriteInterval);
    m_writeTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError && !m_stopped) {
        ProposeCommand();
        m_leader.m_log->Flush(m_clock.Now());
        ScheduleWrite();
      }
    });
  }

  size_t m_commandBytes;
  BootClock m_clock;
  asio::io_context m_context;
  // Counts of commands.
  size_t m_proposed = 0;
  size_t m_committed = 0;
  Member m_leader;
  Member m_learner;
  asio::steady_timer m_writeTimer;
  asio::steady_timer m_readTimer;
  TimePoint m_addedAt;
  bool m_addRefused = false;
  std::optional<Duration> m_catchUpTime;
  bool m_stopped = false;
};

} // namespace

TEST_CASE("a learner catches up on a link without loss")
{
  CatchUpRun run(0, 1);
  run.AddLearner();
  run.RunUntilCaughtUp(Milliseconds(1000));
  run.CheckCatchUp();
  CHECK(run.StatesBecomeEqual(Milliseconds(500)));
}

// Failed while bulk data went in batches that a lossy path cannot carry in
// time.
TEST_CASE("a learner catches up in time on links that lose packets")
{
  const uint32_t seed = GENERATE(1U, 2U, 3U);
  CAPTURE(seed);
  CatchUpRun run(0.05, seed);
  run.AddLearner();
  run.RunUntilCaughtUp(kMaxCatchUpTime);
  run.CheckCatchUp();
}

// Failed while each reply to a heartbeat or a read started the snapshot again.
TEST_CASE("a learner gets a snapshot of several chunks from a young log")
{
  const uint32_t seed = GENERATE(1U, 2U, 3U);
  const int readsPerSecond = GENERATE(0, 10, 50);
  const double loss = 0.05;
  CAPTURE(seed, readsPerSecond, loss);
  CatchUpRun run(loss, seed, 60, 10 * 1024, 190 * 1024);
  run.AddLearner();
  if (readsPerSecond > 0) {
    run.ScheduleRead(std::chrono::milliseconds(1000 / readsPerSecond));
  }
  run.RunUntilCaughtUp(kMaxCatchUpTime);
  run.CheckCatchUp();
}

} // namespace rattanloft::coordinator
