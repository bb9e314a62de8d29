#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "raft.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::fleet {

// What the leader knows of another replica.
struct ReplicaHealth
{
  // Time since its last answer.
  Duration m_silence;
  uint64_t m_appliedIndex = 0;
};

// Inputs of one membership decision.
struct MembershipView
{
  wire::GroupConfig m_config;
  uint64_t m_self = 0;
  uint64_t m_commitIndex = 0;
  // Voters that the group must have before it confirms anything.
  size_t m_targetVoters = 1;
  std::map<uint64_t, ReplicaHealth> m_health;
  // Latest join request of each replica.
  std::map<uint64_t, wire::JoinRequest> m_joins;
};

size_t
CountVoters(const wire::GroupConfig& aConfig);

// The next single change that brings the group closer to m_targetVoters live
// voters; empty if there is none. A replica whose address has come back with a
// new identity has lost its disk and is replaced first. Pure.
std::optional<wire::GroupConfig>
PlanMembership(const MembershipView& aView);

} // namespace rattanloft::fleet
