#include "LocalBackend.h"

#include <algorithm>

#include "GrantBounds.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/FleetState.h"
#include "rattanloft/fleet/HeartbeatDelay.h"
#include "rattanloft/fleet/HolderName.h"

namespace rattanloft::sidecar {

namespace {

// A backend server whose connections have failed for this time counts as
// unreachable.
constexpr Duration kUnreachableAfter = Milliseconds(400);
// A backend server whose last heartbeat is older than this counts as
// unreachable, even if no request was sent to it. Heartbeats come about every
// 0.9 s.
constexpr Duration kHeartbeatTimeout = Milliseconds(4500);
// Share of the drain limit in which a draining backend server still serves its
// keys while they move to other owners.
constexpr int64_t kDrainServePercent = 60;
constexpr size_t kMaxPendingHandovers = 64;

bool
ContainsKey(const std::vector<wire::OwnedRange>& aRanges, uint32_t aKey)
{
  return std::ranges::any_of(aRanges, [&](const wire::OwnedRange& aRange) {
    return aRange.first() <= aKey && aKey <= aRange.last();
  });
}

} // namespace

std::string_view
ServeVerdictName(ServeVerdict aVerdict)
{
  switch (aVerdict) {
    case ServeVerdict::kServe:
      return "serve";
    case ServeVerdict::kNoBackend:
      return "no-backend";
    case ServeVerdict::kAwaitsLeader:
      return "awaits-leader";
    case ServeVerdict::kDraining:
      return "draining";
    case ServeVerdict::kNotOwner:
      return "not-owner";
    case ServeVerdict::kAwaitsGrant:
      return "awaits-grant";
    case ServeVerdict::kAwaitsRelease:
      return "awaits-release";
    case ServeVerdict::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

bool
IsOwnershipVerdict(ServeVerdict aVerdict)
{
  return aVerdict == ServeVerdict::kNotOwner ||
         aVerdict == ServeVerdict::kAwaitsGrant ||
         aVerdict == ServeVerdict::kAwaitsRelease;
}

LocalBackend::LocalBackend(std::string aInstance,
                           Duration aDrainTimeout,
                           TimePoint aNow)
  : m_instance(std::move(aInstance))
  , m_drainTimeout(aDrainTimeout)
  , m_startupTrust(aNow)
{
}

void
LocalBackend::StartLifetime(const Heartbeat& aHeartbeat,
                            std::string aHolder,
                            TimePoint aNow)
{
  m_view.Clear();
  m_view.set_holder(std::move(aHolder));
  m_view.set_backend_id(aHeartbeat.m_backendId);
  m_view.set_started_at_unix_ms(aHeartbeat.m_startedAtUnixMs);
  m_view.set_phase(wire::BACKEND_PHASE_READY);
  m_view.set_reachable(true);
  m_heartbeatSequence = 0;
  m_deliveredSequence = 0;
  m_leaseEnd = {};
  m_planTerm = 0;
  m_planNumber = 0;
  m_plannedRanges.clear();
  m_expectsRanges = false;
  m_reportedRanges.clear();
  m_offeredRanges.clear();
  m_offerEnd = {};
  m_pendingHandovers.clear();
  m_reachable = true;
  m_failingSince = {};
  m_callDelivery.OnNewLifetime(aNow);
  ++m_reportRevision;
  const auto departed = FindDeparture(m_view.holder());
  if (departed != m_departures.end()) {
    StartDrain(departed->m_departure.phase(), EarlierDrainStart(aNow), aNow);
  }
}

void
LocalBackend::SetRangeDelivery(std::optional<wire::RangeDelivery> aDelivery)
{
  if (aDelivery == m_delivery) {
    return;
  }
  if (aDelivery) {
    LogInfo("backend",
            "event=range-delivery holder={} way={}",
            m_view.holder(),
            wire::RangeDelivery_Name(*aDelivery));
  }
  m_delivery = aDelivery;
  m_callDelivery.SetPlan(RangesToCallFor());
  ++m_reportRevision;
}

bool
LocalBackend::DeliversInHeartbeats() const
{
  return m_delivery == wire::RANGE_DELIVERY_HEARTBEAT_RESPONSE;
}

std::span<const wire::OwnedRange>
LocalBackend::RangesToCallFor() const
{
  return m_delivery == wire::RANGE_DELIVERY_CALL
           ? std::span<const wire::OwnedRange>(m_plannedRanges)
           : std::span<const wire::OwnedRange>();
}

std::vector<OutgoingRangeCall>
LocalBackend::TakeRangeCalls(TimePoint aNow)
{
  GrantConditions conditions;
  conditions.m_leaseEnd = m_leaseEnd;
  conditions.m_lastHeartbeatAt = m_lastHeartbeatAt;
  conditions.m_mayGrant =
    m_view.phase() != wire::BACKEND_PHASE_GONE && !m_mayHaveEnded;
  return m_callDelivery.TakeCalls(conditions, aNow);
}

void
LocalBackend::OnRangeCallEnded(RangeCallId aId,
                               const RangeCallResult& aResult,
                               TimePoint aNow)
{
  const std::optional<wire::HandedOver> handedOver =
    m_callDelivery.OnCallEnded(aId, aResult, aNow);
  if (handedOver && m_pendingHandovers.size() < kMaxPendingHandovers) {
    m_pendingHandovers.push_back(*handedOver);
  }
}

void
LocalBackend::OnMisdirected(std::string_view aRespondingBackend,
                            std::optional<uint32_t> aKey)
{
  if (!aRespondingBackend.empty() &&
      aRespondingBackend != m_view.backend_id()) {
    m_mayHaveEnded = true;
  } else if (aKey) {
    m_callDelivery.OnNotHeld(*aKey);
  }
}

bool
LocalBackend::OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  const bool startedEarlier =
    aHeartbeat.m_startedAtUnixMs < m_view.started_at_unix_ms();
  // The heartbeat of an earlier lifetime is late, unless the known one has been
  // silent for long: then the clock was set back between the two starts.
  if (startedEarlier && aNow - m_lastHeartbeatAt < fleet::kMaxHeartbeatDelay) {
    return false;
  }
  std::string holder = fleet::FormatHolderName(
    { m_instance, aHeartbeat.m_backendId, aHeartbeat.m_startedAtUnixMs });
  const bool isNewLifetime = holder != m_view.holder();
  if (isNewLifetime) {
    LogInfo("backend",
            "event=lifetime holder={} before={} service={} slots={}",
            holder,
            m_view.holder(),
            aHeartbeat.m_service,
            aHeartbeat.m_slots);
    StartLifetime(aHeartbeat, std::move(holder), aNow);
  } else if (aHeartbeat.m_sequence <= m_heartbeatSequence ||
             m_startupTrust.IsOutdated(holder, aHeartbeat.m_sequence)) {
    return false;
  }
  m_heartbeatSequence = aHeartbeat.m_sequence;
  m_lastHeartbeatAt = aNow;
  m_coldUntil = aNow + aHeartbeat.m_coldRemaining;
  const bool changed = m_view.service() != aHeartbeat.m_service ||
                       m_view.slots() != aHeartbeat.m_slots || !m_reachable;
  m_view.set_service(aHeartbeat.m_service);
  m_view.set_slots(aHeartbeat.m_slots);
  m_reachable = true;
  m_mayHaveEnded = false;
  m_failingSince = {};
  m_view.set_reachable(true);
  if (aHeartbeat.m_draining) {
    // The drain may have begun before this sidecar was restarted.
    StartDrain(wire::BACKEND_PHASE_DRAINING,
               isNewLifetime ? EarlierDrainStart(aNow) : aNow,
               aNow);
  }
  const size_t reportedBefore = m_reportedRanges.size();
  if (aHeartbeat.m_listsHolds) {
    m_reportedRanges = aHeartbeat.m_heldRanges;
  } else {
    KeepOfferedRanges();
  }
  m_listsHolds = aHeartbeat.m_listsHolds;
  for (const wire::HandedOver& handover : aHeartbeat.m_releasedRanges) {
    if (m_pendingHandovers.size() < kMaxPendingHandovers) {
      m_pendingHandovers.push_back(handover);
    }
  }
  if (changed || !aHeartbeat.m_releasedRanges.empty() ||
      HasRangesToOfferLater() || m_reportedRanges.size() < reportedBefore) {
    ++m_reportRevision;
  }
  return true;
}

// Counts what was offered as held, since the heartbeat does not show whether it
// is.
void
LocalBackend::KeepOfferedRanges()
{
  for (const wire::OwnedRange& range : m_offeredRanges) {
    if (!IsReportedHeld(range)) {
      m_reportedRanges.push_back(
        { range.first(), range.last(), range.fence() });
    }
  }
}

// Returns the planned ranges, but no keys that the backend server does not hold
// while the leader does not know of the heartbeat. Otherwise the next process
// of this sidecar could take an earlier heartbeat that is late for a later one,
// and report the keys as free.
std::vector<wire::OwnedRange>
LocalBackend::RangesToOffer() const
{
  if (m_deliveredSequence >= m_heartbeatSequence) {
    return m_plannedRanges;
  }
  std::vector<wire::OwnedRange> heldParts;
  for (const wire::OwnedRange& planned : m_plannedRanges) {
    AppendHeldParts(planned, heldParts);
  }
  return heldParts;
}

void
LocalBackend::AppendHeldParts(const wire::OwnedRange& aPlanned,
                              std::vector<wire::OwnedRange>& aParts) const
{
  std::vector<HeldRange> held;
  std::ranges::copy_if(
    m_reportedRanges, std::back_inserter(held), [&](const HeldRange& aRange) {
      return aRange.m_fence == aPlanned.fence() &&
             fleet::KeysOverlap(aRange.m_first,
                                aRange.m_last,
                                aPlanned.first(),
                                aPlanned.last());
    });
  std::ranges::sort(held, {}, &HeldRange::m_first);
  const size_t firstPart = aParts.size();
  for (const HeldRange& range : held) {
    const uint32_t first = std::max(range.m_first, aPlanned.first());
    const uint32_t last = std::min(range.m_last, aPlanned.last());
    if (aParts.size() > firstPart && first <= aParts.back().last() + 1) {
      aParts.back().set_last(std::max(last, aParts.back().last()));
      continue;
    }
    wire::OwnedRange& part = aParts.emplace_back(aPlanned);
    part.set_first(first);
    part.set_last(last);
  }
}

bool
LocalBackend::HasRangesToOfferLater() const
{
  return DeliversInHeartbeats() && m_deliveredSequence < m_heartbeatSequence &&
         !std::ranges::all_of(m_plannedRanges,
                              [this](const wire::OwnedRange& aRange) {
                                return IsReportedHeld(aRange);
                              });
}

HeartbeatResponse
LocalBackend::MakeHeartbeatResponse(TimePoint aNow, const ResponseFits& aFits)
{
  HeartbeatResponse response;
  const Duration grantDuration = LongestGrantWithin(m_leaseEnd - aNow);
  if (grantDuration < kMinGrantDuration || !DeliversInHeartbeats()) {
    LogWithheldGrants(response, aNow);
    return response;
  }
  response.m_hasGrants = true;
  response.m_grantedRanges = RangesToOffer();
  // A handover token matters only in the first grant of a range. Leaving it out
  // later lets more ranges fit into the response.
  const auto firstNew = std::stable_partition(
    response.m_grantedRanges.begin(),
    response.m_grantedRanges.end(),
    [this](const wire::OwnedRange& aRange) { return IsReportedHeld(aRange); });
  std::for_each(response.m_grantedRanges.begin(),
                firstNew,
                [](wire::OwnedRange& aRange) { aRange.clear_handover(); });
  response.m_grantDuration = grantDuration;
  LimitRanges(response, aFits);
  m_offeredRanges = response.m_grantedRanges;
  m_offerEnd = aNow + OnSlowClock(grantDuration);
  m_lastPossibleHoldEnd = std::max(m_lastPossibleHoldEnd, m_offerEnd);
  LogWithheldGrants(response, aNow);
  return response;
}

std::string_view
LocalBackend::FindWithholdingCause(const HeartbeatResponse& aResponse) const
{
  if (!aResponse.m_grantedRanges.empty()) {
    return {};
  }
  if (m_planTerm == 0) {
    return "no-plan";
  }
  if (m_plannedRanges.empty()) {
    return "empty-plan";
  }
  if (!aResponse.m_hasGrants) {
    return "no-lease";
  }
  return HasRangesToOfferLater() ? "unconfirmed-heartbeat" : "no-room";
}

void
LocalBackend::LogWithheldGrants(const HeartbeatResponse& aResponse,
                                TimePoint aNow)
{
  const std::string_view cause = FindWithholdingCause(aResponse);
  if (!DeliversInHeartbeats() || cause == m_loggedWithholdingCause) {
    return;
  }
  m_loggedWithholdingCause = cause;
  LogInfo("backend",
          "event={} holder={} cause={} planned={} granted={} lease_left_ms={} "
          "term={} plan={} heartbeat={} confirmed_heartbeat={}",
          cause.empty() ? "grants-resumed" : "grants-withheld",
          m_view.holder(),
          cause.empty() ? "none" : cause,
          m_plannedRanges.size(),
          aResponse.m_grantedRanges.size(),
          (m_leaseEnd - aNow).m_ms,
          m_planTerm,
          m_planNumber,
          m_heartbeatSequence,
          m_deliveredSequence);
}

size_t
LocalBackend::OfferedRangeCount(TimePoint aNow) const
{
  return aNow < m_offerEnd ? m_offeredRanges.size() : 0;
}

void
LocalBackend::LimitRanges(HeartbeatResponse& aResponse,
                          const ResponseFits& aFits) const
{
  if (!aFits || aFits(aResponse)) {
    return;
  }
  const std::vector<wire::OwnedRange> all =
    std::move(aResponse.m_grantedRanges);
  // The first fittingCount ranges fit, the first excessCount do not.
  size_t fittingCount = 0;
  size_t excessCount = all.size();
  while (fittingCount + 1 < excessCount) {
    const size_t count = (fittingCount + excessCount) / 2;
    aResponse.m_grantedRanges.assign(
      all.begin(), all.begin() + static_cast<ptrdiff_t>(count));
    (aFits(aResponse) ? fittingCount : excessCount) = count;
  }
  aResponse.m_grantedRanges.assign(
    all.begin(), all.begin() + static_cast<ptrdiff_t>(fittingCount));
  LogWarning("backend",
             "event=ranges-left-out holder={} planned={} offered={}",
             m_view.holder(),
             all.size(),
             fittingCount);
}

// Returns true if the last heartbeat reported that the backend server holds the
// range under this fencing token.
bool
LocalBackend::IsReportedHeld(const wire::OwnedRange& aRange) const
{
  return std::ranges::any_of(m_reportedRanges, [&](const HeldRange& aHeld) {
    return aHeld.m_fence == aRange.fence() && aHeld.m_first <= aRange.first() &&
           aHeld.m_last >= aRange.last();
  });
}

// Returns true if the backend server holds keys that the plan no longer assigns
// to it.
bool
LocalBackend::MustRelease() const
{
  wire::ServiceRanges held;
  for (const HeldRange& range : m_reportedRanges) {
    wire::OwnedRange& heldRange = *held.add_ranges();
    heldRange.set_first(range.m_first);
    heldRange.set_last(range.m_last);
  }
  std::vector<fleet::KeySpan> planned;
  for (const wire::OwnedRange& range : m_plannedRanges) {
    planned.push_back({ range.first(), range.last() });
  }
  return !fleet::SubtractSpans(held, std::move(planned)).empty();
}

bool
LocalBackend::ShouldWaitForRanges(std::optional<bool> aKeyed) const
{
  if (m_delivery && !DeliversInHeartbeats()) {
    return false;
  }
  // Takes one exchange with the leader. A backend server that always has
  // something to release would otherwise never get new ranges.
  if (HasRangesToOfferLater()) {
    return true;
  }
  const bool knowsPlan = m_planTerm > 0;
  if (knowsPlan && MustRelease()) {
    return false;
  }
  const bool waitsForFirstRanges = aKeyed.value_or(true) &&
                                   m_plannedRanges.empty() &&
                                   m_view.phase() == wire::BACKEND_PHASE_READY;
  return m_expectsRanges || waitsForFirstRanges;
}

void
LocalBackend::StartDrain(wire::BackendPhase aPhase,
                         TimePoint aStartedAt,
                         TimePoint aNow)
{
  if (m_view.phase() >= aPhase) {
    return;
  }
  if (m_view.phase() == wire::BACKEND_PHASE_READY) {
    m_drainStartedAt = aStartedAt;
  }
  LogInfo("backend",
          "event=leaving holder={} phase={}",
          m_view.holder(),
          aPhase == wire::BACKEND_PHASE_GONE ? "gone" : "draining");
  m_view.set_phase(aPhase);
  AddDeparture(m_view.holder(), aPhase, aNow);
}

void
LocalBackend::AddDeparture(const std::string& aHolder,
                           wire::BackendPhase aPhase,
                           TimePoint aNow)
{
  ++m_reportRevision;
  wire::Departure departure;
  departure.set_holder(aHolder);
  departure.set_phase(aPhase);
  const auto known = FindDeparture(aHolder);
  if (known != m_departures.end()) {
    if (known->m_departure.phase() < aPhase) {
      *known = { std::move(departure), aNow };
    }
    return;
  }
  if (m_departures.size() >= fleet::kMaxDeparturesPerInstance &&
      !DropDeparture(aNow)) {
    LogWarning("backend", "event=departure-refused holder={}", aHolder);
    return;
  }
  m_departures.push_back({ std::move(departure), aNow });
}

// Drops the oldest departure if no late heartbeat of its lifetime can arrive
// any more. Returns whether it was dropped.
bool
LocalBackend::DropDeparture(TimePoint aNow)
{
  const auto item =
    std::ranges::min_element(m_departures, {}, &LocalDeparture::m_addedAt);
  if (item == m_departures.end() ||
      aNow - item->m_addedAt <= fleet::kMaxHeartbeatDelay) {
    return false;
  }
  LogWarning("backend",
             "event=departure-dropped holder={} recorded={}",
             item->m_departure.holder(),
             item->m_isRecorded);
  m_departures.erase(item);
  return true;
}

std::vector<LocalBackend::LocalDeparture>::iterator
LocalBackend::FindDeparture(std::string_view aHolder)
{
  return std::ranges::find_if(m_departures, [&](const LocalDeparture& aItem) {
    return aItem.m_departure.holder() == aHolder;
  });
}

bool
LocalBackend::IsDepartureRecorded(std::string_view aHolder) const
{
  return std::ranges::any_of(m_departures, [&](const LocalDeparture& aItem) {
    return aItem.m_departure.holder() == aHolder && aItem.m_isRecorded;
  });
}

void
LocalBackend::OnDeparturesRecorded(const wire::FleetSyncReply& aReply,
                                   TimePoint aNow)
{
  // A leader of the previous release has only remembered what was told to it.
  // Older departures matter no more, and every sidecar would report them.
  if (aReply.term() > m_departuresTerm) {
    m_departuresTerm = aReply.term();
    for (LocalDeparture& item : m_departures) {
      if (item.m_departure.holder() == m_view.holder() ||
          aNow - item.m_addedAt <= fleet::kMaxHeartbeatDelay) {
        item.m_isRecorded = false;
        ++m_reportRevision;
      }
    }
  }
  for (LocalDeparture& item : m_departures) {
    item.m_isRecorded |= std::ranges::any_of(
      aReply.recorded_departures(), [&](const wire::Departure& aRecorded) {
        return aRecorded.holder() == item.m_departure.holder() &&
               aRecorded.phase() >= item.m_departure.phase();
      });
  }
}

TimePoint
LocalBackend::EarlierDrainStart(TimePoint aNow) const
{
  return aNow - m_drainTimeout;
}

void
LocalBackend::OnLeavingAnnounced(TimePoint aNow)
{
  StartDrain(wire::BACKEND_PHASE_DRAINING, aNow, aNow);
}

std::string
LocalBackend::OnDeregistration(std::string_view aBackendId,
                               int64_t aStartedAtUnixMs,
                               TimePoint aNow)
{
  if (aStartedAtUnixMs == 0) {
    if (aBackendId != m_view.backend_id()) {
      return {};
    }
    aStartedAtUnixMs = m_view.started_at_unix_ms();
  }
  std::string holder = fleet::FormatHolderName(
    { m_instance, std::string(aBackendId), aStartedAtUnixMs });
  if (holder == m_view.holder()) {
    StartDrain(wire::BACKEND_PHASE_GONE, aNow, aNow);
  } else {
    // Its first heartbeat may still be on its way, if this process has just
    // started.
    LogInfo("backend",
            "event=leaving-unknown holder={} current={}",
            holder,
            m_view.holder());
    AddDeparture(holder, wire::BACKEND_PHASE_GONE, aNow);
  }
  return holder;
}

void
LocalBackend::OnSyncReply(const wire::FleetSyncReply& aReply, TimePoint aSentAt)
{
  OnDeparturesRecorded(aReply, aSentAt);
  if (aReply.holder().empty() || aReply.holder() != m_view.holder()) {
    return;
  }
  m_startupTrust.OnLeaderView(aReply);
  // A process of this sidecar before its restart has reported the phase.
  StartDrain(aReply.backend_phase(), EarlierDrainStart(aSentAt), aSentAt);
  if (aReply.term() < m_planTerm ||
      (aReply.term() == m_planTerm && aReply.plan() < m_planNumber)) {
    return;
  }
  const bool isNewPlan =
    aReply.term() != m_planTerm || aReply.plan() != m_planNumber;
  if (isNewPlan) {
    m_planTerm = aReply.term();
    m_planNumber = aReply.plan();
    ++m_adoptedPlanCount;
    m_plannedRanges.assign(aReply.plan_ranges().begin(),
                           aReply.plan_ranges().end());
    LogInfo("backend",
            "event=plan holder={} term={} plan={} ranges={}",
            m_view.holder(),
            m_planTerm,
            m_planNumber,
            m_plannedRanges.size());
    m_callDelivery.SetPlan(RangesToCallFor());
    ++m_reportRevision;
  }
  m_expectsRanges = aReply.expects_ranges();
  m_leaseEnd = std::max(
    m_leaseEnd, aSentAt + Duration{ static_cast<int64_t>(aReply.lease_ms()) });
}

void
LocalBackend::OnReportDelivered(const wire::FleetSyncRequest& aRequest)
{
  if (aRequest.backend().holder() == m_view.holder()) {
    m_deliveredSequence =
      std::max(m_deliveredSequence, aRequest.heartbeat_sequence());
  }
  std::erase_if(m_pendingHandovers, [&](const wire::HandedOver& aHandover) {
    return std::ranges::any_of(
      aRequest.handovers(), [&](const wire::HandedOver& aDelivered) {
        return aDelivered.token() == aHandover.token() &&
               aDelivered.first() == aHandover.first();
      });
  });
}

void
LocalBackend::OnContactResult(bool aSucceeded, TimePoint aNow)
{
  if (aSucceeded) {
    m_failingSince = {};
    if (!m_reachable) {
      m_reachable = true;
      m_view.set_reachable(true);
      ++m_reportRevision;
    }
    return;
  }
  m_mayHaveEnded = true;
  if (m_failingSince == TimePoint{}) {
    m_failingSince = aNow;
  }
  if (m_reachable && aNow - m_failingSince >= kUnreachableAfter) {
    LogWarning("backend",
               "event=unreachable holder={} failing_ms={} heartbeat_age_ms={}",
               m_view.holder(),
               (aNow - m_failingSince).m_ms,
               (aNow - m_lastHeartbeatAt).m_ms);
    m_reachable = false;
    m_view.set_reachable(false);
    ++m_reportRevision;
  }
}

ServeVerdict
LocalBackend::CheckServable(std::optional<uint32_t> aKey,
                            bool aKeyed,
                            TimePoint aNow) const
{
  if (m_view.holder().empty() ||
      m_view.phase() == wire::BACKEND_PHASE_UNKNOWN) {
    return ServeVerdict::kNoBackend;
  }
  if (!m_startupTrust.KnowsPhase(m_view.holder(), aNow)) {
    return ServeVerdict::kAwaitsLeader;
  }
  if (m_view.phase() != wire::BACKEND_PHASE_READY) {
    const Duration serveLimit = m_drainTimeout * kDrainServePercent / 100;
    if (!aKeyed || aNow - m_drainStartedAt > serveLimit) {
      return ServeVerdict::kDraining;
    }
  }
  if (!m_reachable || aNow - m_lastHeartbeatAt > kHeartbeatTimeout) {
    return ServeVerdict::kUnreachable;
  }
  if (aKeyed && aKey) {
    return CheckOwnership(*aKey, aNow);
  }
  return ServeVerdict::kServe;
}

ServeVerdict
LocalBackend::CheckOwnership(uint32_t aKey, TimePoint aNow) const
{
  if (aNow < m_offerEnd && ContainsKey(m_offeredRanges, aKey)) {
    return ServeVerdict::kServe;
  }
  switch (m_callDelivery.FindKeyState(aKey, aNow)) {
    case KeyState::kHeld:
      return ServeVerdict::kServe;
    case KeyState::kAwaitsGrant:
      return ServeVerdict::kAwaitsGrant;
    case KeyState::kAwaitsRelease:
      return ServeVerdict::kAwaitsRelease;
    case KeyState::kNone:
      break;
  }
  return ServeVerdict::kNotOwner;
}

void
LocalBackend::OnColdAnnounced(Duration aColdRemaining, TimePoint aNow)
{
  m_reportRevision += aNow < m_coldUntil ? 0 : 1;
  m_coldUntil = std::max(m_coldUntil, aNow + aColdRemaining);
}

Duration
LocalBackend::ColdRemaining(TimePoint aNow) const
{
  return std::max(m_coldUntil - aNow, Duration{});
}

void
LocalBackend::FillReport(wire::FleetSyncRequest& aRequest, TimePoint aNow) const
{
  wire::BackendView& view = *aRequest.mutable_backend();
  view = m_view;
  view.set_cold_remaining_ms(static_cast<uint32_t>(ColdRemaining(aNow).m_ms));
  if (!m_view.holder().empty() &&
      aNow - m_lastHeartbeatAt > kHeartbeatTimeout) {
    view.set_reachable(false);
  }
  aRequest.set_plan_term(m_planTerm);
  aRequest.set_plan(m_planNumber);
  aRequest.set_heartbeat_sequence(m_heartbeatSequence);
  aRequest.set_awaits_confirmation(HasRangesToOfferLater());
  // Only heartbeats of a backend server that gets its ranges in answers list
  // the grants of an earlier process.
  const bool listsHolds = m_heartbeatSequence > 0 && m_listsHolds &&
                          DeliversInHeartbeats() &&
                          m_startupTrust.ListsAllEarlierGrants(
                            m_view.holder(), m_heartbeatSequence, aNow);
  aRequest.set_holds_known(listsHolds ||
                           !m_startupTrust.MayHaveEarlierGrants(aNow));
  m_callDelivery.FillReport(aRequest, aNow);
  const bool allExpired =
    aNow > m_lastPossibleHoldEnd && !m_startupTrust.MayHaveEarlierGrants(aNow);
  if (!allExpired) {
    for (const HeldRange& range : m_reportedRanges) {
      wire::KeyRange& held = *aRequest.add_possible_holds();
      held.set_first(range.m_first);
      held.set_last(range.m_last);
    }
    for (const wire::OwnedRange& range : m_offeredRanges) {
      wire::KeyRange& held = *aRequest.add_possible_holds();
      held.set_first(range.first());
      held.set_last(range.last());
    }
  }
  for (const wire::HandedOver& handover : m_pendingHandovers) {
    *aRequest.add_handovers() = handover;
  }
  for (const LocalDeparture& item : m_departures) {
    if (!item.m_isRecorded) {
      *aRequest.add_departures() = item.m_departure;
    }
  }
}

} // namespace rattanloft::sidecar
