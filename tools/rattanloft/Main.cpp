#include <array>
#include <cstdio>
#include <span>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "Commands.h"
#include "FlagParser.h"
#include "Flags.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::tool {

namespace {

constexpr std::string_view kVersion = RATTANLOFT_VERSION;

constexpr std::array<std::string_view, 2> kServerFlags = { "log_level",
                                                           "zone" };
constexpr std::array<std::string_view, 4> kFleetServerFlags = {
  "log_level",
  "zone",
  "memory_limit_mb",
  "max_open_files"
};
constexpr std::array<std::string_view, 1> kLogFlags = { "log_level" };
constexpr std::array<std::string_view, 4> kOperatorFlags = { "log_level",
                                                             "control",
                                                             "operator_name",
                                                             "timeout_ms" };

struct SubCommand
{
  std::string_view m_name;
  std::string_view m_arguments;
  std::string_view m_summary;
  int (*m_run)(std::span<char*>);
  FlagScope m_flags;
};

constexpr SubCommand kSubCommands[] = {
  { "node",
    "",
    "runs the node beside a backend server",
    NodeCommand,
    { "NodeCommand.cpp", kServerFlags } },
  { "control",
    "",
    "runs a control instance",
    ControlCommand,
    { "ControlCommand.cpp", kServerFlags } },
  { "backend",
    "",
    "runs a simulated backend server",
    BackendCommand,
    { "BackendCommand.cpp", kLogFlags } },
  { "load",
    "",
    "sends simulated caller requests to nodes",
    LoadCommand,
    { "LoadCommand.cpp", kLogFlags } },
  { "catalogue",
    "list | get NAME | apply FILE | remove NAME | history",
    "shows and changes the catalogue",
    CatalogueCommand,
    { "CatalogueCommand.cpp", kOperatorFlags } },
  { "status",
    "",
    "shows the state of control instances and nodes",
    StatusCommand,
    { "StatusCommand.cpp", kOperatorFlags } },
  { "coordinator",
    "",
    "runs a coordinator of a fleet",
    CoordinatorCommand,
    { "CoordinatorCommand.cpp", kFleetServerFlags } },
  { "sidecar",
    "",
    "runs the sidecar beside a backend server of a fleet",
    SidecarCommand,
    { "SidecarCommand.cpp", kFleetServerFlags } },
  { "trace",
    "REQUEST_ID FILE...",
    "shows the log lines of all instances about one request",
    TraceCommand,
    { "TraceCommand.cpp", kLogFlags } },
  { "drain",
    "[--undo] NODE",
    "moves all work away from a node, or ends such a drain",
    DrainCommand,
    { "DrainCommand.cpp", kOperatorFlags } },
};

void
PrintUsage(std::FILE* aOut)
{
  fmt::print(aOut, "usage: rattanloft SUB-COMMAND [flags] [arguments]\n");
  for (const SubCommand& command : kSubCommands) {
    fmt::print(aOut, "  {:11} {}\n", command.m_name, command.m_summary);
  }
  fmt::print(
    aOut,
    "rattanloft SUB-COMMAND --help lists the flags of a sub-command; an "
    "environment variable RATTANLOFT_<FLAG> sets the default of a flag\n");
}

void
PrintHelp(const SubCommand& aCommand)
{
  fmt::print("usage: rattanloft {} [flags] {}\n{}\n{}",
             aCommand.m_name,
             aCommand.m_arguments,
             aCommand.m_summary,
             DescribeFlags(aCommand.m_flags));
}

// Sets the log level from --log_level. Prints an error and returns false if the
// value is invalid.
bool
ApplyLogLevel()
{
  constexpr std::string_view kNames[] = { "debug", "info", "warning", "error" };
  for (size_t i = 0; i < std::size(kNames); ++i) {
    if (FLAGS_log_level == kNames[i]) {
      SetLogLevel(static_cast<LogLevel>(i));
      return true;
    }
  }
  fmt::print(stderr,
             "rattanloft: bad value '{}' for --log_level: "
             "debug|info|warning|error expected\n",
             FLAGS_log_level);
  return false;
}

int
RunSubCommand(const SubCommand& aCommand, std::span<char*> aArgs)
{
  auto parsed = ParseFlags(aCommand.m_flags, aArgs);
  if (!parsed) {
    fmt::print(stderr, "rattanloft {}: {}\n", aCommand.m_name, parsed.error());
    return 2;
  }
  if (parsed->m_help) {
    PrintHelp(aCommand);
    return 0;
  }
  if (!ApplyLogLevel()) {
    return 2;
  }
  return aCommand.m_run(parsed->m_positional);
}

int
Run(std::span<char*> aArgs)
{
  if (aArgs.empty()) {
    PrintUsage(stderr);
    return 2;
  }
  const std::string_view name = aArgs[0];
  if (name == "--version") {
    fmt::print("rattanloft {}\n", kVersion);
    return 0;
  }
  if (name == "--help" || name == "-h" || name == "help") {
    PrintUsage(stdout);
    return 0;
  }
  for (const SubCommand& command : kSubCommands) {
    if (command.m_name == name) {
      return RunSubCommand(command, aArgs.subspan(1));
    }
  }
  fmt::print(stderr, "rattanloft: unknown sub-command '{}'\n", name);
  return 2;
}

} // namespace

} // namespace rattanloft::tool

int
main(int aCount, char** aArgs)
{
  return rattanloft::tool::Run(
    std::span<char*>(aArgs, static_cast<size_t>(aCount)).subspan(1));
}
