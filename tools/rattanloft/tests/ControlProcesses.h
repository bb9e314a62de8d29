#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "ControlClient.h"

namespace rattanloft::tool {

// Control instances as processes on loopback with free ports and data folders
// that are removed at the end. Kills what still runs.
class ControlProcesses
{
public:
  explicit ControlProcesses(size_t aCount);
  ControlProcesses(const ControlProcesses&) = delete;
  ControlProcesses& operator=(const ControlProcesses&) = delete;
  ~ControlProcesses();

  void Start(size_t aIndex);
  // The exit status, or minus the signal.
  int Stop(size_t aIndex, int aSignal);
  std::string HttpAddress(size_t aIndex) const;
  std::vector<std::string> HttpAddresses() const;
  std::string DataDir(size_t aIndex) const;
  pid_t Pid(size_t aIndex) const { return m_instances[aIndex].m_pid; }

  // The document of one instance, null without an answer.
  nlohmann::json Status(size_t aIndex) const;
  // Waits up to 10 s for a leader that all running instances name.
  std::optional<size_t> WaitForLeader() const;

private:
  struct Instance
  {
    std::string m_id;
    uint16_t m_grpcPort = 0;
    uint16_t m_httpPort = 0;
    pid_t m_pid = 0;
  };

  std::filesystem::path m_folder;
  std::string m_group;
  std::vector<Instance> m_instances;
};

} // namespace rattanloft::tool
