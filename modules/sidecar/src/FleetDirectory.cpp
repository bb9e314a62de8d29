#include "FleetDirectory.h"

#include <algorithm>

#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::sidecar {

void
FleetDirectory::ApplyReply(const wire::FleetSyncReply& aReply,
                           TimePoint aSentAt)
{
  const Duration silence = TimeSinceLastReply(aSentAt);
  m_lastRepliedRequestAt = std::max(m_lastRepliedRequestAt, aSentAt);
  if (aReply.sidecars() > 0) {
    m_sidecarCount = aReply.sidecars();
  }
  const uint64_t version = m_router ? m_router->Version() : 0;
  if (aReply.has_configuration() &&
      aReply.configuration().version() > version) {
    m_router = fleet::RequestRouter::Make(aReply.configuration());
    LogInfo("directory",
            "event=configuration version={} before={} routes={} term={} "
            "since_last_reply_ms={}",
            m_router->Version(),
            version,
            aReply.configuration().routes_size(),
            aReply.term(),
            version > 0 ? silence.m_ms : 0);
  }
  if (aReply.has_ranges() && aReply.ranges_index() > m_rangesIndex) {
    ApplyRanges(aReply);
  }
  const bool laterTerm = aReply.term() > m_endpointsTerm;
  if (aReply.has_endpoints() &&
      (laterTerm || (aReply.term() == m_endpointsTerm &&
                     aReply.endpoints_revision() > m_endpointsRevision))) {
    m_endpoints.assign(aReply.endpoints().begin(), aReply.endpoints().end());
    m_endpointsRevision = aReply.endpoints_revision();
    m_endpointsTerm = aReply.term();
    LogInfo("directory",
            "event=endpoints term={} revision={} count={}",
            m_endpointsTerm,
            m_endpointsRevision,
            m_endpoints.size());
  }
}

void
FleetDirectory::ApplyRanges(const wire::FleetSyncReply& aReply)
{
  int changed = 0;
  for (const wire::ServiceRanges& service : aReply.services()) {
    wire::ServiceRanges& known = m_ranges[service.service()];
    if (known.ranges().empty()) {
      known.add_ranges()->set_last(fleet::kLastKey);
    }
    for (const wire::OwnedRange& range : service.ranges()) {
      fleet::AssignRange(known, range);
    }
    changed += service.ranges_size();
  }
  LogInfo("directory",
          "event=ranges index={} before={} changed={}",
          aReply.ranges_index(),
          m_rangesIndex,
          changed);
  m_rangesIndex = aReply.ranges_index();
}

const wire::OwnedRange*
FleetDirectory::FindOwner(const std::string& aService, uint32_t aKey) const
{
  const auto found = m_ranges.find(aService);
  if (found == m_ranges.end()) {
    return nullptr;
  }
  const auto& ranges = found->second.ranges();
  const auto range = std::ranges::lower_bound(
    ranges, aKey, {}, [](const wire::OwnedRange& aRange) {
      return aRange.last();
    });
  if (range == ranges.end() || range->holder().empty()) {
    return nullptr;
  }
  return &*range;
}

} // namespace rattanloft::sidecar
