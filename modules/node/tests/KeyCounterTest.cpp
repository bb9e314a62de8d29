#include "KeyCounter.h"

#include <random>

#include <catch2/catch.hpp>

namespace rattanloft::node {

// Guards against a busy key that is not found among many others, and against
// memory that grows with the number of keys.
TEST_CASE("The busiest keys are found among many rare ones")
{
  KeyCounter counter;
  std::mt19937_64 random(3);
  constexpr int kRequests = 20'000;
  for (int i = 0; i < kRequests; ++i) {
    // Keys 0 to 4 get 5 % of the requests each. The others are spread over
    // 100,000 keys.
    const uint64_t key =
      random() % 4 == 0 ? random() % 5 : 5 + random() % 100'000;
    counter.Add("k" + std::to_string(key));
  }
  const auto busiest = counter.TakeBusiest(5);
  REQUIRE(busiest.size() == 5);
  for (const auto& key : busiest) {
    REQUIRE(key.m_key.size() == 2);
    REQUIRE(key.m_key[1] < '5');
    REQUIRE(key.m_count > kRequests / 20 * 8 / 10);
    REQUIRE(key.m_count < kRequests / 20 * 12 / 10);
  }
  REQUIRE(counter.TakeBusiest(5).empty());
}

// Guards against rare keys that look busy because they took over the counter of
// another key.
TEST_CASE("A key is not credited with the count of the key that it replaced")
{
  KeyCounter counter;
  for (int i = 0; i < 10'000; ++i) {
    counter.Add(std::to_string(i));
  }
  for (const auto& key : counter.TakeBusiest(KeyCounter::kMaxCounters)) {
    REQUIRE(key.m_count == 1);
  }
}

} // namespace rattanloft::node
