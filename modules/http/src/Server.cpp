#include "rattanloft/http/Server.h"

#include <algorithm>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "ServerSession.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Makes operations return their error code instead of throwing.
constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kMaxDeadlineSweepInterval = Milliseconds(250);
// Delay after a failed accept.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
// Time between log lines about failed accepts.
constexpr Duration kAcceptLogInterval = Seconds(5);

void
StartSession(const std::shared_ptr<ServerState>& aServerState,
             tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  const ServerOptions& options = aServerState->m_options;
  const size_t openCount = aServerState->m_sessions.size();
  const bool isFull =
    openCount >= options.m_maxConnections && !aServerState->EvictConnection();
  // Connections that are being closed count as well.
  if (openCount >=
      options.m_maxConnections + options.m_maxRejectedConnections) {
    return;
  }
  const auto session =
    std::make_shared<ServerSession>(aServerState, std::move(aSocket));
  if (!session->TryChargeConnection()) {
    return;
  }
  if (isFull) {
    asio::co_spawn(executor, session->RejectConnection(), asio::detached);
    return;
  }
  asio::co_spawn(executor, session->RunRequestLoop(), asio::detached);
}

asio::awaitable<void>
AcceptLoop(std::shared_ptr<ServerState> aServerState)
{
  TimePoint nextLogAt{};
  while (aServerState->m_acceptor.is_open()) {
    auto [error, socket] =
      co_await aServerState->m_acceptor.async_accept(kUseAwaitableTuple);
    if (!error) {
      StartSession(aServerState, std::move(socket));
      continue;
    }
    if (!aServerState->m_acceptor.is_open()) {
      break;
    }
    // The usual cause is too many open files. An immediate retry would fail
    // again and loop without a pause.
    const bool isEvicted = aServerState->EvictConnection();
    const TimePoint now = aServerState->m_clock.Now();
    if (now >= nextLogAt) {
      nextLogAt = now + kAcceptLogInterval;
      LogWarning("http",
                 "event=accept-failed port={} open={} evicted={} reason=\"{}\"",
                 aServerState->m_options.m_port,
                 aServerState->m_sessions.size(),
                 isEvicted,
                 error.message());
    }
    asio::steady_timer retryTimer(aServerState->m_acceptor.get_executor(),
                                  kAcceptRetryDelay);
    co_await retryTimer.async_wait(kUseAwaitableTuple);
  }
}

// Accepts the connections whose handshake is complete. They would be reset if
// the listener was closed before.
void
AcceptPendingConnections(const std::shared_ptr<ServerState>& aServerState)
{
  error_code error;
  aServerState->m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(aServerState->m_acceptor.get_executor());
    aServerState->m_acceptor.accept(socket, error);
    if (!error) {
      StartSession(aServerState, std::move(socket));
    }
  }
}

// Returns how often to check the deadlines: a fraction of the shortest timeout,
// so that no timeout is exceeded by much.
Duration
DeadlineSweepInterval(const ServerOptions& aOptions)
{
  const Duration shortest = std::min({ aOptions.m_readTimeout,
                                       aOptions.m_idleTimeout,
                                       aOptions.m_writeTimeout });
  return std::clamp(shortest / 4, Milliseconds(5), kMaxDeadlineSweepInterval);
}

// Checks the deadlines of all sessions periodically, until the server has
// stopped and no session is left.
asio::awaitable<void>
DeadlineSweepLoop(std::shared_ptr<ServerState> aServerState)
{
  const std::chrono::milliseconds interval(
    DeadlineSweepInterval(aServerState->m_options).m_ms);
  while (aServerState->m_acceptor.is_open() ||
         !aServerState->m_sessions.empty()) {
    aServerState->m_sweepTimer.expires_after(interval);
    co_await aServerState->m_sweepTimer.async_wait(kUseAwaitableTuple);
    const TimePoint now = aServerState->m_clock.Now();
    for (ServerSession* session : aServerState->m_sessions) {
      session->CheckDeadline(now);
    }
  }
}

class ServerImpl final : public Server
{
public:
  explicit ServerImpl(std::shared_ptr<ServerState> aServerState)
    : m_serverState(std::move(aServerState))
    , m_port(m_serverState->m_acceptor.local_endpoint().port())
  {
    const auto executor = m_serverState->m_acceptor.get_executor();
    asio::co_spawn(executor, AcceptLoop(m_serverState), asio::detached);
    asio::co_spawn(executor, DeadlineSweepLoop(m_serverState), asio::detached);
  }

  ~ServerImpl() override
  {
    error_code ignored;
    m_serverState->m_acceptor.close(ignored);
    m_serverState->m_sweepTimer.cancel();
    for (ServerSession* session : m_serverState->m_sessions) {
      session->Close();
    }
  }

  uint16_t Port() const override { return m_port; }
  size_t ConnectionCount() const override
  {
    return m_serverState->m_sessions.size();
  }
  const ServerCounters& Counters() const override
  {
    return m_serverState->m_counters;
  }
  asio::awaitable<void> Stop() override;

private:
  std::shared_ptr<ServerState> m_serverState;
  uint16_t m_port;
};

asio::awaitable<void>
ServerImpl::Stop()
{
  const std::shared_ptr<ServerState> serverState = m_serverState;
  serverState->m_stopping = true;
  asio::steady_timer graceTimer(
    serverState->m_acceptor.get_executor(),
    std::chrono::milliseconds(serverState->m_options.m_stopGrace.m_ms));
  co_await graceTimer.async_wait(kUseAwaitableTuple);

  AcceptPendingConnections(serverState);
  error_code ignored;
  serverState->m_acceptor.close(ignored);
  serverState->m_closeIdleSessions = true;
  for (ServerSession* session : serverState->m_sessions) {
    session->CloseIfIdle();
  }
  while (!serverState->m_sessions.empty()) {
    serverState->m_noSessionsTimer.expires_at(
      asio::steady_timer::time_point::max());
    co_await serverState->m_noSessionsTimer.async_wait(kUseAwaitableTuple);
  }
}

} // namespace

tl::expected<std::unique_ptr<Server>, HttpError>
Server::Make(asio::io_context& aContext,
             ServerOptions aOptions,
             Handler aHandler)
{
  error_code error;
  const auto address = asio::ip::make_address(aOptions.m_address, error);
  if (error) {
    return tl::unexpected(
      HttpError{ HttpErrorCode::kInvalidAddress,
                 false,
                 fmt::format("{} is not an IP address", aOptions.m_address) });
  }
  const tcp::endpoint endpoint(address, aOptions.m_port);
  const auto serverState = std::make_shared<ServerState>(
    aContext, std::move(aOptions), std::move(aHandler));
  tcp::acceptor& acceptor = serverState->m_acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(HttpError{ HttpErrorCode::kListenFailed,
                                     false,
                                     fmt::format("cannot listen on {}:{}: {}",
                                                 address.to_string(),
                                                 endpoint.port(),
                                                 error.message()) });
  }
  return std::unique_ptr<Server>(std::make_unique<ServerImpl>(serverState));
}

} // namespace rattanloft::http
