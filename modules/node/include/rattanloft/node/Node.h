#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace rattanloft::node {

struct NodeOptions
{
  std::string m_nodeId;
  std::string m_zone;
  // IP address that the caller and peer listeners bind to.
  std::string m_listenAddress = "127.0.0.1";
  uint16_t m_callerPort = 0;
  uint16_t m_peerPort = 0;
  // Address that other nodes use for the peer listener. Empty means
  // m_listenAddress.
  std::string m_advertisedAddress;
  // On the loopback interface: backend server, status and metrics.
  uint16_t m_agentPort = 0;
  // gRPC addresses of the control instances.
  std::vector<std::string> m_controlAddresses;
  // Scheduling strategy: "deadline" or "fifo".
  std::string m_schedulingStrategy = "deadline";
  // Isolate and block requests that crash the backend server.
  bool m_quarantineEnabled = true;
};

enum class NodeErrorCode
{
  kInvalidSettings,
  kListenFailed,
};

struct NodeError
{
  NodeErrorCode m_code;
  std::string m_message;
};

// The process beside a backend server: entry for callers, owner side for its
// backend server, and client of the control instances.
class Node
{
public:
  static tl::expected<std::unique_ptr<Node>, NodeError> Make(
    const NodeOptions& aOptions);

  virtual ~Node() = default;

  // Serves until SIGTERM or SIGINT, then drains and stops. Returns the exit
  // status.
  virtual int Run() = 0;
};

} // namespace rattanloft::node
