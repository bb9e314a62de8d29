#include <csignal>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "rattanloft/backend/Load.h"

DEFINE_string(profile, "adwoa", "mix of request kinds: adwoa|tidewater");
DEFINE_string(targets,
              "",
              "addresses of caller listeners of nodes, host:port,...");
DEFINE_double(rate, 100, "requests per second");
DEFINE_double(duration_s, 10, "seconds during which requests arrive");
DEFINE_double(step_at_s,
              -1,
              "seconds from the start to the demand step; negative for none");
DEFINE_double(step_factor,
              5,
              "rate after the demand step divided by the rate before it");
DEFINE_double(step_ramp_s,
              2,
              "seconds over which the rate rises in the demand step");
DEFINE_int32(keys, 10000, "number of keys");
DEFINE_double(zipf,
              0.9,
              "exponent of the Zipf distribution of keys; 0 is uniform");
DEFINE_int32(body_bytes, 200, "minimum size of request bodies in bytes");
DEFINE_double(
  repeat_share,
  0.1,
  "share of answered non-idempotent requests that are sent a second time");
DEFINE_int32(retries,
             0,
             "further attempts for a request that was refused or whose outcome "
             "is unknown");
DEFINE_int32(max_outstanding,
             5000,
             "requests that may be outstanding at the same time");
DEFINE_string(
  history,
  "",
  "file to which invocations and returns are appended as JSON lines");
DEFINE_uint64(load_seed,
              1,
              "seed of arrival times, request kinds, keys and targets");

namespace rattanloft::tool {

namespace {

namespace asio = boost::asio;

Duration
DurationFromSeconds(double aSeconds)
{
  return Milliseconds(static_cast<int64_t>(aSeconds * 1000));
}

backend::LoadOptions
ReadOptions()
{
  backend::LoadOptions options;
  options.m_profile = FLAGS_profile;
  std::istringstream targets(FLAGS_targets);
  std::string target;
  while (std::getline(targets, target, ',')) {
    options.m_targetAddresses.push_back(target);
  }
  options.m_requestsPerSecond = FLAGS_rate;
  options.m_duration = DurationFromSeconds(FLAGS_duration_s);
  options.m_demandStepStart = DurationFromSeconds(FLAGS_step_at_s);
  options.m_demandStepFactor = FLAGS_step_factor;
  options.m_demandStepRamp = DurationFromSeconds(FLAGS_step_ramp_s);
  options.m_keyCount = static_cast<uint32_t>(FLAGS_keys);
  options.m_zipfExponent = FLAGS_zipf;
  options.m_bodyBytes = static_cast<uint32_t>(FLAGS_body_bytes);
  options.m_repeatShare = FLAGS_repeat_share;
  options.m_maxRetries = static_cast<uint32_t>(FLAGS_retries);
  options.m_maxOutstandingRequests =
    static_cast<uint32_t>(FLAGS_max_outstanding);
  options.m_historyPath = FLAGS_history;
  options.m_seed = FLAGS_load_seed;
  return options;
}

// Returns the name of a flag with an invalid value; empty if there is none.
std::string
FindBadFlag()
{
  if (FLAGS_targets.empty()) {
    return "targets";
  }
  if (FLAGS_keys < 1 || FLAGS_keys > 1'000'000) {
    return "keys";
  }
  if (FLAGS_body_bytes < 0) {
    return "body_bytes";
  }
  if (FLAGS_retries < 0) {
    return "retries";
  }
  if (FLAGS_max_outstanding < 1) {
    return "max_outstanding";
  }
  return {};
}

} // namespace

int
LoadCommand(std::span<char*>)
{
  const std::string badFlag = FindBadFlag();
  if (!badFlag.empty()) {
    fmt::print(stderr, "rattanloft load: invalid value for --{}\n", badFlag);
    return 2;
  }
  asio::io_context context(1);
  auto generator = backend::LoadGenerator::Make(context, ReadOptions());
  if (!generator) {
    fmt::print(stderr, "rattanloft load: {}\n", generator.error());
    return 2;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      (*generator)->Stop();
    }
  });
  backend::LoadReport report;
  asio::co_spawn(context,
                 (*generator)->Run(),
                 [&](const std::exception_ptr&, backend::LoadReport aReport) {
                   report = std::move(aReport);
                   context.stop();
                 });
  context.run();
  fmt::print("{}{}\n", report.FormatTable(), report.FormatJson());
  return report.HasMismatch() ? 1 : 0;
}

} // namespace rattanloft::tool
