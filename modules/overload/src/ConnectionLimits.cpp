#include "rattanloft/overload/ConnectionLimits.h"

#include <algorithm>

#include <fmt/format.h>

namespace rattanloft::overload {

tl::expected<ConnectionLimits, std::string>
ConnectionLimits::Make(size_t aMaxDescriptors,
                       const std::vector<ConnectionPart>& aParts)
{
  const size_t minDescriptors = kReservedDescriptors + kMinPart * aParts.size();
  if (aMaxDescriptors < minDescriptors) {
    return tl::unexpected(
      fmt::format("{} open files are too few, {} are needed",
                  aMaxDescriptors,
                  minDescriptors));
  }
  size_t wantedTotal = 0;
  for (const ConnectionPart& part : aParts) {
    wantedTotal += std::max(part.m_wanted, kMinPart);
  }
  // What is left after the minimum of each part is divided in proportion.
  const size_t available = aMaxDescriptors - minDescriptors;
  const size_t wantedAboveMin = wantedTotal - kMinPart * aParts.size();
  ConnectionLimits limits;
  for (const ConnectionPart& part : aParts) {
    const size_t above = std::max(part.m_wanted, kMinPart) - kMinPart;
    const size_t share =
      wantedAboveMin <= available ? above : above * available / wantedAboveMin;
    limits.m_limits[part.m_name] = kMinPart + share;
  }
  return limits;
}

size_t
ConnectionLimits::Limit(std::string_view aName) const
{
  const auto found = m_limits.find(aName);
  return found == m_limits.end() ? 0 : found->second;
}

} // namespace rattanloft::overload
