#include "FleetRetryBudget.h"

#include <deque>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

// Guards against sidecars that each keep to their budget and together exceed
// it: the retries of all sidecars in any 10 s must stay within the fleet's
// ratio and slack.
TEST_CASE("the retries of the whole fleet stay within its budget")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  std::mt19937 random(seed);
  constexpr uint32_t kSidecars = 13;
  constexpr double kRatio = 0.2;
  constexpr uint32_t kSlack = 58;
  std::vector<FleetRetryBudget> fleet(kSidecars, { kRatio, kSlack });
  std::deque<int64_t> requests;
  std::deque<int64_t> retries;
  for (int64_t nowMs = 0; nowMs < 60'000; nowMs += 10) {
    for (FleetRetryBudget& sidecar : fleet) {
      if (random() % 20 == 0) {
        sidecar.OnRequest(TimePoint{ nowMs });
        requests.push_back(nowMs);
      }
      if (random() % 5 == 0 &&
          sidecar.TryTakeRetry(kSidecars, TimePoint{ nowMs })) {
        retries.push_back(nowMs);
      }
    }
    while (!retries.empty() && retries.front() <= nowMs - 10'000) {
      retries.pop_front();
    }
    while (!requests.empty() && requests.front() <= nowMs - 10'000) {
      requests.pop_front();
    }
    REQUIRE(static_cast<double>(retries.size()) <=
            kRatio * static_cast<double>(requests.size()) + kSlack);
  }
  CHECK(!retries.empty());
}

} // namespace rattanloft::sidecar
