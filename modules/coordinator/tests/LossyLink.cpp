#include "LossyLink.h"

#include <array>
#include <chrono>
#include <random>
#include <set>

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t kSegmentBytes = 1448;
constexpr std::chrono::milliseconds kRetransmissionTimeout{ 200 };

// Two sockets that are closed together.
struct Connection
{
  explicit Connection(tcp::socket aCaller)
    : m_caller(std::move(aCaller))
    , m_target(m_caller.get_executor())
    , m_toTargetTimer(m_caller.get_executor())
    , m_toCallerTimer(m_caller.get_executor())
  {
  }

  void Close()
  {
    error_code ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
    m_toTargetTimer.cancel();
    m_toCallerTimer.cancel();
  }

  tcp::socket m_caller;
  tcp::socket m_target;
  asio::steady_timer m_toTargetTimer;
  asio::steady_timer m_toCallerTimer;
};

// What the coroutines of a link share. They may outlive the link.
struct LinkState
{
  LinkState(asio::io_context& aContext, const LossyLinkOptions& aOptions)
    : m_options(aOptions)
    , m_acceptor(aContext)
    , m_random(aOptions.m_seed)
    , m_isLost(aOptions.m_lossProbability)
  {
  }

  LossyLinkOptions m_options;
  tcp::acceptor m_acceptor;
  std::mt19937 m_random;
  std::bernoulli_distribution m_isLost;
  std::set<std::shared_ptr<Connection>> m_connections;
  uint64_t m_bytesToTarget = 0;
  uint64_t m_lostSegments = 0;
};

using StatePtr = std::shared_ptr<LinkState>;
using ConnectionPtr = std::shared_ptr<Connection>;

// Returns whether the peer has reset the connection. The kernel would still
// hand out bytes that arrived earlier, which the sender of a real path would
// not have sent any more.
bool
IsReset(tcp::socket& aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  return ::getsockopt(
           aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
         error != 0;
}

// Forwards one direction until either side is closed.
asio::awaitable<void>
Forward(StatePtr aState, ConnectionPtr aConnection, bool aToTarget)
{
  Connection& connection = *aConnection;
  tcp::socket& from = aToTarget ? connection.m_caller : connection.m_target;
  tcp::socket& to = aToTarget ? connection.m_target : connection.m_caller;
  asio::steady_timer& timer =
    aToTarget ? connection.m_toTargetTimer : connection.m_toCallerTimer;
  std::array<char, kSegmentBytes> segment{};
  while (from.is_open()) {
    const auto [readError, size] =
      co_await from.async_read_some(asio::buffer(segment), kUseAwaitableTuple);
    if (readError) {
      break;
    }
    if (aState->m_isLost(aState->m_random)) {
      ++aState->m_lostSegments;
      timer.expires_after(kRetransmissionTimeout);
      co_await timer.async_wait(kUseAwaitableTuple);
    }
    if (!from.is_open() || IsReset(from)) {
      break;
    }
    const auto [writeError, written] = co_await asio::async_write(
      to, asio::buffer(segment.data(), size), kUseAwaitableTuple);
    aState->m_bytesToTarget += aToTarget ? written : 0;
    if (writeError) {
      break;
    }
  }
  connection.Close();
  aState->m_connections.erase(aConnection);
}

asio::awaitable<void>
Connect(StatePtr aState, ConnectionPtr aConnection)
{
  aState->m_connections.insert(aConnection);
  const tcp::endpoint target(asio::ip::address_v4::loopback(),
                             aState->m_options.m_targetPort);
  const auto [error] =
    co_await aConnection->m_target.async_connect(target, kUseAwaitableTuple);
  if (error || !aConnection->m_caller.is_open()) {
    aConnection->Close();
    aState->m_connections.erase(aConnection);
    co_return;
  }
  error_code ignored;
  aConnection->m_caller.set_option(tcp::no_delay(true), ignored);
  aConnection->m_target.set_option(tcp::no_delay(true), ignored);
  const auto executor = aConnection->m_caller.get_executor();
  asio::co_spawn(executor, Forward(aState, aConnection, true), asio::detached);
  asio::co_spawn(executor, Forward(aState, aConnection, false), asio::detached);
}

asio::awaitable<void>
Accept(StatePtr aState)
{
  while (aState->m_acceptor.is_open()) {
    auto [error, socket] =
      co_await aState->m_acceptor.async_accept(kUseAwaitableTuple);
    if (error) {
      co_return;
    }
    const auto executor = aState->m_acceptor.get_executor();
    asio::co_spawn(
      executor,
      Connect(aState, std::make_shared<Connection>(std::move(socket))),
      asio::detached);
  }
}

class LossyLinkImpl final : public LossyLink
{
public:
  explicit LossyLinkImpl(StatePtr aState)
    : m_state(std::move(aState))
    , m_port(m_state->m_acceptor.local_endpoint().port())
  {
  }

  ~LossyLinkImpl() override
  {
    error_code ignored;
    m_state->m_acceptor.close(ignored);
    for (const ConnectionPtr& connection : m_state->m_connections) {
      connection->Close();
    }
  }

  LossyLinkImpl(const LossyLinkImpl&) = delete;
  LossyLinkImpl& operator=(const LossyLinkImpl&) = delete;

  std::string Address() const override
  {
    return fmt::format("127.0.0.1:{}", m_port);
  }
  uint64_t BytesToTarget() const override { return m_state->m_bytesToTarget; }
  uint64_t LostSegments() const override { return m_state->m_lostSegments; }

private:
  StatePtr m_state;
  uint16_t m_port;
};

} // namespace

tl::expected<std::unique_ptr<LossyLink>, std::string>
LossyLink::Make(asio::io_context& aContext, LossyLinkOptions aOptions)
{
  auto state = std::make_shared<LinkState>(aContext, aOptions);
  const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
  error_code error;
  state->m_acceptor.open(any.protocol(), error);
  if (!error) {
    state->m_acceptor.bind(any, error);
  }
  if (!error) {
    state->m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(error.message());
  }
  asio::co_spawn(aContext, Accept(state), asio::detached);
  return std::make_unique<LossyLinkImpl>(std::move(state));
}

} // namespace rattanloft::coordinator
