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

// Runs on the control thread of a node: syncs with the control instances,
// handles the announcements of the backend server, passes grants to it, and
// serves status and metrics.
class NodeControl
{
public:
  // Callbacks to the traffic thread. Called on the control thread.
  struct Hooks
  {
    // A new view for the traffic thread, and the shards that it must release.
    std::function<void(std::shared_ptr<const routing::RoutingView>,
                       std::vector<routing::NodeAgent::OwnedShard>)>
      m_onViewChanged;
    // An announcement of the backend server has arrived. The flag says whether
    // it is from a new incarnation.
    std::function<void(const Announcement&, bool)> m_onAnnouncement;
    // The backend server has become healthy (true) or unhealthy (false).
    std::function<void(bool)> m_onHealthChanged;
    // Returns the metrics of the traffic thread in the Prometheus text format.
    std::function<std::string()> m_formatTrafficMetrics;
    // Quarantine entries that the control leader has sent.
    std::function<void(wire::QuarantineUpdate)> m_onQuarantineUpdate;
  };

  // Opens the listener on the agent port. aPeerAddress is host:port of the peer
  // listener as other nodes reach it. aContext and aClock outlive the object.
  static tl::expected<std::unique_ptr<NodeControl>, NodeError> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    const NodeOptions& aOptions,
    std::string aPeerAddress,
    Hooks aHooks);

  // Starts the Syncs and the health probes.
  void Start();

  // Messages of the traffic thread. Posted to the control thread.
  void OnShardReleased(const routing::NodeAgent::OwnedShard& aShard);
  void SetLoad(wire::NodeLoad aLoad);
  void AddQuarantineEntries(const std::vector<wire::QuarantineEntry>& aEntries);

  // Tells the control instances that this node drains. OwnsAnyShard says
  // whether some of its shards have yet to move.
  void StartDrain();
  bool OwnsAnyShard() const { return m_nodeAgent.OwnsAnyShard(); }
  // True if another active backend server of the service could take over the
  // shards.
  bool HasOtherActiveBackend() const;

private:
  NodeControl(boost::asio::io_context& aContext,
              const Clock& aClock,
              const NodeOptions& aOptions,
              std::string aPeerAddress,
              Hooks aHooks);

  // Handles a request that came in on the agent port.
  boost::asio::awaitable<http::Response> HandleAgentRequest(
    http::Request aRequest);
  http::Response HandleAnnounce(const http::Request& aRequest);
  http::Response HandleStatus() const;
  http::Response HandleMetrics() const;
  // Sends a Sync at once.
  void SendSync();
  // Sends a Sync, or schedules one if too many are in flight.
  void SyncNow();
  void OnSyncResult(uint64_t aSequence, ControlClient::SyncResult aResult);
  void OnSyncError(const ControlClient::SyncResult& aResult);
  // Sends a Sync after the delay, unless one is scheduled already.
  void ScheduleSync(Duration aDelay);
  // Starts PublishLoop, or makes a running one publish the current view.
  void PublishView();
  // Tells the backend server of a change of the operator's drain state that it
  // has not confirmed.
  void UpdateOperatorDrain();
  boost::asio::awaitable<void> ReportOperatorDrain(bool aDrain);
  boost::asio::awaitable<void> PublishLoop();
  // State of the connection to the control instances, for the status.
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
  // Incarnation in the last announcement of the backend server.
  uint64_t m_announcedIncarnation = 0;
  // Sequence of the last Sync that was sent.
  uint64_t m_lastSentSequence = 0;
  // Highest sequence of a Sync whose reply has arrived.
  uint64_t m_lastAnsweredSequence = 0;
  uint32_t m_syncsInFlight = 0;
  // Syncs that have failed since the last success.
  uint32_t m_consecutiveFailures = 0;
  // Syncs that have ended, and the bytes of their requests and replies.
  uint64_t m_syncCount = 0;
  uint64_t m_syncBytes = 0;
  bool m_syncScheduled = false;
  // Whether the last failed Sync was answered by an instance that knows no
  // leader.
  bool m_noLeaderSeen = false;
  // Whether the node itself drains because it stops.
  bool m_stopping = false;
  // The operator's drain state that the backend server has last confirmed.
  bool m_confirmedOperatorDrain = false;
  bool m_reportingOperatorDrain = false;
  // Whether PublishLoop runs. It publishes views one after the other; a view
  // with changed shards is published only after their grants were sent to the
  // backend server.
  bool m_publishLoopRunning = false;
  // Whether the view has changed since the running PublishLoop read it.
  bool m_publishRequested = false;
  // Own shards in the last published view.
  std::vector<routing::NodeAgent::OwnedShard> m_publishedShards;
};

} // namespace rattanloft::node
