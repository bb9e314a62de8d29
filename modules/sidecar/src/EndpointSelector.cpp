#include "EndpointSelector.h"

#include <algorithm>
#include <functional>

namespace rattanloft::sidecar {

namespace {

// Candidates that are compared for one request. Fewer than all, so that
// sidecars with the same picture of the load do not all choose the same one.
constexpr size_t kCompared = 3;
constexpr uint32_t kUsualServiceMs = 100;
// A reported load loses its weight over this time.
constexpr double kLoadAgeMs = 400;
// A backend server that has just started takes about twice as long.
constexpr double kColdFactor = 2;
// Weight of one answer in the smoothed share of failures.
constexpr double kFailureSmoothing = 0.1;
// A request to a backend server that fails always costs like this many.
constexpr double kFailureCost = 20;
// Time that a request may take longer in the own availability zone before it
// goes to another one: bytes between zones have a price.
constexpr double kOtherZoneMs = 12;
// The same for each KiB of the body, while the own zone has a free slot. A
// large body must not wait for the sake of its bytes.
constexpr double kOtherZoneMsPerKib = 12;
constexpr int64_t kFirstSuspicionMs = 500;
constexpr int kMaxSilences = 4;
// Among several requests one is usually answered within this time, which is
// longer than nearly all work takes.
constexpr Duration kStalledTime = Milliseconds(700);
constexpr uint32_t kStalledRequests = 2;

} // namespace

void
EndpointSelector::SetEndpoints(std::span<const wire::Endpoint> aEndpoints,
                               TimePoint aNow)
{
  std::map<std::string, State> states;
  for (const wire::Endpoint& endpoint : aEndpoints) {
    State& state = states[endpoint.instance()];
    const auto known = m_states.find(endpoint.instance());
    if (known != m_states.end()) {
      state = known->second;
      if (known->second.m_endpoint.backend().holder() !=
          endpoint.backend().holder()) {
        state.m_failures = 0;
        state.m_load = {};
      }
    }
    state.m_endpoint = endpoint;
    state.m_coldUntil =
      aNow + Milliseconds(endpoint.backend().cold_remaining_ms());
  }
  m_states = std::move(states);
}

const wire::Endpoint*
EndpointSelector::Find(const std::string& aInstance) const
{
  const auto found = m_states.find(aInstance);
  return found == m_states.end() ? nullptr : &found->second.m_endpoint;
}

bool
EndpointSelector::IsSuspect(const std::string& aInstance, TimePoint aNow) const
{
  const auto found = m_states.find(aInstance);
  return found != m_states.end() && aNow < found->second.m_suspectUntil;
}

double
EndpointSelector::Cost(const State& aState,
                       const Wanted& aWanted,
                       TimePoint aNow) const
{
  const double slots = std::max(1U, aState.m_endpoint.backend().slots());
  const double service =
    aState.m_load.m_serviceMs > 0 ? aState.m_load.m_serviceMs : kUsualServiceMs;
  const double age = static_cast<double>((aNow - aState.m_loadAt).m_ms);
  const double weight = std::max(0.0, 1 - age / kLoadAgeMs);
  const double reported =
    weight * (aState.m_load.m_running + aState.m_load.m_waiting);
  const double busy =
    std::max(reported, static_cast<double>(aState.m_inFlight)) + 1;
  double cost = service * (1 + std::max(0.0, busy - slots) / slots) +
                service * 0.5 * busy / slots;
  if (aNow < aState.m_coldUntil) {
    cost *= kColdFactor;
  }
  cost *= 1 + kFailureCost * aState.m_failures;
  const bool ownZone = aState.m_endpoint.zone() == aWanted.m_zone;
  if (!ownZone) {
    cost += kOtherZoneMs;
  } else if (busy < slots) {
    cost -=
      kOtherZoneMsPerKib * static_cast<double>(aWanted.m_bodyBytes) / 1024;
  }
  return cost;
}

const wire::Endpoint*
EndpointSelector::Choose(const Wanted& aWanted,
                         const std::set<std::string>& aTried,
                         TimePoint aNow)
{
  std::vector<const State*> sound;
  std::vector<const State*> doubtful;
  for (const auto& [instance, state] : m_states) {
    const wire::BackendView& backend = state.m_endpoint.backend();
    if (backend.service() != aWanted.m_service || aTried.contains(instance) ||
        backend.phase() != wire::BACKEND_PHASE_READY) {
      continue;
    }
    const bool suspect = aNow < state.m_suspectUntil || !backend.reachable() ||
                         IsStalled(instance, aNow);
    (suspect ? doubtful : sound).push_back(&state);
  }
  std::vector<const State*>& from = sound.empty() ? doubtful : sound;
  if (from.empty()) {
    return nullptr;
  }
  std::ranges::shuffle(from, m_random);
  // The ranges form does not compile with clang 14.
  std::stable_partition(from.begin(), from.end(), [&](const State* aState) {
    return aState->m_endpoint.zone() == aWanted.m_zone;
  });
  from.resize(std::min(from.size(), kCompared));
  const State* best =
    *std::ranges::min_element(from, {}, [&](const State* aState) {
      return Cost(*aState, aWanted, aNow);
    });
  return &best->m_endpoint;
}

bool
EndpointSelector::IsStalled(const std::string& aInstance, TimePoint aNow) const
{
  const auto found = m_states.find(aInstance);
  return found != m_states.end() &&
         found->second.m_inFlight >= kStalledRequests &&
         aNow - found->second.m_waitsSince > kStalledTime;
}

void
EndpointSelector::OnSent(const std::string& aInstance, TimePoint aNow)
{
  const auto found = m_states.find(aInstance);
  if (found == m_states.end()) {
    return;
  }
  if (found->second.m_inFlight == 0) {
    found->second.m_waitsSince = aNow;
  }
  ++found->second.m_inFlight;
}

void
EndpointSelector::OnDone(const std::string& aInstance)
{
  const auto found = m_states.find(aInstance);
  if (found != m_states.end() && found->second.m_inFlight > 0) {
    --found->second.m_inFlight;
  }
}

void
EndpointSelector::OnLoad(const std::string& aInstance,
                         ReportedLoad aLoad,
                         TimePoint aNow)
{
  const auto found = m_states.find(aInstance);
  if (found == m_states.end()) {
    return;
  }
  found->second.m_load = aLoad;
  found->second.m_loadAt = aNow;
  found->second.m_waitsSince = aNow;
  found->second.m_silences = 0;
  found->second.m_suspectUntil = {};
}

void
EndpointSelector::OnAnswer(const std::string& aInstance, bool aFailed)
{
  const auto found = m_states.find(aInstance);
  if (found != m_states.end()) {
    double& failures = found->second.m_failures;
    failures += kFailureSmoothing * ((aFailed ? 1 : 0) - failures);
  }
}

void
EndpointSelector::OnSilence(const std::string& aInstance, TimePoint aNow)
{
  const auto found = m_states.find(aInstance);
  if (found == m_states.end()) {
    return;
  }
  State& state = found->second;
  state.m_silences = std::min(state.m_silences + 1, kMaxSilences);
  state.m_suspectUntil =
    aNow + Milliseconds(kFirstSuspicionMs << (state.m_silences - 1));
}

} // namespace rattanloft::sidecar
