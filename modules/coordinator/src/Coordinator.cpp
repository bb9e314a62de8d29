#include "rattanloft/coordinator/Coordinator.h"

#include <algorithm>
#include <chrono>
#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "ConfigurationService.h"
#include "EvacuationService.h"
#include "FleetControl.h"
#include "InternalCalls.h"
#include "LeaderRelay.h"
#include "LogOptions.h"
#include "MemberTransport.h"
#include "OperatorResponses.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Endpoint.h"
#include "rattanloft/http/OverloadReport.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/overload/ConnectionLimits.h"
#include "rattanloft/overload/MemoryBudget.h"
#include "rattanloft/storage/DataFolder.h"
#include "rattanloft/storage/FileLogStore.h"
#include "rattanloft/storage/FileSnapshotStore.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;
using boost::beast::http::status;

// Delay between two join requests of a coordinator that is not a member yet.
constexpr Duration kJoinRetryInterval = Milliseconds(150);
constexpr Duration kJoinCallTimeout = Milliseconds(500);
// Time that a stopping leader leaves for another coordinator to take over
// before the process ends.
constexpr Duration kLeadershipTransferDelay = Milliseconds(500);
constexpr uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
// Above the largest configuration that a command of the log can hold. The
// parsed form of a document may take 25 times as much.
constexpr uint64_t kMaxOperatorBodyBytes = 2 * 1024 * 1024;
// Connections of the listeners and of the client if there are file descriptors
// enough: the limits of earlier releases.
constexpr size_t kListenerConnections = 1064;
constexpr size_t kClientConnections = 512;
// Names of the listeners in metrics.
constexpr std::string_view kOperatorListener = "operators";
constexpr std::string_view kMemberListener = "members";

// Returns the part before the port.
std::string
ExtractHost(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

class CoordinatorImpl final : public Coordinator
{
public:
  CoordinatorImpl(CoordinatorOptions aOptions,
                  const OperatorProtocol& aProtocol,
                  overload::ConnectionLimits aConnections)
    : m_options(std::move(aOptions))
    , m_protocol(aProtocol)
    , m_connectionLimits(std::move(aConnections))
    , m_memoryBudget(
        std::make_shared<overload::MemoryBudget>(m_options.m_memoryBudgetBytes,
                                                 m_clock))
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_reloadSignals(m_context, SIGHUP)
    , m_joinRetryTimer(m_context)
  {
    http::ClientOptions options;
    options.m_connectTimeout = Milliseconds(300);
    options.m_memoryBudget = m_memoryBudget;
    options.m_maxTotalConnections = m_connectionLimits.Limit("client");
    options.m_maxConnectionsPerPeer =
      std::min(options.m_maxConnectionsPerPeer, options.m_maxTotalConnections);
    http::LogMemoryStates(*m_memoryBudget);
    m_client = http::Client::Make(m_context, options);
  }

  tl::expected<void, CoordinatorError> Open()
  {
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
    LogInfo("control",
            "event=start replica={:016x} control={} internal={} may_form={} "
            "tolerated_losses={} last_index={}",
            m_dataFolder->ReplicaId(),
            m_options.m_controlAddress,
            m_options.m_internalAddress,
            m_options.m_mayFormGroup,
            m_options.m_toleratedLosses,
            m_log->Status().m_lastIndex);
    m_stopSignals.async_wait(
      [this](const boost::system::error_code& aError, int) {
        if (!aError) {
          asio::co_spawn(m_context, Stop(), asio::detached);
        }
      });
    WaitForReload();
    m_fleetControl->Start();
    asio::co_spawn(m_context, RunJoinLoop(), asio::detached);
    m_context.run();
  }

private:
  tl::expected<void, CoordinatorError> OpenStores()
  {
    auto folder = storage::DataFolder::Make(m_options.m_dataDir);
    if (!folder) {
      return tl::unexpected(CoordinatorError{ folder.error().m_message });
    }
    m_dataFolder = std::move(*folder);
    auto log = storage::FileLogStore::Make(*m_dataFolder);
    if (!log) {
      return tl::unexpected(CoordinatorError{ log.error().m_message });
    }
    m_logStore = std::move(*log);
    m_snapshotStore =
      std::make_unique<storage::FileSnapshotStore>(*m_dataFolder);
    return {};
  }

  wire::JoinRequest MakeJoinRequest() const
  {
    wire::JoinRequest request;
    request.set_replica_id(m_dataFolder->ReplicaId());
    request.set_internal_address(m_options.m_internalAddress);
    request.set_control_address(m_options.m_controlAddress);
    request.set_zone(m_options.m_zone);
    return request;
  }

  // On the first start of the fleet all coordinators have the same seed
  // addresses, so exactly one of them is the founder.
  bool IsFounder() const
  {
    return m_options.m_mayFormGroup && !m_options.m_seedAddresses.empty() &&
           std::ranges::min(m_options.m_seedAddresses) ==
             m_options.m_controlAddress;
  }

  tl::expected<void, CoordinatorError> OpenLog()
  {
    m_transport =
      std::make_unique<MemberTransport>(m_context,
                                        m_clock,
                                        *m_client,
                                        m_dataFolder->ReplicaId(),
                                        m_options.m_internalAddress);
    consensus::ReplicatedLogOptions options =
      MakeLogOptions(m_dataFolder->ReplicaId(), RandomId());
    if (IsFounder()) {
      wire::GroupMember& self = *options.m_bootstrapConfig.add_members();
      self.set_replica_id(m_dataFolder->ReplicaId());
      self.set_grpc_address(m_options.m_internalAddress);
      self.set_http_address(m_options.m_controlAddress);
      self.set_zone(m_options.m_zone);
    }
    auto log = consensus::ReplicatedLog::Make(options,
                                              *m_logStore,
                                              *m_snapshotStore,
                                              m_fleetState,
                                              *m_transport,
                                              m_clock.Now());
    if (!log) {
      return tl::unexpected(CoordinatorError{ log.error().m_message });
    }
    m_log = std::move(*log);
    m_transport->SetMembers(m_log->Status().m_config);
    // With this many voters, a majority survives the tolerated losses, and at
    // least one of them has every committed entry.
    const size_t voters = 2 * size_t{ m_options.m_toleratedLosses } + 1;
    m_fleetControl = std::make_unique<FleetControl>(
      m_context, m_clock, *m_log, m_fleetState, *m_transport, voters);
    m_leaderRelay = std::make_unique<LeaderRelay>(*m_fleetControl, *m_client);
    m_configurationService = std::make_unique<ConfigurationService>(
      *m_fleetControl, m_protocol, *m_leaderRelay);
    m_evacuationService = std::make_unique<EvacuationService>(
      *m_fleetControl, m_protocol, *m_leaderRelay);
    return {};
  }

  tl::expected<std::unique_ptr<http::Server>, CoordinatorError> Listen(
    std::string_view aName,
    const std::string& aAddress,
    uint64_t aMaxBodyBytes,
    http::Server::Handler aHandler)
  {
    const auto endpoint = http::ParseEndpoint(aAddress);
    if (!endpoint) {
      return tl::unexpected(CoordinatorError{
        "listen address is not an IP address and port: " + aAddress });
    }
    http::ServerOptions options;
    options.m_address = endpoint->address().to_string();
    options.m_port = endpoint->port();
    options.m_maxBodyBytes = aMaxBodyBytes;
    options.m_memoryBudget = m_memoryBudget;
    const size_t limit = m_connectionLimits.Limit(aName);
    options.m_maxRejectedConnections =
      std::min(options.m_maxRejectedConnections, limit / 4);
    options.m_maxConnections = limit - options.m_maxRejectedConnections;
    options.m_isControl = aName == kMemberListener;
    auto server =
      http::Server::Make(m_context, std::move(options), std::move(aHandler));
    if (!server) {
      return tl::unexpected(CoordinatorError{ server.error().m_message });
    }
    return std::move(*server);
  }

  tl::expected<void, CoordinatorError> OpenListeners()
  {
    auto internal = Listen(
      kMemberListener,
      m_options.m_internalAddress,
      kMaxBodyBytes,
      [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
        return OnInternalRequest(std::move(aRequest));
      });
    if (!internal) {
      return tl::unexpected(internal.error());
    }
    m_internalServer = std::move(*internal);
    auto control = Listen(
      kOperatorListener,
      m_options.m_controlAddress,
      kMaxOperatorBodyBytes,
      [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
        return OnOperatorRequest(std::move(aRequest));
      });
    if (!control) {
      return tl::unexpected(control.error());
    }
    m_operatorServer = std::move(*control);
    return {};
  }

  asio::awaitable<http::Response> OnOperatorRequest(http::Request aRequest)
  {
    const std::string method(aRequest.method_string());
    const std::string target(aRequest.target());
    const OperatorCall call = m_protocol.Classify(method, target);
    http::Response response;
    switch (call) {
      case OperatorCall::kReplaceConfiguration:
      case OperatorCall::kReadConfiguration:
        response = co_await m_configurationService->OnOperatorRequest(
          call, std::move(aRequest));
        break;
      case OperatorCall::kStartEvacuation:
      case OperatorCall::kEndEvacuation:
        response = co_await m_evacuationService->OnOperatorRequest(
          call, std::move(aRequest));
        break;
      case OperatorCall::kOther:
        response = MakeErrorResponse(status::not_found, "path", "unknown call");
        break;
    }
    co_return response;
  }

  asio::awaitable<http::Response> OnInternalRequest(http::Request aRequest)
  {
    const std::string path(aRequest.target());
    if (path == fleet::kRaftPath) {
      co_return OnRaftBatch(aRequest.body());
    }
    if (path == fleet::kSyncPath) {
      http::Response response = co_await OnSync(aRequest.body());
      co_return response;
    }
    if (path == fleet::kJoinPath) {
      co_return OnJoin(aRequest.body());
    }
    if (path.starts_with(fleet::kConfigurationPath)) {
      http::Response response =
        co_await m_configurationService->OnRelayedRequest(std::move(aRequest));
      co_return response;
    }
    if (path == fleet::kEvacuationPath) {
      http::Response response =
        co_await m_evacuationService->OnRelayedRequest(std::move(aRequest));
      co_return response;
    }
    if (path == "/metrics") {
      co_return MakeResponse(status::ok, FormatMetrics());
    }
    co_return MakeResponse(status::not_found, "unknown call\n");
  }

  http::Response OnRaftBatch(const http::Body& aBody)
  {
    wire::RaftBatch batch;
    if (!http::ParseMessage(aBody, batch)) {
      return MakeResponse(status::bad_request, "unreadable batch\n");
    }
    return MakeResponse(status::ok,
                        m_fleetControl->OnRaftBatch(batch).SerializeAsString());
  }

  asio::awaitable<http::Response> OnSync(const http::Body& aBody)
  {
    wire::FleetSyncRequest request;
    if (!http::ParseMessage(aBody, request)) {
      co_return MakeResponse(status::bad_request, "unreadable sync\n");
    }
    wire::FleetSyncReply reply =
      co_await m_fleetControl->OnSync(std::move(request));
    co_return MakeResponse(status::ok, reply.SerializeAsString());
  }

  http::Response OnJoin(const http::Body& aBody)
  {
    wire::JoinRequest request;
    if (!http::ParseMessage(aBody, request) || request.replica_id() == 0) {
      return MakeResponse(status::bad_request, "unreadable join\n");
    }
    return MakeResponse(status::ok,
                        m_fleetControl->OnJoin(request).SerializeAsString());
  }

  std::string FormatMetrics() const
  {
    const consensus::RaftStatus log = m_log->Status();
    return fmt::format("rattanloft_leading {}\nrattanloft_term {}\n"
                       "rattanloft_commit_index {}\nrattanloft_voters {}\n"
                       "rattanloft_voter {}\n"
                       "rattanloft_lost_voters {}\n"
                       "rattanloft_has_leader {}\n"
                       "rattanloft_storage_failed {}\n"
                       "rattanloft_configuration_version {}\n"
                       "rattanloft_sidecars {}\n"
                       "rattanloft_pending_transfers {}\n"
                       "rattanloft_open_assignments {}\n"
                       "rattanloft_evacuated_zones {}\n"
                       "rattanloft_departures {}\n",
                       m_fleetControl->IsLeading() ? 1 : 0,
                       log.m_term,
                       log.m_commitIndex,
                       fleet::CountVoters(log.m_config),
                       fleet::IsVoter(log.m_config, log.m_replicaId) ? 1 : 0,
                       m_fleetControl->CountLostVoters(),
                       log.m_leaderId != 0 ? 1 : 0,
                       log.m_storageFailed ? 1 : 0,
                       m_fleetState.CurrentChange().configuration().version(),
                       m_fleetControl->CountSidecars(),
                       m_fleetControl->CountPendingTransfers(),
                       m_fleetControl->CountOpenCommands(),
                       m_fleetControl->CountEvacuatedZones(),
                       m_fleetControl->CountDepartures()) +
           http::FormatOverloadMetrics(
             *m_memoryBudget,
             { { kOperatorListener, m_operatorServer.get() },
               { kMemberListener, m_internalServer.get() } });
  }

  // Returns the internal addresses of other coordinators, from the seeds and
  // the group configuration. Any of them may know the leader.
  std::vector<std::string> ListContacts() const
  {
    const std::string port = m_options.m_internalAddress.substr(
      m_options.m_internalAddress.rfind(':'));
    std::vector<std::string> contacts;
    for (const std::string& seed : m_options.m_seedAddresses) {
      contacts.push_back(ExtractHost(seed) + port);
    }
    const consensus::RaftStatus status = m_log->Status();
    for (const wire::GroupMember& member : status.m_config.members()) {
      contacts.push_back(member.grpc_address());
    }
    std::erase(contacts, m_options.m_internalAddress);
    std::ranges::sort(contacts);
    contacts.erase(std::unique(contacts.begin(), contacts.end()),
                   contacts.end());
    return contacts;
  }

  // Sends join requests until this replica is a member of the group; starts
  // again if it is removed.
  asio::awaitable<void> RunJoinLoop()
  {
    size_t nextContact = 0;
    std::string leader;
    while (!m_stopping) {
      if (!m_fleetControl->HasJoinedGroup() && !m_fleetControl->IsLeading()) {
        const std::vector<std::string> contacts = ListContacts();
        std::string contact = std::exchange(leader, {});
        if (contact.empty() && !contacts.empty()) {
          contact = contacts[nextContact++ % contacts.size()];
        }
        if (!contact.empty() && contact != m_options.m_internalAddress) {
          leader = co_await SendJoinRequest(contact);
        }
      }
      co_await m_joinRetryTimer.Wait(kJoinRetryInterval);
    }
  }

  // Returns the leader's address if the contact names another coordinator as
  // the leader, otherwise an empty string.
  asio::awaitable<std::string> SendJoinRequest(std::string aContact)
  {
    http::Request request = MakeInternalRequest(
      fleet::kJoinPath, MakeJoinRequest().SerializeAsString());
    tl::expected<http::Response, http::HttpError> response =
      co_await m_client->Exchange(
        aContact, std::move(request), kJoinCallTimeout);
    wire::JoinReply reply;
    if (!response || !http::ParseMessage(response->body(), reply) ||
        reply.leader_address() == aContact) {
      co_return std::string();
    }
    co_return reply.leader_address();
  }

  void WaitForReload()
  {
    m_reloadSignals.async_wait(
      [this](const boost::system::error_code& aError, int) {
        if (aError) {
          return;
        }
        if (m_options.m_reloadSeedAddresses) {
          m_options.m_seedAddresses = m_options.m_reloadSeedAddresses();
        }
        LogInfo(
          "control", "event=reload seeds={}", m_options.m_seedAddresses.size());
        WaitForReload();
      });
  }

  asio::awaitable<void> Stop()
  {
    LogInfo("control", "event=stop leading={}", m_fleetControl->IsLeading());
    m_stopping = true;
    if (m_fleetControl->IsLeading()) {
      m_fleetControl->TransferLeadership();
      AsyncCondition pause(m_context);
      co_await pause.Wait(kLeadershipTransferDelay);
    }
    m_context.stop();
  }

  CoordinatorOptions m_options;
  const OperatorProtocol& m_protocol;
  BootClock m_clock;
  overload::ConnectionLimits m_connectionLimits;
  std::shared_ptr<overload::MemoryBudget> m_memoryBudget;
  asio::io_context m_context{ 1 };
  asio::signal_set m_stopSignals;
  asio::signal_set m_reloadSignals;
  AsyncCondition m_joinRetryTimer;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<storage::DataFolder> m_dataFolder;
  std::unique_ptr<storage::FileLogStore> m_logStore;
  std::unique_ptr<storage::FileSnapshotStore> m_snapshotStore;
  fleet::FleetState m_fleetState;
  std::unique_ptr<MemberTransport> m_transport;
  std::unique_ptr<consensus::ReplicatedLog> m_log;
  std::unique_ptr<FleetControl> m_fleetControl;
  std::unique_ptr<LeaderRelay> m_leaderRelay;
  std::unique_ptr<ConfigurationService> m_configurationService;
  std::unique_ptr<EvacuationService> m_evacuationService;
  std::unique_ptr<http::Server> m_internalServer;
  std::unique_ptr<http::Server> m_operatorServer;
  bool m_stopping = false;
};

} // namespace

tl::expected<std::unique_ptr<Coordinator>, CoordinatorError>
Coordinator::Make(CoordinatorOptions aOptions,
                  const OperatorProtocol& aProtocol)
{
  // One body of the largest size, for which a batch of the log is read.
  if (overload::MemoryBudget::MaxChargeBytes(aOptions.m_memoryBudgetBytes,
                                             overload::ChargeKind::kLargeBody) <
      kMaxBodyBytes) {
    return tl::unexpected(CoordinatorError{ fmt::format(
      "a memory budget of {} bytes has no room for a body of {} bytes",
      aOptions.m_memoryBudgetBytes,
      kMaxBodyBytes) });
  }
  auto connections = overload::ConnectionLimits::Make(
    aOptions.m_maxOpenFiles,
    { { std::string(kOperatorListener), kListenerConnections },
      { std::string(kMemberListener), kListenerConnections },
      { "client", kClientConnections } });
  if (!connections) {
    return tl::unexpected(CoordinatorError{ connections.error() });
  }
  auto coordinator = std::make_unique<CoordinatorImpl>(
    std::move(aOptions), aProtocol, std::move(*connections));
  if (auto opened = coordinator->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return coordinator;
}

} // namespace rattanloft::coordinator
