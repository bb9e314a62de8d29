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
#include "rattanloft/base/TransitDelay.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/node/Node.h"

namespace rattanloft::node {

// Serves the requests of a node: owns the caller and peer listeners and the
// handlers behind them. Owned by the traffic thread; only FormatMetrics may be
// called on other threads.
class TrafficServer
{
public:
  // Callbacks to the control thread. Called on the traffic thread.
  struct Hooks
  {
    // No request of the shard is left, so it may be given to another owner.
    std::function<void(const routing::NodeAgent::OwnedShard&)>
      m_onShardReleased;
    // The load report of each second.
    std::function<void(wire::NodeLoad)> m_onLoadReport;
    // Quarantine entries that the control leader must learn.
    std::function<void(std::vector<wire::QuarantineEntry>)>
      m_onQuarantineEntries;
  };

  // Opens both listeners. aContext and aClock outlive the object.
  static tl::expected<std::unique_ptr<TrafficServer>, NodeError> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    const NodeOptions& aOptions,
    std::unique_ptr<admission::Scheduler> aScheduler,
    Hooks aHooks);

  // Starts the scheduler ticks and the load reports.
  void Start();

  // Adopts a new view. aReleases are shards to be released once their running
  // requests have ended.
  void SetView(std::shared_ptr<const routing::RoutingView> aView,
               std::vector<routing::NodeAgent::OwnedShard> aReleases);
  void SetBackendHealthy(bool aHealthy)
  {
    m_context.m_backendHealthy = aHealthy;
  }
  // Adopts an announcement of the backend server; aIsNew says that its
  // incarnation differs from the previous one.
  void SetBackend(const Announcement& aAnnouncement, bool aIsNew);

  // Adopts quarantine entries of other nodes. All local entries are sent to a
  // leader with a new term.
  void MergeQuarantine(const wire::QuarantineUpdate& aUpdate);

  uint16_t CallerPort() const { return m_callerServer->Port(); }
  uint16_t PeerPort() const { return m_peerServer->Port(); }

  // Stops both listeners. Completes when their running requests are answered.
  boost::asio::awaitable<void> Stop();
  // Number of requests that run on the backend server now.
  uint64_t RunningRequests() const
  {
    return m_context.m_counters.m_requestsRunning.load();
  }

  // Counters and latencies in the Prometheus text format.
  std::string FormatMetrics() const;

private:
  TrafficServer(boost::asio::io_context& aContext,
                const Clock& aClock,
                const NodeOptions& aOptions,
                std::unique_ptr<admission::Scheduler> aScheduler,
                Hooks aHooks);

  tl::expected<void, NodeError> Listen(const NodeOptions& aOptions);
  // Handles requests that other nodes have forwarded, and their record copies.
  boost::asio::awaitable<http::Response> HandlePeerRequest(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancelToken);
  // Ticks the scheduler, expires records and reports quarantine changes.
  boost::asio::awaitable<void> TickLoop();
  // Reports the load to the control thread and updates the latency metrics.
  boost::asio::awaitable<void> ReportLoop();
  // Load since the last call; aInterval is the time that has passed since then.
  wire::NodeLoad TakeLoadReport(Duration aInterval);
  void UpdateLatencyMetrics();
  void ApplyEntryLimits();
  // Starts or ends the local drain state according to the current view.
  void UpdateDrainState();
  // True if the drain has lasted so long that the backend server must get no
  // new work.
  bool IsDrainPeriodOver() const;

  TrafficContext m_context;
  Hooks m_hooks;
  // Of the requests that other nodes have forwarded.
  TransitDelay m_transitDelay;
  ShardTracker m_shardTracker;
  RecordService m_recordService;
  OwnerHandler m_ownerHandler;
  EntryHandler m_entryHandler;
  std::unique_ptr<http::Server> m_callerServer;
  std::unique_ptr<http::Server> m_peerServer;
  // Catalogue revision whose limits the scheduler has.
  uint64_t m_appliedCatalogueRevision = 0;
  // Term of the control leader that sent the last quarantine update.
  uint64_t m_quarantineTerm = 0;
  // Value of m_requestsReceived at the last load report.
  uint64_t m_lastReceivedCount = 0;
  // When the current drain of the backend server was first seen. Empty while it
  // does not drain.
  std::optional<TimePoint> m_drainStart;
  // Whether the scheduler was told to admit no new work during this drain.
  bool m_admissionEnded = false;
  // Number of requests that the backend server can run at once, as it has
  // announced.
  uint32_t m_announcedSlots = 0;
};

} // namespace rattanloft::node
