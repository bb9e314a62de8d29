#include "KeyCounter.h"

#include <algorithm>

namespace rattanloft::node {

void
KeyCounter::Add(std::string_view aKey)
{
  std::string key(aKey);
  const auto found = m_counters.find(key);
  if (found != m_counters.end()) {
    ++found->second.m_count;
    return;
  }
  if (m_counters.size() < kMaxCounters) {
    m_counters.emplace(std::move(key), Counter{ 1, 0 });
    return;
  }
  const auto least =
    std::min_element(m_counters.begin(),
                     m_counters.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_count < aRight.second.m_count;
                     });
  const uint64_t inherited = least->second.m_count;
  m_counters.erase(least);
  m_counters.emplace(std::move(key), Counter{ inherited + 1, inherited });
}

std::vector<KeyCounter::KeyCount>
KeyCounter::TakeBusiest(size_t aMaxKeys)
{
  std::vector<KeyCount> keys;
  for (const auto& [key, counter] : m_counters) {
    keys.push_back({ key, counter.m_count - counter.m_inheritedCount });
  }
  std::sort(keys.begin(),
            keys.end(),
            [](const KeyCount& aLeft, const KeyCount& aRight) {
              return aLeft.m_count > aRight.m_count;
            });
  keys.resize(std::min(keys.size(), aMaxKeys));
  m_counters.clear();
  return keys;
}

} // namespace rattanloft::node
