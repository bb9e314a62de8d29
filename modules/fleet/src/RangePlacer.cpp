#include "rattanloft/fleet/RangePlacer.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>

#include "rattanloft/fleet/HolderName.h"

namespace rattanloft::fleet {

namespace {

// Time constant of the smoothed rates: busy keys change within seconds.
constexpr double kRateTimeMs = 2000;
// Load of a whole service that is spread evenly over its keys, requests/s.
// Keeps idle keys spread without outweighing real traffic.
constexpr double kIdleLoad = 4;
// Above this part of its capacity, work waits so long that answers are late.
constexpr double kFullPart = 0.7;
// Keys that move have no owner for about this time.
constexpr double kMoveGapMs = 1000;
// Time for which a move is assumed to help; busy keys change within seconds.
constexpr double kMoveHelpsMs = 4000;
// Part of its capacity of which a move must relieve a backend server, so that
// noise in the measured load moves nothing.
constexpr double kLeastGain = 0.05;
// A backend server that has joined takes a piece up to this factor of what it
// has room for; more would only move the overload.
constexpr double kJoinedExcess = 1.6;
// Keys of a piece whose load counts half as much as with few keys: each key
// that moves has a price.
constexpr double kUsualPieceKeys = 256;
// The rows of one holder must fit a heartbeat answer of 4 KiB with about 60
// bytes a row.
constexpr int kMaxRows = 60;
// Ranges of each holder at the first placement; leaves rows for later cuts.
constexpr size_t kFirstRowsPerHolder = 24;
// Ranges of a whole service at its first placement. Every sidecar keeps them
// all, at about 80 bytes each.
constexpr size_t kMostFirstRanges = 1024;

// An ownerless range goes to one candidate up to this factor of what that
// lacks.
constexpr double kWholeExcess = 1.3;
// Ranges with fewer keys are not cut when they have lost their owner.
constexpr uint32_t kLeastCut = 2048;

struct Share
{
  double m_load = 0;
  double m_capacity = 1;
  int m_rows = 0;

  double Utilization() const { return m_load / m_capacity; }
};

using Shares = std::map<std::string, Share>;

Shares
MeasureShares(const wire::ServiceRanges& aRanges,
              std::span<const Candidate> aCandidates,
              const KeyLoad& aLoad,
              TimePoint aNow)
{
  Shares shares;
  for (const Candidate& candidate : aCandidates) {
    shares[candidate.m_holder].m_capacity =
      std::max(candidate.m_capacity, 1e-6);
  }
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    const auto found = shares.find(range.holder());
    if (found != shares.end()) {
      found->second.m_load += aLoad.Measure(range.first(), range.last(), aNow);
      ++found->second.m_rows;
    }
  }
  return shares;
}

// Number of keys from aFirst on (or before aLast, if from the end) whose load
// comes closest to aWanted; at least one bucket's worth and not all.
uint32_t
KeysForLoad(const KeyLoad& aLoad,
            uint32_t aFirst,
            uint32_t aLast,
            bool aFromEnd,
            double aWanted,
            TimePoint aNow)
{
  const uint32_t size = aLast - aFirst + 1;
  double sum = 0;
  uint32_t keys = 0;
  while (keys < size) {
    const uint32_t step = std::min(kKeysPerBucket, size - keys);
    const uint32_t first = aFromEnd ? aLast + 1 - keys - step : aFirst + keys;
    const double load = aLoad.Measure(first, first + step - 1, aNow);
    if (keys > 0 && sum + load / 2 > aWanted) {
      break;
    }
    sum += load;
    keys += step;
  }
  return keys;
}

// Load that each candidate lacks to the level that all would have in the end,
// most first.
std::vector<std::pair<std::string, double>>
MissingLoads(const Shares& aShares, double aOwnerless)
{
  double total = aOwnerless;
  double capacity = 0;
  for (const auto& [holder, share] : aShares) {
    total += share.m_load;
    capacity += share.m_capacity;
  }
  std::vector<std::pair<std::string, double>> missing;
  for (const auto& [holder, share] : aShares) {
    missing.emplace_back(holder,
                         total * share.m_capacity / capacity - share.m_load);
  }
  std::ranges::stable_sort(
    missing, std::greater<>{}, &std::pair<std::string, double>::second);
  return missing;
}

// Gives an ownerless range to the candidate that lacks most. A range that is
// too much for it is cut into one part for each candidate that lacks load;
// small ranges stay whole, so that the number of ranges stays small.
void
SpreadRange(const wire::OwnedRange& aRange,
            double aOwnerless,
            const KeyLoad& aLoad,
            Shares& aShares,
            std::vector<Transfer>& aTransfers,
            TimePoint aNow)
{
  const double load = aLoad.Measure(aRange.first(), aRange.last(), aNow);
  std::vector<std::pair<std::string, double>> missing =
    MissingLoads(aShares, aOwnerless);
  const bool whole = load <= kWholeExcess * missing.front().second ||
                     aRange.last() - aRange.first() < kLeastCut;
  std::erase_if(missing, [&](const auto& aItem) {
    return aItem.second <= 0 && aItem.first != missing.front().first;
  });
  if (whole) {
    missing.resize(1);
  }
  double sum = 0;
  for (const auto& [holder, lack] : missing) {
    sum += lack;
  }
  uint32_t first = aRange.first();
  for (size_t i = 0; i < missing.size() && first <= aRange.last(); ++i) {
    uint32_t last = aRange.last();
    if (i + 1 < missing.size()) {
      const uint32_t keys = KeysForLoad(aLoad,
                                        first,
                                        aRange.last(),
                                        false,
                                        load * missing[i].second / sum,
                                        aNow);
      last = first + keys - 1;
    }
    aShares[missing[i].first].m_load += aLoad.Measure(first, last, aNow);
    aTransfers.push_back({ first, last, aRange.holder(), missing[i].first });
    first = last + 1;
  }
}

// The candidate beside the same instance as an earlier lifetime; empty for
// none. After a restart of everything, the ranges so stay where they were.
std::string
FindSuccessor(const std::string& aHolder,
              std::span<const Candidate> aCandidates)
{
  const std::optional<HolderName> before = ParseHolderName(aHolder);
  for (const Candidate& candidate : aCandidates) {
    const std::optional<HolderName> name = ParseHolderName(candidate.m_holder);
    if (before && name && name->m_instance == before->m_instance) {
      return candidate.m_holder;
    }
  }
  return {};
}

double
Overload(const Share& aShare, double aMoreLoad)
{
  return std::max(0.0,
                  aShare.m_load + aMoreLoad - kFullPart * aShare.m_capacity);
}

// Requests per second that a move of aLoad saves from overload, less those that
// meet its keys without an owner, spread over the time for which it helps.
double
NetGain(const Share& aFrom, const Share& aTo, double aLoad)
{
  const double relief = Overload(aFrom, 0) - Overload(aFrom, -aLoad);
  const double burden = Overload(aTo, aLoad) - Overload(aTo, 0);
  return relief - burden - aLoad * kMoveGapMs / kMoveHelpsMs;
}

// Pieces of about aWanted load and of its half at the edges of the ranges of
// one holder.
std::vector<Transfer>
EdgePieces(const wire::ServiceRanges& aRanges,
           const std::string& aFrom,
           const KeyLoad& aLoad,
           double aWanted,
           TimePoint aNow)
{
  std::vector<Transfer> pieces;
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    if (range.holder() != aFrom) {
      continue;
    }
    for (const double wanted : { aWanted, aWanted / 2 }) {
      for (const bool fromEnd : { false, true }) {
        const uint32_t keys = KeysForLoad(
          aLoad, range.first(), range.last(), fromEnd, wanted, aNow);
        Transfer piece;
        piece.m_first = fromEnd ? range.last() + 1 - keys : range.first();
        piece.m_last = piece.m_first + keys - 1;
        piece.m_from = aFrom;
        pieces.push_back(std::move(piece));
      }
    }
  }
  return pieces;
}

// The piece with the best score, if any is above aLeast.
template<typename Score>
std::optional<Transfer>
BestPiece(std::vector<Transfer> aPieces, double aLeast, const Score& aScore)
{
  std::optional<Transfer> best;
  double bestScore = aLeast;
  for (Transfer& piece : aPieces) {
    const double score = aScore(piece);
    if (score > bestScore) {
      bestScore = score;
      best = std::move(piece);
    }
  }
  return best;
}

// What a backend server that has just joined takes from the most loaded one:
// much load with few keys, and not far more than it has room for.
std::optional<Transfer>
PieceForJoined(const wire::ServiceRanges& aRanges,
               const std::string& aFrom,
               const KeyLoad& aLoad,
               double aRoom,
               TimePoint aNow)
{
  return BestPiece(
    EdgePieces(aRanges, aFrom, aLoad, aRoom, aNow),
    0,
    [&](const Transfer& aPiece) {
      const double load = aLoad.Measure(aPiece.m_first, aPiece.m_last, aNow);
      const uint32_t keys = aPiece.m_last - aPiece.m_first + 1;
      return load > kJoinedExcess * aRoom ? 0 : load / (keys + kUsualPieceKeys);
    });
}

// What an overloaded backend server gives to the least loaded one.
std::optional<Transfer>
PieceForRelief(const wire::ServiceRanges& aRanges,
               const std::string& aFromName,
               const Share& aFrom,
               const Share& aTo,
               const KeyLoad& aLoad,
               TimePoint aNow)
{
  const double overload = Overload(aFrom, 0);
  if (overload <= 0) {
    return std::nullopt;
  }
  return BestPiece(
    EdgePieces(aRanges, aFromName, aLoad, overload, aNow),
    kLeastGain * aFrom.m_capacity,
    [&](const Transfer& aPiece) {
      return NetGain(
        aFrom, aTo, aLoad.Measure(aPiece.m_first, aPiece.m_last, aNow));
    });
}

// False if nothing is worth a move.
bool
Rebalance(const wire::ServiceRanges& aRanges,
          Shares& aShares,
          const KeyLoad& aLoad,
          std::vector<Transfer>& aTransfers,
          TimePoint aNow)
{
  const auto byUtilization = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.Utilization() < aRight.second.Utilization();
  };
  const auto [low, high] =
    std::minmax_element(aShares.begin(), aShares.end(), byUtilization);
  Share& from = high->second;
  Share& to = low->second;
  if (low == high || to.m_rows >= kMaxRows) {
    return false;
  }
  double load = 0;
  double capacity = 0;
  for (const auto& [holder, share] : aShares) {
    load += share.m_load;
    capacity += share.m_capacity;
  }
  const double room = load / capacity * to.m_capacity - to.m_load;
  std::optional<Transfer> piece =
    to.m_rows == 0
      ? PieceForJoined(aRanges, high->first, aLoad, room, aNow)
      : PieceForRelief(aRanges, high->first, from, to, aLoad, aNow);
  if (!piece) {
    return false;
  }
  const double moved = aLoad.Measure(piece->m_first, piece->m_last, aNow);
  from.m_load -= moved;
  to.m_load += moved;
  ++to.m_rows;
  piece->m_to = low->first;
  aTransfers.push_back(std::move(*piece));
  return true;
}

// Moves pieces until the loads are even or the ranges of one turn are used up.
void
RebalanceAll(const wire::ServiceRanges& aRanges,
             Shares& aShares,
             const KeyLoad& aLoad,
             std::vector<Transfer>& aTransfers,
             TimePoint aNow)
{
  constexpr size_t kMovesPerTurn = 4;
  wire::ServiceRanges ranges = aRanges;
  while (aTransfers.size() < kMovesPerTurn &&
         Rebalance(ranges, aShares, aLoad, aTransfers, aNow)) {
    // A piece that leaves is no longer there to be cut again.
    wire::OwnedRange gone;
    gone.set_first(aTransfers.back().m_first);
    gone.set_last(aTransfers.back().m_last);
    AssignRange(ranges, gone);
  }
}

} // namespace

double
KeyLoad::RateAt(size_t aBucket, TimePoint aNow) const
{
  const Rate& rate = m_rates[aBucket];
  const double age = static_cast<double>((aNow - rate.m_at).m_ms);
  return rate.m_value * std::exp(-std::max(age, 0.0) / kRateTimeMs);
}

void
KeyLoad::Add(uint32_t aBucket, uint32_t aRequests, TimePoint aNow)
{
  if (aBucket >= kBuckets) {
    return;
  }
  Rate& rate = m_rates[aBucket];
  rate.m_value = RateAt(aBucket, aNow) + aRequests * 1000.0 / kRateTimeMs;
  rate.m_at = aNow;
}

double
KeyLoad::Measure(uint32_t aFirst, uint32_t aLast, TimePoint aNow) const
{
  double sum = 0;
  for (uint32_t bucket = aFirst / kKeysPerBucket;
       bucket <= aLast / kKeysPerBucket;
       ++bucket) {
    const uint32_t first = std::max(aFirst, bucket * kKeysPerBucket);
    const uint32_t last = std::min(aLast, (bucket + 1) * kKeysPerBucket - 1);
    const double part = static_cast<double>(last - first + 1) / kKeysPerBucket;
    sum += part * RateAt(bucket, aNow);
  }
  return sum + kIdleLoad * (aLast - aFirst + 1) / (kLastKey + 1.0);
}

wire::ServiceRanges
CutAllKeys(std::string_view aService, size_t aCandidates)
{
  const auto count = static_cast<uint32_t>(std::clamp(
    aCandidates * kFirstRowsPerHolder, size_t{ 1 }, kMostFirstRanges));
  constexpr uint32_t kKeys = kLastKey + 1;
  wire::ServiceRanges ranges;
  ranges.set_service(std::string(aService));
  for (uint32_t i = 0; i < count; ++i) {
    wire::OwnedRange& range = *ranges.add_ranges();
    range.set_first(kKeys * i / count);
    range.set_last(kKeys * (i + 1) / count - 1);
  }
  return ranges;
}

std::vector<Transfer>
PlanTransfers(const wire::ServiceRanges& aRanges,
              std::span<const Candidate> aCandidates,
              const KeyLoad& aLoad,
              bool aMayRebalance,
              TimePoint aNow)
{
  std::vector<Transfer> transfers;
  if (aCandidates.empty()) {
    return transfers;
  }
  Shares shares = MeasureShares(aRanges, aCandidates, aLoad, aNow);
  std::vector<const wire::OwnedRange*> ownerless;
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    if (shares.contains(range.holder())) {
      continue;
    }
    const std::string successor = FindSuccessor(range.holder(), aCandidates);
    if (successor.empty()) {
      ownerless.push_back(&range);
      continue;
    }
    shares[successor].m_load +=
      aLoad.Measure(range.first(), range.last(), aNow);
    transfers.push_back(
      { range.first(), range.last(), range.holder(), successor });
  }
  const auto loadOf = [&](const wire::OwnedRange* aRange) {
    return aLoad.Measure(aRange->first(), aRange->last(), aNow);
  };
  std::ranges::stable_sort(ownerless, std::greater<>{}, loadOf);
  double left = 0;
  for (const wire::OwnedRange* range : ownerless) {
    left += loadOf(range);
  }
  for (const wire::OwnedRange* range : ownerless) {
    SpreadRange(*range, left, aLoad, shares, transfers, aNow);
    left -= loadOf(range);
  }
  if (transfers.empty() && aMayRebalance) {
    RebalanceAll(aRanges, shares, aLoad, transfers, aNow);
  }
  return transfers;
}

} // namespace rattanloft::fleet
