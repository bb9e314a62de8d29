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
#include "TrafficServer.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

// A drain lasts at least this long, because the other nodes learn of it with
// their next Sync.
constexpr Duration kMinDrainTime = Milliseconds(1000);
// A drain ends after this time at the latest. Shards that have not moved by
// then stay assigned to this node until its lease ends.
constexpr Duration kMaxDrainTime = Seconds(30);
// Interval at which a stopping node checks whether its shards have moved and
// its requests have ended.
constexpr Duration kDrainPollInterval = Milliseconds(20);

std::string
PeerAddress(const NodeOptions& aOptions, uint16_t aPeerPort)
{
  const std::string& address = aOptions.m_advertisedAddress.empty()
                                 ? aOptions.m_listenAddress
                                 : aOptions.m_advertisedAddress;
  return address + ":" + std::to_string(aPeerPort);
}

// Runs the control thread and the traffic thread of a node and passes messages
// between them.
class NodeProcess final : public Node
{
public:
  NodeProcess()
    : m_controlWorkGuard(boost::asio::make_work_guard(m_controlContext))
    , m_trafficWorkGuard(boost::asio::make_work_guard(m_trafficContext))
  {
  }

  tl::expected<void, NodeError> Init(const NodeOptions& aOptions)
  {
    auto scheduler = admission::Scheduler::Make(aOptions.m_schedulingStrategy);
    if (!scheduler) {
      return tl::unexpected(
        NodeError{ NodeErrorCode::kInvalidSettings,
                   "strategy: unknown scheduling strategy '" +
                     aOptions.m_schedulingStrategy + "'" });
    }
    auto traffic = TrafficServer::Make(m_trafficContext,
                                       m_clock,
                                       aOptions,
                                       std::move(scheduler),
                                       MakeTrafficHooks());
    if (!traffic) {
      return tl::unexpected(traffic.error());
    }
    m_trafficServer = std::move(*traffic);
    auto control =
      NodeControl::Make(m_controlContext,
                        m_clock,
                        aOptions,
                        PeerAddress(aOptions, m_trafficServer->PeerPort()),
                        MakeControlHooks());
    if (!control) {
      return tl::unexpected(control.error());
    }
    m_nodeControl = std::move(*control);
    return {};
  }

  int Run() override
  {
    LogInfo("node",
            "The node accepts requests. caller_port={} peer_port={}",
            m_trafficServer->CallerPort(),
            m_trafficServer->PeerPort());
    m_signals.async_wait([this](const boost::system::error_code& aError, int) {
      if (!aError) {
        boost::asio::co_spawn(
          m_controlContext, Shutdown(), boost::asio::detached);
      }
    });
    m_trafficServer->Start();
    m_nodeControl->Start();
    std::thread trafficThread([this] { m_trafficContext.run(); });
    m_controlContext.run();
    trafficThread.join();
    LogInfo("node", "Stopped.");
    return 0;
  }

private:
  // Callbacks from the traffic thread, posted to the control thread.
  TrafficServer::Hooks MakeTrafficHooks()
  {
    TrafficServer::Hooks hooks;
    hooks.m_onShardReleased =
      [this](const routing::NodeAgent::OwnedShard& aShard) {
        boost::asio::post(m_controlContext, [this, aShard] {
          m_nodeControl->OnShardReleased(aShard);
        });
      };
    hooks.m_onLoadReport = [this](wire::NodeLoad aLoad) {
      boost::asio::post(m_controlContext, [this, load = std::move(aLoad)] {
        m_nodeControl->SetLoad(load);
      });
    };
    hooks.m_onQuarantineEntries =
      [this](std::vector<wire::QuarantineEntry> aEntries) {
        boost::asio::post(m_controlContext,
                          [this, entries = std::move(aEntries)] {
                            m_nodeControl->AddQuarantineEntries(entries);
                          });
      };
    return hooks;
  }

  // Callbacks from the control thread, posted to the traffic thread. Metrics
  // are formatted on the control thread.
  NodeControl::Hooks MakeControlHooks()
  {
    NodeControl::Hooks hooks;
    hooks.m_onViewChanged =
      [this](std::shared_ptr<const routing::RoutingView> aView,
             std::vector<routing::NodeAgent::OwnedShard> aShards) {
        boost::asio::post(m_trafficContext,
                          [this, aView, shards = std::move(aShards)] {
                            m_trafficServer->SetView(aView, shards);
                          });
      };
    hooks.m_onAnnouncement = [this](const Announcement& aAnnouncement,
                                    bool aIsNew) {
      boost::asio::post(m_trafficContext, [this, aAnnouncement, aIsNew] {
        m_trafficServer->SetBackend(aAnnouncement, aIsNew);
      });
    };
    hooks.m_onQuarantineUpdate = [this](wire::QuarantineUpdate aUpdate) {
      boost::asio::post(m_trafficContext, [this, update = std::move(aUpdate)] {
        m_trafficServer->MergeQuarantine(update);
      });
    };
    hooks.m_onHealthChanged = [this](bool aHealthy) {
      boost::asio::post(m_trafficContext, [this, aHealthy] {
        m_trafficServer->SetBackendHealthy(aHealthy);
      });
    };
    hooks.m_formatTrafficMetrics = [this] {
      return m_trafficServer->FormatMetrics();
    };
    return hooks;
  }

  // Runs on the control thread. Drains the node and then stops serving.
  boost::asio::awaitable<void> Shutdown()
  {
    const TimePoint drainStart = m_clock.Now();
    m_nodeControl->StartDrain();
    while (m_clock.Now() - drainStart < kMinDrainTime ||
           (m_nodeControl->OwnsAnyShard() &&
            m_nodeControl->HasOtherActiveBackend() &&
            m_clock.Now() - drainStart < kMaxDrainTime)) {
      co_await Sleep(m_controlContext, kDrainPollInterval);
    }
    boost::asio::co_spawn(
      m_trafficContext, StopTraffic(), boost::asio::detached);
  }

  // Runs on the traffic thread. Stops the listeners, waits for the running
  // requests and then ends both threads.
  boost::asio::awaitable<void> StopTraffic()
  {
    co_await m_trafficServer->Stop();
    // At-most-once requests may run longer than their callers wait. Stopping
    // before they end would leave their outcome unknown.
    while (m_trafficServer->RunningRequests() > 0) {
      co_await Sleep(m_trafficContext, kDrainPollInterval);
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
  // Registered in the constructor, so that a SIGTERM during startup also ends
  // the process gracefully.
  boost::asio::signal_set m_signals{ m_controlContext, SIGTERM, SIGINT };
  WorkGuard m_controlWorkGuard;
  WorkGuard m_trafficWorkGuard;
  std::unique_ptr<TrafficServer> m_trafficServer;
  std::unique_ptr<NodeControl> m_nodeControl;
};

} // namespace

tl::expected<std::unique_ptr<Node>, NodeError>
Node::Make(const NodeOptions& aOptions)
{
  auto node = std::make_unique<NodeProcess>();
  const auto initialized = node->Init(aOptions);
  if (!initialized) {
    return tl::unexpected(initialized.error());
  }
  return node;
}

} // namespace rattanloft::node
