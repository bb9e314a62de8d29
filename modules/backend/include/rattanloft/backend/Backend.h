#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "rattanloft/http/Types.h"

namespace rattanloft::backend {

struct BackendOptions
{
  // IP address and port that the server accepts requests on; port 0 takes a
  // free one.
  std::string m_address = "127.0.0.1";
  uint16_t m_port = 0;
  // Port for fault commands and statistics; 0 takes a free one.
  uint16_t m_faultPort = 0;
  // host:port of the agent listener of the local node, to which the server
  // announces itself; empty for no announcements.
  std::string m_agentAddress;
  std::string m_service = "catalogue";
  // Requests that run at the same time.
  uint32_t m_slots = 12;
  // Connections that are accepted at the same time.
  uint32_t m_connections = 100;
  // Requests that may wait for a slot; any above this are shed. With 0, a
  // request that finds no free slot is shed at once.
  uint32_t m_maxWaitingRequests = 1000;
  // Refuses keyed requests whose shard and epoch the node has not granted.
  bool m_verifyTokens = true;
  // Mean service time in milliseconds of each catalogue entry; entries that are
  // not listed take m_defaultServiceTimeMs.
  std::map<std::string, double> m_serviceTimesMs;
  double m_defaultServiceTimeMs = 5;
  // Draws service times from a log-normal distribution; otherwise every request
  // takes the mean.
  bool m_logNormalTimes = true;
  // Service times are divided by this factor.
  double m_speedFactor = 1;
  // Simulates a cold start: service times are multiplied by a factor that falls
  // linearly from m_coldFactor at the start to 1 after m_coldPeriodMs.
  double m_coldFactor = 1;
  double m_coldPeriodMs = 10'000;
  // The in-flight count to announce: "true" (the actual one), "zero", "double"
  // (twice the actual one) or "random".
  std::string m_reportedLoad = "true";
  // File to which each start and end of an execution is appended as a line of
  // JSON; empty for none.
  std::string m_executionLogPath;
  // Seed of the service times and of random load reports.
  uint64_t m_seed = 1;
};

// A simulated backend server (a stand-in) for tests and benchmarks. Implements
// docs/backend-protocol.md and injects faults on command. Not thread-safe: all
// calls are made on the thread that runs the io_context.
class Backend
{
public:
  // Starts to listen on both ports. The error is a message for the user.
  static tl::expected<std::unique_ptr<Backend>, std::string> Make(
    boost::asio::io_context& aContext,
    BackendOptions aOptions);
  virtual ~Backend() = default;

  virtual uint16_t Port() const = 0;
  virtual uint16_t FaultPort() const = 0;
  // Announces from now on that the server is draining; Run() completes when no
  // work is left.
  virtual void Drain() = 0;
  // Serves requests and announces the server until it is drained. Returns the
  // exit status: 0 after a drain, 1 if a newer incarnation has replaced this
  // one.
  virtual boost::asio::awaitable<int> Run() = 0;
};

} // namespace rattanloft::backend
