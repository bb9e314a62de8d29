#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::backend {

// The shards that the node has granted to this backend server, with the epoch
// of each grant. Performs no I/O and reads no clock.
class GrantTable
{
public:
  enum class ApplyResult
  {
    kAccepted,
    kMalformed,
    // The message is a list with an older revision than the table holds, or an
    // extension of another revision.
    kConflict,
  };

  // A message with "grants" replaces the list if its revision is not older; one
  // without extends the expiry of the list with the same revision.
  ApplyResult Apply(const nlohmann::json& aMessage);

  // Returns an empty string if the request may start now, otherwise the value
  // of the Rattanloft-Refused header: "token" if the shard is not granted with
  // this epoch, "expired" if the token or the grants have expired.
  std::string_view RefusalReason(uint32_t aShard,
                                 uint64_t aEpoch,
                                 TimePoint aExpires,
                                 TimePoint aNow) const;

private:
  uint64_t m_revision = 0;
  TimePoint m_expires{};
  std::unordered_map<uint32_t, uint64_t> m_grantedEpochs;
  // Highest epoch ever granted for each shard, kept after the grant has ended
  // so that an older epoch cannot be granted again. The number of shards limits
  // its size.
  std::unordered_map<uint32_t, uint64_t> m_highestEpochs;
};

} // namespace rattanloft::backend
