#include "rattanloft/routing/Catalogue.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanloft::routing {

namespace {

struct CompareByService
{
  bool operator()(const wire::CatalogueEntry& aLeft,
                  std::string_view aRight) const
  {
    return aLeft.service() < aRight;
  }
  bool operator()(std::string_view aLeft,
                  const wire::CatalogueEntry& aRight) const
  {
    return aLeft < aRight.service();
  }
};

bool
ContainsHour(const wire::HourDeadline& aRange, uint32_t aHour)
{
  if (aRange.from_hour() <= aRange.to_hour()) {
    return aHour >= aRange.from_hour() && aHour < aRange.to_hour();
  }
  return aHour >= aRange.from_hour() || aHour < aRange.to_hour();
}

} // namespace

std::shared_ptr<const Catalogue>
Catalogue::Make(uint64_t aRevision, std::vector<wire::CatalogueEntry> aEntries)
{
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_revision = aRevision;
  catalogue->m_entries = std::move(aEntries);
  std::sort(catalogue->m_entries.begin(),
            catalogue->m_entries.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::pair(std::string_view(aLeft.service()),
                               std::string_view(aLeft.name())) <
                     std::pair(std::string_view(aRight.service()),
                               std::string_view(aRight.name()));
            });
  return catalogue;
}

bool
Catalogue::HasService(std::string_view aService) const
{
  return std::binary_search(
    m_entries.begin(), m_entries.end(), aService, CompareByService{});
}

const wire::CatalogueEntry*
Catalogue::Find(std::string_view aService, std::string_view aMethod) const
{
  const auto [first, last] = std::equal_range(
    m_entries.begin(), m_entries.end(), aService, CompareByService{});
  for (auto at = first; at != last; ++at) {
    const auto& methods = at->methods();
    if (std::find(methods.begin(), methods.end(), aMethod) != methods.end()) {
      return &*at;
    }
  }
  return nullptr;
}

Duration
DeadlineAt(const wire::Limits& aLimits, int aHourUtc)
{
  for (const wire::HourDeadline& range : aLimits.hour_deadlines()) {
    if (ContainsHour(range, static_cast<uint32_t>(aHourUtc))) {
      return Milliseconds(range.deadline_ms());
    }
  }
  return Milliseconds(aLimits.deadline_ms());
}

} // namespace rattanloft::routing
