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
class Traffic
{
public:
  struct Hooks
  {
    std::function<void(const routing::NodeAgent::OwnedShard&)> m_onReleased;
    std::function<void(wire::NodeLoad)> m_onLoad;
    std::function<void(std::vector<wire::QuarantineEntry>)> m_onQuarantine;
  };

  static tl::expected<std::unique_ptr<Traffic>, NodeError> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    const NodeOptions& aOptions,
    std::unique_ptr<admission::Scheduler> aScheduler,
    Hooks aHooks);

  // Starts the periodic work.
  void Start();

  void SetView(std::shared_ptr<const routing::RoutingView> aView,
               std::vector<routing::NodeAgent::OwnedShard> aReleases);
  void SetHealthy(bool aHealthy) { m_context.m_backendHealthy = aHealthy; }
  void SetBackend(const Announcement& aAnnouncement, bool aIsNew);

  void MergeQuarantine(const wire::QuarantineUpdate& aUpdate);

  uint16_t CallerPort() const { return m_callers->Port(); }
  uint16_t PeerPort() const { return m_peers->Port(); }

  // Ends both listeners once their running requests are answered.
  boost::asio::awaitable<void> Stop();
  // Requests that run at the backend server.
  uint64_t Running() const { return m_context.m_counters.m_running.load(); }

  std::string Metrics() const;

private:
  Traffic(boost::asio::io_context& aContext,
          const Clock& aClock,
          const NodeOptions& aOptions,
          std::unique_ptr<admission::Scheduler> aScheduler,
          Hooks aHooks);

  tl::expected<void, NodeError> Listen(const NodeOptions& aOptions);
  boost::asio::awaitable<http::Response> HandlePeer(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> ReportLoop();
  wire::NodeLoad TakeLoad(Duration aInterval);
  void ReportLatency();
  void ApplyLimits();
  void NoteDrain();
  // The drain has lasted so long that the backend server gets nothing new.
  bool IsDrained() const;

  TrafficContext m_context;
  Hooks m_hooks;
  ShardTracker m_shards;
  RecordService m_records;
  OwnerHandler m_owner;
  EntryHandler m_entry;
  std::unique_ptr<http::Server> m_callers;
  std::unique_ptr<http::Server> m_peers;
  uint64_t m_limitsRevision = 0;
  uint64_t m_quarantineTerm = 0;
  uint64_t m_lastRequests = 0;
  // When the drain of the backend server was first seen.
  std::optional<TimePoint> m_drainBegan;
  bool m_drained = false;
  // Announced slots of the backend server.
  uint32_t m_slots = 0;
};

} // namespace rattanloft::node
