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

// Counters of the request path, shown as metrics. Written by the traffic
// thread.
struct TrafficCounters
{
  std::atomic<uint64_t> m_requestsReceived{ 0 };
  std::atomic<uint64_t> m_requestsAnswered{ 0 };
  std::atomic<uint64_t> m_requestsNotRun{ 0 };
  std::atomic<uint64_t> m_requestsUnknown{ 0 };
  std::atomic<uint64_t> m_requestsForwarded{ 0 };
  std::atomic<uint64_t> m_retriesSent{ 0 };
  std::atomic<uint64_t> m_requestsMisdirected{ 0 };
  std::atomic<uint64_t> m_requestsRefusedStale{ 0 };
  std::atomic<uint64_t> m_requestsRefusedByScheduler{ 0 };
  std::atomic<uint64_t> m_recordsCopied{ 0 };
  std::atomic<uint64_t> m_requestsRunning{ 0 };
  // Of the last report interval.
  std::atomic<double> m_meanMs{ 0 };
  std::atomic<double> m_p50Ms{ 0 };
  std::atomic<double> m_p99Ms{ 0 };
  std::atomic<double> m_maxMs{ 0 };
};

// What the handlers of the traffic thread share. Owned by the traffic thread.
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
  // Never null.
  std::shared_ptr<const routing::View> m_view;
  AsyncCondition m_viewChanged;
  quarantine::RunTracker m_runTracker;
  AsyncCondition m_runEnded;
  // host:port of the backend server, empty while none is known.
  std::string m_backendAddress;
  // False while the backend server answers no probes.
  bool m_backendHealthy = true;
  AdmissionGate m_admissionGate;
  idempotency::RecordTable m_recordTable;
  // Keys of the own backend server's service.
  KeyCounter m_keyCounter;
  std::unique_ptr<http::Client> m_peerClient;
  std::unique_ptr<http::Client> m_backendClient;
  TrafficCounters m_counters;
  // Requests of callers at this entry node.
  LatencyWindow m_callerLatency;
};

} // namespace rattanloft::node
