#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "AdmissionGate.h"
#include "KeyCounter.h"
#include "LatencyWindow.h"
#include "Signal.h"
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
  std::atomic<uint64_t> m_received{ 0 };
  std::atomic<uint64_t> m_answered{ 0 };
  std::atomic<uint64_t> m_notRun{ 0 };
  std::atomic<uint64_t> m_unknown{ 0 };
  std::atomic<uint64_t> m_forwarded{ 0 };
  std::atomic<uint64_t> m_retries{ 0 };
  std::atomic<uint64_t> m_misdirected{ 0 };
  std::atomic<uint64_t> m_refusedStale{ 0 };
  std::atomic<uint64_t> m_refusedQueue{ 0 };
  std::atomic<uint64_t> m_recordsCopied{ 0 };
  std::atomic<uint64_t> m_running{ 0 };
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
    : m_context(aContext)
    , m_clock(aClock)
    , m_nodeId(aOptions.m_nodeId)
    , m_zone(aOptions.m_zone)
    , m_quarantine(aOptions.m_quarantineEnabled)
    , m_viewChanged(aContext)
    , m_runEnded(aContext)
    , m_gate(aContext, aClock, std::move(aScheduler))
    , m_records(idempotency::RecordTableOptions{})
  {
  }

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const std::string m_nodeId;
  const std::string m_zone;
  const bool m_quarantine;
  // Never null.
  std::shared_ptr<const routing::View> m_view;
  Signal m_viewChanged;
  quarantine::RunTracker m_runs;
  Signal m_runEnded;
  // host:port of the backend server, empty while none is known.
  std::string m_backendAddress;
  // False while the backend server answers no probes.
  bool m_backendHealthy = true;
  AdmissionGate m_gate;
  idempotency::RecordTable m_records;
  // Keys of the own backend server's service.
  KeyCounter m_keys;
  std::unique_ptr<http::Client> m_peers;
  std::unique_ptr<http::Client> m_backends;
  TrafficCounters m_counters;
  // Requests of callers at this entry node.
  LatencyWindow m_latency;
};

} // namespace rattanloft::node
