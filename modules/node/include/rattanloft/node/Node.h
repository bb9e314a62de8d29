#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace rattanloft::node {

// Settings of a node. Ports of 0 take a free port.
struct NodeOptions
{
  std::string m_nodeId;
  std::string m_zone;
  // IP address on which the caller and peer listeners accept connections.
  std::string m_listenAddress = "127.0.0.1";
  uint16_t m_callerPort = 0;
  uint16_t m_peerPort = 0;
  // IP address at which other nodes reach the peer listener. Empty means
  // m_listenAddress.
  std::string m_advertisedAddress;
  // Port on the loopback interface that takes the announcements of the backend
  // server and serves status and metrics.
  uint16_t m_agentPort = 0;
  // gRPC addresses of the control instances, each as host:port.
  std::vector<std::string> m_controlAddresses;
  // Order in which the backend server gets waiting requests: "deadline" or
  // "fifo".
  std::string m_schedulingStrategy = "deadline";
  // Whether requests that crash the backend server are isolated and then
  // blocked.
  bool m_quarantineEnabled = true;
};

enum class NodeErrorCode
{
  // A value of NodeOptions is not valid.
  kInvalidSettings,
  // A port could not be opened for listening.
  kListenFailed,
};

struct NodeError
{
  NodeErrorCode m_code;
  std::string m_message;
};

// The node process that runs beside a backend server. As an entry node it
// accepts requests from callers and sends each to the node that must run it; as
// an owner node it runs requests on its own backend server. It learns routes,
// catalogue and leases from the control instances.
class Node
{
public:
  // Opens all listeners, but serves nothing before Run().
  static tl::expected<std::unique_ptr<Node>, NodeError> Make(
    const NodeOptions& aOptions);

  virtual ~Node() = default;

  // Serves requests until SIGTERM or SIGINT, then drains and stops. Returns the
  // exit status of the process.
  virtual int Run() = 0;
};

} // namespace rattanloft::node
