#include <csignal>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "rattanloft/backend/Backend.h"

DEFINE_string(request_address,
              "127.0.0.1:0",
              "IP address and port that requests are accepted on");
DEFINE_int32(fault_port, 0, "port for fault commands and statistics");
DEFINE_string(
  agent,
  "",
  "address of the node's agent listener, host:port; empty for none");
DEFINE_string(service,
              "catalogue",
              "service that the backend server belongs to");
DEFINE_int32(slots, 12, "requests that run at the same time");
DEFINE_int32(connections,
             100,
             "connections that are accepted at the same time");
DEFINE_int32(
  max_waiting,
  1000,
  "requests that may wait for a slot; further ones are shed, with 0 all "
  "that find no free slot");
DEFINE_bool(verify_tokens,
            true,
            "refuse requests for shards that are not granted");
DEFINE_string(service_ms,
              "",
              "mean service times in milliseconds: entry=ms,entry=ms; the "
              "entry * stands for all others");
DEFINE_bool(fixed_times, false, "every request takes the mean service time");
DEFINE_double(speed, 1, "factor that service times are divided by");
DEFINE_double(cold_factor,
              1,
              "factor that service times are multiplied by at the start");
DEFINE_double(cold_ms,
              10000,
              "milliseconds over which the cold factor falls to 1");
DEFINE_string(load_report,
              "true",
              "load that is reported to the node: true|zero|double|random");
DEFINE_string(
  execution_log,
  "",
  "file to which starts and ends of executions are appended as JSON lines");
DEFINE_uint64(backend_seed, 1, "seed of service times and random load reports");

namespace rattanloft::tool {

namespace {

namespace asio = boost::asio;

// Returns false if aText is malformed.
bool
ReadServiceTimes(const std::string& aText, backend::BackendOptions& aOptions)
{
  std::istringstream items(aText);
  std::string item;
  while (std::getline(items, item, ',')) {
    const size_t equals = item.find('=');
    char* end = nullptr;
    const double ms = equals == std::string::npos
                        ? -1
                        : std::strtod(item.c_str() + equals + 1, &end);
    if (ms < 0 || end == nullptr || *end != '\0') {
      return false;
    }
    const std::string entry = item.substr(0, equals);
    if (entry == "*") {
      aOptions.m_defaultServiceTimeMs = ms;
    } else {
      aOptions.m_serviceTimesMs[entry] = ms;
    }
  }
  return true;
}

// Returns false if aText is not an address with a port.
bool
ReadRequestAddress(const std::string& aText, backend::BackendOptions& aOptions)
{
  const size_t colon = aText.rfind(':');
  char* end = nullptr;
  const int64_t port = colon == std::string::npos
                         ? -1
                         : std::strtol(aText.c_str() + colon + 1, &end, 10);
  if (port < 0 || port > UINT16_MAX || *end != '\0') {
    return false;
  }
  aOptions.m_address = aText.substr(0, colon);
  aOptions.m_port = static_cast<uint16_t>(port);
  return true;
}

// Returns the name of a flag with an invalid value; empty if all are valid.
std::string
ReadOptions(backend::BackendOptions& aOptions)
{
  if (!ReadRequestAddress(FLAGS_request_address, aOptions)) {
    return "request_address";
  }
  if (FLAGS_fault_port < 0 || FLAGS_fault_port > UINT16_MAX) {
    return "fault_port";
  }
  if (FLAGS_slots < 1) {
    return "slots";
  }
  if (FLAGS_connections < 1) {
    return "connections";
  }
  if (FLAGS_max_waiting < 0) {
    return "max_waiting";
  }
  if (!ReadServiceTimes(FLAGS_service_ms, aOptions)) {
    return "service_ms";
  }
  aOptions.m_faultPort = static_cast<uint16_t>(FLAGS_fault_port);
  aOptions.m_agentAddress = FLAGS_agent;
  aOptions.m_service = FLAGS_service;
  aOptions.m_slots = static_cast<uint32_t>(FLAGS_slots);
  aOptions.m_connections = static_cast<uint32_t>(FLAGS_connections);
  aOptions.m_maxWaitingRequests = static_cast<uint32_t>(FLAGS_max_waiting);
  aOptions.m_verifyTokens = FLAGS_verify_tokens;
  aOptions.m_logNormalTimes = !FLAGS_fixed_times;
  aOptions.m_speedFactor = FLAGS_speed;
  aOptions.m_coldFactor = FLAGS_cold_factor;
  aOptions.m_coldPeriodMs = FLAGS_cold_ms;
  aOptions.m_reportedLoad = FLAGS_load_report;
  aOptions.m_executionLogPath = FLAGS_execution_log;
  aOptions.m_seed = FLAGS_backend_seed;
  return {};
}

} // namespace

int
BackendCommand(std::span<char*>)
{
  backend::BackendOptions options;
  const std::string badFlag = ReadOptions(options);
  if (!badFlag.empty()) {
    fmt::print(stderr, "rattanloft backend: invalid value for --{}\n", badFlag);
    return 2;
  }
  asio::io_context context(1);
  auto created = backend::Backend::Make(context, std::move(options));
  if (!created) {
    fmt::print(stderr, "rattanloft backend: {}\n", created.error());
    return 1;
  }
  backend::Backend& server = **created;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      server.Drain();
    }
  });
  int status = 1;
  asio::co_spawn(
    context, server.Run(), [&](const std::exception_ptr&, int aStatus) {
      status = aStatus;
      context.stop();
    });
  context.run();
  return status;
}

} // namespace rattanloft::tool
