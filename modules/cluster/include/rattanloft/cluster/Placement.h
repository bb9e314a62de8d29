#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rattanloft/base/Shard.h"

namespace rattanloft::cluster {

// A backend is outside the tolerance if the weight of its shards differs from
// its target weight by more than this share of the target.
constexpr double kPlacementTolerance = 0.10;

struct PlacementBackend
{
  uint32_t m_number = 0;
  std::string m_zone;
  // Slots times relative speed. Shards are placed in proportion to it.
  double m_capacity = 0;
  // Shards may be assigned or moved to this backend.
  bool m_acceptsShards = false;
  // All shards of this backend are to be moved to others; its target weight is
  // 0.
  bool m_leaving = false;
  // The backend started recently and takes at most half its target weight in
  // one plan.
  bool m_cold = false;
};

struct PlacementShard
{
  // Backend number, 0 if the shard has no owner or the owner is gone.
  uint32_t m_owner = 0;
  // Backend number, 0 if the shard is not being moved.
  uint32_t m_moveTarget = 0;
  // False for the shard number of a removed hot key.
  bool m_inUse = true;
  // The shard may be assigned in this plan if it has no owner.
  bool m_assignable = true;
  // Share of the service's load, 1 for a shard with the mean load.
  double m_weight = 1;
};

struct PlacementInput
{
  std::vector<PlacementBackend> m_backends;
  // Indexed by shard number.
  std::vector<PlacementShard> m_shards;
  size_t m_maxAssignments = 0;
  // Moves that the plan may add to those in flight.
  size_t m_maxMoves = 0;
  // Moves that the plan may add beyond m_maxMoves, away from leaving backends
  // only.
  size_t m_maxExtraLeavingMoves = 0;
  // Also move shards to balance the load, besides assigning unowned shards and
  // moving shards off leaving backends.
  bool m_rebalance = false;
};

// One shard and the backend that is to own it.
struct ShardPlacement
{
  ShardNumber m_shard = 0;
  // Backend number.
  uint32_t m_backend = 0;
};

struct PlacementPlan
{
  // New owners for unowned shards.
  std::vector<ShardPlacement> m_assignments;
  // New move targets for owned shards.
  std::vector<ShardPlacement> m_moves;
  // Some of m_moves only balance the load.
  bool m_hasBalancingMoves = false;
  // Numbers of the backends that were outside the tolerance before this plan.
  std::vector<uint32_t> m_outsideTolerance;
  // A backend that accepts shards had none before this plan, so it has just
  // joined.
  bool m_hasEmptyBackend = false;
  // Largest ratio of a backend's weight to its target weight before this plan.
  double m_imbalance = 0;
};

// Plans assignments and moves for one service. Deterministic: the same input
// gives the same plan. Unowned shards are assigned to the backends that are
// filled least in relation to their targets, and the shards of leaving backends
// are moved to such backends. If m_rebalance is set, shards are also moved from
// backends above their target to backends below it, and no others, which is the
// least movement that reaches the targets.
PlacementPlan
PlanPlacement(const PlacementInput& aInput);

} // namespace rattanloft::cluster
