#include "rattanloft/routing/Balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rattanloft/base/Log.h"

namespace rattanloft::routing {

namespace {

// The cluster registers at most this many backends.
constexpr size_t kMaxRecords = 4096;
constexpr uint32_t kConsecutiveFailuresToEject = 3;
constexpr Duration kFirstEjectionDuration = Seconds(1);
// Limits the duration of an ejection to 16 times the first one.
constexpr uint32_t kMaxEjectionDoublings = 4;
constexpr Duration kRampDuration = Seconds(10);
// Fraction of its slots that a new or recovered backend starts with.
constexpr double kRampStartFraction = 0.25;
// Time in which a penalty decays to 1/e.
constexpr double kPenaltyDecaySeconds = 2;
// A smaller penalty counts as none.
constexpr double kMinPenalty = 0.1;
// Random draws for each of the two choices before all backends are compared.
constexpr int kDrawsPerChoice = 4;

// Advances a splitmix64 generator, which derives independent draws from one
// random number.
uint64_t
NextRandom(uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  uint64_t z = aState;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

double
DecayFactor(TimePoint aFrom, TimePoint aNow)
{
  const auto ms = static_cast<double>((aNow - aFrom).m_ms);
  return ms <= 0 ? 1 : std::exp(-ms / (1000 * kPenaltyDecaySeconds));
}

} // namespace

Balancer::Balancer(std::string aZone)
  : m_zone(std::move(aZone))
{
}

uint32_t
Balancer::ChooseBackend(const RouteTable& aRoutes,
                        std::string_view aService,
                        std::span<const uint32_t> aExcluded,
                        uint64_t aRandom,
                        TimePoint aNow)
{
  if (aRoutes.SharedBackends() != m_knownBackends) {
    UpdateBackends(aRoutes, aNow);
  }
  const auto backends = aRoutes.BackendsOf(aService);
  if (backends.empty()) {
    return 0;
  }
  uint32_t first = 0;
  for (int i = 0; i < 2 * kDrawsPerChoice; ++i) {
    const uint32_t drawn = backends[NextRandom(aRandom) % backends.size()];
    if (drawn == first ||
        !IsCandidate(
          aRoutes, drawn, aExcluded, CandidateFilter::kUsable, aNow)) {
      continue;
    }
    if (first == 0) {
      first = drawn;
      continue;
    }
    return IsBetter(aRoutes, drawn, first, aNow) ? drawn : first;
  }
  if (first != 0) {
    return first;
  }
  const uint32_t usable = FindBestCandidate(
    aRoutes, backends, aExcluded, CandidateFilter::kUsable, aRandom, aNow);
  // If all backends are ejected, any attempt is better than none.
  return usable != 0 ? usable
                     : FindBestCandidate(aRoutes,
                                         backends,
                                         aExcluded,
                                         CandidateFilter::kAny,
                                         aRandom,
                                         aNow);
}

void
Balancer::OnAttemptStarted(uint32_t aBackend, TimePoint)
{
  const auto found = m_records.find(aBackend);
  if (found != m_records.end()) {
    ++found->second.m_inFlight;
  }
}

void
Balancer::OnAttemptFinished(uint32_t aBackend,
                            AttemptResult aResult,
                            TimePoint aNow)
{
  const auto found = m_records.find(aBackend);
  // An attempt that started before its backend had a record was not counted.
  if (found == m_records.end() || found->second.m_inFlight == 0) {
    return;
  }
  BackendRecord& record = found->second;
  --record.m_inFlight;
  switch (aResult) {
    case AttemptResult::kAnswered:
      OnBackendAlive(aBackend, record, aNow);
      return;
    case AttemptResult::kRefused:
      OnBackendAlive(aBackend, record, aNow);
      AddPenalty(record, aNow);
      return;
    case AttemptResult::kFailed:
      AddPenalty(record, aNow);
      OnBackendFailure(aBackend, record, aNow);
      return;
    case AttemptResult::kCancelled:
      return;
  }
}

void
Balancer::UpdateBackends(const RouteTable& aRoutes, TimePoint aNow)
{
  const bool firstUpdate = m_records.empty();
  m_knownBackends = aRoutes.SharedBackends();
  std::erase_if(m_records, [&](const auto& aItem) {
    return aItem.second.m_inFlight == 0 &&
           aRoutes.FindBackend(aItem.first) == nullptr;
  });
  const TimePoint rampStartedAt = firstUpdate ? aNow - kRampDuration : aNow;
  for (const auto& [number, backend] : aRoutes.Backends()) {
    if (m_records.size() >= kMaxRecords) {
      LogWarning("route",
                 "{} backends have records; further ones count as cold",
                 kMaxRecords);
      return;
    }
    m_records.try_emplace(number, rampStartedAt);
  }
}

uint32_t
Balancer::InFlightAttempts(uint32_t aBackend) const
{
  const BackendRecord* record = FindRecord(aBackend);
  return record == nullptr ? 0 : record->m_inFlight;
}

bool
Balancer::IsEjected(uint32_t aBackend, TimePoint aNow) const
{
  const BackendRecord* record = FindRecord(aBackend);
  return record != nullptr && aNow < record->m_ejectedUntil;
}

const Balancer::BackendRecord*
Balancer::FindRecord(uint32_t aBackend) const
{
  const auto found = m_records.find(aBackend);
  return found == m_records.end() ? nullptr : &found->second;
}

bool
Balancer::IsCandidate(const RouteTable& aRoutes,
                      uint32_t aBackend,
                      std::span<const uint32_t> aExcluded,
                      CandidateFilter aFilter,
                      TimePoint aNow) const
{
  const wire::Backend* backend = aRoutes.FindBackend(aBackend);
  if (backend == nullptr || backend->state() != wire::BACKEND_STATE_ACTIVE ||
      std::find(aExcluded.begin(), aExcluded.end(), aBackend) !=
        aExcluded.end()) {
    return false;
  }
  const BackendRecord* record = FindRecord(aBackend);
  if (record == nullptr || aFilter == CandidateFilter::kAny) {
    return true;
  }
  return aNow >= record->m_ejectedUntil &&
         !(record->m_probing && record->m_inFlight > 0);
}

uint32_t
Balancer::FindBestCandidate(const RouteTable& aRoutes,
                            std::span<const uint32_t> aBackends,
                            std::span<const uint32_t> aExcluded,
                            CandidateFilter aFilter,
                            uint64_t aRandom,
                            TimePoint aNow) const
{
  // Starts at a random position, so that equal loads do not favour one backend.
  const size_t start = aRandom % aBackends.size();
  uint32_t best = 0;
  for (size_t i = 0; i < aBackends.size(); ++i) {
    const uint32_t backend = aBackends[(start + i) % aBackends.size()];
    if (IsCandidate(aRoutes, backend, aExcluded, aFilter, aNow) &&
        (best == 0 || IsBetter(aRoutes, backend, best, aNow))) {
      best = backend;
    }
  }
  return best;
}

bool
Balancer::IsBetter(const RouteTable& aRoutes,
                   uint32_t aLeft,
                   uint32_t aRight,
                   TimePoint aNow) const
{
  const wire::Backend& left = *aRoutes.FindBackend(aLeft);
  const wire::Backend& right = *aRoutes.FindBackend(aRight);
  const double leftLoad = RelativeLoad(left, aNow);
  const double rightLoad = RelativeLoad(right, aNow);
  if (leftLoad != rightLoad) {
    return leftLoad < rightLoad;
  }
  // The zone decides only between equal loads, so that preferring it does not
  // unbalance the backends.
  return left.zone() == m_zone && right.zone() != m_zone;
}

double
Balancer::RelativeLoad(const wire::Backend& aBackend, TimePoint aNow) const
{
  const double slots = std::max(1U, aBackend.slots());
  const BackendRecord* record = FindRecord(aBackend.number());
  if (record == nullptr) {
    return 1 / (slots * kRampStartFraction);
  }
  const double rampProgress =
    std::clamp(static_cast<double>((aNow - record->m_rampStartedAt).m_ms) /
                 static_cast<double>(kRampDuration.m_ms),
               0.0,
               1.0);
  const double usableSlots =
    slots * (kRampStartFraction + (1 - kRampStartFraction) * rampProgress);
  const double penalty =
    record->m_penalty * DecayFactor(record->m_penaltyUpdatedAt, aNow);
  return (1 + record->m_inFlight + penalty) / usableSlots;
}

void
Balancer::OnBackendFailure(uint32_t aBackend,
                           BackendRecord& aRecord,
                           TimePoint aNow)
{
  ++aRecord.m_consecutiveFailures;
  const bool failedProbe = aRecord.m_probing && aNow >= aRecord.m_ejectedUntil;
  if (!failedProbe && (aRecord.m_probing || aRecord.m_consecutiveFailures <
                                              kConsecutiveFailuresToEject)) {
    return;
  }
  const uint32_t doublings =
    std::min(aRecord.m_consecutiveEjections, kMaxEjectionDoublings);
  const Duration ejection =
    kFirstEjectionDuration * (int64_t{ 1 } << doublings);
  ++aRecord.m_consecutiveEjections;
  aRecord.m_ejectedUntil = aNow + ejection;
  aRecord.m_probing = true;
  LogInfo("route",
          "backend {} keeps failing; ejected for {} ms",
          aBackend,
          ejection.m_ms);
}

void
Balancer::OnBackendAlive(uint32_t aBackend,
                         BackendRecord& aRecord,
                         TimePoint aNow)
{
  if (aRecord.m_probing) {
    LogInfo("route", "backend {} answers again", aBackend);
    aRecord.m_rampStartedAt = aNow;
  }
  aRecord.m_probing = false;
  aRecord.m_consecutiveFailures = 0;
  aRecord.m_consecutiveEjections = 0;
}

void
Balancer::AddPenalty(BackendRecord& aRecord, TimePoint aNow)
{
  aRecord.m_penalty = 1 + DecayedPenalty(aRecord, aNow);
  aRecord.m_penaltyUpdatedAt = aNow;
}

double
Balancer::DecayedPenalty(const BackendRecord& aRecord, TimePoint aNow)
{
  const double penalty =
    aRecord.m_penalty * DecayFactor(aRecord.m_penaltyUpdatedAt, aNow);
  // Without this bound a tiny remainder would lose every tie for ever.
  return penalty < kMinPenalty ? 0 : penalty;
}

} // namespace rattanloft::routing
