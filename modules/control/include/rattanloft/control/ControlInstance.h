#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "raft.pb.h"

namespace rattanloft::control {

struct ControlOptions
{
  // Folder for the replicated log and its snapshots; created if missing.
  std::string m_dataDir;
  // Listen addresses for control instances and nodes (gRPC) and for operators
  // (HTTP), as host:port with an IP address; port 0 takes a free port.
  std::string m_grpcAddress;
  std::string m_httpAddress;
  // Members of the control group, for their addresses. If this replica is among
  // them, they are the founding members, with which an empty log starts.
  // Otherwise this replica waits until it is added to the group.
  wire::GroupConfig m_group;
  // Whether SIGTERM and SIGINT stop the instance, even if one arrives while
  // Make() is reading the data folder.
  bool m_stopOnSignals = false;
};

enum class ControlErrorCode
{
  // An option or address is not valid; the process exits with status 2.
  kInvalidOptions,
  // The data folder is in use, damaged or not accessible; the process exits
  // with status 1.
  kDataFolderError,
  // A listener could not be opened, for example because its port is in use; the
  // process exits with status 1.
  kListenFailed,
};

struct ControlError
{
  ControlErrorCode m_code;
  std::string m_message;
};

// One control instance: a replica of the cluster state, with a gRPC server for
// nodes and other control instances and an HTTP server for operators. The
// thread that calls Run() becomes its control thread.
class ControlInstance
{
public:
  // Opens the data folder and the listeners. Requests are served once Run() has
  // been called.
  static tl::expected<std::unique_ptr<ControlInstance>, ControlError> Make(
    ControlOptions aOptions);

  virtual ~ControlInstance() = default;

  // Serves until Stop() is called, or until a signal if m_stopOnSignals is set.
  virtual void Run() = 0;
  // Stops gracefully: transfers leadership, answers held Sync calls and closes
  // the listeners. Safe to call from any thread.
  virtual void Stop() = 0;

  virtual uint64_t ReplicaId() const = 0;
  // Ports on which the listeners accept connections.
  virtual uint16_t GrpcPort() const = 0;
  virtual uint16_t HttpPort() const = 0;
};

// Creates the data folder if it is missing, with a new random replica id, and
// returns its replica id.
tl::expected<uint64_t, ControlError>
InitDataFolder(const std::string& aDataDir);

} // namespace rattanloft::control
