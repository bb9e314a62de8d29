#include "EndpointSelector.h"

#include <algorithm>
#include <functional>

namespace rattanloft::sidecar {

namespace {

// Number of candidates that are compared for one request. Comparing only some
// of them keeps sidecars that see the same load reports from all choosing the
// same endpoint.
constexpr size_t kComparedCandidates = 3;
// Service time of an endpoint that has not reported one.
constexpr uint32_t kAssumedServiceTimeMs = 100;
// The weight of a load report falls linearly to zero within this time.
constexpr double kLoadReportLifetimeMs = 400;
// A cold backend server takes about twice as long.
constexpr double kColdCostFactor = 2;
// A cold endpoint counts as cold for this time after it was expected to be
// warm, unless it is reported as warm: only the begin and the end of a cold
// phase are reported. Bounds the error while no leader replies.
constexpr Duration kColdReportGrace = Seconds(2);
// Weight of one response in the moving average of the failure rate.
constexpr double kFailureSmoothing = 0.1;
// A backend server that always fails adds this multiple of its cost.
constexpr double kFailureCostFactor = 20;
// Discount of the own instance while it has a free slot. A hop costs processor
// time and traffic at both instances, several milliseconds on small ones.
constexpr double kSameInstanceDiscountMs = 20;
// An endpoint is suspect for this time after it failed to respond. The time
// doubles with each further failure, up to kMaxCountedNoResponses failures.
constexpr int64_t kFirstSuspectPeriodMs = 500;
constexpr int kMaxCountedNoResponses = 4;
// An endpoint with at least kMinStalledRequests in flight and no response for
// this time counts as stalled. Nearly all requests take less time.
constexpr Duration kStallTimeout = Milliseconds(700);
constexpr uint32_t kMinStalledRequests = 2;

} // namespace

void
EndpointSelector::SetEndpoints(std::span<const wire::Endpoint> aEndpoints,
                               TimePoint aNow)
{
  std::map<std::string, EndpointState> endpointStates;
  for (const wire::Endpoint& endpoint : aEndpoints) {
    EndpointState& state = endpointStates[endpoint.instance()];
    const auto known = m_endpointStates.find(endpoint.instance());
    if (known != m_endpointStates.end()) {
      state = std::move(known->second);
    }
    const wire::BackendView& before = state.m_endpoint.backend();
    const wire::BackendView& backend = endpoint.backend();
    const bool isNewLifetime = before.holder() != backend.holder();
    if (isNewLifetime) {
      state.m_failureRate = 0;
      state.m_load = {};
      state.m_loadReportedAt = kNeverReported;
    }
    // An endpoint that has not changed was reported earlier, so its remaining
    // time does not start again.
    if (isNewLifetime ||
        before.cold_remaining_ms() != backend.cold_remaining_ms()) {
      state.m_coldUntil = aNow + Milliseconds(backend.cold_remaining_ms());
    }
    state.m_endpoint = endpoint;
  }
  m_endpointStates = std::move(endpointStates);
  m_instanceCounts.clear();
  for (const auto& [instance, state] : m_endpointStates) {
    ++m_instanceCounts[state.m_endpoint.zone()];
  }
}

const wire::Endpoint*
EndpointSelector::FindEndpoint(const std::string& aInstance) const
{
  const auto found = m_endpointStates.find(aInstance);
  return found == m_endpointStates.end() ? nullptr : &found->second.m_endpoint;
}

bool
EndpointSelector::IsSuspect(const std::string& aInstance, TimePoint aNow) const
{
  const auto found = m_endpointStates.find(aInstance);
  return found != m_endpointStates.end() && aNow < found->second.m_suspectUntil;
}

double
EndpointSelector::EstimateCostMs(const EndpointState& aState,
                                 const EndpointQuery& aQuery,
                                 TimePoint aNow) const
{
  const double slots = std::max(1U, aState.m_endpoint.backend().slots());
  const double serviceMs = aState.m_load.m_serviceTimeMs > 0
                             ? aState.m_load.m_serviceTimeMs
                             : kAssumedServiceTimeMs;
  const double loadAgeMs =
    static_cast<double>((aNow - aState.m_loadReportedAt).m_ms);
  const double loadWeight =
    std::max(0.0, 1 - loadAgeMs / kLoadReportLifetimeMs);
  const double reportedRequests =
    loadWeight *
    (aState.m_load.m_runningRequests + aState.m_load.m_waitingRequests);
  const double expectedRequests =
    std::max(reportedRequests, static_cast<double>(aState.m_inFlightRequests)) +
    1;
  double costMs =
    serviceMs * (1 + std::max(0.0, expectedRequests - slots) / slots) +
    serviceMs * 0.5 * expectedRequests / slots;
  if (aNow < aState.m_coldUntil) {
    costMs *= kColdCostFactor;
  }
  costMs *= 1 + kFailureCostFactor * aState.m_failureRate;
  if (expectedRequests < slots &&
      aState.m_endpoint.instance() == aQuery.m_instance) {
    costMs -= kSameInstanceDiscountMs;
  }
  return costMs;
}

EndpointSelector::Usability
EndpointSelector::Classify(const std::string& aInstance,
                           const EndpointState& aState,
                           const std::string& aService,
                           TimePoint aNow) const
{
  const wire::BackendView& backend = aState.m_endpoint.backend();
  if (backend.service() != aService ||
      backend.phase() != wire::BACKEND_PHASE_READY ||
      m_evacuatedZones.contains(aState.m_endpoint.zone())) {
    return Usability::kUnusable;
  }
  return aNow < aState.m_suspectUntil || !backend.reachable() ||
             IsStalled(aInstance, aNow)
           ? Usability::kSuspect
           : Usability::kUsable;
}

void
EndpointSelector::UpdateZones(const EndpointQuery& aQuery, TimePoint aNow)
{
  std::vector<EndpointLoad> loads;
  for (const auto& [instance, state] : m_endpointStates) {
    const bool isCold = aNow < state.m_coldUntil;
    if (Classify(instance, state, aQuery.m_service, aNow) !=
          Usability::kUsable ||
        (isCold && aQuery.m_coldBound > 0)) {
      continue;
    }
    const bool isLocal = instance == m_localInstance;
    const ReportedLoad& load = isLocal ? m_localLoad : state.m_load;
    EndpointLoad& summary = loads.emplace_back();
    summary.m_zone = state.m_endpoint.zone();
    summary.m_slots = state.m_endpoint.backend().slots();
    summary.m_serviceTimeMs =
      isCold ? static_cast<uint32_t>(kColdCostFactor * load.m_serviceTimeMs)
             : load.m_serviceTimeMs;
    // More requests may be in flight to it than it has reported.
    const uint32_t requests =
      std::max(load.m_runningRequests + load.m_waitingRequests,
               state.m_inFlightRequests);
    summary.m_running = std::min(requests, summary.m_slots);
    summary.m_waiting = requests - summary.m_running;
    summary.m_age = aNow - (isLocal ? m_localLoadAt : state.m_loadReportedAt);
  }
  m_zoneRouter.Update(
    aQuery.m_service, aQuery.m_zone, loads, m_instanceCounts, aNow);
}

void
EndpointSelector::SelectZone(std::vector<const EndpointState*>& aCandidates,
                             const EndpointQuery& aQuery,
                             TimePoint aNow)
{
  const auto isIn = [](const std::string& aZone) {
    return [&aZone](const EndpointState* aState) {
      return aState->m_endpoint.zone() == aZone;
    };
  };
  const std::string& firstZone = aCandidates.front()->m_endpoint.zone();
  if (m_zoneRouter.Mode() == ZoneSpilloverMode::kAny ||
      std::ranges::all_of(aCandidates, isIn(firstZone))) {
    return;
  }
  std::string zone = aQuery.m_zone;
  if (m_zoneRouter.Mode() == ZoneSpilloverMode::kAdaptive) {
    if (m_zoneRouter.NeedsUpdate(aQuery.m_service, aNow)) {
      UpdateZones(aQuery, aNow);
    }
    zone = m_zoneRouter.Pick(
      aQuery.m_service, aQuery.m_bodyBytes, aQuery.m_refusedByOwnZone);
    // The zone router does not count cold endpoints with a bound, so that a
    // zone which has no others would get none of the requests that they have
    // room for.
    const auto isWarmInOwnZone = [&](const EndpointState* aState) {
      return aState->m_endpoint.zone() == aQuery.m_zone &&
             !IsCold(*aState, aNow);
    };
    const bool hasOnlyColdRoom =
      aQuery.m_coldBound > 0 &&
      std::ranges::any_of(aCandidates, isIn(aQuery.m_zone)) &&
      std::ranges::none_of(aCandidates, isWarmInOwnZone);
    if (hasOnlyColdRoom || std::ranges::none_of(aCandidates, isIn(zone))) {
      zone = aQuery.m_zone;
    }
  }
  if (std::ranges::any_of(aCandidates, isIn(zone))) {
    std::erase_if(aCandidates, std::not_fn(isIn(zone)));
  }
}

bool
EndpointSelector::IsCold(const EndpointState& aState, TimePoint aNow)
{
  return aState.m_endpoint.backend().cold_remaining_ms() > 0 &&
         aNow < aState.m_coldUntil + kColdReportGrace;
}

void
EndpointSelector::RemoveColdWithoutRoom(
  std::vector<const EndpointState*>& aCandidates,
  const EndpointQuery& aQuery,
  TimePoint aNow)
{
  m_coldRetryAfter.reset();
  if (aQuery.m_coldBound <= 0 || aCandidates.empty()) {
    return;
  }
  const double rate =
    ColdEndpointShare::RateFor(aQuery.m_coldBound, aQuery.m_sidecarCount);
  const double roomRate = rate * static_cast<double>(aCandidates.size());
  std::erase_if(aCandidates, [&](const EndpointState* aState) {
    return IsCold(*aState, aNow) &&
           !m_coldShare.HasRoom(aState->m_endpoint.instance(), rate, aNow);
  });
  if (aCandidates.empty()) {
    m_coldRetryAfter = m_coldShare.NextReturn(roomRate, aNow);
  }
}

const wire::Endpoint*
EndpointSelector::Choose(const EndpointQuery& aQuery,
                         const std::set<std::string>& aTriedInstances,
                         TimePoint aNow)
{
  std::vector<const EndpointState*> healthyCandidates;
  std::vector<const EndpointState*> suspectCandidates;
  for (const auto& [instance, state] : m_endpointStates) {
    if (aTriedInstances.contains(instance)) {
      continue;
    }
    switch (Classify(instance, state, aQuery.m_service, aNow)) {
      case Usability::kUsable:
        healthyCandidates.push_back(&state);
        break;
      case Usability::kSuspect:
        suspectCandidates.push_back(&state);
        break;
      case Usability::kUnusable:
        break;
    }
  }
  std::vector<const EndpointState*>& candidates =
    healthyCandidates.empty() ? suspectCandidates : healthyCandidates;
  RemoveColdWithoutRoom(candidates, aQuery, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  SelectZone(candidates, aQuery, aNow);
  std::ranges::shuffle(candidates, m_random);
  // std::ranges::stable_partition does not compile with clang 14.
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const EndpointState* aState) {
      return aState->m_endpoint.instance() == aQuery.m_instance;
    });
  candidates.resize(std::min(candidates.size(), kComparedCandidates));
  const EndpointState* best =
    *std::ranges::min_element(candidates, {}, [&](const EndpointState* aState) {
      return EstimateCostMs(*aState, aQuery, aNow);
    });
  if (IsCold(*best, aNow)) {
    m_coldShare.Take(best->m_endpoint.instance(), aNow);
  }
  return &best->m_endpoint;
}

bool
EndpointSelector::IsStalled(const std::string& aInstance, TimePoint aNow) const
{
  const auto found = m_endpointStates.find(aInstance);
  return found != m_endpointStates.end() &&
         found->second.m_inFlightRequests >= kMinStalledRequests &&
         aNow - found->second.m_unansweredSince > kStallTimeout;
}

void
EndpointSelector::OnRequestSent(const std::string& aInstance, TimePoint aNow)
{
  const auto found = m_endpointStates.find(aInstance);
  if (found == m_endpointStates.end()) {
    return;
  }
  if (found->second.m_inFlightRequests == 0) {
    found->second.m_unansweredSince = aNow;
  }
  ++found->second.m_inFlightRequests;
}

void
EndpointSelector::OnRequestEnded(const std::string& aInstance)
{
  const auto found = m_endpointStates.find(aInstance);
  if (found != m_endpointStates.end() && found->second.m_inFlightRequests > 0) {
    --found->second.m_inFlightRequests;
  }
}

void
EndpointSelector::OnLoadReport(const std::string& aInstance,
                               ReportedLoad aReportedLoad,
                               TimePoint aNow)
{
  const auto found = m_endpointStates.find(aInstance);
  if (found == m_endpointStates.end()) {
    return;
  }
  found->second.m_load = aReportedLoad;
  found->second.m_loadReportedAt = aNow;
  found->second.m_unansweredSince = aNow;
  found->second.m_noResponseCount = 0;
  found->second.m_suspectUntil = {};
}

void
EndpointSelector::OnBackendResponse(const std::string& aInstance, bool aFailed)
{
  const auto found = m_endpointStates.find(aInstance);
  if (found != m_endpointStates.end()) {
    double& failureRate = found->second.m_failureRate;
    failureRate += kFailureSmoothing * ((aFailed ? 1 : 0) - failureRate);
  }
}

void
EndpointSelector::OnNoResponse(const std::string& aInstance, TimePoint aNow)
{
  const auto found = m_endpointStates.find(aInstance);
  if (found == m_endpointStates.end()) {
    return;
  }
  EndpointState& state = found->second;
  state.m_noResponseCount =
    std::min(state.m_noResponseCount + 1, kMaxCountedNoResponses);
  state.m_suspectUntil =
    aNow + Milliseconds(kFirstSuspectPeriodMs << (state.m_noResponseCount - 1));
}

void
EndpointSelector::SetLocalLoad(const std::string& aInstance,
                               ReportedLoad aLoad,
                               TimePoint aNow)
{
  m_localInstance = aInstance;
  m_localLoad = aLoad;
  m_localLoadAt = aNow;
}

} // namespace rattanloft::sidecar
