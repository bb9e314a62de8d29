#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "fleet.pb.h"

namespace rattanloft::fleet {

// The endpoints that the leader announces to sidecars, with the revision at
// which each of them last changed, so that a reply can be limited to what a
// sidecar does not know. Does no I/O; used on the control thread only.
class EndpointList
{
public:
  // Lists the endpoint or updates it. The revision increases if anything has
  // changed but how long the backend server stays cold.
  void Set(wire::Endpoint aEndpoint);
  void Remove(const std::string& aInstance);
  uint64_t Revision() const { return m_revision; }

  // Adds the changes after aBaseRevision to the reply. Adds all endpoints if
  // aBaseRevision is 0, or if removals since then are no longer known.
  void AddTo(wire::FleetSyncReply& aReply, uint64_t aBaseRevision) const;

private:
  struct Entry
  {
    wire::Endpoint m_endpoint;
    // Serialized form without the time for which the server stays cold.
    std::string m_comparedForm;
    // Revision at which the endpoint last changed.
    uint64_t m_revision = 0;
  };
  struct Removal
  {
    std::string m_instance;
    uint64_t m_revision = 0;
  };

  // By instance.
  std::map<std::string, Entry> m_entries;
  // Oldest first.
  std::deque<Removal> m_removals;
  // Removals up to this revision are no longer known.
  uint64_t m_forgottenRevision = 0;
  uint64_t m_revision = 1;
};

} // namespace rattanloft::fleet
