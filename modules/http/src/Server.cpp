#include "rattanloft/http/Server.h"

#include <algorithm>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Session.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// Rejected connections that may be open at once to deliver their 503.
constexpr size_t kMaxRejecting = 64;
constexpr Duration kMaxSweepInterval = Milliseconds(250);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

void
StartSession(const std::shared_ptr<ServerCore>& aCore, tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  const size_t open = aCore->m_sessions.size();
  const size_t bound = aCore->m_options.m_maxConnections;
  if (open >= bound + kMaxRejecting) {
    return;
  }
  const auto session = std::make_shared<Session>(aCore, std::move(aSocket));
  if (open >= bound) {
    asio::co_spawn(executor, session->Reject(), asio::detached);
    return;
  }
  asio::co_spawn(executor, session->Run(), asio::detached);
}

asio::awaitable<void>
AcceptLoop(std::shared_ptr<ServerCore> aCore)
{
  while (aCore->m_acceptor.is_open()) {
    auto [error, socket] = co_await aCore->m_acceptor.async_accept(kToken);
    if (!error) {
      StartSession(aCore, std::move(socket));
      continue;
    }
    if (!aCore->m_acceptor.is_open()) {
      break;
    }
    // Usually too many open files; trying again at once would spin.
    LogWarning("http", "cannot accept: {}", error.message());
    asio::steady_timer pause(aCore->m_acceptor.get_executor(), kAcceptPause);
    co_await pause.async_wait(kToken);
  }
}

// Connections whose handshake is complete would be reset with the listener.
void
AcceptWaiting(const std::shared_ptr<ServerCore>& aCore)
{
  error_code error;
  aCore->m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(aCore->m_acceptor.get_executor());
    aCore->m_acceptor.accept(socket, error);
    if (!error) {
      StartSession(aCore, std::move(socket));
    }
  }
}

Duration
SweepInterval(const ServerOptions& aOptions)
{
  const Duration shortest = std::min({ aOptions.m_readTimeout,
                                       aOptions.m_idleTimeout,
                                       aOptions.m_writeTimeout });
  return std::clamp(shortest / 4, Milliseconds(5), kMaxSweepInterval);
}

asio::awaitable<void>
SweepLoop(std::shared_ptr<ServerCore> aCore)
{
  const std::chrono::milliseconds interval(
    SweepInterval(aCore->m_options).m_ms);
  while (aCore->m_acceptor.is_open() || !aCore->m_sessions.empty()) {
    aCore->m_sweep.expires_after(interval);
    co_await aCore->m_sweep.async_wait(kToken);
    const TimePoint now = aCore->m_clock.Now();
    for (Session* session : aCore->m_sessions) {
      session->CheckDeadline(now);
    }
  }
}

class ServerImpl final : public Server
{
public:
  explicit ServerImpl(std::shared_ptr<ServerCore> aCore)
    : m_core(std::move(aCore))
    , m_port(m_core->m_acceptor.local_endpoint().port())
  {
    const auto executor = m_core->m_acceptor.get_executor();
    asio::co_spawn(executor, AcceptLoop(m_core), asio::detached);
    asio::co_spawn(executor, SweepLoop(m_core), asio::detached);
  }

  ~ServerImpl() override
  {
    error_code ignored;
    m_core->m_acceptor.close(ignored);
    m_core->m_sweep.cancel();
    for (Session* session : m_core->m_sessions) {
      session->Close();
    }
  }

  uint16_t Port() const override { return m_port; }
  size_t ConnectionCount() const override { return m_core->m_sessions.size(); }
  asio::awaitable<void> Stop() override;

private:
  std::shared_ptr<ServerCore> m_core;
  uint16_t m_port;
};

asio::awaitable<void>
ServerImpl::Stop()
{
  const std::shared_ptr<ServerCore> core = m_core;
  core->m_stopping = true;
  asio::steady_timer grace(
    core->m_acceptor.get_executor(),
    std::chrono::milliseconds(core->m_options.m_stopGrace.m_ms));
  co_await grace.async_wait(kToken);

  AcceptWaiting(core);
  error_code ignored;
  core->m_acceptor.close(ignored);
  core->m_closeIdle = true;
  for (Session* session : core->m_sessions) {
    session->CloseIfIdle();
  }
  while (!core->m_sessions.empty()) {
    core->m_empty.expires_at(asio::steady_timer::time_point::max());
    co_await core->m_empty.async_wait(kToken);
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
      HttpError{ HttpErrorCode::kAddress,
                 false,
                 fmt::format("{} is not an IP address", aOptions.m_address) });
  }
  const tcp::endpoint endpoint(address, aOptions.m_port);
  const auto core = std::make_shared<ServerCore>(
    aContext, std::move(aOptions), std::move(aHandler));
  tcp::acceptor& acceptor = core->m_acceptor;
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
    return tl::unexpected(HttpError{ HttpErrorCode::kBind,
                                     false,
                                     fmt::format("cannot listen on {}:{}: {}",
                                                 address.to_string(),
                                                 endpoint.port(),
                                                 error.message()) });
  }
  return std::unique_ptr<Server>(std::make_unique<ServerImpl>(core));
}

} // namespace rattanloft::http
