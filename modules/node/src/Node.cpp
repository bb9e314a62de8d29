#include "rattanloft/node/Node.h"

#include <csignal>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "NodeControl.h"
#include "Traffic.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

// The other nodes need one Sync to learn of the drain.
constexpr Duration kMinDrain = Milliseconds(1000);
// Shards that do not move in this time stay here until the lease ends.
constexpr Duration kMaxDrain = Seconds(30);
constexpr Duration kDrainPoll = Milliseconds(20);

std::string
PeerAddress(const NodeOptions& aOptions, uint16_t aPort)
{
  const std::string& address = aOptions.m_advertisedAddress.empty()
                                 ? aOptions.m_listenAddress
                                 : aOptions.m_advertisedAddress;
  return address + ":" + std::to_string(aPort);
}

class NodeProcess final : public Node
{
public:
  NodeProcess()
    : m_controlWork(boost::asio::make_work_guard(m_controlContext))
    , m_trafficWork(boost::asio::make_work_guard(m_trafficContext))
  {
  }

  tl::expected<void, NodeError> Init(const NodeOptions& aOptions)
  {
    auto scheduler = admission::Scheduler::Make(aOptions.m_schedulingStrategy);
    if (!scheduler) {
      return tl::unexpected(NodeError{ NodeErrorCode::kInvalidSettings,
                                       "strategy: unknown name '" +
                                         aOptions.m_schedulingStrategy + "'" });
    }
    auto traffic = Traffic::Make(m_trafficContext,
                                 m_clock,
                                 aOptions,
                                 std::move(scheduler),
                                 TrafficHooks());
    if (!traffic) {
      return tl::unexpected(traffic.error());
    }
    m_traffic = std::move(*traffic);
    auto control =
      NodeControl::Make(m_controlContext,
                        m_clock,
                        aOptions,
                        PeerAddress(aOptions, m_traffic->PeerPort()),
                        ControlHooks());
    if (!control) {
      return tl::unexpected(control.error());
    }
    m_control = std::move(*control);
    return {};
  }

  int Run() override
  {
    LogInfo("node",
            "Serving. caller_port={} peer_port={}",
            m_traffic->CallerPort(),
            m_traffic->PeerPort());
    m_signals.async_wait([this](const boost::system::error_code& aError, int) {
      if (!aError) {
        boost::asio::co_spawn(
          m_controlContext, Shutdown(), boost::asio::detached);
      }
    });
    m_traffic->Start();
    m_control->Start();
    std::thread traffic([this] { m_trafficContext.run(); });
    m_controlContext.run();
    traffic.join();
    LogInfo("node", "Stopped.");
    return 0;
  }

private:
  Traffic::Hooks TrafficHooks()
  {
    Traffic::Hooks hooks;
    hooks.m_onReleased = [this](const routing::NodeAgent::OwnShard& aShard) {
      boost::asio::post(m_controlContext,
                        [this, aShard] { m_control->ReleaseShard(aShard); });
    };
    hooks.m_onLoad = [this](wire::NodeLoad aLoad) {
      boost::asio::post(m_controlContext, [this, load = std::move(aLoad)] {
        m_control->SetLoad(load);
      });
    };
    hooks.m_onQuarantine = [this](std::vector<wire::QuarantineEntry> aEntries) {
      boost::asio::post(m_controlContext,
                        [this, entries = std::move(aEntries)] {
                          m_control->AddQuarantine(entries);
                        });
    };
    return hooks;
  }

  NodeControl::Hooks ControlHooks()
  {
    NodeControl::Hooks hooks;
    hooks.m_onView = [this](std::shared_ptr<const routing::View> aView,
                            std::vector<routing::NodeAgent::OwnShard> aShards) {
      boost::asio::post(m_trafficContext,
                        [this, aView, shards = std::move(aShards)] {
                          m_traffic->SetView(aView, shards);
                        });
    };
    hooks.m_onBackend = [this](const Announcement& aAnnouncement, bool aIsNew) {
      boost::asio::post(m_trafficContext, [this, aAnnouncement, aIsNew] {
        m_traffic->SetBackend(aAnnouncement, aIsNew);
      });
    };
    hooks.m_onQuarantine = [this](wire::QuarantineUpdate aUpdate) {
      boost::asio::post(m_trafficContext, [this, update = std::move(aUpdate)] {
        m_traffic->MergeQuarantine(update);
      });
    };
    hooks.m_onHealth = [this](bool aHealthy) {
      boost::asio::post(m_trafficContext,
                        [this, aHealthy] { m_traffic->SetHealthy(aHealthy); });
    };
    hooks.m_metrics = [this] { return m_traffic->Metrics(); };
    return hooks;
  }

  // Runs on the control thread.
  boost::asio::awaitable<void> Shutdown()
  {
    const TimePoint begun = m_clock.Now();
    m_control->Drain();
    while (m_clock.Now() - begun < kMinDrain ||
           (m_control->OwnsAnyShard() && m_control->HasSuccessor() &&
            m_clock.Now() - begun < kMaxDrain)) {
      co_await Sleep(m_controlContext, kDrainPoll);
    }
    boost::asio::co_spawn(
      m_trafficContext, StopTraffic(), boost::asio::detached);
  }

  boost::asio::awaitable<void> StopTraffic()
  {
    co_await m_traffic->Stop();
    // At-most-once work may outlive its callers; cutting it off would leave its
    // outcome unknown.
    while (m_traffic->Running() > 0) {
      co_await Sleep(m_trafficContext, kDrainPoll);
    }
    boost::asio::post(m_controlContext, [this] {
      m_trafficContext.stop();
      m_controlContext.stop();
    });
  }

  using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  BootClock m_clock;
  boost::asio::io_context m_controlContext{ 1 };
  boost::asio::io_context m_trafficContext{ 1 };
  // From the start, so that an early SIGTERM ends the process gracefully too.
  boost::asio::signal_set m_signals{ m_controlContext, SIGTERM, SIGINT };
  WorkGuard m_controlWork;
  WorkGuard m_trafficWork;
  std::unique_ptr<Traffic> m_traffic;
  std::unique_ptr<NodeControl> m_control;
};

} // namespace

tl::expected<std::unique_ptr<Node>, NodeError>
Node::Make(const NodeOptions& aOptions)
{
  auto node = std::make_unique<NodeProcess>();
  const auto ready = node->Init(aOptions);
  if (!ready) {
    return tl::unexpected(ready.error());
  }
  return node;
}

} // namespace rattanloft::node
