#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "ControlClient.h"
#include "ReservedPorts.h"

namespace rattanloft::tool {

// Runs a group of control instances as child processes on loopback, each with
// reserved ports and its own data folder. The destructor kills the instances
// that still run and removes the data folders.
class ControlProcesses
{
public:
  explicit ControlProcesses(size_t aCount);
  ControlProcesses(const ControlProcesses&) = delete;
  ControlProcesses& operator=(const ControlProcesses&) = delete;
  ~ControlProcesses();

  void Start(size_t aIndex);
  // Sends the signal and waits for the process to exit. Returns its exit
  // status, or the negated number of the signal that ended it; 0 if it was not
  // running.
  int Stop(size_t aIndex, int aSignal);
  std::string HttpAddress(size_t aIndex) const;
  std::string GrpcAddress(size_t aIndex) const;
  std::vector<std::string> HttpAddresses() const;
  std::string DataDir(size_t aIndex) const;
  pid_t Pid(size_t aIndex) const { return m_instances[aIndex].m_pid; }

  // Returns the status document of one instance; null if it does not answer.
  nlohmann::json Status(size_t aIndex) const;
  // Waits up to 10 s until all running instances name the same leader. Returns
  // its index, or nothing if there is none by then.
  std::optional<size_t> WaitForLeader() const;

private:
  struct Instance
  {
    std::string m_id;
    uint16_t m_grpcPort = 0;
    uint16_t m_httpPort = 0;
    pid_t m_pid = 0;
  };

  ReservedPorts m_reservedPorts;
  std::filesystem::path m_folder;
  std::string m_group;
  std::vector<Instance> m_instances;
};

} // namespace rattanloft::tool
