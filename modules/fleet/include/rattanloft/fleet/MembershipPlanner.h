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

// What the leader knows about another replica.
struct ReplicaHealth
{
  // Time since its last reply.
  Duration m_silence;
  // Latest log index that it reported as applied; 0 if there is none.
  uint64_t m_appliedIndex = 0;
};

// Inputs of one membership decision.
struct MembershipView
{
  wire::GroupConfig m_config;
  // Replica id of the leader.
  uint64_t m_self = 0;
  uint64_t m_commitIndex = 0;
  // Number of voters that the group must have before it confirms anything.
  size_t m_targetVoters = 1;
  // By replica id, without the leader.
  std::map<uint64_t, ReplicaHealth> m_health;
  // By replica id, see JoinRequests.
  std::map<uint64_t, wire::JoinRequest> m_joins;
};

// What stands in the way of the replacement of lost voters.
enum class ReplacementObstacle
{
  kNone,
  // No learner is alive and has caught up.
  kNoReadyLearner,
  // Too few of the other voters are alive to decide.
  kNoQuorum,
};

// A summary of a MembershipView for logs and metrics.
struct MembershipReport
{
  // Voters that have lost their disks or have been silent for too long.
  std::vector<uint64_t> m_lostVoters;
  ReplacementObstacle m_obstacle = ReplacementObstacle::kNone;
};

size_t
CountVoters(const wire::GroupConfig& aConfig);

bool
IsVoter(const wire::GroupConfig& aConfig, uint64_t aReplicaId);

// Whether the replica is a voter or a learner.
bool
IsMember(const wire::GroupConfig& aConfig, uint64_t aReplicaId);

// Returns the next change of one member that brings the group closer to
// m_targetVoters live voters; empty if none is needed or possible. A replica
// whose address has come back with a new replica id has lost its disk and is
// replaced first. Pure.
std::optional<wire::GroupConfig>
PlanMembership(const MembershipView& aView);

// Returns which voters are lost and why PlanMembership() cannot replace them.
MembershipReport
ReportMembership(const MembershipView& aView);

// Returns the ids of the members that a change adds, promotes to voters and
// removes, as fields of a log line.
std::string
DescribeMemberChange(const wire::GroupConfig& aBefore,
                     const wire::GroupConfig& aAfter);

} // namespace rattanloft::fleet
