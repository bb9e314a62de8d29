#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "AsyncCondition.h"
#include "BackendMonitor.h"
#include "ControlClient.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/node/Node.h"
#include "rattanloft/routing/NodeAgent.h"

namespace rattanloft::node {

// The control thread of a node: keeps the agent in step with the control
// instances, takes announcements and answers status and metrics.
class NodeControl
{
public:
  struct Hooks
  {
    // A new view for the traffic thread, with the shards to release.
    std::function<void(std::shared_ptr<const routing::View>,
                       std::vector<routing::NodeAgent::OwnShard>)>
      m_onViewChanged;
    // The backend server has announced itself: address, connections, slots, and
    // whether it is a new incarnation.
    std::function<void(const Announcement&, bool)> m_onAnnouncement;
    // The backend server answers its probes again, or no longer does.
    std::function<void(bool)> m_onHealthChanged;
    // Text of the traffic metrics in the Prometheus form.
    std::function<std::string()> m_formatTrafficMetrics;
    std::function<void(wire::QuarantineUpdate)> m_onQuarantineUpdate;
  };

  static tl::expected<std::unique_ptr<NodeControl>, NodeError> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    const NodeOptions& aOptions,
    std::string aPeerAddress,
    Hooks aHooks);

  void Start();

  // From the traffic thread, posted to this one.
  void OnShardReleased(const routing::NodeAgent::OwnShard& aShard);
  void SetLoad(wire::NodeLoad aLoad);
  void AddQuarantineEntries(const std::vector<wire::QuarantineEntry>& aEntries);

  // Announces the drain. OwnsAnyShard tells when the shards have moved.
  void StartDrain();
  bool OwnsAnyShard() const { return m_nodeAgent.OwnsAnyShard(); }
  // Another backend server of the service could take the shards.
  bool HasOtherActiveBackend() const;

private:
  NodeControl(boost::asio::io_context& aContext,
              const Clock& aClock,
              const NodeOptions& aOptions,
              std::string aPeerAddress,
              Hooks aHooks);

  boost::asio::awaitable<http::Response> HandleAgentRequest(
    http::Request aRequest);
  http::Response HandleAnnounce(const http::Request& aRequest);
  http::Response HandleStatus() const;
  http::Response HandleMetrics() const;
  void SendSync();
  void SyncNow();
  void OnSyncResult(uint64_t aSequence, ControlClient::SyncResult aResult);
  void OnSyncError(const ControlClient::SyncResult& aResult);
  void ScheduleSync(Duration aDelay);
  void PublishView();
  void UpdateOperatorDrain();
  boost::asio::awaitable<void> ReportOperatorDrain(bool aDrain);
  boost::asio::awaitable<void> PublishLoop();
  const char* ControlStateText() const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  NodeOptions m_options;
  std::string m_peerAddress;
  Hooks m_hooks;
  routing::NodeAgent m_nodeAgent;
  std::unique_ptr<ControlClient> m_controlClient;
  BackendMonitor m_backendMonitor;
  std::unique_ptr<http::Server> m_agentServer;
  uint64_t m_announcedIncarnation = 0;
  uint64_t m_lastSentSequence = 0;
  // Highest sequence whose reply has arrived.
  uint64_t m_lastAnsweredSequence = 0;
  uint32_t m_syncsInFlight = 0;
  uint32_t m_consecutiveFailures = 0;
  uint64_t m_syncCount = 0;
  uint64_t m_syncBytes = 0;
  bool m_syncScheduled = false;
  bool m_noLeaderSeen = false;
  bool m_stopping = false;
  // Whether the backend server has confirmed the operator's drain.
  bool m_confirmedOperatorDrain = false;
  bool m_reportingOperatorDrain = false;
  // Views are published one after the other, the grants of each before it.
  bool m_publishLoopRunning = false;
  bool m_publishRequested = false;
  std::vector<routing::NodeAgent::OwnShard> m_publishedShards;
};

} // namespace rattanloft::node
