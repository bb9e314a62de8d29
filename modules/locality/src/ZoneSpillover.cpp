#include "rattanloft/locality/ZoneSpillover.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace rattanloft::locality {

namespace {

// Load reports count less with their age and not at all after this time. A
// sender that sends a few requests a second to another zone needs reports of
// about a second to know several of its backend servers.
constexpr Duration kNewsLifetime = Milliseconds(1000);
// The estimate of a zone starts from a neutral occupancy that counts as much as
// fresh reports on this many slots, so that one busy or idle backend server
// does not stand for the whole zone.
constexpr double kPriorSlots = 12;
// Occupancy (requests for each slot) that the own zone is brought to while
// requests leave it, and above which they start to leave. The distance is the
// hysteresis: normal variation at four fifths of the capacity stays below the
// start.
constexpr double kOwnTargetOccupancy = 0.95;
constexpr double kOwnStartOccupancy = 1.05;
constexpr double kNearlyFullOccupancy = 0.9;
// Assumed occupancy of the own zone without load reports. It is below the
// target, so that a sender that sends nearly everything elsewhere returns and
// gets reports again.
constexpr double kUnknownOwnOccupancy = 0.85;
// Largest share while the own zone has ready backend servers, for the same
// reason.
constexpr double kMaxShare = 0.95;
// Refused share of the requests at which they start to leave as well.
constexpr double kStartRefusedShare = 0.1;
// Occupancy up to which other zones are filled. The rest covers the variation
// of their own load.
constexpr double kRemoteTargetOccupancy = 1;
// Share of what a sender sends to a zone that it keeps without spare room. As
// all give up the rest and get equal parts of the spare room, their shares
// become equal.
constexpr double kKeptShare = 0.96;
// Share for each unit of excess occupancy, at once and for each second that it
// lasts. The waiting requests of an overloaded zone integrate the excess over
// a service time (about 0.4 s) and are known 0.2 s late, which allows a
// proportional gain of up to about 0.6 without oscillation.
constexpr double kProportionalGain = 0.4;
constexpr double kRiseGainPerSecond = 0.4;
// The return is faster, since traffic between zones has a price while slots of
// the own zone are free.
constexpr double kFallGainPerSecond = 2;
// Time constants of the share, of the measured rates, and of the decay of the
// refused share.
constexpr double kShareSmoothingSeconds = 0.1;
constexpr double kRateSmoothingSeconds = 0.8;
constexpr double kRefusalDecaySeconds = 1.5;
constexpr double kLimitSmoothingSeconds = 0.5;
// Weight of one result in the refused share, and of one exchange in the mean
// size.
constexpr double kResultWeight = 0.1;
constexpr double kSizeWeight = 0.05;
// A zone above its target gets less by this multiple of the excess.
constexpr double kOverfullFactor = 5;
// Waiting requests for each slot that count against the spare room of a zone.
constexpr double kCountedWaiting = 0.1;
// Requests that probe zones without news, as a share of all requests under
// pressure. 30 senders of 12 requests a second send 7 probes a second, 2
// percent of a zone's capacity. One probe for each zone is available at once.
constexpr double kProbeShare = 0.02;
// A zone with reports on at least this many slots is known and needs no probe.
constexpr double kEnoughReportedSlots = 6;
// A refused request goes only to a zone with this share of its capacity free.
constexpr double kNoticeableRoom = 0.02;
// Larger bodies are not used as probes.
constexpr size_t kMaxProbeBytes = 16 * 1024;
// Requests up to this multiple of the mean size leave according to the share;
// larger ones only if the time saved exceeds their own cost.
constexpr double kOrdinarySizeFactor = 2;
// Occupancy at which a zone gets no weight when everything leaves the own zone,
// and the least weight in slots' share, so that no zone is excluded.
constexpr double kFullOccupancy = 1.3;
constexpr double kMinimumWeight = 0.1;
// Longest step; a longer pause without requests counts as this.
constexpr double kMaxStepSeconds = 0.5;
constexpr double kBytesPerMb = 1e6;

// Estimates requests for each slot from those at the slots with reports.
double
EstimatePerSlot(const ZoneState& aZone, double aRequests, double aNeutral)
{
  return (aRequests + aNeutral * kPriorSlots) /
         (aZone.m_reportedSlots + kPriorSlots);
}

double
EstimateOccupancy(const ZoneState& aZone, double aNeutral)
{
  return EstimatePerSlot(
    aZone, aZone.m_reportedRunning + aZone.m_reportedWaiting, aNeutral);
}

double
MeanServiceMs(const ZoneState& aZone)
{
  return aZone.m_slots * 1000 / aZone.m_capacityPerSecond;
}

bool
IsReady(const ZoneState& aZone)
{
  return aZone.m_slots > 0 && aZone.m_capacityPerSecond > 0;
}

double
SmoothingFactor(double aSeconds, double aTimeConstant)
{
  return 1 - std::exp(-aSeconds / aTimeConstant);
}

} // namespace

double
NewsWeight(Duration aAge)
{
  return std::clamp(1 - static_cast<double>(aAge.m_ms) /
                          static_cast<double>(kNewsLifetime.m_ms),
                    0.0,
                    1.0);
}

double
ZoneSpillover::RandomFraction()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

double
ZoneSpillover::CrossingCostMs(double aBytes) const
{
  const double transferMs =
    m_options.m_linkBytesPerMs > 0 ? aBytes / m_options.m_linkBytesPerMs : 0;
  return transferMs + aBytes / kBytesPerMb * m_options.m_crossingCostMsPerMb;
}

void
ZoneSpillover::UpdateRemoteZones(std::span<const ZoneState> aZones,
                                 double aSeconds)
{
  std::map<std::string, RemoteZone> zones;
  for (const ZoneState& state : aZones) {
    if (state.m_zone == m_ownZone || !IsReady(state)) {
      continue;
    }
    RemoteZone& zone = zones[state.m_zone];
    if (const auto known = m_remoteZones.find(state.m_zone);
        known != m_remoteZones.end()) {
      zone = known->second;
    }
    zone.m_state = state;
    zone.m_occupancy = EstimateOccupancy(state, kRemoteTargetOccupancy);
    // Overloaded backend servers report more often, since they refuse requests
    // at once, so their queues count only in part.
    const double waiting = std::min(state.m_reportedWaiting,
                                    kCountedWaiting * state.m_reportedSlots);
    const double utilization = EstimatePerSlot(
      state, state.m_reportedRunning + waiting, kRemoteTargetOccupancy);
    zone.m_sparePerSecond =
      state.m_capacityPerSecond * (kRemoteTargetOccupancy - utilization);
    if (aSeconds > 0) {
      zone.m_sentPerSecond +=
        SmoothingFactor(aSeconds, kRateSmoothingSeconds) *
        (zone.m_sentSinceUpdate / aSeconds - zone.m_sentPerSecond);
      zone.m_sentSinceUpdate = 0;
    }
    if (state.m_reportedSlots <= 0) {
      zone.m_allowedPerSecond = 0;
    } else if (zone.m_sparePerSecond >= 0) {
      zone.m_allowedPerSecond =
        zone.m_sentPerSecond * kKeptShare +
        zone.m_sparePerSecond / std::max(1U, state.m_senders);
    } else {
      zone.m_allowedPerSecond =
        zone.m_sentPerSecond *
        std::max(0.0,
                 1 + kOverfullFactor * zone.m_sparePerSecond /
                       state.m_capacityPerSecond);
    }
    zone.m_costMs = state.m_roundTripMs + CrossingCostMs(m_meanBytes) +
                    std::max(0.0, zone.m_occupancy - 1) * MeanServiceMs(state);
  }
  m_remoteZones = std::move(zones);
}

double
ZoneSpillover::ComputeWantedShare(const ZoneState& aOwn, double aSeconds)
{
  const bool hasNews = aOwn.m_reportedSlots >= kEnoughReportedSlots;
  m_ownOccupancy = EstimateOccupancy(
    aOwn, hasNews ? kOwnTargetOccupancy : kUnknownOwnOccupancy);
  m_ownServiceMs = MeanServiceMs(aOwn);
  m_ownWaitMs =
    std::max(0.0, m_ownOccupancy - kOwnTargetOccupancy) * m_ownServiceMs;
  double costMs = -1;
  for (const auto& [name, zone] : m_remoteZones) {
    costMs = costMs < 0 ? zone.m_costMs : std::min(costMs, zone.m_costMs);
  }
  const double costInOccupancy = std::max(0.0, costMs) / m_ownServiceMs;
  const double refused =
    m_refusedShare >= kStartRefusedShare && IsNearlyFull() ? m_refusedShare : 0;
  const double excess = m_ownOccupancy - kOwnTargetOccupancy - costInOccupancy +
                        refused * (1 - m_share);
  if (excess > kOwnStartOccupancy - kOwnTargetOccupancy) {
    m_isActive = true;
  }
  if (!m_isActive) {
    m_integral = 0;
    return 0;
  }
  m_integral +=
    aSeconds * excess * (excess > 0 ? kRiseGainPerSecond : kFallGainPerSecond);
  m_integral = std::clamp(m_integral, 0.0, 1.0);
  const double wanted =
    std::clamp(m_integral + kProportionalGain * excess, 0.0, 1.0);
  if (m_integral <= 0 && excess < 0) {
    m_isActive = false;
  }
  return wanted;
}

void
ZoneSpillover::LimitAndDivide(double aWantedShare, double aSeconds)
{
  double allowed = 0;
  for (const auto& [name, zone] : m_remoteZones) {
    allowed += zone.m_allowedPerSecond;
  }
  // A sender of few requests may send all of them.
  const double rate = std::max(m_requestsPerSecond, 1.0);
  const double limit = std::min(kMaxShare, allowed / rate);
  const double target = std::min(aWantedShare, limit);
  // The integral must not grow while there is no room for its effect. It
  // follows the limit slowly, since the limit varies with single reports.
  m_integral += SmoothingFactor(aSeconds, kLimitSmoothingSeconds) *
                std::min(0.0, limit - m_integral);
  m_share +=
    SmoothingFactor(aSeconds, kShareSmoothingSeconds) * (target - m_share);
  // The smoothed share may be above the limit only until the next step.
  m_share = std::clamp(m_share, 0.0, 1.0);
  if (allowed <= 0) {
    m_share = 0;
  }
  if (!m_isActive && m_share < 0.001) {
    m_share = 0;
  }
  for (const auto& [name, zone] : m_remoteZones) {
    m_zoneShares[name] =
      allowed > 0 ? m_share * zone.m_allowedPerSecond / allowed : 0;
  }
}

void
ZoneSpillover::DivideEverything()
{
  double total = 0;
  for (const auto& [name, zone] : m_remoteZones) {
    const double weight =
      zone.m_state.m_capacityPerSecond *
      std::max(kMinimumWeight, kFullOccupancy - zone.m_occupancy);
    m_zoneShares[name] = weight;
    total += weight;
  }
  for (auto& [name, share] : m_zoneShares) {
    share /= total;
  }
  m_share = total > 0 ? 1 : 0;
}

void
ZoneSpillover::Update(std::span<const ZoneState> aZones, TimePoint aNow)
{
  const double seconds =
    m_hasState
      ? std::max(0.0, static_cast<double>((aNow - m_updatedAt).m_ms) / 1000)
      : 0;
  m_updatedAt = aNow;
  m_hasState = true;
  if (seconds > 0) {
    m_requestsPerSecond +=
      SmoothingFactor(seconds, kRateSmoothingSeconds) *
      (m_requestsSinceUpdate / seconds - m_requestsPerSecond);
    m_requestsSinceUpdate = 0;
    m_refusedShare *= 1 - SmoothingFactor(seconds, kRefusalDecaySeconds);
  }
  UpdateRemoteZones(aZones, seconds);
  m_zoneShares.clear();
  const auto own = std::ranges::find(aZones, m_ownZone, &ZoneState::m_zone);
  m_ownZoneIsEmpty = own == aZones.end() || !IsReady(*own);
  if (m_ownZoneIsEmpty) {
    m_isActive = false;
    m_ownOccupancy = 0;
    DivideEverything();
    return;
  }
  const double step = std::min(seconds, kMaxStepSeconds);
  LimitAndDivide(ComputeWantedShare(*own, step), step);
}

template<typename Weight>
ZoneSpillover::RemoteZone*
ZoneSpillover::PickWeighted(Weight&& aWeight)
{
  double total = 0;
  for (auto& [name, zone] : m_remoteZones) {
    total += aWeight(zone);
  }
  double rest = RandomFraction() * total;
  RemoteZone* picked = nullptr;
  for (auto& [name, zone] : m_remoteZones) {
    const double weight = aWeight(zone);
    if (weight <= 0) {
      continue;
    }
    picked = &zone;
    rest -= weight;
    if (rest < 0) {
      break;
    }
  }
  return picked;
}

bool
ZoneSpillover::IsWorthCrossing(const RemoteZone& aZone,
                               size_t aBodyBytes,
                               double aSavedMs) const
{
  const double bytes = static_cast<double>(aBodyBytes);
  return bytes <= kOrdinarySizeFactor * m_meanBytes ||
         aSavedMs >
           aZone.m_costMs - CrossingCostMs(m_meanBytes) + CrossingCostMs(bytes);
}

ZoneSpillover::RemoteZone*
ZoneSpillover::FindZoneToProbe(size_t aBodyBytes)
{
  if (!m_isActive || m_probeTokens < 1 || aBodyBytes > kMaxProbeBytes) {
    return nullptr;
  }
  RemoteZone* oldest = nullptr;
  for (auto& [name, zone] : m_remoteZones) {
    if (zone.m_state.m_reportedSlots < kEnoughReportedSlots &&
        (oldest == nullptr || zone.m_lastProbeAt < oldest->m_lastProbeAt)) {
      oldest = &zone;
    }
  }
  if (oldest != nullptr) {
    m_probeTokens -= 1;
    oldest->m_lastProbeAt = m_updatedAt;
  }
  return oldest;
}

std::string
ZoneSpillover::Pick(size_t aBodyBytes)
{
  ++m_requestsSinceUpdate;
  m_probeTokens = std::min(m_probeTokens + kProbeShare,
                           static_cast<double>(m_remoteZones.size()));
  for (auto& [name, remoteZone] : m_remoteZones) {
    remoteZone.m_sentSinceUpdate += m_zoneShares[name];
  }
  RemoteZone* zone = nullptr;
  if (RandomFraction() < m_share) {
    zone = PickWeighted([this](const RemoteZone& aZone) {
      return m_zoneShares[aZone.m_state.m_zone];
    });
    if (zone != nullptr && !m_ownZoneIsEmpty &&
        !IsWorthCrossing(*zone, aBodyBytes, m_ownWaitMs)) {
      zone = nullptr;
    }
  } else {
    zone = FindZoneToProbe(aBodyBytes);
  }
  return zone == nullptr ? m_ownZone : zone->m_state.m_zone;
}

// Below this, a refusal is due to one busy or slow backend server, and others
// of the own zone have room.
bool
ZoneSpillover::IsNearlyFull() const
{
  return m_ownOccupancy >= kNearlyFullOccupancy;
}

std::string
ZoneSpillover::PickAfterRefusal(size_t aBodyBytes)
{
  if (!IsNearlyFull()) {
    return m_ownZone;
  }
  // Another refusal would cost the caller at least the time of one request.
  const double savedMs = std::max(m_ownWaitMs, m_ownServiceMs);
  RemoteZone* zone = PickWeighted([&](const RemoteZone& aZone) {
    const bool hasRoom = aZone.m_sparePerSecond >
                         kNoticeableRoom * aZone.m_state.m_capacityPerSecond;
    return hasRoom && IsWorthCrossing(aZone, aBodyBytes, savedMs)
             ? aZone.m_sparePerSecond
             : 0.0;
  });
  if (zone == nullptr) {
    zone = FindZoneToProbe(aBodyBytes);
  }
  if (zone == nullptr) {
    return m_ownZone;
  }
  ++zone->m_sentSinceUpdate;
  return zone->m_state.m_zone;
}

void
ZoneSpillover::OnOwnZoneResult(bool aRefused)
{
  m_refusedShare += kResultWeight * ((aRefused ? 1 : 0) - m_refusedShare);
}

void
ZoneSpillover::OnExchange(size_t aBytes)
{
  const double bytes = static_cast<double>(aBytes);
  m_meanBytes =
    m_meanBytes > 0 ? m_meanBytes + kSizeWeight * (bytes - m_meanBytes) : bytes;
}

} // namespace rattanloft::locality
