#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
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
  // False after changes led to a configuration other than the leader's.
  bool AcceptsConfigurationChanges() const
  {
    return !m_needsWholeConfiguration;
  }
  // Zones under evacuation; none until a leader has told them.
  const std::set<std::string>& EvacuatedZones() const
  {
    return m_evacuatedZones;
  }
  bool IsEvacuated(const std::string& aZone) const
  {
    return m_evacuatedZones.contains(aZone);
  }
  // False until a leader has told the zones under evacuation, or one of a
  // release without evacuations has sent a configuration.
  bool KnowsEvacuations() const
  {
    return m_evacuationsTerm != 0 || m_router != nullptr;
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
  // Adopts a later configuration. aSilence is the time before this reply
  // without one.
  void ApplyConfiguration(const wire::FleetSyncReply& aReply,
                          Duration aSilence);
  // Replaces the zones under evacuation unless they are known from a newer
  // reply.
  void ApplyEvacuations(const wire::FleetSyncReply& aReply);
  // Merges the ranges of the reply, which are only those that changed after
  // m_rangesIndex.
  void ApplyRanges(const wire::FleetSyncReply& aReply);
  // Replaces the endpoints, or merges the changes that the reply contains.
  void ApplyEndpoints(const wire::FleetSyncReply& aReply);
  void MergeEndpoints(const wire::FleetSyncReply& aReply);

  std::shared_ptr<const fleet::RequestRouter> m_router;
  bool m_needsWholeConfiguration = false;
  std::map<std::string, wire::ServiceRanges> m_ranges;
  uint64_t m_rangesIndex = 0;
  std::vector<wire::Endpoint> m_endpoints;
  uint64_t m_endpointsRevision = 0;
  uint64_t m_endpointsTerm = 0;
  std::set<std::string> m_evacuatedZones;
  // Term and sequence of the reply that they come from. Replies may overtake
  // each other.
  uint64_t m_evacuationsTerm = 0;
  uint64_t m_evacuationsSequence = 0;
  uint32_t m_sidecarCount = 1;
  TimePoint m_lastRepliedRequestAt;
};

} // namespace rattanloft::sidecar
