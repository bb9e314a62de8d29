#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/fleet/RequestRouter.h"

namespace rattanloft::sidecar {

// What this sidecar knows of the fleet from the leading coordinator: the
// configuration in force, the owners of key ranges, and the other sidecars.
// Each part only moves forward. Traffic thread.
class FleetDirectory
{
public:
  void ApplyReply(const wire::FleetSyncReply& aReply, TimePoint aNow);

  // Null until a configuration is known.
  const std::shared_ptr<const fleet::RequestRouter>& Router() const
  {
    return m_router;
  }
  // Null if the service has no ranges or nobody owns the key.
  const wire::OwnedRange* FindOwner(const std::string& aService,
                                    uint32_t aKey) const;
  const std::vector<wire::Endpoint>& Endpoints() const { return m_endpoints; }
  uint64_t EndpointsRevision() const { return m_endpointsRevision; }
  uint64_t EndpointsTerm() const { return m_endpointsTerm; }
  uint64_t RangesIndex() const { return m_rangesIndex; }
  uint32_t SidecarCount() const { return m_sidecarCount; }
  // Since the last reply of a leader.
  Duration TimeSinceLastReply(TimePoint aNow) const
  {
    return aNow - m_lastReplyAt;
  }

private:
  // The reply has the ranges that changed since the known index.
  void ApplyRanges(const wire::FleetSyncReply& aReply);

  std::shared_ptr<const fleet::RequestRouter> m_router;
  std::map<std::string, wire::ServiceRanges> m_ranges;
  uint64_t m_rangesIndex = 0;
  std::vector<wire::Endpoint> m_endpoints;
  uint64_t m_endpointsRevision = 0;
  uint64_t m_endpointsTerm = 0;
  uint32_t m_sidecarCount = 1;
  TimePoint m_lastReplyAt;
};

} // namespace rattanloft::sidecar
