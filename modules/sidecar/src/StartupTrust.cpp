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
  m_earlierSequence = aReply.earlier_heartbeat_sequence();
  m_knowsEarlierGrants = aReply.knows_earlier_grants();
}

bool
StartupTrust::KnowsPhase(std::string_view aHolder, TimePoint aNow) const
{
  return aHolder == m_knownHolder ||
         aNow - m_processStart >= fleet::kMaxHeartbeatDelay;
}

bool
StartupTrust::IsOutdated(std::string_view aHolder, uint64_t aSequence) const
{
  return aHolder == m_knownHolder && aSequence <= m_earlierSequence;
}

bool
StartupTrust::ListsAllEarlierGrants(std::string_view aHolder,
                                    uint64_t aSequence,
                                    TimePoint aNow) const
{
  return !MayHaveEarlierGrants(aNow) ||
         (aHolder == m_knownHolder && m_knowsEarlierGrants &&
          aSequence > m_earlierSequence);
}

bool
StartupTrust::MayHaveEarlierGrants(TimePoint aNow) const
{
  return aNow - m_processStart <= kMaxEarlierGrantDuration;
}

} // namespace rattanloft::sidecar
