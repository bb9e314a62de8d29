#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "raft.pb.h"

namespace rattanloft::control {

struct ControlOptions
{
  std::string m_dataDir;
  // host:port with an IP address; port 0 takes a free one.
  std::string m_grpcAddress;
  std::string m_httpAddress;
  // The founding members if they include this replica. Otherwise the members
  // of the group that this replica will be added to, for their addresses.
  wire::GroupConfig m_group;
  // Stop on SIGTERM and SIGINT, also on one that comes while Make reads the
  // data folder.
  bool m_stopOnSignals = false;
};

enum class ControlErrorCode
{
  // Options or addresses; exit status 2.
  kInvalidOptions,
  // The data folder is in use, damaged or not accessible; exit status 1.
  kDataFolderError,
  // A port is in use; exit status 1.
  kListenFailed,
};

struct ControlError
{
  ControlErrorCode m_code;
  std::string m_message;
};

// One control instance. The thread that calls Run() is its control thread.
class ControlInstance
{
public:
  static tl::expected<std::unique_ptr<ControlInstance>, ControlError> Make(
    ControlOptions aOptions);

  virtual ~ControlInstance() = default;

  // Returns after Stop().
  virtual void Run() = 0;
  // Graceful stop: hands leadership over, answers held calls, closes the
  // listeners. Safe to call from any thread.
  virtual void Stop() = 0;

  virtual uint64_t ReplicaId() const = 0;
  virtual uint16_t GrpcPort() const = 0;
  virtual uint16_t HttpPort() const = 0;
};

// Creates the data folder if needed and returns its replica id.
tl::expected<uint64_t, ControlError>
InitDataFolder(const std::string& aDataDir);

} // namespace rattanloft::control
