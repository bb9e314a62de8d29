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
// A move must cure an excess of this factor over the mean utilization. Each key
// that moves has a price, so small differences stay.
constexpr double kExcess = 1.25;
// Below this part of its capacity a backend server keeps up whatever the others
// do, and a move would only leave its keys without an owner for a moment.
constexpr double kBusy = 0.65;
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
  const std::optional<HolderName> before = ParseHolder(aHolder);
  for (const Candidate& candidate : aCandidates) {
    const std::optional<HolderName> name = ParseHolder(candidate.m_holder);
    if (before && name && name->m_instance == before->m_instance) {
      return candidate.m_holder;
    }
  }
  return {};
}

// The piece of at most aWanted load with the fewest keys at an edge of one of
// the holder's ranges.
std::optional<Transfer>
CheapestPiece(const wire::ServiceRanges& aRanges,
              const std::string& aFrom,
              const KeyLoad& aLoad,
              double aWanted,
              TimePoint aNow)
{
  std::optional<Transfer> best;
  double bestScore = 0;
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    if (range.holder() != aFrom) {
      continue;
    }
    for (const bool fromEnd : { false, true }) {
      const uint32_t keys =
        KeysForLoad(aLoad, range.first(), range.last(), fromEnd, aWanted, aNow);
      Transfer piece;
      piece.m_first = fromEnd ? range.last() + 1 - keys : range.first();
      piece.m_last = piece.m_first + keys - 1;
      const double load = aLoad.Measure(piece.m_first, piece.m_last, aNow);
      // A piece far above what is wanted only moves the overload.
      const double score = load > 1.6 * aWanted ? 0 : load / (keys + 256.0);
      if (score > bestScore) {
        bestScore = score;
        best = piece;
      }
    }
  }
  return best;
}

// False if nothing is worth a move.
bool
Rebalance(const wire::ServiceRanges& aRanges,
          Shares& aShares,
          const KeyLoad& aLoad,
          std::vector<Transfer>& aTransfers,
          TimePoint aNow)
{
  double load = 0;
  double capacity = 0;
  const std::string* high = nullptr;
  const std::string* low = nullptr;
  for (const auto& [holder, share] : aShares) {
    load += share.m_load;
    capacity += share.m_capacity;
    if (high == nullptr ||
        share.Utilization() > aShares.at(*high).Utilization()) {
      high = &holder;
    }
    if (low == nullptr ||
        share.Utilization() < aShares.at(*low).Utilization()) {
      low = &holder;
    }
  }
  const double mean = load / capacity;
  Share& from = aShares.at(*high);
  Share& to = aShares.at(*low);
  const bool joined = to.m_rows == 0;
  if (*high == *low || to.m_rows >= kMaxRows ||
      (!joined && from.Utilization() < std::max(kBusy, kExcess * mean))) {
    return false;
  }
  const double excess = from.m_load - mean * from.m_capacity;
  const double room = mean * to.m_capacity - to.m_load;
  const double wanted = joined ? room : std::min(excess, room);
  if (wanted <= 0) {
    return false;
  }
  std::optional<Transfer> piece =
    CheapestPiece(aRanges, *high, aLoad, wanted, aNow);
  if (!piece) {
    return false;
  }
  const double moved = aLoad.Measure(piece->m_first, piece->m_last, aNow);
  from.m_load -= moved;
  to.m_load += moved;
  ++to.m_rows;
  piece->m_from = *high;
  piece->m_to = *low;
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
  const auto count = static_cast<uint32_t>(
    std::clamp(aCandidates * kFirstRowsPerHolder, size_t{ 1 }, kMostFirstRanges));
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
