#include "StartupTrust.h"

#include "rattanloft/fleet/HeartbeatDelay.h"

namespace rattanloft::sidecar {

namespace {

// Longest time for which a grant of an earlier process can still be in force,
// including the drift of the backend server's clock.
constexpr Duration kMaxEarlierGrantDuration = Milliseconds(3200);

} // namespace

StartupTrust::StartupTrust(TimePoint aProcessStart)
  : m_processStart(aProcessStart)
{
}

void
StartupTrust::OnLeaderView(const wire::FleetSyncReply& aReply)
{
  m_knownHolder = aReply.holder();
}

bool
StartupTrust::KnowsPhase(std::string_view aHolder, TimePoint aNow) const
{
  return aHolder == m_knownHolder ||
         aNow - m_processStart >= fleet::kMaxHeartbeatDelay;
}

bool
StartupTrust::MayHaveEarlierGrants(TimePoint aNow) const
{
  return aNow - m_processStart <= kMaxEarlierGrantDuration;
}

} // namespace rattanloft::sidecar
