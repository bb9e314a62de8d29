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
// for the same time. Replies share the bandwidth of the link evenly. An
// exchange needs a connection, as with the real client.
class DelayedLink final : public http::Client
{
public:
  explicit DelayedLink(const Clock& aClock)
    : m_clock(aClock)
    , m_leader(m_state, 1, {}, aClock.Now())
  {
  }

  void SetDelay(Duration aDelay) { m_delay = aDelay; }
  void SetBytesPerSecond(double aRate) { m_bytesPerSecond = aRate; }
  int FollowerCallCount() const { return m_followerCallCount; }
  // The most calls to one coordinator that were open at the same time.
  int MaxOpenCalls() const { return m_maxOpenCalls; }

  void ReplaceConfiguration(uint64_t aVersion, int aRouteCount = 0)
  {
    constexpr size_t kRouteNameBytes = 100;
    wire::FleetCommand command;
    wire::ReplaceConfiguration& change =
      *command.mutable_replace_configuration();
    for (int i = 0; i < aRouteCount; ++i) {
      std::string name = std::to_string(i);
      name.resize(kRouteNameBytes, 'r');
      change.mutable_configuration()->add_routes()->set_name(name);
    }
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
    m_followerCallCount += aPeer == kFollowerAddress ? 1 : 0;
    const TimePoint deadline = m_clock.Now() + aTimeout;
    std::shared_ptr<int>& openCount = m_openCounts[aPeer];
    if (!openCount) {
      openCount = std::make_shared<int>(0);
    }
    const OpenCall openCall(openCount);
    m_maxOpenCalls = std::max(m_maxOpenCalls, *openCount);
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
    REQUIRE(http::ParseMessage(aRequest.body(), sync));
    wire::FleetSyncReply reply;
    if (aPeer == kLeaderAddress) {
      reply = co_await AskLeader(sync);
    } else {
      reply.set_leader_address(kLeaderAddress);
    }
    http::Response response;
    response.body() = reply.SerializeAsString();
    bool received = co_await Transfer(response.body().size(), deadline);
    if (received) {
      received = co_await PassLink(deadline);
    }
    if (!received) {
      co_return tl::unexpected(
        http::HttpError{ http::HttpErrorCode::kTimeout, true, "timed out" });
    }
    ++idleConnections;
    co_return response;
  }

  void CloseIdleConnections(std::string_view) override {}
  size_t ConnectionCount() const override { return 0; }

private:
  // Counts a call while it exists, which may be longer than the link.
  struct OpenCall
  {
    explicit OpenCall(std::shared_ptr<int> aCount)
      : m_count(std::move(aCount))
    {
      ++*m_count;
    }
    ~OpenCall() { --*m_count; }
    OpenCall(const OpenCall&) = delete;
    OpenCall& operator=(const OpenCall&) = delete;

    std::shared_ptr<int> m_count;
  };

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

  // Returns false at the deadline if the link has not carried all bytes then.
  asio::awaitable<bool> Transfer(size_t aBytes, TimePoint aDeadline)
  {
    const OpenCall transfer(m_transferCount);
    double bytesLeft = m_bytesPerSecond > 0 ? static_cast<double>(aBytes) : 0;
    TimePoint lastAt = m_clock.Now();
    while (bytesLeft > 0 && m_clock.Now() < aDeadline) {
      co_await Sleep(kPollInterval);
      const TimePoint now = m_clock.Now();
      bytesLeft -= static_cast<double>((now - lastAt).m_ms) / 1000 *
                   m_bytesPerSecond / *m_transferCount;
      lastAt = now;
    }
    co_return bytesLeft <= 0;
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
  // 0 if unlimited.
  double m_bytesPerSecond = 0;
  std::shared_ptr<int> m_transferCount = std::make_shared<int>(0);
  std::map<std::string, int> m_idleConnections;
  std::map<std::string, std::shared_ptr<int>> m_openCounts;
  int m_maxOpenCalls = 0;
  int m_followerCallCount = 0;
  uint64_t m_newestSequence = 0;
  uint64_t m_index = 0;
};

// A sidecar whose calls pass the link.
class SyncFixture
{
public:
  SyncFixture()
    : SyncFixture(0, 0)
  {
    REQUIRE(WaitForVersion(1) == 1);
  }

  // Starts with a configuration of this size over a link of this bandwidth.
  SyncFixture(int aRouteCount, double aBytesPerSecond)
    : m_link(m_clock)
    , m_localBackend("n1", Seconds(2), m_clock.Now())
    , m_syncClient(m_context,
                   m_clock,
                   m_options,
                   m_link,
                   m_localBackend,
                   m_directory,
                   m_workQueue,
                   m_loadCounter,
                   m_quarantine)
  {
    m_link.SetBytesPerSecond(aBytesPerSecond);
    m_link.ReplaceConfiguration(1, aRouteCount);
    m_syncClient.SetCoordinators({ kLeaderAddress, kFollowerAddress });
    m_syncClient.Start();
  }

  void RunFor(Duration aDuration)
  {
    m_context.run_for(std::chrono::milliseconds(aDuration.m_ms));
  }

  // Calls the client every 100 ms, as the sidecar does after SIGTERM.
  void StopAndRunFor(Duration aDuration)
  {
    constexpr Duration kTickInterval = Milliseconds(100);
    m_syncClient.Stop();
    for (const TimePoint end = m_clock.Now() + aDuration;
         m_clock.Now() < end;) {
      RunFor(kTickInterval);
      m_syncClient.SyncIfChanged();
    }
  }

  // Returns the version that the sidecar has then.
  uint64_t WaitForVersion(uint64_t aVersion, Duration aLimit = Seconds(2))
  {
    const TimePoint end = m_clock.Now() + aLimit;
    while (m_clock.Now() < end && Version() < aVersion) {
      m_context.run_for(kPollInterval);
    }
    return Version();
  }

  asio::io_context m_context{ 1 };
  BootClock m_clock;
  DelayedLink m_link;

private:
  uint64_t Version() const
  {
    return m_directory.Router() ? m_directory.Router()->Version() : 0;
  }

  SidecarOptions m_options;
  LocalBackend m_localBackend;
  FleetDirectory m_directory;
  WorkQueue m_workQueue;
  LoadCounter m_loadCounter;
  BackendQuarantine m_quarantine{ m_context,
                                  m_clock,
                                  m_link,
                                  "10.0.0.3:80",
                                  [] { return "/h"; } };
  SyncClient m_syncClient;
};

} // namespace

// Guards against a sidecar that gives up each call, and each connection, that
// takes longer than the packets wait on its link.
TEST_CASE("a new configuration arrives over a link on which packets wait")
{
  SyncFixture fixture;
  const int delayMs = GENERATE(300, 400, 450);
  const int changeAtMs = GENERATE(0, 600, 1100);
  CAPTURE(delayMs, changeAtMs);
  fixture.m_link.SetDelay(Milliseconds(delayMs));
  fixture.RunFor(Milliseconds(changeAtMs));
  fixture.m_link.ReplaceConfiguration(2);
  CHECK(fixture.WaitForVersion(2) == 2);
}

// Guards against calls that ask for a configuration again while it is on its
// way, so that the copies delay each other beyond the time of a call.
TEST_CASE("a configuration arrives over a link that carries one copy in time",
          "[.][slow-link]")
{
  constexpr int kRoutes = 1900;
  constexpr double kConfigurationBytes = kRoutes * 104.0;
  SyncFixture fixture;
  const double secondsPerCopy = GENERATE(0.7, 1.2, 1.6);
  CAPTURE(secondsPerCopy);
  fixture.m_link.SetBytesPerSecond(kConfigurationBytes / secondsPerCopy);
  fixture.m_link.ReplaceConfiguration(2, kRoutes);
  CHECK(fixture.WaitForVersion(2, Seconds(10)) == 2);
}

// The same for a sidecar that starts, which calls others sooner.
TEST_CASE("the first configuration arrives over a link that carries it in time",
          "[.][slow-link]")
{
  constexpr int kRoutes = 1900;
  constexpr double kConfigurationBytes = kRoutes * 104.0;
  const double secondsPerCopy = GENERATE(0.4, 0.7, 1.2, 1.6);
  CAPTURE(secondsPerCopy);
  SyncFixture fixture(kRoutes, kConfigurationBytes / secondsPerCopy);
  CHECK(fixture.WaitForVersion(1, Seconds(10)) == 1);
}

// Guards against a configuration that is sent again and again from its
// beginning and never arrives.
TEST_CASE("a configuration arrives over a link that is slower than a call",
          "[.][slow-link]")
{
  constexpr int kRoutes = 1900;
  constexpr double kConfigurationBytes = kRoutes * 104.0;
  SyncFixture fixture;
  fixture.m_link.SetBytesPerSecond(kConfigurationBytes / 4);
  fixture.m_link.ReplaceConfiguration(2, kRoutes);
  CHECK(fixture.WaitForVersion(2, Seconds(15)) == 2);
}

// Guards against calls that pile up at a leader that is slow to reply.
TEST_CASE("few calls are open to a coordinator that does not reply")
{
  SyncFixture fixture;
  fixture.m_link.SetDelay(Seconds(10));
  fixture.RunFor(Seconds(4));
  CHECK(fixture.m_link.MaxOpenCalls() <= 3);
}

// Guards against a sidecar that calls a lost leader until its own end, so that
// no other leader learns that it stops.
TEST_CASE("a stopping sidecar calls others if the leader does not reply")
{
  SyncFixture fixture;
  fixture.m_link.SetDelay(Seconds(10));
  const int callCountBefore = fixture.m_link.FollowerCallCount();
  fixture.StopAndRunFor(Seconds(2));
  CHECK(fixture.m_link.MaxOpenCalls() <= 3);
  CHECK(fixture.m_link.FollowerCallCount() > callCountBefore);
}

} // namespace rattanloft::sidecar
