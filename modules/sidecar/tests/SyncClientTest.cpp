#include "SyncClient.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "rattanloft/fleet/FleetLeader.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kPollInterval{ 5 };
const std::string kLeaderAddress = "10.0.0.1:7600";
// Another coordinator, which names the leader.
const std::string kFollowerAddress = "10.0.0.2:7600";

// The link of a sidecar to two coordinators. All packets to the sidecar wait
// for the same time. An exchange needs a connection, as with the real client.
class DelayedLink final : public http::Client
{
public:
  explicit DelayedLink(const Clock& aClock)
    : m_clock(aClock)
    , m_leader(m_state, 1, {}, aClock.Now())
  {
  }

  void SetDelay(Duration aDelay) { m_delay = aDelay; }

  void ReplaceConfiguration(uint64_t aVersion)
  {
    wire::FleetCommand command;
    wire::ReplaceConfiguration& change =
      *command.mutable_replace_configuration();
    change.set_base_version(m_state.CurrentChange().configuration().version());
    change.mutable_configuration()->set_version(aVersion);
    m_state.Apply(++m_index, command.SerializeAsString());
  }

  asio::awaitable<tl::expected<http::Response, http::HttpError>> Exchange(
    std::string aPeer,
    http::Request aRequest,
    Duration aTimeout,
    std::shared_ptr<http::CancelToken> /*aCancel*/) override
  {
    const TimePoint deadline = m_clock.Now() + aTimeout;
    int& idleConnections = m_idleConnections[aPeer];
    if (idleConnections > 0) {
      --idleConnections;
    } else {
      const TimePoint connectDeadline = std::min(
        deadline,
        m_clock.Now() + SyncClient::MakeClientOptions().m_connectTimeout);
      const bool connected = co_await PassLink(connectDeadline);
      if (!connected) {
        co_return tl::unexpected(http::HttpError{
          http::HttpErrorCode::kConnectFailed, false, "no connection" });
      }
    }
    wire::FleetSyncRequest sync;
    REQUIRE(sync.ParseFromString(aRequest.body()));
    wire::FleetSyncReply reply;
    if (aPeer == kLeaderAddress) {
      reply = co_await AskLeader(sync);
    } else {
      reply.set_leader_address(kLeaderAddress);
    }
    const bool received = co_await PassLink(deadline);
    if (!received) {
      co_return tl::unexpected(
        http::HttpError{ http::HttpErrorCode::kTimeout, true, "timed out" });
    }
    ++idleConnections;
    http::Response response;
    response.body() = reply.SerializeAsString();
    co_return response;
  }

  void CloseIdleConnections(std::string_view) override {}
  size_t ConnectionCount() const override { return 0; }

private:
  static asio::awaitable<void> Sleep(std::chrono::milliseconds aDuration)
  {
    asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  // Returns false at the deadline if the packet is still on its way then.
  asio::awaitable<bool> PassLink(TimePoint aDeadline)
  {
    const TimePoint arrival = m_clock.Now() + m_delay;
    while (m_clock.Now() < std::min(arrival, aDeadline)) {
      co_await Sleep(kPollInterval);
    }
    co_return arrival <= aDeadline;
  }

  asio::awaitable<wire::FleetSyncReply> AskLeader(
    const wire::FleetSyncRequest& aRequest)
  {
    wire::FleetSyncReply superseded;
    superseded.set_leading(true);
    if (!m_leader.OnSync(aRequest, m_clock.Now())) {
      co_return superseded;
    }
    m_newestSequence = aRequest.sequence();
    const TimePoint end = m_clock.Now() + m_leader.MaxSyncHold();
    while (!m_leader.HasUpdates(aRequest) && m_clock.Now() < end) {
      if (m_newestSequence != aRequest.sequence()) {
        co_return superseded;
      }
      co_await Sleep(kPollInterval);
    }
    co_return m_leader.BuildReply(aRequest, m_clock.Now());
  }

  const Clock& m_clock;
  fleet::FleetState m_state;
  fleet::FleetLeader m_leader;
  Duration m_delay;
  std::map<std::string, int> m_idleConnections;
  uint64_t m_newestSequence = 0;
  uint64_t m_index = 0;
};

} // namespace

// Guards against a sidecar that gives up each call, and each connection, that
// takes longer than the packets wait on its link.
TEST_CASE("a new configuration arrives over a link on which packets wait")
{
  asio::io_context context{ 1 };
  BootClock clock;
  DelayedLink link(clock);
  link.ReplaceConfiguration(1);
  SidecarOptions options;
  options.m_instance = "n1";
  options.m_coordinators = { kLeaderAddress, kFollowerAddress };
  LocalBackend localBackend("n1", "127.0.0.1:1", Seconds(2), clock.Now());
  FleetDirectory directory;
  const WorkQueue workQueue;
  LoadCounter loadCounter;
  SyncClient syncClient(context,
                        clock,
                        options,
                        link,
                        localBackend,
                        directory,
                        workQueue,
                        loadCounter);
  syncClient.Start();
  const auto waitForVersion = [&](uint64_t aVersion) {
    constexpr Duration kApplyLimit = Seconds(2);
    const TimePoint end = clock.Now() + kApplyLimit;
    while (clock.Now() < end &&
           (!directory.Router() || directory.Router()->Version() < aVersion)) {
      context.run_for(kPollInterval);
    }
    return directory.Router() ? directory.Router()->Version() : 0;
  };
  REQUIRE(waitForVersion(1) == 1);
  const int delayMs = GENERATE(300, 400, 450);
  const int changeAtMs = GENERATE(0, 600, 1100);
  CAPTURE(delayMs, changeAtMs);
  link.SetDelay(Milliseconds(delayMs));
  context.run_for(std::chrono::milliseconds(changeAtMs));
  link.ReplaceConfiguration(2);
  CHECK(waitForVersion(2) == 2);
}

} // namespace rattanloft::sidecar
