#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Commands.h"
#include "Flags.h"
#include "SettingsText.h"
#include "rattanloft/http/Endpoint.h"
#include "rattanloft/node/Node.h"

DEFINE_string(node_id,
              "",
              "name of this node, the same after a restart; 1 to 64 "
              "characters of [a-z0-9._-]");
DEFINE_string(address,
              "127.0.0.1",
              "IP address of the caller and peer listeners");
DEFINE_string(advertised_address,
              "",
              "IP address at which other nodes reach the peer listener; by "
              "default the value of --address");
DEFINE_uint32(caller_port,
              0,
              "port that accepts requests of callers; 0 takes a free one");
DEFINE_uint32(peer_port,
              0,
              "port that accepts requests of other nodes; 0 takes a free one");
DEFINE_uint32(agent_port,
              7301,
              "loopback port for the backend server, status and metrics");
DEFINE_string(control_grpc,
              "",
              "gRPC addresses of the control instances, separated by commas");
DEFINE_string(strategy, "deadline", "scheduling strategy: deadline or fifo");
DEFINE_bool(quarantine,
            true,
            "isolate and block requests that crash the backend server");

namespace rattanloft::tool {

namespace {

constexpr uint32_t kMaxPort = 65535;
constexpr size_t kMaxNodeIdLength = 64;

bool
IsNodeId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNodeIdLength &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789._-") ==
           std::string::npos;
}

bool
IsIpAddress(const std::string& aText)
{
  return http::ParseEndpoint(aText + ":1").has_value();
}

// Returns a message about the first invalid setting; empty if all are valid.
std::string
CheckSettings()
{
  if (!IsNodeId(FLAGS_node_id)) {
    return "--node_id must have 1 to 64 characters of [a-z0-9._-]";
  }
  if (FLAGS_zone.empty()) {
    return "--zone must name the availability zone";
  }
  const std::vector<std::string> control = SplitCommaList(FLAGS_control_grpc);
  if (control.empty()) {
    return "--control_grpc must name at least one control instance";
  }
  for (const std::string& address : control) {
    if (!http::ParseEndpoint(address)) {
      return fmt::format("--control_grpc: '{}' is not an IP address and port",
                         address);
    }
  }
  if (!IsIpAddress(FLAGS_address)) {
    return "--address must be an IP address";
  }
  if (!FLAGS_advertised_address.empty() &&
      !IsIpAddress(FLAGS_advertised_address)) {
    return "--advertised_address must be an IP address";
  }
  const struct
  {
    const char* m_name;
    uint32_t m_port;
  } ports[] = { { "caller_port", FLAGS_caller_port },
                { "peer_port", FLAGS_peer_port },
                { "agent_port", FLAGS_agent_port } };
  for (const auto& port : ports) {
    if (port.m_port > kMaxPort) {
      return fmt::format("--{} must be at most {}", port.m_name, kMaxPort);
    }
  }
  return "";
}

int
Fail(int aStatus, const std::string& aMessage)
{
  fmt::print(stderr, "rattanloft node: {}\n", aMessage);
  return aStatus;
}

} // namespace

int
NodeCommand(std::span<char*> aArgs)
{
  if (!aArgs.empty()) {
    return Fail(2, fmt::format("unexpected argument '{}'", aArgs[0]));
  }
  const std::string settingsError = CheckSettings();
  if (!settingsError.empty()) {
    return Fail(2, settingsError);
  }
  node::NodeOptions options;
  options.m_nodeId = FLAGS_node_id;
  options.m_zone = FLAGS_zone;
  options.m_listenAddress = FLAGS_address;
  options.m_advertisedAddress = FLAGS_advertised_address;
  options.m_callerPort = static_cast<uint16_t>(FLAGS_caller_port);
  options.m_peerPort = static_cast<uint16_t>(FLAGS_peer_port);
  options.m_agentPort = static_cast<uint16_t>(FLAGS_agent_port);
  options.m_controlAddresses = SplitCommaList(FLAGS_control_grpc);
  options.m_schedulingStrategy = FLAGS_strategy;
  options.m_quarantineEnabled = FLAGS_quarantine;
  auto created = node::Node::Make(options);
  if (!created) {
    const bool invalidSettings =
      created.error().m_code == node::NodeErrorCode::kInvalidSettings;
    return Fail(invalidSettings ? 2 : 1, created.error().m_message);
  }
  // Suspended coroutines still refer to the node when Run() returns. The
  // process ends right after, so the node is deliberately not destroyed.
  node::Node* node = created->release();
  return node->Run();
}

} // namespace rattanloft::tool
