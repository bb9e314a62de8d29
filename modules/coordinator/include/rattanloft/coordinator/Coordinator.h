#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "rattanloft/coordinator/OperatorProtocol.h"

namespace rattanloft::coordinator {

struct CoordinatorOptions
{
  std::string m_dataDir;
  std::string m_zone;
  // IP address and port for operators.
  std::string m_controlAddress;
  // IP address and port for other coordinators and sidecars.
  std::string m_internalAddress;
  // Control addresses of some coordinators; all have the internal port of
  // m_internalAddress.
  std::vector<std::string> m_seedAddresses;
  // Reads the seeds anew after the settings changed; may be empty.
  std::function<std::vector<std::string>()> m_reloadSeedAddresses;
  // The fleet starts for the first time. The coordinator with the least seed
  // address then forms the group.
  bool m_mayFormGroup = false;
  // Coordinators that may be lost at once, disks included.
  uint32_t m_toleratedLosses = 0;
};

struct CoordinatorError
{
  std::string m_message;
};

// One replica of the fleet's control state. The thread that calls Run() is its
// control thread; it ends on SIGTERM.
class Coordinator
{
public:
  static tl::expected<std::unique_ptr<Coordinator>, CoordinatorError> Make(
    CoordinatorOptions aOptions,
    const OperatorProtocol& aProtocol);

  virtual ~Coordinator() = default;
  virtual void Run() = 0;
};

} // namespace rattanloft::coordinator
