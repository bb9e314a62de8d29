#pragma once

#include <string>

#include "fleet.pb.h"

namespace rattanloft::fleet {

inline wire::JoinRequest
MakeJoin(uint64_t aId, const std::string& aAddress)
{
  wire::JoinRequest join;
  join.set_replica_id(aId);
  join.set_internal_address(aAddress);
  return join;
}

} // namespace rattanloft::fleet
