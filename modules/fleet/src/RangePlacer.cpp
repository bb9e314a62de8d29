#include "rattanloft/fleet/RangePlacer.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "rattanloft/fleet/HolderName.h"

namespace rattanloft::fleet {

namespace {

// Time constant of the smoothed request rates: busy keys change within seconds.
constexpr double kRateTimeConstantMs = 2000;
// Load that is attributed to a whole service and spread evenly over its keys.
// Keeps idle keys spread without outweighing real traffic.
constexpr double kIdleRequestsPerSecond = 4;
// Above this fraction of its capacity, requests wait at a backend server for so
// long that answers are late.
constexpr double kMaxUtilization = 0.7;
// Keys have no owner for about this time while they are transferred.
constexpr double kTransferGapMs = 1000;
// Time for which a transfer is assumed to help: busy keys change within
// seconds.
constexpr double kTransferBenefitMs = 4000;
// Fraction of its capacity by which a move must relieve a backend server, so
// that noise in the measured load causes no moves.
constexpr double kMinGainFraction = 0.05;
// A backend server that has just joined takes a piece of at most this multiple
// of the load that it lacks; more would only move the overload.
constexpr double kMaxJoinLoadFactor = 1.6;
// Number of keys in a piece that halves its score compared with a piece of few
// keys and the same load: each key that moves has a cost.
constexpr double kHalfScoreKeys = 256;
// The ranges of one holder must fit into a heartbeat answer of 4 KiB, with
// about 60 bytes per range.
constexpr int kMaxRangesPerHolder = 60;
// Ranges of each holder at the first placement; leaves room for later splits.
constexpr size_t kInitialRangesPerHolder = 24;
// Ranges of a whole service at its first placement. Every sidecar stores all of
// them, at about 80 bytes each.
constexpr size_t kMaxInitialRanges = 1024;

// An ownerless range goes to one candidate as a whole up to this multiple of
// the load that the candidate lacks.
constexpr double kMaxWholeRangeFactor = 1.3;
// Ranges with fewer keys are not split when they have lost their owner.
constexpr uint32_t kMinSplitKeys = 2048;

// Load, capacity (both in requests per second) and number of ranges of one
// candidate.
struct HolderShare
{
  double m_load = 0;
  double m_capacity = 1;
  // Capacity for ranges without an owner.
  double m_capacityNow = 1;
  bool m_isCold = false;
  int m_rangeCount = 0;

  double Utilization() const { return m_load / m_capacity; }
};

using SharesByHolder = std::map<std::string, HolderShare>;

SharesByHolder
ComputeShares(const wire::ServiceRanges& aRanges,
              std::span<const HolderCandidate> aCandidates,
              const KeyLoadEstimator& aLoad,
              TimePoint aNow)
{
  SharesByHolder shares;
  for (const HolderCandidate& candidate : aCandidates) {
    HolderShare& share = shares[candidate.m_holder];
    share.m_capacity = std::max(candidate.m_capacity, 1e-6);
    share.m_isCold = candidate.m_coldCapacity > 0;
    share.m_capacityNow =
      share.m_isCold ? std::min(share.m_capacity, candidate.m_coldCapacity)
                     : share.m_capacity;
  }
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    const auto found = shares.find(range.holder());
    if (found != shares.end()) {
      found->second.m_load +=
        aLoad.EstimateLoad(range.first(), range.last(), aNow);
      ++found->second.m_rangeCount;
    }
  }
  return shares;
}

// Returns the number of keys from aFirst on (or up to aLast, if aFromEnd) whose
// load comes closest to aTargetLoad: at least one bucket, at most the whole
// range.
uint32_t
CountKeysForLoad(const KeyLoadEstimator& aLoad,
                 uint32_t aFirst,
                 uint32_t aLast,
                 bool aFromEnd,
                 double aTargetLoad,
                 TimePoint aNow)
{
  const uint32_t size = aLast - aFirst + 1;
  double sum = 0;
  uint32_t keys = 0;
  while (keys < size) {
    const uint32_t step = std::min(kKeysPerBucket, size - keys);
    const uint32_t first = aFromEnd ? aLast + 1 - keys - step : aFirst + keys;
    const double load = aLoad.EstimateLoad(first, first + step - 1, aNow);
    if (keys > 0 && sum + load / 2 > aTargetLoad) {
      break;
    }
    sum += load;
    keys += step;
  }
  return keys;
}

// Returns the load that each candidate lacks to the level at which the
// utilization of all would be equal, the highest first. It is negative for a
// candidate above that level.
std::vector<std::pair<std::string, double>>
ComputeMissingLoads(const SharesByHolder& aShares, double aOwnerlessLoad)
{
  double total = aOwnerlessLoad;
  double capacity = 0;
  for (const auto& [holder, share] : aShares) {
    total += share.m_load;
    capacity += share.m_capacityNow;
  }
  std::vector<std::pair<std::string, double>> missing;
  for (const auto& [holder, share] : aShares) {
    missing.emplace_back(holder,
                         total * share.m_capacityNow / capacity - share.m_load);
  }
  std::ranges::stable_sort(
    missing, std::greater<>{}, &std::pair<std::string, double>::second);
  return missing;
}

// Assigns an ownerless range to the candidate that lacks the most load. A range
// that is too much for it is split into one part for each candidate that lacks
// load; small ranges stay whole, so that the number of ranges stays small.
void
SpreadRange(const wire::OwnedRange& aRange,
            double aOwnerlessLoad,
            const KeyLoadEstimator& aLoad,
            SharesByHolder& aShares,
            std::vector<RangeTransfer>& aTransfers,
            TimePoint aNow)
{
  const double load = aLoad.EstimateLoad(aRange.first(), aRange.last(), aNow);
  std::vector<std::pair<std::string, double>> missing =
    ComputeMissingLoads(aShares, aOwnerlessLoad);
  const bool keepWhole =
    load <= kMaxWholeRangeFactor * missing.front().second ||
    aRange.last() - aRange.first() < kMinSplitKeys;
  std::erase_if(missing, [&](const auto& aItem) {
    return aItem.second <= 0 && aItem.first != missing.front().first;
  });
  if (keepWhole) {
    missing.resize(1);
  }
  double sum = 0;
  for (const auto& [holder, missingLoadOfHolder] : missing) {
    sum += missingLoadOfHolder;
  }
  uint32_t first = aRange.first();
  for (size_t i = 0; i < missing.size() && first <= aRange.last(); ++i) {
    uint32_t last = aRange.last();
    if (i + 1 < missing.size()) {
      const uint32_t keys = CountKeysForLoad(aLoad,
                                             first,
                                             aRange.last(),
                                             false,
                                             load * missing[i].second / sum,
                                             aNow);
      last = first + keys - 1;
    }
    aShares[missing[i].first].m_load += aLoad.EstimateLoad(first, last, aNow);
    aTransfers.push_back({ first, last, aRange.holder(), missing[i].first });
    first = last + 1;
  }
}

// The candidates by their instance.
using CandidatesByInstance = std::map<std::string, std::string>;

CandidatesByInstance
IndexByInstance(std::span<const HolderCandidate> aCandidates)
{
  CandidatesByInstance byInstance;
  for (const HolderCandidate& candidate : aCandidates) {
    if (const auto name = ParseHolderName(candidate.m_holder)) {
      byInstance.emplace(name->m_instance, candidate.m_holder);
    }
  }
  return byInstance;
}

// Returns the candidate at the same instance as the holder; empty if there is
// none.
std::string
FindSuccessor(const std::string& aHolder,
              const CandidatesByInstance& aCandidates)
{
  const std::optional<HolderName> name = ParseHolderName(aHolder);
  const auto found =
    name ? aCandidates.find(name->m_instance) : aCandidates.end();
  return found == aCandidates.end() ? std::string() : found->second;
}

double
ComputeOverload(const HolderShare& aShare, double aAddedLoad)
{
  return std::max(
    0.0, aShare.m_load + aAddedLoad - kMaxUtilization * aShare.m_capacity);
}

// Returns the overload in requests per second that a move of aLoad relieves,
// less the requests that find its keys without an owner, spread over the time
// for which the move helps.
double
ComputeNetGain(const HolderShare& aFrom, const HolderShare& aTo, double aLoad)
{
  const double relief =
    ComputeOverload(aFrom, 0) - ComputeOverload(aFrom, -aLoad);
  const double burden = ComputeOverload(aTo, aLoad) - ComputeOverload(aTo, 0);
  return relief - burden - aLoad * kTransferGapMs / kTransferBenefitMs;
}

// Returns pieces of about aTargetLoad and of half that load, at both edges of
// each range of one holder.
std::vector<RangeTransfer>
ListEdgePieces(const wire::ServiceRanges& aRanges,
               const std::string& aFrom,
               const KeyLoadEstimator& aLoad,
               double aTargetLoad,
               TimePoint aNow)
{
  std::vector<RangeTransfer> pieces;
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    if (range.holder() != aFrom) {
      continue;
    }
    for (const double targetLoad : { aTargetLoad, aTargetLoad / 2 }) {
      for (const bool fromEnd : { false, true }) {
        const uint32_t keys = CountKeysForLoad(
          aLoad, range.first(), range.last(), fromEnd, targetLoad, aNow);
        RangeTransfer piece;
        piece.m_first = fromEnd ? range.last() + 1 - keys : range.first();
        piece.m_last = piece.m_first + keys - 1;
        piece.m_from = aFrom;
        pieces.push_back(std::move(piece));
      }
    }
  }
  return pieces;
}

// Returns the piece with the highest score above aMinScore; empty if there is
// none.
template<typename Score>
std::optional<RangeTransfer>
FindBestPiece(std::vector<RangeTransfer> aPieces,
              double aMinScore,
              const Score& aScore)
{
  std::optional<RangeTransfer> best;
  double bestScore = aMinScore;
  for (RangeTransfer& piece : aPieces) {
    const double score = aScore(piece);
    if (score > bestScore) {
      bestScore = score;
      best = std::move(piece);
    }
  }
  return best;
}

// Chooses the piece that a backend server which has just joined takes from the
// most loaded one: much load with few keys, and not far more than the load that
// it lacks.
std::optional<RangeTransfer>
ChoosePieceForJoined(const wire::ServiceRanges& aRanges,
                     const std::string& aFrom,
                     const KeyLoadEstimator& aLoad,
                     double aMissingLoad,
                     TimePoint aNow)
{
  return FindBestPiece(
    ListEdgePieces(aRanges, aFrom, aLoad, aMissingLoad, aNow),
    0,
    [&](const RangeTransfer& aPiece) {
      const double load =
        aLoad.EstimateLoad(aPiece.m_first, aPiece.m_last, aNow);
      const uint32_t keys = aPiece.m_last - aPiece.m_first + 1;
      return load > kMaxJoinLoadFactor * aMissingLoad
               ? 0
               : load / (keys + kHalfScoreKeys);
    });
}

// Chooses the piece that an overloaded backend server gives to the least loaded
// one.
std::optional<RangeTransfer>
ChoosePieceForRelief(const wire::ServiceRanges& aRanges,
                     const std::string& aFromName,
                     const HolderShare& aFrom,
                     const HolderShare& aTo,
                     const KeyLoadEstimator& aLoad,
                     TimePoint aNow)
{
  const double overload = ComputeOverload(aFrom, 0);
  if (overload <= 0) {
    return std::nullopt;
  }
  return FindBestPiece(
    ListEdgePieces(aRanges, aFromName, aLoad, overload, aNow),
    kMinGainFraction * aFrom.m_capacity,
    [&](const RangeTransfer& aPiece) {
      return ComputeNetGain(
        aFrom, aTo, aLoad.EstimateLoad(aPiece.m_first, aPiece.m_last, aNow));
    });
}

// Plans one move from the most loaded to the least loaded candidate. Returns
// false if no move is worth its cost.
bool
PlanOneMove(const wire::ServiceRanges& aRanges,
            SharesByHolder& aShares,
            const KeyLoadEstimator& aLoad,
            std::vector<RangeTransfer>& aTransfers,
            TimePoint aNow)
{
  const auto byUtilization = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.Utilization() < aRight.second.Utilization();
  };
  const auto mostLoaded =
    std::minmax_element(aShares.begin(), aShares.end(), byUtilization).second;
  // A cold backend server takes nothing, since it would refuse requests for it.
  // It is not relieved because it is cold either: it is warm again before a
  // move pays off.
  const auto leastLoaded = std::min_element(
    aShares.begin(), aShares.end(), [&](const auto& aLeft, const auto& aRight) {
      return aLeft.second.m_isCold != aRight.second.m_isCold
               ? aRight.second.m_isCold
               : byUtilization(aLeft, aRight);
    });
  if (leastLoaded->second.m_isCold) {
    return false;
  }
  HolderShare& from = mostLoaded->second;
  HolderShare& to = leastLoaded->second;
  if (leastLoaded == mostLoaded || to.m_rangeCount >= kMaxRangesPerHolder) {
    return false;
  }
  double load = 0;
  double capacity = 0;
  for (const auto& [holder, share] : aShares) {
    load += share.m_load;
    capacity += share.m_capacity;
  }
  const double missingLoad = load / capacity * to.m_capacity - to.m_load;
  std::optional<RangeTransfer> piece =
    to.m_rangeCount == 0
      ? ChoosePieceForJoined(
          aRanges, mostLoaded->first, aLoad, missingLoad, aNow)
      : ChoosePieceForRelief(aRanges, mostLoaded->first, from, to, aLoad, aNow);
  if (!piece) {
    return false;
  }
  const double movedLoad =
    aLoad.EstimateLoad(piece->m_first, piece->m_last, aNow);
  from.m_load -= movedLoad;
  to.m_load += movedLoad;
  ++to.m_rangeCount;
  piece->m_to = leastLoaded->first;
  aTransfers.push_back(std::move(*piece));
  return true;
}

// Plans moves until none is worth its cost or the limit of one plan is reached.
void
PlanRebalancing(const wire::ServiceRanges& aRanges,
                SharesByHolder& aShares,
                const KeyLoadEstimator& aLoad,
                std::vector<RangeTransfer>& aTransfers,
                TimePoint aNow)
{
  constexpr size_t kMaxMovesPerPlan = 4;
  wire::ServiceRanges ranges = aRanges;
  while (aTransfers.size() < kMaxMovesPerPlan &&
         PlanOneMove(ranges, aShares, aLoad, aTransfers, aNow)) {
    // A piece that moves away cannot be split again.
    wire::OwnedRange movedAway;
    movedAway.set_first(aTransfers.back().m_first);
    movedAway.set_last(aTransfers.back().m_last);
    AssignRange(ranges, movedAway);
  }
}

} // namespace

double
KeyLoadEstimator::EstimateRate(size_t aBucket, TimePoint aNow) const
{
  const BucketRate& rate = m_rates[aBucket];
  const double age = static_cast<double>((aNow - rate.m_updatedAt).m_ms);
  return rate.m_requestsPerSecond *
         std::exp(-std::max(age, 0.0) / kRateTimeConstantMs);
}

void
KeyLoadEstimator::AddRequests(uint32_t aBucket,
                              uint32_t aRequests,
                              TimePoint aNow)
{
  if (aBucket >= kBucketCount) {
    return;
  }
  BucketRate& rate = m_rates[aBucket];
  rate.m_requestsPerSecond =
    EstimateRate(aBucket, aNow) + aRequests * 1000.0 / kRateTimeConstantMs;
  rate.m_updatedAt = aNow;
}

double
KeyLoadEstimator::EstimateLoad(uint32_t aFirst,
                               uint32_t aLast,
                               TimePoint aNow) const
{
  double sum = 0;
  for (uint32_t bucket = aFirst / kKeysPerBucket;
       bucket <= aLast / kKeysPerBucket;
       ++bucket) {
    const uint32_t first = std::max(aFirst, bucket * kKeysPerBucket);
    const uint32_t last = std::min(aLast, (bucket + 1) * kKeysPerBucket - 1);
    const double part = static_cast<double>(last - first + 1) / kKeysPerBucket;
    sum += part * EstimateRate(bucket, aNow);
  }
  return sum + kIdleRequestsPerSecond * (aLast - aFirst + 1) / (kLastKey + 1.0);
}

wire::ServiceRanges
SplitKeySpace(std::string_view aService, size_t aCandidateCount)
{
  const auto count = static_cast<uint32_t>(std::clamp(
    aCandidateCount * kInitialRangesPerHolder, size_t{ 1 }, kMaxInitialRanges));
  constexpr uint32_t kKeyCount = kLastKey + 1;
  wire::ServiceRanges ranges;
  ranges.set_service(std::string(aService));
  for (uint32_t i = 0; i < count; ++i) {
    wire::OwnedRange& range = *ranges.add_ranges();
    range.set_first(kKeyCount * i / count);
    range.set_last(kKeyCount * (i + 1) / count - 1);
  }
  return ranges;
}

std::vector<RangeTransfer>
PlanSuccessions(const wire::ServiceRanges& aRanges,
                std::span<const HolderCandidate> aCandidates)
{
  std::vector<RangeTransfer> transfers;
  const CandidatesByInstance byInstance = IndexByInstance(aCandidates);
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    const std::string successor = FindSuccessor(range.holder(), byInstance);
    if (!successor.empty() && successor != range.holder()) {
      transfers.push_back(
        { range.first(), range.last(), range.holder(), successor });
    }
  }
  return transfers;
}

std::vector<RangeTransfer>
PlanTransfers(const wire::ServiceRanges& aRanges,
              std::span<const HolderCandidate> aCandidates,
              const KeyLoadEstimator& aLoad,
              bool aMayRebalance,
              TimePoint aNow)
{
  if (aCandidates.empty()) {
    return {};
  }
  SharesByHolder shares = ComputeShares(aRanges, aCandidates, aLoad, aNow);
  std::vector<RangeTransfer> transfers = PlanSuccessions(aRanges, aCandidates);
  std::set<uint32_t> successionStarts;
  for (const RangeTransfer& transfer : transfers) {
    shares[transfer.m_to].m_load +=
      aLoad.EstimateLoad(transfer.m_first, transfer.m_last, aNow);
    successionStarts.insert(transfer.m_first);
  }
  std::vector<const wire::OwnedRange*> ownerless;
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    if (!shares.contains(range.holder()) &&
        !successionStarts.contains(range.first())) {
      ownerless.push_back(&range);
    }
  }
  const auto loadOf = [&](const wire::OwnedRange* aRange) {
    return aLoad.EstimateLoad(aRange->first(), aRange->last(), aNow);
  };
  std::ranges::stable_sort(ownerless, std::greater<>{}, loadOf);
  double remainingLoad = 0;
  for (const wire::OwnedRange* range : ownerless) {
    remainingLoad += loadOf(range);
  }
  for (const wire::OwnedRange* range : ownerless) {
    SpreadRange(*range, remainingLoad, aLoad, shares, transfers, aNow);
    remainingLoad -= loadOf(range);
  }
  if (transfers.empty() && aMayRebalance) {
    PlanRebalancing(aRanges, shares, aLoad, transfers, aNow);
  }
  return transfers;
}

} // namespace rattanloft::fleet
