#include "BackendCallRules.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

constexpr size_t kMaxIdBytes = 128;

// Separators of fleet::HolderName are not part of an id.
bool
IsIdByte(char aByte)
{
  return aByte > ' ' && aByte <= '~' && aByte != '/' && aByte != '@';
}

} // namespace

tl::expected<void, std::string>
CheckBackendId(std::string_view aId)
{
  if (aId.empty() || aId.size() > kMaxIdBytes ||
      !std::ranges::all_of(aId, IsIdByte)) {
    return tl::unexpected(
      std::string("the id is too long or is not printable text"));
  }
  return {};
}

tl::expected<void, std::string>
CheckHeartbeat(const Heartbeat& aHeartbeat, const ConfiguredBackend& aBackend)
{
  if (auto id = CheckBackendId(aHeartbeat.m_backendId); !id) {
    return id;
  }
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
