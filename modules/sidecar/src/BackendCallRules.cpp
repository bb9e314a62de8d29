#include "BackendCallRules.h"

namespace rattanloft::sidecar {

tl::expected<void, std::string>
CheckHeartbeat(const Heartbeat& aHeartbeat, const ConfiguredBackend& aBackend)
{
  if (aHeartbeat.m_service != aBackend.m_service) {
    return tl::unexpected(
      std::string("the service is not that of this instance"));
  }
  if (aHeartbeat.m_address != aBackend.m_address) {
    return tl::unexpected(
      std::string("the address is not that of the backend server"));
  }
  return {};
}

} // namespace rattanloft::sidecar
