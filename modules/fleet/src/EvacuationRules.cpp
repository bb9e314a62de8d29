#include "rattanloft/fleet/EvacuationRules.h"

#include <algorithm>

#include <boost/locale/utf.hpp>

namespace rattanloft::fleet {

namespace {

namespace utf = boost::locale::utf;

tl::unexpected<ConfigurationError>
ZoneError(std::string aReason)
{
  return tl::unexpected(ConfigurationError{ "zone", std::move(aReason) });
}

bool
IsControlCharacter(char aByte)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < kFirstPrintable || byte == kDelete;
}

bool
IsUtf8(std::string_view aText)
{
  const char* position = aText.data();
  const char* const end = position + aText.size();
  while (position != end) {
    const utf::code_point point = utf::utf_traits<char>::decode(position, end);
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

} // namespace

tl::expected<void, ConfigurationError>
CheckZoneName(std::string_view aZone)
{
  if (aZone.empty()) {
    return ZoneError("a name is required");
  }
  if (aZone.size() > kMaxZoneNameBytes) {
    return ZoneError("the name is too long");
  }
  if (aZone.find('/') != std::string_view::npos) {
    return ZoneError("the name must not contain a slash");
  }
  // The name is logged, and a protobuf message with another encoding cannot be
  // parsed by the replicas.
  if (std::ranges::any_of(aZone, IsControlCharacter) || !IsUtf8(aZone)) {
    return ZoneError("the name must be UTF-8 without control characters");
  }
  return {};
}

} // namespace rattanloft::fleet
