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

// Copy of the fleet state that this sidecar receives from the leading
// coordinator: the configuration in force, the owners of key ranges, and the
// endpoints of all sidecars. Outdated replies never replace newer state. Used
// on the traffic thread.
class FleetDirectory
{
public:
  // aSentAt is when the request was sent: the reply is at least as new.
  void ApplyReply(const wire::FleetSyncReply& aReply, TimePoint aSentAt);

  // Null until the first configuration is received.
  const std::shared_ptr<const fleet::RequestRouter>& Router() const
  {
    return m_router;
  }
  // Returns null if the service has no ranges or the key has no owner.
  const wire::OwnedRange* FindOwner(const std::string& aService,
                                    uint32_t aKey) const;
  const std::vector<wire::Endpoint>& Endpoints() const { return m_endpoints; }
  // Term of the leader that sent the endpoints, and their revision within it.
  uint64_t EndpointsRevision() const { return m_endpointsRevision; }
  uint64_t EndpointsTerm() const { return m_endpointsTerm; }
  // Log index of the last command that changed the known ranges; 0 for none.
  uint64_t RangesIndex() const { return m_rangesIndex; }
  // Number of sidecars in the fleet; 1 until the leader has reported it.
  uint32_t SidecarCount() const { return m_sidecarCount; }
  // Time since the newest request that a leader has replied to.
  Duration TimeSinceLastReply(TimePoint aNow) const
  {
    return aNow - m_lastRepliedRequestAt;
  }

private:
  // Merges the ranges of the reply, which are only those that changed after
  // m_rangesIndex.
  void ApplyRanges(const wire::FleetSyncReply& aReply);

  std::shared_ptr<const fleet::RequestRouter> m_router;
  std::map<std::string, wire::ServiceRanges> m_ranges;
  uint64_t m_rangesIndex = 0;
  std::vector<wire::Endpoint> m_endpoints;
  uint64_t m_endpointsRevision = 0;
  uint64_t m_endpointsTerm = 0;
  uint32_t m_sidecarCount = 1;
  TimePoint m_lastRepliedRequestAt;
};

} // namespace rattanloft::sidecar
