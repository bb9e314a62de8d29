#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// The rule for what a sidecar that has just started may believe.
//
// Earlier processes of the sidecar may have confirmed that the backend server
// leaves, received later heartbeats than the first one that arrives now, and
// granted ranges. A heartbeat may arrive seconds late, so it proves nothing
// about the present state of its lifetime until the leader has told its view of
// that lifetime. Without a leader the doubt ends once no heartbeat that was
// sent before the start of this process can still be on its way, and for grants
// once none of an earlier process can be in force.
class StartupTrust
{
public:
  explicit StartupTrust(TimePoint aProcessStart);

  // Adopts the leader's view of the lifetime that the reply names.
  void OnLeaderView(const wire::FleetSyncReply& aReply);
  // Whether the phase of the lifetime is known, so that it may be used.
  bool KnowsPhase(std::string_view aHolder, TimePoint aNow) const;
  // Whether a heartbeat with this sequence number is older than one that an
  // earlier process has received.
  bool IsOutdated(std::string_view aHolder, uint64_t aSequence) const;
  // Whether the heartbeat with this sequence number lists all ranges that the
  // backend server holds and that this process has not granted.
  bool ListsAllEarlierGrants(std::string_view aHolder,
                             uint64_t aSequence,
                             TimePoint aNow) const;
  // Whether a grant of an earlier process may be in force.
  bool MayHaveEarlierGrants(TimePoint aNow) const;

private:
  TimePoint m_processStart;
  // The lifetime that the leader's view is about; empty before the first.
  std::string m_knownHolder;
  uint64_t m_earlierSequence = 0;
  bool m_knowsEarlierGrants = false;
};

} // namespace rattanloft::sidecar
