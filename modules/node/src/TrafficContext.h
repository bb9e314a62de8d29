#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "AdmissionGate.h"
#include "AsyncCondition.h"
#include "KeyCounter.h"
#include "LatencyWindow.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/idempotency/RecordTable.h"
#include "rattanloft/node/Node.h"
#include "rattanloft/quarantine/RunTracker.h"
#include "rattanloft/routing/NodeAgent.h"

namespace rattanloft::node {

// Counters of the request path, exported as metrics. Written by the traffic
// thread, read by any thread.
struct TrafficCounters
{
  // Requests of callers at this entry node, and their outcomes.
  std::atomic<uint64_t> m_requestsReceived{ 0 };
  std::atomic<uint64_t> m_requestsAnswered{ 0 };
  std::atomic<uint64_t> m_requestsNotRun{ 0 };
  std::atomic<uint64_t> m_requestsUnknown{ 0 };
  // Attempts of this entry node that went to another node.
  std::atomic<uint64_t> m_requestsForwarded{ 0 };
  // Further attempts that were taken from a retry budget.
  std::atomic<uint64_t> m_retriesSent{ 0 };
  // Requests that this node has refused with 421, because it does not own the
  // shard or may not serve it now.
  std::atomic<uint64_t> m_requestsMisdirected{ 0 };
  // Refused because the view of this entry node was stale.
  std::atomic<uint64_t> m_requestsRefusedStale{ 0 };
  // Refused by the scheduler, or cancelled while queued.
  std::atomic<uint64_t> m_requestsRefusedByScheduler{ 0 };
  // Copies of records that other nodes have confirmed.
  std::atomic<uint64_t> m_recordsCopied{ 0 };
  // Requests that run on the backend server now.
  std::atomic<uint64_t> m_requestsRunning{ 0 };
  // Latency of the requests of callers in the last report interval.
  std::atomic<double> m_requestMeanMs{ 0 };
  std::atomic<double> m_requestP50Ms{ 0 };
  std::atomic<double> m_requestP99Ms{ 0 };
  std::atomic<double> m_requestMaxMs{ 0 };
};

// State shared by the request handlers. Owned by the traffic thread.
struct TrafficContext
{
  TrafficContext(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 std::unique_ptr<admission::Scheduler> aScheduler,
                 const NodeOptions& aOptions)
    : m_ioContext(aContext)
    , m_clock(aClock)
    , m_nodeId(aOptions.m_nodeId)
    , m_zone(aOptions.m_zone)
    , m_quarantineEnabled(aOptions.m_quarantineEnabled)
    , m_viewChanged(aContext)
    , m_runEnded(aContext)
    , m_admissionGate(aContext, aClock, std::move(aScheduler))
    , m_recordTable(idempotency::RecordTableOptions{})
  {
  }

  boost::asio::io_context& m_ioContext;
  const Clock& m_clock;
  const std::string m_nodeId;
  const std::string m_zone;
  const bool m_quarantineEnabled;
  // The latest view of the control plane; never null.
  std::shared_ptr<const routing::RoutingView> m_view;
  // Notified after each change of m_view.
  AsyncCondition m_viewChanged;
  quarantine::RunTracker m_runTracker;
  // Notified when a run on the backend server ends or the quarantine changes,
  // since suspects may then start.
  AsyncCondition m_runEnded;
  // Address of the backend server as host:port, empty before its first
  // announcement.
  std::string m_backendAddress;
  // False while the backend server does not answer its health probes.
  bool m_backendHealthy = true;
  AdmissionGate m_admissionGate;
  // At-most-once records of this node and copies for other nodes.
  idempotency::RecordTable m_recordTable;
  // Counts the requests of each key of the own backend server's service.
  KeyCounter m_keyCounter;
  // Connections to the peer listeners of other nodes.
  std::unique_ptr<http::Client> m_peerClient;
  // Connections to the own backend server.
  std::unique_ptr<http::Client> m_backendClient;
  TrafficCounters m_counters;
  // Latencies of the requests that callers have sent to this entry node.
  LatencyWindow m_callerLatency;
};

} // namespace rattanloft::node
