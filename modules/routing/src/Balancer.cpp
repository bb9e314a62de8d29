#include "rattanloft/routing/Balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rattanloft/base/Log.h"

namespace rattanloft::routing {

namespace {

// The cluster registers at most as many backends.
constexpr size_t kMaxRecords = 4096;
constexpr uint32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = Seconds(1);
constexpr uint32_t kMaxDoublings = 4;
constexpr Duration kRamp = Seconds(10);
constexpr double kRampStart = 0.25;
constexpr double kPenaltyDecaySeconds = 2;
constexpr double kNoPenalty = 0.1;
// Draws for each of the two choices before all backends are looked at.
constexpr int kDraws = 4;

// splitmix64: independent draws from one random number.
uint64_t
NextDraw(uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  uint64_t z = aState;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

double
Decay(TimePoint aFrom, TimePoint aNow)
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
  if (aRoutes.SharedBackends() != m_seen) {
    Update(aRoutes, aNow);
  }
  const auto backends = aRoutes.BackendsOf(aService);
  if (backends.empty()) {
    return 0;
  }
  uint32_t first = 0;
  for (int i = 0; i < 2 * kDraws; ++i) {
    const uint32_t drawn = backends[NextDraw(aRandom) % backends.size()];
    if (drawn == first ||
        !IsCandidate(aRoutes, drawn, aExcluded, Filter::kUsable, aNow)) {
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
  const uint32_t usable =
    Scan(aRoutes, backends, aExcluded, Filter::kUsable, aRandom, aNow);
  // With all of them ejected, any attempt is better than none.
  return usable != 0
           ? usable
           : Scan(aRoutes, backends, aExcluded, Filter::kAny, aRandom, aNow);
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
  // An attempt that began before its backend had a record was not counted.
  if (found == m_records.end() || found->second.m_inFlight == 0) {
    return;
  }
  Record& record = found->second;
  --record.m_inFlight;
  switch (aResult) {
    case AttemptResult::kAnswered:
      OnAlive(aBackend, record, aNow);
      return;
    case AttemptResult::kRefused:
      OnAlive(aBackend, record, aNow);
      AddPenalty(record, aNow);
      return;
    case AttemptResult::kFailed:
      AddPenalty(record, aNow);
      OnFailure(aBackend, record, aNow);
      return;
    case AttemptResult::kCancelled:
      return;
  }
}

void
Balancer::Update(const RouteTable& aRoutes, TimePoint aNow)
{
  const bool first = m_records.empty();
  m_seen = aRoutes.SharedBackends();
  std::erase_if(m_records, [&](const auto& aItem) {
    return aItem.second.m_inFlight == 0 &&
           aRoutes.FindBackend(aItem.first) == nullptr;
  });
  const TimePoint rampFrom = first ? aNow - kRamp : aNow;
  for (const auto& [number, backend] : aRoutes.Backends()) {
    if (m_records.size() >= kMaxRecords) {
      LogWarning("route", "{} backends, further ones stay cold", kMaxRecords);
      return;
    }
    m_records.try_emplace(number, rampFrom);
  }
}

uint32_t
Balancer::InFlight(uint32_t aBackend) const
{
  const Record* record = FindRecord(aBackend);
  return record == nullptr ? 0 : record->m_inFlight;
}

bool
Balancer::IsEjected(uint32_t aBackend, TimePoint aNow) const
{
  const Record* record = FindRecord(aBackend);
  return record != nullptr && aNow < record->m_ejectedUntil;
}

const Balancer::Record*
Balancer::FindRecord(uint32_t aBackend) const
{
  const auto found = m_records.find(aBackend);
  return found == m_records.end() ? nullptr : &found->second;
}

bool
Balancer::IsCandidate(const RouteTable& aRoutes,
                      uint32_t aBackend,
                      std::span<const uint32_t> aExcluded,
                      Filter aFilter,
                      TimePoint aNow) const
{
  const wire::Backend* backend = aRoutes.FindBackend(aBackend);
  if (backend == nullptr || backend->state() != wire::BACKEND_STATE_ACTIVE ||
      std::find(aExcluded.begin(), aExcluded.end(), aBackend) !=
        aExcluded.end()) {
    return false;
  }
  const Record* record = FindRecord(aBackend);
  if (record == nullptr || aFilter == Filter::kAny) {
    return true;
  }
  return aNow >= record->m_ejectedUntil &&
         !(record->m_probing && record->m_inFlight > 0);
}

uint32_t
Balancer::Scan(const RouteTable& aRoutes,
               std::span<const uint32_t> aBackends,
               std::span<const uint32_t> aExcluded,
               Filter aFilter,
               uint64_t aRandom,
               TimePoint aNow) const
{
  // Starts at a random place, so that equal loads do not favour one backend.
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
  const double leftLoad = LoadOf(left, aNow);
  const double rightLoad = LoadOf(right, aNow);
  if (leftLoad != rightLoad) {
    return leftLoad < rightLoad;
  }
  // Only at equal load does the zone count, so it costs no balance.
  return left.zone() == m_zone && right.zone() != m_zone;
}

double
Balancer::LoadOf(const wire::Backend& aBackend, TimePoint aNow) const
{
  const double slots = std::max(1U, aBackend.slots());
  const Record* record = FindRecord(aBackend.number());
  if (record == nullptr) {
    return 1 / (slots * kRampStart);
  }
  const double warm =
    std::clamp(static_cast<double>((aNow - record->m_rampFrom).m_ms) /
                 static_cast<double>(kRamp.m_ms),
               0.0,
               1.0);
  const double usable = slots * (kRampStart + (1 - kRampStart) * warm);
  const double penalty = record->m_penalty * Decay(record->m_penaltyAt, aNow);
  return (1 + record->m_inFlight + penalty) / usable;
}

void
Balancer::OnFailure(uint32_t aBackend, Record& aRecord, TimePoint aNow)
{
  ++aRecord.m_failuresInRow;
  const bool failedProbe = aRecord.m_probing && aNow >= aRecord.m_ejectedUntil;
  if (!failedProbe &&
      (aRecord.m_probing || aRecord.m_failuresInRow < kFailuresToEject)) {
    return;
  }
  const uint32_t doublings = std::min(aRecord.m_ejections, kMaxDoublings);
  const Duration span = kFirstEjection * (int64_t{ 1 } << doublings);
  ++aRecord.m_ejections;
  aRecord.m_ejectedUntil = aNow + span;
  aRecord.m_probing = true;
  LogInfo("route", "backend {} fails, ejected for {} ms", aBackend, span.m_ms);
}

void
Balancer::OnAlive(uint32_t aBackend, Record& aRecord, TimePoint aNow)
{
  if (aRecord.m_probing) {
    LogInfo("route", "backend {} answers again", aBackend);
    aRecord.m_rampFrom = aNow;
  }
  aRecord.m_probing = false;
  aRecord.m_failuresInRow = 0;
  aRecord.m_ejections = 0;
}

void
Balancer::AddPenalty(Record& aRecord, TimePoint aNow)
{
  aRecord.m_penalty = 1 + PenaltyOf(aRecord, aNow);
  aRecord.m_penaltyAt = aNow;
}

double
Balancer::PenaltyOf(const Record& aRecord, TimePoint aNow)
{
  const double penalty = aRecord.m_penalty * Decay(aRecord.m_penaltyAt, aNow);
  // A remainder must not lose every tie for ever.
  return penalty < kNoPenalty ? 0 : penalty;
}

} // namespace rattanloft::routing
