#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::backend {

// The shards that the node has granted, with their epochs. Pure.
class GrantTable
{
public:
  enum class ApplyResult
  {
    kAccepted,
    kMalformed,
    // Another revision is held, or a newer one.
    kConflict,
  };

  ApplyResult Apply(const nlohmann::json& aMessage);

  // Empty if the request may start, else the value of Rattanloft-Refused.
  std::string_view RefusalReason(uint32_t aShard,
                                 uint64_t aEpoch,
                                 TimePoint aExpires,
                                 TimePoint aNow) const;

private:
  uint64_t m_revision = 0;
  TimePoint m_expires{};
  std::unordered_map<uint32_t, uint64_t> m_grantedEpochs;
  // Highest epoch seen for each shard, also after its grant has ended. Bounded
  // by the number of shards.
  std::unordered_map<uint32_t, uint64_t> m_highestEpochs;
};

} // namespace rattanloft::backend
