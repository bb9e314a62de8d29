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

constexpr uint32_t kKeysPerBucket = 64;
constexpr size_t kBucketCount = (kLastKey + 1) / kKeysPerBucket;

// Smoothed requests per second of each bucket of neighbouring keys.
class KeyLoadEstimator
{
public:
  void AddRequests(uint32_t aBucket, uint32_t aRequests, TimePoint aNow);
  // Load of the keys, plus a small part for each key so that idle keys are
  // spread as well. In units that only compare with each other.
  double EstimateLoad(uint32_t aFirst, uint32_t aLast, TimePoint aNow) const;

private:
  struct BucketRate
  {
    double m_requestsPerSecond = 0;
    TimePoint m_updatedAt;
  };

  double EstimateRate(size_t aBucket, TimePoint aNow) const;

  std::array<BucketRate, kBucketCount> m_rates;
};

// A backend lifetime that may own keys.
struct HolderCandidate
{
  std::string m_holder;
  // Requests per second that it can serve.
  double m_capacity = 1;
};

struct RangeTransfer
{
  uint32_t m_first = 0;
  uint32_t m_last = 0;
  // Empty if nobody owns the range.
  std::string m_from;
  std::string m_to;
};

// All keys without an owner, cut into equal ranges for the first placement.
// Neighbouring keys are often busy together and no load is known yet, so each
// candidate gets several ranges from everywhere. Pure.
wire::ServiceRanges
SplitKeySpace(std::string_view aService, size_t aCandidates);

// Decides which ranges change hands. Ranges of holders that are no candidates
// are spread over the candidates by capacity; among candidates, a piece
// of the most loaded one moves to the least loaded one if that relieves more
// overload than the move costs. Answers uneven backend servers, busy
// neighbouring keys, joins, drains and losses. Pure.
std::vector<RangeTransfer>
PlanTransfers(const wire::ServiceRanges& aRanges,
              std::span<const HolderCandidate> aCandidates,
              const KeyLoadEstimator& aLoad,
              bool aMayRebalance,
              TimePoint aNow);

} // namespace rattanloft::fleet
