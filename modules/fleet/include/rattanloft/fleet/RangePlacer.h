#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::fleet {

// Requests are counted per bucket of neighbouring keys.
constexpr uint32_t kKeysPerBucket = 64;
constexpr size_t kBucketCount = (kLastKey + 1) / kKeysPerBucket;

// Estimates the load of key ranges from smoothed request rates, one for each
// bucket of neighbouring keys.
class KeyLoadEstimator
{
public:
  // Records requests that arrived since the last call for the bucket. Ignores a
  // bucket out of range.
  void AddRequests(uint32_t aBucket, uint32_t aRequests, TimePoint aNow);
  // Load of the keys from aFirst to aLast in requests per second, plus a small
  // amount for each key so that idle keys are spread as well. Hence only
  // comparisons between results are meaningful.
  double EstimateLoad(uint32_t aFirst, uint32_t aLast, TimePoint aNow) const;

private:
  struct BucketRate
  {
    // Smoothed rate at m_updatedAt.
    double m_requestsPerSecond = 0;
    TimePoint m_updatedAt;
  };

  double EstimateRate(size_t aBucket, TimePoint aNow) const;

  std::array<BucketRate, kBucketCount> m_rates;
};

// A backend lifetime that may be assigned keys.
struct HolderCandidate
{
  // Formatted HolderName.
  std::string m_holder;
  // Requests per second that it can serve.
  double m_capacity = 1;
  // Requests per second that it can serve at the moment, if it is cold and its
  // service states a bound; otherwise 0.
  double m_coldCapacity = 0;
};

// A change of the holder of the keys from m_first to m_last, both inclusive.
struct RangeTransfer
{
  uint32_t m_first = 0;
  uint32_t m_last = 0;
  // Empty if the range has no owner.
  std::string m_from;
  std::string m_to;
};

// Returns all keys without an owner, split into equal ranges for the first
// placement of a service. Neighbouring keys are often busy together and no load
// is known yet, so each candidate gets several ranges from all parts of the key
// space. Pure.
wire::ServiceRanges
SplitKeySpace(std::string_view aService, size_t aCandidateCount);

// Returns the ranges of earlier lifetimes at the instances of the candidates:
// each stays where it was after a restart, which needs no knowledge of other
// instances. Pure.
std::vector<RangeTransfer>
PlanSuccessions(const wire::ServiceRanges& aRanges,
                std::span<const HolderCandidate> aCandidates);

// Decides which ranges get another holder. Ranges whose holder is not a
// candidate are spread over the candidates by capacity, for a cold one by the
// capacity that it has while it is cold. Otherwise, if aMayRebalance is set,
// pieces of the most loaded candidate move to the least loaded one that is not
// cold where that relieves more overload than the move costs. A cold phase of
// some seconds thus moves no keys away. This handles backend servers of uneven
// speed, busy neighbouring keys, joins, drains and losses. Pure.
std::vector<RangeTransfer>
PlanTransfers(const wire::ServiceRanges& aRanges,
              std::span<const HolderCandidate> aCandidates,
              const KeyLoadEstimator& aLoad,
              bool aMayRebalance,
              TimePoint aNow);

} // namespace rattanloft::fleet
