#include "rattanloft/fleet/EndpointList.h"

#include <algorithm>

namespace rattanloft::fleet {

namespace {

// Removals that are remembered. A sidecar that lacks an older one gets all
// endpoints.
constexpr size_t kMaxRemovals = 1024;

// The remaining time changes all the while; only whether it is over counts.
std::string
SerializeForComparison(wire::Endpoint aEndpoint)
{
  wire::BackendView& backend = *aEndpoint.mutable_backend();
  backend.set_cold_remaining_ms(backend.cold_remaining_ms() > 0 ? 1 : 0);
  return aEndpoint.SerializeAsString();
}

} // namespace

void
EndpointList::Set(wire::Endpoint aEndpoint)
{
  std::string comparedForm = SerializeForComparison(aEndpoint);
  Entry& entry = m_entries[aEndpoint.instance()];
  if (entry.m_comparedForm != comparedForm) {
    entry.m_comparedForm = std::move(comparedForm);
    entry.m_revision = ++m_revision;
  }
  entry.m_endpoint = std::move(aEndpoint);
}

void
EndpointList::Remove(const std::string& aInstance)
{
  if (m_entries.erase(aInstance) == 0) {
    return;
  }
  m_removals.push_back({ aInstance, ++m_revision });
  if (m_removals.size() > kMaxRemovals) {
    m_forgottenRevision = m_removals.front().m_revision;
    m_removals.pop_front();
  }
}

void
EndpointList::AddTo(wire::FleetSyncReply& aReply, uint64_t aBaseRevision) const
{
  const uint64_t base = aBaseRevision < m_forgottenRevision ? 0 : aBaseRevision;
  aReply.set_has_endpoints(true);
  aReply.set_endpoints_revision(m_revision);
  aReply.set_endpoints_base_revision(base);
  for (const auto& [instance, entry] : m_entries) {
    if (entry.m_revision > base) {
      *aReply.add_endpoints() = entry.m_endpoint;
    }
  }
  if (base == 0) {
    return;
  }
  for (const Removal& removal : m_removals) {
    if (removal.m_revision > base && !m_entries.contains(removal.m_instance)) {
      aReply.add_removed_endpoints(removal.m_instance);
    }
  }
}

} // namespace rattanloft::fleet
