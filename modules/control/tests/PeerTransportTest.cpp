#include "PeerTransport.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "GrpcServer.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr uint64_t kOwnId = 1;
constexpr uint64_t kPeerId = 2;
// As in modules/consensus.
constexpr std::chrono::milliseconds kHeartbeatInterval{ 100 };
constexpr std::chrono::milliseconds kMaxElectionTimeout{ 800 };
constexpr size_t kChunkBytes = 240 * 1024;

// An io_context that runs on its own thread.
class ContextThread
{
public:
  ~ContextThread() { Stop(); }

  void Stop()
  {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  asio::io_context m_context{ 1 };

private:
  asio::executor_work_guard<asio::io_context::executor_type> m_work =
    asio::make_work_guard(m_context);
  std::thread m_thread{ [this] { m_context.run(); } };
};

// A link to one listener that carries few bytes a second towards it.
class SlowLink
{
public:
  SlowLink(uint16_t aTargetPort, double aBytesPerSecond)
    : m_target(asio::ip::address_v4::loopback(), aTargetPort)
    , m_bytesPerSecond(aBytesPerSecond)
    , m_acceptor(m_thread.m_context,
                 tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    // Otherwise the system takes whole batches at once.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    m_port = m_acceptor.local_endpoint().port();
    asio::post(m_thread.m_context, [this] { Accept(); });
  }

  // The acceptor must not be destroyed while the thread uses it.
  ~SlowLink() { m_thread.Stop(); }

  SlowLink(const SlowLink&) = delete;
  SlowLink& operator=(const SlowLink&) = delete;

  uint16_t Port() const { return m_port; }

private:
  struct Flow
  {
    std::shared_ptr<tcp::socket> m_from;
    std::shared_ptr<tcp::socket> m_to;
    std::shared_ptr<asio::steady_timer> m_timer;
    double m_bytesPerSecond = 0;
    std::array<char, 4096> m_buffer{};
  };

  void Accept()
  {
    auto caller = std::make_shared<tcp::socket>(m_thread.m_context);
    m_acceptor.async_accept(
      *caller, [this, caller](const boost::system::error_code& aError) {
        if (aError) {
          return;
        }
        auto target = std::make_shared<tcp::socket>(m_thread.m_context);
        boost::system::error_code error;
        target->connect(m_target, error);
        if (!error) {
          Start(caller, target, m_bytesPerSecond);
          Start(target, caller, 0);
        }
        Accept();
      });
  }

  void Start(std::shared_ptr<tcp::socket> aFrom,
             std::shared_ptr<tcp::socket> aTo,
             double aBytesPerSecond)
  {
    auto flow = std::make_shared<Flow>();
    flow->m_from = std::move(aFrom);
    flow->m_to = std::move(aTo);
    flow->m_timer = std::make_shared<asio::steady_timer>(m_thread.m_context);
    flow->m_bytesPerSecond = aBytesPerSecond;
    Forward(flow);
  }

  static void Forward(const std::shared_ptr<Flow>& aFlow)
  {
    aFlow->m_from->async_read_some(
      asio::buffer(aFlow->m_buffer),
      [aFlow](boost::system::error_code aError, size_t aBytes) {
        if (!aError) {
          asio::write(
            *aFlow->m_to, asio::buffer(aFlow->m_buffer.data(), aBytes), aError);
        }
        if (aError) {
          aFlow->m_from->close(aError);
          aFlow->m_to->close(aError);
          return;
        }
        if (aFlow->m_bytesPerSecond == 0) {
          Forward(aFlow);
          return;
        }
        aFlow->m_timer->expires_after(std::chrono::microseconds(
          static_cast<int64_t>(static_cast<double>(aBytes) * 1'000'000 /
                               aFlow->m_bytesPerSecond)));
        aFlow->m_timer->async_wait([aFlow](boost::system::error_code aWait) {
          if (!aWait) {
            Forward(aFlow);
          }
        });
      });
  }

  tcp::endpoint m_target;
  double m_bytesPerSecond;
  uint16_t m_port = 0;
  ContextThread m_thread;
  tcp::acceptor m_acceptor;
};

// Notes what arrives at the peer.
class Receiver final : public GrpcCallHandler
{
public:
  void OnRaftBatch(const wire::RaftBatch& aBatch) override
  {
    const std::lock_guard lock(m_mutex);
    const auto now = Clock::now();
    m_longestSilence = std::max(m_longestSilence, now - m_lastBatchAt);
    m_lastBatchAt = now;
    for (const wire::RaftMessage& message : aBatch.messages()) {
      m_chunkCount += message.chunk().empty() ? 0 : 1;
    }
  }
  void OnSync(uint64_t, const wire::SyncRequest&, SyncResponder) override {}
  void OnSyncCancelled(uint64_t) override {}

  int ChunkCount() const
  {
    const std::lock_guard lock(m_mutex);
    return m_chunkCount;
  }
  Clock::duration LongestSilence() const
  {
    const std::lock_guard lock(m_mutex);
    return std::max(m_longestSilence, Clock::now() - m_lastBatchAt);
  }

private:
  mutable std::mutex m_mutex;
  Clock::time_point m_lastBatchAt = Clock::now();
  Clock::duration m_longestSilence{};
  int m_chunkCount = 0;
};

wire::RaftMessage
MakeMessage(size_t aChunkBytes)
{
  wire::RaftMessage message;
  message.set_from(kOwnId);
  message.set_to(kPeerId);
  message.set_kind(aChunkBytes > 0 ? wire::RAFT_MESSAGE_SNAPSHOT_CHUNK
                                   : wire::RAFT_MESSAGE_APPEND);
  message.set_chunk(std::string(aChunkBytes, 'c'));
  return message;
}

// A transport whose batches pass a slow link to the peer.
class SlowPeer
{
public:
  explicit SlowPeer(double aBytesPerSecond)
    : m_server(
        *GrpcServer::Make("127.0.0.1:0", m_serverThread.m_context, m_receiver))
    , m_link(m_server->Port(), aBytesPerSecond)
  {
    wire::GroupConfig config;
    wire::GroupMember& member = *config.add_members();
    member.set_replica_id(kPeerId);
    member.set_grpc_address("127.0.0.1:" + std::to_string(m_link.Port()));
    m_transport.SetMembers(config);
  }

  ~SlowPeer()
  {
    m_transport.Stop();
    while (m_transport.CallsInFlight() > 0) {
      m_context.restart();
      m_context.run_for(std::chrono::milliseconds(10));
    }
    m_server->Shutdown();
  }

  SlowPeer(const SlowPeer&) = delete;
  SlowPeer& operator=(const SlowPeer&) = delete;

  // Does as the leader: sends a heartbeat at each interval, and the chunk again
  // until the peer has it.
  void SendUntilReceived(std::chrono::seconds aLimit)
  {
    const auto end = Clock::now() + aLimit;
    while (m_receiver.ChunkCount() == 0 && Clock::now() < end) {
      m_transport.Send(MakeMessage(kChunkBytes));
      m_transport.Send(MakeMessage(0));
      m_context.restart();
      const auto nextAt = Clock::now() + kHeartbeatInterval;
      while (Clock::now() < nextAt) {
        m_context.restart();
        m_context.run_until(nextAt);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
  }

  Receiver m_receiver;
  asio::io_context m_context{ 1 };
  PeerTransport m_transport{ m_context, kOwnId };

private:
  ContextThread m_serverThread;
  std::unique_ptr<GrpcServer> m_server;
  SlowLink m_link;
};

} // namespace

// Guards against a large message that is cut off and sent again from its
// beginning, beside copies of itself, and never arrives.
TEST_CASE("A large message arrives over a slow link")
{
  const double secondsPerChunk = GENERATE(0.2, 0.6, 2.0);
  CAPTURE(secondsPerChunk);
  SlowPeer peer(kChunkBytes / secondsPerChunk);
  peer.SendUntilReceived(std::chrono::seconds(12));
  CAPTURE(peer.m_transport.Counters().m_batchesFailed);
  CHECK(peer.m_receiver.ChunkCount() > 0);
}

// Guards against a follower that starts an election since the heartbeats wait
// behind large messages.
TEST_CASE("Heartbeats pass large messages on a slow link")
{
  const double secondsPerChunk = GENERATE(0.2, 0.6, 2.0);
  CAPTURE(secondsPerChunk);
  SlowPeer peer(kChunkBytes / secondsPerChunk);
  peer.SendUntilReceived(std::chrono::seconds(12));
  const auto longestSilence =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      peer.m_receiver.LongestSilence());
  CHECK(longestSilence.count() < kMaxElectionTimeout.count());
}

} // namespace rattanloft::control
