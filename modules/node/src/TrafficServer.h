#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Announcement.h"
#include "EntryHandler.h"
#include "OwnerHandler.h"
#include "RecordService.h"
#include "ShardTracker.h"
#include "TrafficContext.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/node/Node.h"

namespace rattanloft::node {

// Everything that serves requests: the caller and peer listeners and the
// handlers behind them. Lives on the traffic thread; only Metrics may be called
// from elsewhere.
class TrafficServer
{
public:
  struct Hooks
  {
    std::function<void(const routing::NodeAgent::OwnShard&)> m_onShardReleased;
    std::function<void(wire::NodeLoad)> m_onLoadReport;
    std::function<void(std::vector<wire::QuarantineEntry>)>
      m_onQuarantineEntries;
  };

  static tl::expected<std::unique_ptr<TrafficServer>, NodeError> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    const NodeOptions& aOptions,
    std::unique_ptr<admission::Scheduler> aScheduler,
    Hooks aHooks);

  // Starts the periodic work.
  void Start();

  void SetView(std::shared_ptr<const routing::View> aView,
               std::vector<routing::NodeAgent::OwnShard> aReleases);
  void SetBackendHealthy(bool aHealthy)
  {
    m_context.m_backendHealthy = aHealthy;
  }
  void SetBackend(const Announcement& aAnnouncement, bool aIsNew);

  void MergeQuarantine(const wire::QuarantineUpdate& aUpdate);

  uint16_t CallerPort() const { return m_callerServer->Port(); }
  uint16_t PeerPort() const { return m_peerServer->Port(); }

  // Ends both listeners once their running requests are answered.
  boost::asio::awaitable<void> Stop();
  // Requests that run at the backend server.
  uint64_t RunningRequests() const
  {
    return m_context.m_counters.m_requestsRunning.load();
  }

  std::string FormatMetrics() const;

private:
  TrafficServer(boost::asio::io_context& aContext,
                const Clock& aClock,
                const NodeOptions& aOptions,
                std::unique_ptr<admission::Scheduler> aScheduler,
                Hooks aHooks);

  tl::expected<void, NodeError> Listen(const NodeOptions& aOptions);
  boost::asio::awaitable<http::Response> HandlePeerRequest(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> ReportLoop();
  wire::NodeLoad TakeLoadReport(Duration aInterval);
  void UpdateLatencyMetrics();
  void ApplyEntryLimits();
  void UpdateDrainState();
  // The drain has lasted so long that the backend server gets nothing new.
  bool IsDrainPeriodOver() const;

  TrafficContext m_context;
  Hooks m_hooks;
  ShardTracker m_shardTracker;
  RecordService m_recordService;
  OwnerHandler m_ownerHandler;
  EntryHandler m_entryHandler;
  std::unique_ptr<http::Server> m_callerServer;
  std::unique_ptr<http::Server> m_peerServer;
  uint64_t m_appliedCatalogueRevision = 0;
  uint64_t m_quarantineTerm = 0;
  uint64_t m_lastReceivedCount = 0;
  // When the drain of the backend server was first seen.
  std::optional<TimePoint> m_drainStart;
  bool m_admissionEnded = false;
  // Announced slots of the backend server.
  uint32_t m_announcedSlots = 0;
};

} // namespace rattanloft::node
