#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "rattanloft/coordinator/OperatorProtocol.h"
#include "rattanloft/overload/MemoryBudget.h"

namespace rattanloft::coordinator {

struct CoordinatorOptions
{
  // Folder for the replicated log and its snapshots; created if missing.
  std::string m_dataDir;
  // Availability zone of this coordinator.
  std::string m_zone;
  // IP address and port on which operators are served. Also identifies this
  // coordinator in m_seedAddresses.
  std::string m_controlAddress;
  // IP address and port on which other coordinators and sidecars are served.
  std::string m_internalAddress;
  // Control addresses of some coordinators, as first contacts. The internal
  // addresses of all coordinators must have the port of m_internalAddress.
  std::vector<std::string> m_seedAddresses;
  // Called on SIGHUP to read the seed addresses again from the settings. May be
  // empty.
  std::function<std::vector<std::string>()> m_reloadSeedAddresses;
  // Set when the fleet starts for the first time. The coordinator whose control
  // address sorts first among the seed addresses then forms the group.
  bool m_mayFormGroup = false;
  // Number of coordinators that may be lost at the same time, including their
  // disks, without loss of confirmed data.
  uint32_t m_toleratedLosses = 0;
  // Memory that requests, responses and connections may take in all.
  size_t m_memoryBudgetBytes = overload::MemoryBudget::kDefaultLimitBytes;
  // File descriptors that the process may use.
  size_t m_maxOpenFiles = 4096;
};

struct CoordinatorError
{
  std::string m_message;
};

// One replica of the fleet's control state: the configuration and the owners of
// the key ranges. The thread that calls Run() becomes its control thread.
class Coordinator
{
public:
  // Opens the data folder and the listeners. aProtocol must outlive the
  // coordinator.
  static tl::expected<std::unique_ptr<Coordinator>, CoordinatorError> Make(
    CoordinatorOptions aOptions,
    const OperatorProtocol& aProtocol);

  virtual ~Coordinator() = default;
  // Serves until SIGTERM or SIGINT. A leader first asks another coordinator to
  // take over.
  virtual void Run() = 0;
};

} // namespace rattanloft::coordinator
