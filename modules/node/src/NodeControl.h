#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "BackendMonitor.h"
#include "ControlClient.h"
#include "Signal.h"
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
    std::function<void(std::shared_ptr<const routing::RoutingView>,
                       std::vector<routing::NodeAgent::OwnedShard>)>
      m_onView;
    // The backend server has announced itself: address, connections, slots, and
    // whether it is a new incarnation.
    std::function<void(const Announcement&, bool)> m_onBackend;
    // The backend server answers its probes again, or no longer does.
    std::function<void(bool)> m_onHealth;
    // Text of the traffic metrics in the Prometheus form.
    std::function<std::string()> m_metrics;
    std::function<void(wire::QuarantineUpdate)> m_onQuarantine;
  };

  static tl::expected<std::unique_ptr<NodeControl>, NodeError> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    const NodeOptions& aOptions,
    std::string aPeerAddress,
    Hooks aHooks);

  void Start();

  // From the traffic thread, posted to this one.
  void ReleaseShard(const routing::NodeAgent::OwnedShard& aShard);
  void SetLoad(wire::NodeLoad aLoad);
  void AddQuarantine(const std::vector<wire::QuarantineEntry>& aEntries);

  // Announces the drain. OwnsAnyShard tells when the shards have moved.
  void Drain();
  bool OwnsAnyShard() const { return m_agent.OwnsAnyShard(); }
  // Another backend server of the service could take the shards.
  bool HasSuccessor() const;

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
  void OnSyncResult(uint64_t aSequence, ControlClient::Result aResult);
  void OnSyncError(const ControlClient::Result& aResult);
  void ScheduleSync(Duration aDelay);
  void PublishView();
  void UpdateOperatorDrain();
  boost::asio::awaitable<void> TellOperatorDrain(bool aDrain);
  boost::asio::awaitable<void> PublishLoop();
  const char* ControlState() const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  NodeOptions m_options;
  std::string m_peerAddress;
  Hooks m_hooks;
  routing::NodeAgent m_agent;
  std::unique_ptr<ControlClient> m_control;
  BackendMonitor m_backend;
  std::unique_ptr<http::Server> m_agentServer;
  uint64_t m_knownIncarnation = 0;
  uint64_t m_latestSequence = 0;
  // Highest sequence whose reply has arrived.
  uint64_t m_answered = 0;
  uint32_t m_syncsInFlight = 0;
  uint32_t m_failures = 0;
  uint64_t m_syncs = 0;
  uint64_t m_syncBytes = 0;
  bool m_syncScheduled = false;
  bool m_noLeaderSeen = false;
  bool m_stopping = false;
  // Whether the backend server has confirmed the operator's drain.
  bool m_toldOperatorDrain = false;
  bool m_tellingOperatorDrain = false;
  // Views are published one after the other, the grants of each before it.
  bool m_publishing = false;
  bool m_publishAgain = false;
  std::vector<routing::NodeAgent::OwnedShard> m_published;
};

} // namespace rattanloft::node
