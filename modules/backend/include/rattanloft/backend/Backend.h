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
  std::string m_address = "127.0.0.1";
  uint16_t m_port = 0;
  // Port for fault commands and statistics.
  uint16_t m_faultPort = 0;
  // Agent listener of the node beside it; empty for no announcements.
  std::string m_agentAddress;
  std::string m_service = "catalogue";
  uint32_t m_slots = 12;
  uint32_t m_connections = 100;
  // Requests that wait for a slot; further ones are shed. 0 sheds at once.
  uint32_t m_maxWaitingRequests = 1000;
  bool m_verifyTokens = true;
  // Mean service time by catalogue entry, and for all others.
  std::map<std::string, double> m_serviceTimesMs;
  double m_defaultServiceTimeMs = 5;
  // Log-normal service times; otherwise every request takes the mean.
  bool m_logNormalTimes = true;
  double m_speedFactor = 1;
  // Service times after the start are longer by this factor, falling to 1.
  double m_coldFactor = 1;
  double m_coldPeriodMs = 10'000;
  // The in-flight count that it announces: true, zero, double or random.
  std::string m_reportedLoad = "true";
  // File for one JSON line per start and end of an execution; empty for none.
  std::string m_executionLogPath;
  uint64_t m_seed = 1;
};

// The stand-in for a backend server (docs/backend-protocol.md), with faults on
// command. Single thread.
class Backend
{
public:
  static tl::expected<std::unique_ptr<Backend>, std::string> Make(
    boost::asio::io_context& aContext,
    BackendOptions aOptions);
  virtual ~Backend() = default;

  virtual uint16_t Port() const = 0;
  virtual uint16_t FaultPort() const = 0;
  // Announces that it leaves; Run() completes when no work is left.
  virtual void Drain() = 0;
  // Serves and announces until drained. The result is the exit status: 0 after
  // a drain, 1 if a newer incarnation has replaced this one.
  virtual boost::asio::awaitable<int> Run() = 0;
};

} // namespace rattanloft::backend
