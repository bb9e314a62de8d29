#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "Flags.h"
#include "ProcessLimits.h"
#include "SettingsText.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/http/Endpoint.h"
#include "rattanloft/platform/PlatformProtocol.h"
#include "rattanloft/sidecar/Sidecar.h"

DEFINE_string(instance, "", "name of this instance, the same after a restart");
DEFINE_string(backend_service,
              "",
              "service that the backend server on this instance belongs to");
DEFINE_string(caller_address, "", "IP address and port for callers");
DEFINE_string(peer_address, "", "IP address and port for other sidecars");
DEFINE_string(ready_address, "", "IP address and port for readiness checks");
DEFINE_string(announce_address,
              "",
              "IP address and port for heartbeats of the backend server");
DEFINE_string(backend_address, "", "IP address and port of the backend server");
DEFINE_string(metrics_address, "", "IP address and port for metrics; optional");
DEFINE_string(coordinators,
              "",
              "addresses of some coordinators, separated by commas");
DEFINE_uint32(coordinator_port,
              0,
              "port on coordinators that sidecars connect to; 0 uses the ports "
              "in --coordinators");
DEFINE_string(bounds,
              "",
              "time limits and budgets that the platform sets, name=value,...");
DEFINE_string(zone_spillover,
              "adaptive",
              "use of other availability zones: adaptive, any (no preference "
              "between zones) or never (only if the own zone has no usable "
              "backend server)");
DEFINE_double(zone_crossing_cost_ms_per_mb,
              500,
              "response time in milliseconds that is given up to save a "
              "megabyte between availability zones");

namespace rattanloft::tool {

namespace {

// Larger costs have no further effect; the bound detects a wrong unit.
constexpr double kMaxCrossingCostMsPerMb = 1e6;

std::optional<sidecar::ZoneSpilloverMode>
ParseSpilloverMode(const std::string& aName)
{
  if (aName == "adaptive") {
    return sidecar::ZoneSpilloverMode::kAdaptive;
  }
  if (aName == "any") {
    return sidecar::ZoneSpilloverMode::kAny;
  }
  if (aName == "never") {
    return sidecar::ZoneSpilloverMode::kNever;
  }
  return std::nullopt;
}

// Memory for the configuration, the directory of the fleet, the log and the
// fragmentation of the heap.
constexpr size_t kStateBytes = 24 * 1024 * 1024;

// Returns a message about the first invalid setting; empty if all are valid.
std::string
CheckSettings()
{
  const std::pair<const char*, const std::string&> addresses[] = {
    { "caller_address", FLAGS_caller_address },
    { "peer_address", FLAGS_peer_address },
    { "ready_address", FLAGS_ready_address },
    { "announce_address", FLAGS_announce_address },
    { "backend_address", FLAGS_backend_address },
  };
  for (const auto& [name, value] : addresses) {
    if (!http::ParseEndpoint(value)) {
      return fmt::format(
        "--{}: '{}' is not an IP address and port", name, value);
    }
  }
  if (FLAGS_instance.empty() ||
      FLAGS_instance.find_first_of("/@ ") != std::string::npos) {
    return "--instance: a name without '/', '@' and spaces is required";
  }
  if (FLAGS_backend_service.empty()) {
    return "--backend_service: a name is required";
  }
  for (const std::string& address : SplitCommaList(FLAGS_coordinators)) {
    if (!http::ParseEndpoint(address)) {
      return fmt::format("--coordinators: '{}' is not an IP address and port",
                         address);
    }
  }
  if (!ParseSpilloverMode(FLAGS_zone_spillover)) {
    return fmt::format("--zone_spillover: '{}' is not adaptive, any or never",
                       FLAGS_zone_spillover);
  }
  // The negated comparison also refuses a value that is not a number.
  if (!(FLAGS_zone_crossing_cost_ms_per_mb >= 0 &&
        FLAGS_zone_crossing_cost_ms_per_mb <= kMaxCrossingCostMsPerMb)) {
    return fmt::format(
      "--zone_crossing_cost_ms_per_mb: {} is not between 0 and {}",
      FLAGS_zone_crossing_cost_ms_per_mb,
      kMaxCrossingCostMsPerMb);
  }
  return "";
}

std::vector<std::string>
CoordinatorAddresses(const std::string& aText)
{
  std::vector<std::string> addresses = SplitCommaList(aText);
  return FLAGS_coordinator_port == 0
           ? addresses
           : ReplacePorts(addresses, FLAGS_coordinator_port);
}

int
Fail(int aStatus, const std::string& aMessage)
{
  fmt::print(stderr, "rattanloft sidecar: {}\n", aMessage);
  return aStatus;
}

sidecar::SidecarOptions
MakeOptions(const platform::PlatformBounds& aBounds,
            const ProcessLimits& aLimits)
{
  sidecar::SidecarOptions options;
  options.m_instance = FLAGS_instance;
  options.m_zone = FLAGS_zone;
  options.m_service = FLAGS_backend_service;
  options.m_callerAddress = FLAGS_caller_address;
  options.m_peerAddress = FLAGS_peer_address;
  options.m_readyAddress = FLAGS_ready_address;
  options.m_announceAddress = FLAGS_announce_address;
  options.m_backendAddress = FLAGS_backend_address;
  options.m_metricsAddress = FLAGS_metrics_address;
  options.m_coordinators = CoordinatorAddresses(FLAGS_coordinators);
  options.m_retryRatio = aBounds.m_retryRatio;
  options.m_retrySlack = aBounds.m_retrySlack;
  options.m_coldRateFactor = aBounds.m_coldRateFactor;
  options.m_coldExtraRequests = aBounds.m_coldExtraRequests;
  options.m_stopGrace = aBounds.m_stopGrace;
  options.m_drainTimeout = aBounds.m_drainTimeout;
  options.m_zoneRouting.m_mode = *ParseSpilloverMode(FLAGS_zone_spillover);
  options.m_zoneRouting.m_crossingCostMsPerMb =
    FLAGS_zone_crossing_cost_ms_per_mb;
  options.m_memoryBudgetBytes = aLimits.m_memoryBudgetBytes;
  options.m_maxOpenFiles = aLimits.m_maxOpenFiles;
  const std::string file = FlagfilePath();
  if (!file.empty()) {
    options.m_readCoordinators = [file] {
      return CoordinatorAddresses(ReadFlagFromFile(file, "coordinators"));
    };
  }
  return options;
}

} // namespace

int
SidecarCommand(std::span<char*> aArgs)
{
  if (!aArgs.empty()) {
    return Fail(2, fmt::format("unexpected argument '{}'", aArgs[0]));
  }
  const std::string settingsError = CheckSettings();
  if (!settingsError.empty()) {
    return Fail(2, settingsError);
  }
  const auto bounds = platform::ParsePlatformBounds(FLAGS_bounds);
  if (!bounds) {
    return Fail(2, "--bounds: " + bounds.error());
  }
  ReturnFreedMemory();
  const auto limits = ReadProcessLimits(kStateBytes);
  if (!limits) {
    return Fail(2, limits.error());
  }
  SetLogOutput(LogOutput::kRateLimitedStandardOutput);
  static const platform::PlatformBackendProtocol sProtocol;
  auto created =
    sidecar::Sidecar::Make(MakeOptions(*bounds, *limits), sProtocol);
  if (!created) {
    return Fail(1, created.error().m_message);
  }
  // Suspended coroutines still refer to the sidecar when Run() returns. The
  // process ends right after, so the sidecar is deliberately not destroyed.
  sidecar::Sidecar* instance = created->release();
  instance->Run();
  return 0;
}

} // namespace rattanloft::tool
