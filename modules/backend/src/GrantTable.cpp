#include "GrantTable.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "rattanloft/base/Shard.h"

namespace rattanloft::backend {

namespace {

bool
IsValidGrant(const nlohmann::json& aItem)
{
  return aItem.is_array() && aItem.size() == 2 &&
         aItem[0].is_number_unsigned() && aItem[1].is_number_unsigned() &&
         aItem[0].get<uint64_t>() < kHashedShards + kMaxHotKeys;
}

bool
IsValidMessage(const nlohmann::json& aMessage)
{
  if (!aMessage.is_object() || !aMessage.contains("revision") ||
      !aMessage["revision"].is_number_unsigned() ||
      !aMessage.contains("expires_ms") ||
      !aMessage["expires_ms"].is_number_integer()) {
    return false;
  }
  return !aMessage.contains("grants") ||
         (aMessage["grants"].is_array() &&
          std::all_of(aMessage["grants"].begin(),
                      aMessage["grants"].end(),
                      IsValidGrant));
}

} // namespace

GrantTable::ApplyResult
GrantTable::Apply(const nlohmann::json& aMessage)
{
  if (!IsValidMessage(aMessage)) {
    return ApplyResult::kMalformed;
  }
  const auto revision = aMessage["revision"].get<uint64_t>();
  const TimePoint expires{ aMessage["expires_ms"].get<int64_t>() };
  if (!aMessage.contains("grants")) {
    if (revision != m_revision) {
      return ApplyResult::kConflict;
    }
    // An extension that arrives late must not undo a longer one.
    m_expires = std::max(m_expires, expires);
    return ApplyResult::kAccepted;
  }
  if (revision < m_revision) {
    return ApplyResult::kConflict;
  }
  m_revision = revision;
  m_expires = expires;
  m_grantedEpochs.clear();
  for (const auto& item : aMessage["grants"]) {
    const auto shard = item[0].get<uint32_t>();
    const auto epoch = item[1].get<uint64_t>();
    m_grantedEpochs[shard] = epoch;
    m_highestEpochs[shard] = std::max(m_highestEpochs[shard], epoch);
  }
  return ApplyResult::kAccepted;
}

std::string_view
GrantTable::RefusalReason(uint32_t aShard,
                          uint64_t aEpoch,
                          TimePoint aExpires,
                          TimePoint aNow) const
{
  const auto found = m_grantedEpochs.find(aShard);
  if (found == m_grantedEpochs.end() || found->second != aEpoch ||
      m_highestEpochs.at(aShard) > aEpoch) {
    return "token";
  }
  if (aNow >= aExpires || aNow >= m_expires) {
    return "expired";
  }
  return {};
}

} // namespace rattanloft::backend
