#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanloft::node {

// Finds the busiest keys in bounded memory (Space-Saving). Counts are lower
// bounds: what a key may have inherited from the one that it replaced is left
// out. Pure; owned by the traffic thread.
class KeyCounter
{
public:
  // More counters find less busy keys; 256 find every key with over 1/256 of
  // the requests.
  static constexpr size_t kMaxCounters = 256;

  struct KeyCount
  {
    std::string m_key;
    uint64_t m_count = 0;
  };

  void Add(std::string_view aKey);
  // The busiest keys since the last call, busiest first.
  std::vector<KeyCount> TakeBusiest(size_t aMaxKeys);

private:
  struct Counter
  {
    uint64_t m_count = 0;
    uint64_t m_inheritedCount = 0;
  };

  std::unordered_map<std::string, Counter> m_counters;
};

} // namespace rattanloft::node
