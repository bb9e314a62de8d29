#include "rattanloft/control/ControlInstance.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ControlCore.h"
#include "GrpcServer.h"
#include "OperatorApi.h"
#include "OperatorServer.h"
#include "PeerTransport.h"
#include "ReplicatedState.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/control/GroupText.h"
#include "rattanloft/storage/DataFolder.h"
#include "rattanloft/storage/FileLogStore.h"
#include "rattanloft/storage/FileSnapshotStore.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;

// Time limit for the HTTP server to stop. It waits for running requests, each
// of which may take 5 s.
constexpr std::chrono::milliseconds kStopTimeout{ 6000 };
constexpr std::chrono::milliseconds kStopPollInterval{ 10 };
// Above the timeout of a batch with the largest command. The transport reports
// the loss of a batch.
constexpr Duration kResendDelay = Milliseconds(3500);

ControlError
ToControlError(const storage::StoreError& aError)
{
  return { ControlErrorCode::kDataFolderError, aError.m_message };
}

class ControlInstanceImpl final : public ControlInstance
{
public:
  explicit ControlInstanceImpl(ControlOptions aOptions)
    : m_options(std::move(aOptions))
    , m_stopSignals(m_context)
    , m_stopTimer(m_context)
  {
  }
  ControlInstanceImpl(const ControlInstanceImpl&) = delete;
  ControlInstanceImpl& operator=(const ControlInstanceImpl&) = delete;
  ~ControlInstanceImpl() override
  {
    if (m_grpcShutdownThread.joinable()) {
      m_grpcShutdownThread.join();
    }
  }

  tl::expected<void, ControlError> Open()
  {
    if (m_options.m_stopOnSignals) {
      StopOnSignals();
    }
    if (auto opened = OpenStores(); !opened) {
      return opened;
    }
    if (auto opened = OpenLog(); !opened) {
      return opened;
    }
    return OpenListeners();
  }

  void Run() override
  {
    m_core->Start();
    m_context.run();
  }

  void Stop() override
  {
    asio::post(m_context, [this] { BeginStop(); });
  }

  uint64_t ReplicaId() const override { return m_dataFolder->ReplicaId(); }
  uint16_t GrpcPort() const override { return m_grpcServer->Port(); }
  uint16_t HttpPort() const override { return m_operatorServer->Port(); }

private:
  // Signals are caught from now on, but handled only once Run() has started.
  void StopOnSignals()
  {
    m_stopSignals.add(SIGTERM);
    m_stopSignals.add(SIGINT);
    m_stopSignals.async_wait(
      [this](const boost::system::error_code& aError, int) {
        if (!aError) {
          BeginStop();
        }
      });
  }

  tl::expected<void, ControlError> OpenStores()
  {
    auto folder = storage::DataFolder::Make(m_options.m_dataDir);
    if (!folder) {
      return tl::unexpected(ToControlError(folder.error()));
    }
    m_dataFolder = std::move(*folder);
    auto log = storage::FileLogStore::Make(*m_dataFolder);
    if (!log) {
      return tl::unexpected(ToControlError(log.error()));
    }
    m_logStore = std::move(*log);
    m_snapshotStore =
      std::make_unique<storage::FileSnapshotStore>(*m_dataFolder);
    return {};
  }

  tl::expected<void, ControlError> OpenLog()
  {
    m_transport =
      std::make_unique<PeerTransport>(m_context, m_dataFolder->ReplicaId());
    m_transport->SetMembers(m_options.m_group);
    consensus::ReplicatedLogOptions options;
    options.m_replicaId = m_dataFolder->ReplicaId();
    options.m_seed = RandomId();
    options.m_resendDelay = kResendDelay;
    if (std::ranges::any_of(
          m_options.m_group.members(), [&](const wire::GroupMember& aMember) {
            return aMember.replica_id() == options.m_replicaId;
          })) {
      options.m_bootstrapConfig = m_options.m_group;
    }
    auto log = consensus::ReplicatedLog::Make(options,
                                              *m_logStore,
                                              *m_snapshotStore,
                                              m_state,
                                              *m_transport,
                                              m_clock.Now());
    if (!log) {
      return tl::unexpected(ControlError{ ControlErrorCode::kDataFolderError,
                                          log.error().m_message });
    }
    m_log = std::move(*log);
    m_core = std::make_unique<ControlCore>(
      m_context, m_clock, *m_log, m_state, *m_transport);
    return {};
  }

  tl::expected<void, ControlError> OpenListeners()
  {
    const auto httpAddress = ParseHostPort(m_options.m_httpAddress);
    if (!httpAddress || !ParseHostPort(m_options.m_grpcAddress)) {
      return tl::unexpected(ControlError{
        ControlErrorCode::kInvalidOptions,
        "the gRPC and HTTP addresses must be an IP address and a port each" });
    }
    m_operatorApi = std::make_unique<OperatorApi>(*m_core);
    auto http = OperatorServer::Make(m_context, *httpAddress, *m_operatorApi);
    if (!http) {
      return tl::unexpected(ControlError{ ControlErrorCode::kListenFailed,
                                          std::move(http.error()) });
    }
    m_operatorServer = std::move(*http);
    auto grpc = GrpcServer::Make(m_options.m_grpcAddress, m_context, *m_core);
    if (!grpc) {
      return tl::unexpected(ControlError{ ControlErrorCode::kListenFailed,
                                          std::move(grpc.error()) });
    }
    m_grpcServer = std::move(*grpc);
    return {};
  }

  void BeginStop()
  {
    if (std::exchange(m_stopping, true)) {
      return;
    }
    boost::system::error_code ignored;
    m_stopSignals.cancel(ignored);
    m_core->Stop([this] { StopListeners(); });
  }

  // The shutdown of gRPC waits for calls that need the control thread, so it
  // runs on a separate thread.
  void StopListeners()
  {
    m_operatorServer->Stop([this] { m_httpStopped = true; });
    m_grpcShutdownThread = std::thread([this] {
      m_grpcServer->Shutdown();
      asio::post(m_context, [this] { m_grpcStopped = true; });
    });
    m_transport->Stop();
    m_stopDeadline = std::chrono::steady_clock::now() + kStopTimeout;
    WaitUntilStopped();
  }

  void WaitUntilStopped()
  {
    const bool timedOut = std::chrono::steady_clock::now() > m_stopDeadline;
    const bool callsFinished =
      m_grpcStopped && m_transport->CallsInFlight() == 0;
    if (callsFinished && (m_httpStopped || timedOut)) {
      LogInfo("control", "stopped");
      m_context.stop();
      return;
    }
    m_stopTimer.expires_after(kStopPollInterval);
    m_stopTimer.async_wait(
      [this](const boost::system::error_code&) { WaitUntilStopped(); });
  }

  ControlOptions m_options;
  BootClock m_clock;
  asio::io_context m_context{ 1 };
  asio::signal_set m_stopSignals;
  std::unique_ptr<storage::DataFolder> m_dataFolder;
  std::unique_ptr<storage::FileLogStore> m_logStore;
  std::unique_ptr<storage::FileSnapshotStore> m_snapshotStore;
  std::unique_ptr<PeerTransport> m_transport;
  ReplicatedState m_state;
  std::unique_ptr<consensus::ReplicatedLog> m_log;
  std::unique_ptr<ControlCore> m_core;
  std::unique_ptr<OperatorApi> m_operatorApi;
  std::unique_ptr<OperatorServer> m_operatorServer;
  std::unique_ptr<GrpcServer> m_grpcServer;
  asio::steady_timer m_stopTimer;
  std::chrono::steady_clock::time_point m_stopDeadline;
  std::thread m_grpcShutdownThread;
  bool m_stopping = false;
  bool m_httpStopped = false;
  bool m_grpcStopped = false;
};

} // namespace

tl::expected<std::unique_ptr<ControlInstance>, ControlError>
ControlInstance::Make(ControlOptions aOptions)
{
  auto instance = std::make_unique<ControlInstanceImpl>(std::move(aOptions));
  if (auto opened = instance->Open(); !opened) {
    return tl::unexpected(std::move(opened.error()));
  }
  return instance;
}

tl::expected<uint64_t, ControlError>
InitDataFolder(const std::string& aDataDir)
{
  const auto folder = storage::DataFolder::Make(aDataDir);
  if (!folder) {
    return tl::unexpected(ToControlError(folder.error()));
  }
  return (*folder)->ReplicaId();
}

} // namespace rattanloft::control
