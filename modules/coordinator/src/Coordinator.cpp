#include "rattanloft/coordinator/Coordinator.h"

#include <algorithm>
#include <chrono>
#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "ConfigurationService.h"
#include "FleetControl.h"
#include "InternalCalls.h"
#include "MemberTransport.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Endpoint.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/storage/DataFolder.h"
#include "rattanloft/storage/FileLogStore.h"
#include "rattanloft/storage/FileSnapshotStore.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;
using boost::beast::http::status;

// Pause between two attempts to be listed in the group.
constexpr Duration kJoinInterval = Milliseconds(150);
constexpr Duration kCallTimeout = Milliseconds(500);
// Time for a new leader to take over before the process ends.
constexpr Duration kHandOver = Milliseconds(500);
// Entries between two snapshots; a configuration of 350 routes is about 40 KB.
constexpr uint64_t kSnapshotInterval = 1000;
constexpr uint64_t kKeptEntries = 200;
constexpr uint64_t kMaxBodyBytes = 16 * 1024 * 1024;

bool
IsVoter(const consensus::RaftStatus& aStatus)
{
  return std::ranges::any_of(
    aStatus.m_config.members(), [&](const wire::GroupMember& aMember) {
      return aMember.replica_id() == aStatus.m_replicaId && !aMember.learner();
    });
}

std::string
HostOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

class CoordinatorImpl final : public Coordinator
{
public:
  CoordinatorImpl(CoordinatorOptions aOptions,
                  const OperatorProtocol& aProtocol)
    : m_options(std::move(aOptions))
    , m_protocol(aProtocol)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_reloads(m_context, SIGHUP)
    , m_joinPause(m_context)
  {
    http::ClientOptions options;
    options.m_connectTimeout = Milliseconds(300);
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
            m_folder->ReplicaId(),
            m_options.m_controlAddress,
            m_options.m_internalAddress,
            m_options.m_mayFormGroup,
            m_options.m_toleratedLosses,
            m_log->Status().m_lastIndex);
    m_signals.async_wait([this](const boost::system::error_code& aError, int) {
      if (!aError) {
        asio::co_spawn(m_context, Stop(), asio::detached);
      }
    });
    WaitForReload();
    m_control->Start();
    asio::co_spawn(m_context, KeepJoining(), asio::detached);
    m_context.run();
  }

private:
  tl::expected<void, CoordinatorError> OpenStores()
  {
    auto folder = storage::DataFolder::Make(m_options.m_dataDir);
    if (!folder) {
      return tl::unexpected(CoordinatorError{ folder.error().m_message });
    }
    m_folder = std::move(*folder);
    auto log = storage::FileLogStore::Make(*m_folder);
    if (!log) {
      return tl::unexpected(CoordinatorError{ log.error().m_message });
    }
    m_logStore = std::move(*log);
    m_snapshots = std::make_unique<storage::FileSnapshotStore>(*m_folder);
    return {};
  }

  wire::JoinRequest Self() const
  {
    wire::JoinRequest self;
    self.set_replica_id(m_folder->ReplicaId());
    self.set_internal_address(m_options.m_internalAddress);
    self.set_control_address(m_options.m_controlAddress);
    self.set_zone(m_options.m_zone);
    return self;
  }

  // All first starts are told the same seeds, so exactly one coordinator takes
  // itself for the founder.
  bool IsFounder() const
  {
    return m_options.m_mayFormGroup && !m_options.m_seeds.empty() &&
           std::ranges::min(m_options.m_seeds) == m_options.m_controlAddress;
  }

  tl::expected<void, CoordinatorError> OpenLog()
  {
    m_transport =
      std::make_unique<MemberTransport>(m_context,
                                        m_clock,
                                        *m_client,
                                        m_folder->ReplicaId(),
                                        m_options.m_internalAddress);
    consensus::ReplicatedLogOptions options;
    options.m_replicaId = m_folder->ReplicaId();
    options.m_seed = RandomId();
    options.m_snapshotIntervalEntries = kSnapshotInterval;
    options.m_retainedEntries = kKeptEntries;
    if (IsFounder()) {
      wire::GroupMember& self = *options.m_bootstrapConfig.add_members();
      self.set_replica_id(m_folder->ReplicaId());
      self.set_grpc_address(m_options.m_internalAddress);
      self.set_http_address(m_options.m_controlAddress);
      self.set_zone(m_options.m_zone);
    }
    auto log = consensus::ReplicatedLog::Make(
      options, *m_logStore, *m_snapshots, m_state, *m_transport, m_clock.Now());
    if (!log) {
      return tl::unexpected(CoordinatorError{ log.error().m_message });
    }
    m_log = std::move(*log);
    m_transport->SetMembers(m_log->Status().m_config);
    // A majority survives the tolerated losses and keeps every entry.
    const size_t voters = 2 * size_t{ m_options.m_toleratedLosses } + 1;
    m_control = std::make_unique<FleetControl>(
      m_context, m_clock, *m_log, m_state, *m_transport, voters);
    m_configuration =
      std::make_unique<ConfigurationService>(*m_control, m_protocol, *m_client);
    return {};
  }

  tl::expected<std::unique_ptr<http::Server>, CoordinatorError> Listen(
    const std::string& aAddress,
    http::Server::Handler aHandler)
  {
    const auto endpoint = http::ParseEndpoint(aAddress);
    if (!endpoint) {
      return tl::unexpected(
        CoordinatorError{ "not an IP address and port: " + aAddress });
    }
    http::ServerOptions options;
    options.m_address = endpoint->address().to_string();
    options.m_port = endpoint->port();
    options.m_maxBodyBytes = kMaxBodyBytes;
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
      m_options.m_internalAddress,
      [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
        return OnInternal(std::move(aRequest));
      });
    if (!internal) {
      return tl::unexpected(internal.error());
    }
    m_internal = std::move(*internal);
    auto control = Listen(
      m_options.m_controlAddress,
      [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
        return m_configuration->OnOperator(std::move(aRequest));
      });
    if (!control) {
      return tl::unexpected(control.error());
    }
    m_operators = std::move(*control);
    return {};
  }

  asio::awaitable<http::Response> OnInternal(http::Request aRequest)
  {
    const std::string path(aRequest.target());
    if (path == fleet::kRaftPath) {
      co_return OnRaft(aRequest.body());
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
        co_await m_configuration->OnRelayed(std::move(aRequest));
      co_return response;
    }
    if (path == "/metrics") {
      co_return MakeResponse(status::ok, Metrics());
    }
    co_return MakeResponse(status::not_found, "unknown call\n");
  }

  http::Response OnRaft(const std::string& aBody)
  {
    wire::RaftBatch batch;
    if (!batch.ParseFromString(aBody)) {
      return MakeResponse(status::bad_request, "unreadable batch\n");
    }
    return MakeResponse(status::ok,
                        m_control->OnRaft(batch).SerializeAsString());
  }

  asio::awaitable<http::Response> OnSync(const std::string& aBody)
  {
    wire::FleetSyncRequest request;
    if (!request.ParseFromString(aBody)) {
      co_return MakeResponse(status::bad_request, "unreadable sync\n");
    }
    wire::FleetSyncReply reply = co_await m_control->OnSync(std::move(request));
    co_return MakeResponse(status::ok, reply.SerializeAsString());
  }

  http::Response OnJoin(const std::string& aBody)
  {
    wire::JoinRequest request;
    if (!request.ParseFromString(aBody) || request.replica_id() == 0) {
      return MakeResponse(status::bad_request, "unreadable join\n");
    }
    return MakeResponse(status::ok,
                        m_control->OnJoin(request).SerializeAsString());
  }

  std::string Metrics() const
  {
    const consensus::RaftStatus log = m_log->Status();
    return fmt::format("rattanloft_leading {}\nrattanloft_term {}\n"
                       "rattanloft_commit_index {}\nrattanloft_voters {}\n"
                       "rattanloft_voter {}\n"
                       "rattanloft_configuration_version {}\n"
                       "rattanloft_sidecars {}\n",
                       m_control->IsLeading() ? 1 : 0,
                       log.m_term,
                       log.m_commitIndex,
                       fleet::CountVoters(log.m_config),
                       IsVoter(log) ? 1 : 0,
                       m_state.Current().configuration().version(),
                       m_control->Sidecars());
  }

  // Internal addresses of coordinators that may know the leader.
  std::vector<std::string> Contacts() const
  {
    const std::string port = m_options.m_internalAddress.substr(
      m_options.m_internalAddress.rfind(':'));
    std::vector<std::string> contacts;
    for (const std::string& seed : m_options.m_seeds) {
      contacts.push_back(HostOf(seed) + port);
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

  asio::awaitable<void> KeepJoining()
  {
    size_t turn = 0;
    std::string leader;
    while (!m_stopping) {
      if (!m_control->IsSettled() && !m_control->IsLeading()) {
        const std::vector<std::string> contacts = Contacts();
        std::string contact = std::exchange(leader, {});
        if (contact.empty() && !contacts.empty()) {
          contact = contacts[turn++ % contacts.size()];
        }
        if (!contact.empty() && contact != m_options.m_internalAddress) {
          leader = co_await AskToJoin(contact);
        }
      }
      co_await m_joinPause.Wait(kJoinInterval);
    }
  }

  // The leader's address if the contact names another one.
  asio::awaitable<std::string> AskToJoin(std::string aContact)
  {
    http::Request request =
      MakeInternalRequest(fleet::kJoinPath, Self().SerializeAsString());
    tl::expected<http::Response, http::HttpError> response =
      co_await m_client->Exchange(aContact, std::move(request), kCallTimeout);
    wire::JoinReply reply;
    if (!response || !reply.ParseFromString(response->body()) ||
        reply.leader_address() == aContact) {
      co_return std::string();
    }
    co_return reply.leader_address();
  }

  void WaitForReload()
  {
    m_reloads.async_wait([this](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (m_options.m_readSeeds) {
        m_options.m_seeds = m_options.m_readSeeds();
      }
      LogInfo("control", "event=reload seeds={}", m_options.m_seeds.size());
      WaitForReload();
    });
  }

  asio::awaitable<void> Stop()
  {
    LogInfo("control", "event=stop leading={}", m_control->IsLeading());
    m_stopping = true;
    if (m_control->IsLeading()) {
      m_control->TransferLeadership();
      Event pause(m_context);
      co_await pause.Wait(kHandOver);
    }
    m_context.stop();
  }

  CoordinatorOptions m_options;
  const OperatorProtocol& m_protocol;
  BootClock m_clock;
  asio::io_context m_context{ 1 };
  asio::signal_set m_signals;
  asio::signal_set m_reloads;
  Event m_joinPause;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<storage::DataFolder> m_folder;
  std::unique_ptr<storage::FileLogStore> m_logStore;
  std::unique_ptr<storage::FileSnapshotStore> m_snapshots;
  fleet::FleetState m_state;
  std::unique_ptr<MemberTransport> m_transport;
  std::unique_ptr<consensus::ReplicatedLog> m_log;
  std::unique_ptr<FleetControl> m_control;
  std::unique_ptr<ConfigurationService> m_configuration;
  std::unique_ptr<http::Server> m_internal;
  std::unique_ptr<http::Server> m_operators;
  bool m_stopping = false;
};

} // namespace

tl::expected<std::unique_ptr<Coordinator>, CoordinatorError>
Coordinator::Make(CoordinatorOptions aOptions,
                  const OperatorProtocol& aProtocol)
{
  auto coordinator =
    std::make_unique<CoordinatorImpl>(std::move(aOptions), aProtocol);
  if (auto opened = coordinator->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return coordinator;
}

} // namespace rattanloft::coordinator
