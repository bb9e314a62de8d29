#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanloft::node {

// Finds the keys with the most requests in bounded memory, with the
// Space-Saving algorithm. Counts are lower bounds: what a key may have
// inherited from the key that it replaced is left out. Does no I/O; owned by
// the traffic thread.
class KeyCounter
{
public:
  // Number of keys counted at a time. 256 counters are sure to find every key
  // with more than 1/256 of the requests; more counters find less busy keys as
  // well.
  static constexpr size_t kMaxCounters = 256;

  struct KeyCount
  {
    std::string m_key;
    uint64_t m_count = 0;
  };

  // Counts one request of the key.
  void Add(std::string_view aKey);
  // Returns the keys with the most requests since the last call, busiest first,
  // and starts over.
  std::vector<KeyCount> TakeBusiest(size_t aMaxKeys);

private:
  struct Counter
  {
    uint64_t m_count = 0;
    // Part of m_count that was taken over from the replaced key.
    uint64_t m_inheritedCount = 0;
  };

  std::unordered_map<std::string, Counter> m_counters;
};

} // namespace rattanloft::node
