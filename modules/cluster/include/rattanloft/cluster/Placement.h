#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rattanloft/base/Shard.h"

namespace rattanloft::cluster {

// A backend whose weight is further from its target than this share is outside
// the tolerance.
constexpr double kPlacementTolerance = 0.10;

struct PlacementBackend
{
  uint32_t m_number = 0;
  std::string m_zone;
  // Slots times relative speed.
  double m_capacity = 0;
  // May be given shards.
  bool m_acceptsShards = false;
  // Its shards are to be moved to others; it has no target of its own.
  bool m_leaving = false;
  // Not yet warm: takes at most half its target in one plan.
  bool m_cold = false;
};

struct PlacementShard
{
  // 0 if unowned or if the owner is gone.
  uint32_t m_owner = 0;
  uint32_t m_moveTarget = 0;
  // False for the number of a removed hot key.
  bool m_inUse = true;
  // May be assigned in this plan if it has no owner.
  bool m_assignable = true;
  // Share of the work, 1 for a shard of mean load.
  double m_weight = 1;
};

struct PlacementInput
{
  std::vector<PlacementBackend> m_backends;
  // Indexed by shard number.
  std::vector<PlacementShard> m_shards;
  size_t m_maxAssignments = 0;
  // Moves that may be added to those in flight.
  size_t m_maxMoves = 0;
  // Further ones away from backends that leave.
  size_t m_maxExtraLeavingMoves = 0;
  // Also even out the load, besides assigning and evicting.
  bool m_rebalance = false;
};

struct ShardPlacement
{
  ShardNumber m_shard = 0;
  uint32_t m_backend = 0;
};

struct PlacementPlan
{
  std::vector<ShardPlacement> m_assignments;
  std::vector<ShardPlacement> m_moves;
  // Some of m_moves only even out the load.
  bool m_hasBalancingMoves = false;
  // Backends that were outside the tolerance before this plan.
  std::vector<uint32_t> m_outsideTolerance;
  // A backend without any shard was found: it has just joined.
  bool m_hasEmptyBackend = false;
  // Largest weight of a backend, in units of its target.
  double m_imbalance = 0;
};

// Pure: the same input gives the same plan. Shards without owner go to the
// backends with the lowest load, shards of leaving backends are moved, and if
// asked for, shards above target are moved to backends below target, which is
// the least movement that reaches the targets.
PlacementPlan
PlanPlacement(const PlacementInput& aInput);

} // namespace rattanloft::cluster
