#include "BackendCallRules.h"

#include <algorithm>

namespace rattanloft::sidecar {

namespace {

constexpr size_t kMaxIdBytes = 128;
constexpr size_t kMaxHandoverBytes = 256;
// Far above what one process runs at once.
constexpr uint32_t kMaxSlots = 65536;
constexpr Duration kMaxColdTime = Seconds(3600);
// Numbers up to here are exact in every JSON parser.
constexpr uint64_t kMaxSequence = uint64_t{ 1 } << 53;
// The end of the year 9999.
constexpr int64_t kMaxStartUnixMs = 253'402'300'799'999;
// One row for each bucket of keys that the leader counts, four times over.
constexpr size_t kMaxRows = 4096;

// Separators of fleet::HolderName are not part of an id.
bool
IsIdByte(char aByte)
{
  return aByte > ' ' && aByte <= '~' && aByte != '/' && aByte != '@';
}

bool
AreRangesValid(const Heartbeat& aHeartbeat)
{
  return aHeartbeat.m_heldRanges.size() <= kMaxRows &&
         aHeartbeat.m_releasedRanges.size() <= kMaxRows &&
         std::ranges::all_of(aHeartbeat.m_heldRanges,
                             [](const HeldRange& aRange) {
                               return aRange.m_first <= aRange.m_last &&
                                      aRange.m_fence <= kMaxSequence;
                             }) &&
         std::ranges::all_of(aHeartbeat.m_releasedRanges,
                             [](const wire::HandedOver& aRange) {
                               return aRange.first() <= aRange.last() &&
                                      IsUsableHandover(aRange.token());
                             });
}

} // namespace

bool
IsUsableHandover(std::string_view aToken)
{
  return aToken.size() <= kMaxHandoverBytes &&
         std::ranges::all_of(
           aToken, [](char aByte) { return aByte > ' ' && aByte <= '~'; });
}

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
  if (aHeartbeat.m_slots < 1 || aHeartbeat.m_slots > kMaxSlots ||
      aHeartbeat.m_sequence > kMaxSequence ||
      aHeartbeat.m_startedAtUnixMs > kMaxStartUnixMs ||
      aHeartbeat.m_coldRemaining > kMaxColdTime) {
    return tl::unexpected(std::string("a number is out of range"));
  }
  if (!AreRangesValid(aHeartbeat)) {
    return tl::unexpected(
      std::string("a range of keys or a handover token is invalid"));
  }
  return {};
}

} // namespace rattanloft::sidecar
