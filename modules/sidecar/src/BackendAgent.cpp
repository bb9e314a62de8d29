#include "BackendAgent.h"

#include <algorithm>

#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/fleet/HolderName.h"

namespace rattanloft::sidecar {

namespace {

// Hold of a backend server, renewed with each heartbeat: survives the loss of
// two heartbeats in a row at intervals of about 0.9 s, and bounds the time for
// which the keys of a crashed one wait.
constexpr Duration kHold = Milliseconds(3000);
// An offer below this is not worth the answer.
constexpr Duration kLeastHold = Milliseconds(300);
// The clock of a backend server may run 2% slow.
constexpr int64_t kSlowClockPercent = 3;
// Granularity of the clocks and the time until the answer is written.
constexpr Duration kHoldMargin = Milliseconds(60);
// Longest hold that an earlier process of this sidecar can have granted, with
// the drift of the backend server's clock.
constexpr Duration kLongestHold = Milliseconds(3200);
// A backend server whose connections fail for this time counts as down.
constexpr Duration kFailingTime = Milliseconds(400);
// Heartbeats come about every 0.9 s; after this silence the backend server
// counts as gone even if nothing was sent to it.
constexpr Duration kHeartbeatSilence = Milliseconds(4500);
// Part of the drain limit in which keys are still served while they move.
constexpr int64_t kDrainServePercent = 60;
constexpr size_t kMaxHandovers = 64;

bool
Contains(const std::vector<wire::OwnedRange>& aRanges, uint32_t aKey)
{
  return std::ranges::any_of(aRanges, [&](const wire::OwnedRange& aRange) {
    return aRange.first() <= aKey && aKey <= aRange.last();
  });
}

} // namespace

std::string_view
VerdictName(ServeVerdict aVerdict)
{
  switch (aVerdict) {
    case ServeVerdict::kServe:
      return "serve";
    case ServeVerdict::kNoBackend:
      return "no-backend";
    case ServeVerdict::kDraining:
      return "draining";
    case ServeVerdict::kNotOwner:
      return "not-owner";
    case ServeVerdict::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

BackendAgent::BackendAgent(std::string aInstance,
                           std::string aBackendAddress,
                           Duration aDrainLimit,
                           TimePoint aNow)
  : m_instance(std::move(aInstance))
  , m_backendAddress(std::move(aBackendAddress))
  , m_drainLimit(aDrainLimit)
  , m_started(aNow)
{
}

void
BackendAgent::StartLifetime(const Heartbeat& aHeartbeat, std::string aHolder)
{
  m_view.Clear();
  m_view.set_holder(std::move(aHolder));
  m_view.set_backend_id(aHeartbeat.m_backendId);
  m_view.set_started_at_unix_ms(aHeartbeat.m_startedAtUnixMs);
  m_view.set_phase(wire::BACKEND_PHASE_READY);
  m_view.set_reachable(true);
  m_sequence = 0;
  m_leaseEnd = {};
  m_planTerm = 0;
  m_plan = 0;
  m_planned.clear();
  m_expectsRanges = false;
  m_offered.clear();
  m_offerEnd = {};
  m_handovers.clear();
  m_reachable = true;
  m_failingSince = {};
  ++m_revision;
}

bool
BackendAgent::OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  if (aHeartbeat.m_address != m_backendAddress ||
      aHeartbeat.m_startedAtUnixMs < m_view.started_at_unix_ms()) {
    return false;
  }
  std::string holder = fleet::FormatHolder(
    { m_instance, aHeartbeat.m_backendId, aHeartbeat.m_startedAtUnixMs });
  if (holder != m_view.holder()) {
    LogInfo("backend",
            "event=lifetime holder={} before={} service={} slots={}",
            holder,
            m_view.holder(),
            aHeartbeat.m_service,
            aHeartbeat.m_slots);
    StartLifetime(aHeartbeat, std::move(holder));
  } else if (aHeartbeat.m_sequence <= m_sequence) {
    return false;
  }
  m_sequence = aHeartbeat.m_sequence;
  m_lastHeartbeat = aNow;
  m_coldUntil = aNow + aHeartbeat.m_coldRemaining;
  const bool changed = m_view.service() != aHeartbeat.m_service ||
                       m_view.slots() != aHeartbeat.m_slots || !m_reachable;
  m_view.set_service(aHeartbeat.m_service);
  m_view.set_slots(aHeartbeat.m_slots);
  m_reachable = true;
  m_failingSince = {};
  m_view.set_reachable(true);
  if (aHeartbeat.m_draining) {
    StartDrain(wire::BACKEND_PHASE_DRAINING, aNow);
  }
  const size_t heldBefore = m_held.size();
  m_held = aHeartbeat.m_heldRanges;
  for (const wire::HandedOver& handover : aHeartbeat.m_releasedRanges) {
    if (m_handovers.size() < kMaxHandovers) {
      m_handovers.push_back(handover);
    }
  }
  if (changed || !aHeartbeat.m_releasedRanges.empty() ||
      m_held.size() < heldBefore) {
    ++m_revision;
  }
  return true;
}

HeartbeatResponse
BackendAgent::Grant(TimePoint aNow)
{
  HeartbeatResponse answer;
  const Duration leaseLeft = m_leaseEnd - aNow;
  const Duration longest{ leaseLeft.m_ms * (100 - kSlowClockPercent) / 100 -
                          kHoldMargin.m_ms };
  const Duration hold = std::min(kHold, longest);
  if (hold < kLeastHold) {
    return answer;
  }
  answer.m_hasGrants = true;
  answer.m_grantedRanges = m_planned;
  // A token matters only with the first grant; without it, more rows fit.
  for (wire::OwnedRange& range : answer.m_grantedRanges) {
    if (IsHeld(range)) {
      range.clear_handover();
    }
  }
  answer.m_grantDuration = hold;
  m_offered = m_planned;
  m_offerEnd = aNow + Duration{ hold.m_ms * (100 + kSlowClockPercent) / 100 };
  m_holdEnd = std::max(m_holdEnd, m_offerEnd);
  return answer;
}

// Whether the last heartbeat told that the backend server holds the grant.
bool
BackendAgent::IsHeld(const wire::OwnedRange& aRange) const
{
  return std::ranges::any_of(m_held, [&](const HeldRange& aHeld) {
    return aHeld.m_fence == aRange.fence() && aHeld.m_first <= aRange.first() &&
           aHeld.m_last >= aRange.last();
  });
}

// Whether the backend server holds keys that the plan does not leave to it.
bool
BackendAgent::MustRelease() const
{
  wire::ServiceRanges held;
  for (const HeldRange& range : m_held) {
    wire::OwnedRange& row = *held.add_ranges();
    row.set_first(range.m_first);
    row.set_last(range.m_last);
  }
  std::vector<fleet::KeySpan> planned;
  for (const wire::OwnedRange& range : m_planned) {
    planned.push_back({ range.first(), range.last() });
  }
  return !fleet::CutOut(held, std::move(planned)).empty();
}

bool
BackendAgent::ShouldWaitForRanges(std::optional<bool> aKeyed) const
{
  const bool knowsPlan = m_planTerm > 0;
  if (knowsPlan && MustRelease()) {
    return false;
  }
  const bool waitsForFirst = aKeyed.value_or(true) && m_planned.empty() &&
                             m_view.phase() == wire::BACKEND_PHASE_READY;
  return m_expectsRanges || waitsForFirst;
}

void
BackendAgent::StartDrain(wire::BackendPhase aPhase, TimePoint aNow)
{
  if (m_view.phase() >= aPhase) {
    return;
  }
  if (m_view.phase() == wire::BACKEND_PHASE_READY) {
    m_drainAt = aNow;
  }
  LogInfo("backend",
          "event=leaving holder={} phase={}",
          m_view.holder(),
          aPhase == wire::BACKEND_PHASE_GONE ? "gone" : "draining");
  m_view.set_phase(aPhase);
  ++m_revision;
}

void
BackendAgent::OnLeave(std::string_view aBackendId,
                      int64_t aStart,
                      TimePoint aNow)
{
  if (aBackendId != m_view.backend_id() ||
      (aStart != 0 && aStart < m_view.started_at_unix_ms())) {
    return;
  }
  StartDrain(wire::BACKEND_PHASE_GONE, aNow);
}

void
BackendAgent::OnPlan(const wire::FleetSyncReply& aReply, TimePoint aSent)
{
  if (aReply.holder().empty() || aReply.holder() != m_view.holder() ||
      aReply.term() < m_planTerm ||
      (aReply.term() == m_planTerm && aReply.plan() < m_plan)) {
    return;
  }
  const bool newer = aReply.term() != m_planTerm || aReply.plan() != m_plan;
  if (newer) {
    m_planTerm = aReply.term();
    m_plan = aReply.plan();
    ++m_planCount;
    m_planned.assign(aReply.plan_ranges().begin(), aReply.plan_ranges().end());
    LogInfo("backend",
            "event=plan holder={} term={} plan={} ranges={}",
            m_view.holder(),
            m_planTerm,
            m_plan,
            m_planned.size());
    ++m_revision;
  }
  m_expectsRanges = aReply.expects_ranges();
  m_leaseEnd = std::max(
    m_leaseEnd, aSent + Duration{ static_cast<int64_t>(aReply.lease_ms()) });
}

void
BackendAgent::OnHandoversTaken(const wire::FleetSyncRequest& aRequest)
{
  std::erase_if(m_handovers, [&](const wire::HandedOver& aHandover) {
    return std::ranges::any_of(aRequest.handovers(),
                               [&](const wire::HandedOver& aTaken) {
                                 return aTaken.token() == aHandover.token() &&
                                        aTaken.first() == aHandover.first();
                               });
  });
}

void
BackendAgent::OnContact(bool aReached, TimePoint aNow)
{
  if (aReached) {
    m_failingSince = {};
    if (!m_reachable) {
      m_reachable = true;
      m_view.set_reachable(true);
      ++m_revision;
    }
    return;
  }
  if (m_failingSince == TimePoint{}) {
    m_failingSince = aNow;
  }
  if (m_reachable && aNow - m_failingSince >= kFailingTime) {
    LogWarning("backend",
               "event=unreachable holder={} failing_ms={} heartbeat_age_ms={}",
               m_view.holder(),
               (aNow - m_failingSince).m_ms,
               (aNow - m_lastHeartbeat).m_ms);
    m_reachable = false;
    m_view.set_reachable(false);
    ++m_revision;
  }
}

ServeVerdict
BackendAgent::MayServe(std::optional<uint32_t> aKey,
                       bool aKeyed,
                       TimePoint aNow) const
{
  if (m_view.holder().empty() ||
      m_view.phase() == wire::BACKEND_PHASE_UNKNOWN) {
    return ServeVerdict::kNoBackend;
  }
  if (m_view.phase() != wire::BACKEND_PHASE_READY) {
    const Duration limit = m_drainLimit * kDrainServePercent / 100;
    if (!aKeyed || aNow - m_drainAt > limit) {
      return ServeVerdict::kDraining;
    }
  }
  if (!m_reachable || aNow - m_lastHeartbeat > kHeartbeatSilence) {
    return ServeVerdict::kUnreachable;
  }
  if (aKeyed && aKey) {
    const bool granted = aNow < m_offerEnd && Contains(m_offered, *aKey);
    if (!granted) {
      return ServeVerdict::kNotOwner;
    }
  }
  return ServeVerdict::kServe;
}

Duration
BackendAgent::ColdRemaining(TimePoint aNow) const
{
  return std::max(m_coldUntil - aNow, Duration{});
}

void
BackendAgent::Report(wire::FleetSyncRequest& aRequest, TimePoint aNow) const
{
  wire::BackendView& view = *aRequest.mutable_backend();
  view = m_view;
  view.set_cold_remaining_ms(static_cast<uint32_t>(ColdRemaining(aNow).m_ms));
  if (!m_view.holder().empty() && aNow - m_lastHeartbeat > kHeartbeatSilence) {
    view.set_reachable(false);
  }
  aRequest.set_plan_term(m_planTerm);
  aRequest.set_plan(m_plan);
  // Before the first heartbeat, an answer of an earlier process may be in
  // force.
  aRequest.set_holds_known(m_sequence > 0 || aNow - m_started > kLongestHold);
  const bool expired = aNow > m_holdEnd && aNow - m_started > kLongestHold;
  if (!expired) {
    for (const HeldRange& range : m_held) {
      wire::KeyRange& held = *aRequest.add_possible_holds();
      held.set_first(range.m_first);
      held.set_last(range.m_last);
    }
    for (const wire::OwnedRange& range : m_offered) {
      wire::KeyRange& held = *aRequest.add_possible_holds();
      held.set_first(range.first());
      held.set_last(range.last());
    }
  }
  for (const wire::HandedOver& handover : m_handovers) {
    *aRequest.add_handovers() = handover;
  }
}

} // namespace rattanloft::sidecar
