#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "Flags.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/control/ControlInstance.h"
#include "rattanloft/control/GroupText.h"

DEFINE_string(data_dir, "", "folder of the replicated log; required");
DEFINE_string(
  grpc_address,
  "127.0.0.1:7100",
  "IP address and port that accept gRPC from control instances and nodes");
DEFINE_string(http_address,
              "127.0.0.1:7101",
              "IP address and port that accept HTTP requests of operators");
DEFINE_string(group,
              "",
              "id=grpc_address/http_address/zone,... of the founding members, "
              "the same list on each; an instance that joins later lists the "
              "members of the group without itself");
DEFINE_bool(init,
            false,
            "create the data folder, print its replica id and exit");

namespace rattanloft::tool {

namespace {

using control::ControlError;
using control::ControlErrorCode;

int
Fail(const ControlError& aError)
{
  fmt::print(stderr, "rattanloft control: {}\n", aError.m_message);
  return aError.m_code == ControlErrorCode::kInvalidOptions ? 2 : 1;
}

int
FailWithBadFlag(std::string_view aFlag, std::string_view aMessage)
{
  fmt::print(stderr, "rattanloft control: --{}: {}\n", aFlag, aMessage);
  return 2;
}

int
InitAndPrintReplicaId()
{
  const auto id = control::InitDataFolder(FLAGS_data_dir);
  if (!id) {
    return Fail(id.error());
  }
  fmt::print("{}\n", control::FormatReplicaId(*id));
  return 0;
}

// Returns false if --zone is set and differs from the zone that --group names
// for this instance, so that a list written for another instance is detected.
bool
ZoneMatchesGroup(const wire::GroupConfig& aGroup)
{
  return FLAGS_zone.empty() ||
         std::ranges::all_of(
           aGroup.members(), [](const wire::GroupMember& aMember) {
             return aMember.grpc_address() != FLAGS_grpc_address ||
                    aMember.zone() == FLAGS_zone;
           });
}

int
RunInstance(control::ControlOptions aOptions)
{
  auto instance = control::ControlInstance::Make(std::move(aOptions));
  if (!instance) {
    return Fail(instance.error());
  }
  LogInfo("control",
          "replica {} serves gRPC on port {} and HTTP on port {}",
          control::FormatReplicaId((*instance)->ReplicaId()),
          (*instance)->GrpcPort(),
          (*instance)->HttpPort());
  (*instance)->Run();
  return 0;
}

} // namespace

int
ControlCommand(std::span<char*> aArgs)
{
  if (!aArgs.empty()) {
    fmt::print(
      stderr, "rattanloft control: unexpected argument '{}'\n", aArgs[0]);
    return 2;
  }
  if (FLAGS_data_dir.empty()) {
    return FailWithBadFlag("data_dir", "a folder is required");
  }
  if (FLAGS_init) {
    return InitAndPrintReplicaId();
  }
  for (const auto& [flag, address] :
       { std::pair{ "grpc_address", FLAGS_grpc_address },
         std::pair{ "http_address", FLAGS_http_address } }) {
    if (!control::ParseHostPort(address)) {
      return FailWithBadFlag(
        flag, fmt::format("'{}' is not an IP address and port", address));
    }
  }
  auto group = control::ParseGroup(FLAGS_group);
  if (!group) {
    return FailWithBadFlag("group", group.error());
  }
  if (!ZoneMatchesGroup(*group)) {
    return FailWithBadFlag("zone", "differs from the zone in --group");
  }
  return RunInstance({ .m_dataDir = FLAGS_data_dir,
                       .m_grpcAddress = FLAGS_grpc_address,
                       .m_httpAddress = FLAGS_http_address,
                       .m_group = std::move(*group),
                       .m_stopOnSignals = true });
}

} // namespace rattanloft::tool
