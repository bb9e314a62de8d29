#include <string>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "Flags.h"
#include "ProcessLimits.h"
#include "SettingsText.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/coordinator/Coordinator.h"
#include "rattanloft/http/Endpoint.h"
#include "rattanloft/platform/PlatformProtocol.h"

DEFINE_string(state_dir, "", "folder of the replicated log; required");
DEFINE_string(operator_address, "", "IP address and port for operators");
DEFINE_string(member_address,
              "",
              "IP address and port for other coordinators and sidecars");
DEFINE_string(seed_coordinators,
              "",
              "operator addresses of some coordinators, separated by commas");
DEFINE_bool(form_group,
            false,
            "the fleet starts for the first time, so the coordinator with the "
            "lowest seed address forms the group");
DEFINE_uint32(tolerated_losses,
              0,
              "number of coordinators that may be lost at the same time "
              "together with their disks");

namespace rattanloft::tool {

namespace {

// Memory for the state of the fleet and its snapshot, and for one parsed
// configuration, which may take 25 times its size of at most 2 MiB.
constexpr size_t kStateBytes = 64 * 1024 * 1024;
// A body is copied and parsed while it is handled, and the copy is not charged:
// 160 clients that did not read responses of 2 MiB took 2.3 times the budget.
constexpr size_t kCopiesOfBody = 2;

// Returns a message about the first invalid setting; empty if all are valid.
std::string
CheckSettings()
{
  if (FLAGS_state_dir.empty()) {
    return "--state_dir: a folder is required";
  }
  if (!http::ParseEndpoint(FLAGS_operator_address)) {
    return fmt::format("--operator_address: '{}' is not an IP address and port",
                       FLAGS_operator_address);
  }
  if (!http::ParseEndpoint(FLAGS_member_address)) {
    return fmt::format("--member_address: '{}' is not an IP address and port",
                       FLAGS_member_address);
  }
  for (const std::string& seed : SplitCommaList(FLAGS_seed_coordinators)) {
    if (!http::ParseEndpoint(seed)) {
      return fmt::format(
        "--seed_coordinators: '{}' is not an IP address and port", seed);
    }
  }
  constexpr uint32_t kMaxToleratedLosses = 3;
  if (FLAGS_tolerated_losses > kMaxToleratedLosses) {
    return fmt::format("--tolerated_losses: must be at most {}",
                       kMaxToleratedLosses);
  }
  return "";
}

int
Fail(int aStatus, const std::string& aMessage)
{
  fmt::print(stderr, "rattanloft coordinator: {}\n", aMessage);
  return aStatus;
}

} // namespace

int
CoordinatorCommand(std::span<char*> aArgs)
{
  if (!aArgs.empty()) {
    return Fail(2, fmt::format("unexpected argument '{}'", aArgs[0]));
  }
  const std::string settingsError = CheckSettings();
  if (!settingsError.empty()) {
    return Fail(2, settingsError);
  }
  ReturnFreedMemory();
  const auto limits = ReadProcessLimits(kStateBytes);
  if (!limits) {
    return Fail(2, limits.error());
  }
  SetLogOutput(LogOutput::kRateLimitedStandardOutput);
  coordinator::CoordinatorOptions options;
  options.m_dataDir = FLAGS_state_dir;
  options.m_zone = FLAGS_zone;
  options.m_controlAddress = FLAGS_operator_address;
  options.m_internalAddress = FLAGS_member_address;
  options.m_seedAddresses = SplitCommaList(FLAGS_seed_coordinators);
  options.m_mayFormGroup = FLAGS_form_group;
  options.m_toleratedLosses = FLAGS_tolerated_losses;
  options.m_memoryBudgetBytes = limits->m_memoryBudgetBytes / kCopiesOfBody;
  options.m_maxOpenFiles = limits->m_maxOpenFiles;
  const std::string file = FlagfilePath();
  if (!file.empty()) {
    options.m_reloadSeedAddresses = [file] {
      return SplitCommaList(ReadFlagFromFile(file, "seed_coordinators"));
    };
  }
  static const platform::PlatformOperatorProtocol sProtocol;
  auto created = coordinator::Coordinator::Make(std::move(options), sProtocol);
  if (!created) {
    return Fail(1, created.error().m_message);
  }
  // Suspended coroutines still refer to the coordinator when Run() returns. The
  // process ends right after, so the coordinator is deliberately not destroyed.
  coordinator::Coordinator* instance = created->release();
  instance->Run();
  return 0;
}

} // namespace rattanloft::tool
