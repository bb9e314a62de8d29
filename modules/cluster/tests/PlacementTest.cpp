#include "rattanloft/cluster/Placement.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

namespace rattanloft::cluster {

namespace {

// Backends with equal capacity, two in each zone, and unowned shards.
PlacementInput
MakeInput(size_t aBackends, size_t aShards)
{
  PlacementInput input;
  for (size_t i = 0; i < aBackends; i++) {
    input.m_backends.push_back({ static_cast<uint32_t>(i + 1),
                                 std::string(1, static_cast<char>('a' + i / 2)),
                                 12,
                                 true,
                                 false,
                                 false });
  }
  input.m_shards.resize(aShards);
  input.m_maxAssignments = aShards;
  input.m_maxMoves = 32;
  return input;
}

// Makes a plan and applies it; moves end at once. Returns the number of
// assignments and moves.
size_t
ApplyPlan(PlacementInput& aInput)
{
  const PlacementPlan plan = PlanPlacement(aInput);
  for (const auto& list : { plan.m_assignments, plan.m_moves }) {
    for (const ShardPlacement& placed : list) {
      aInput.m_shards[placed.m_shard].m_owner = placed.m_backend;
      aInput.m_shards[placed.m_shard].m_moveTarget = 0;
    }
  }
  return plan.m_assignments.size() + plan.m_moves.size();
}

// Returns the number of assignments and moves in all plans.
size_t
ApplyPlansUntilStable(PlacementInput& aInput)
{
  size_t changes = 0;
  for (int round = 0; round < 1000; round++) {
    const size_t applied = ApplyPlan(aInput);
    changes += applied;
    if (!applied) {
      return changes;
    }
  }
  FAIL("the placement still changes after 1000 plans");
  return changes;
}

std::map<uint32_t, double>
WeightsByBackend(const PlacementInput& aInput)
{
  std::map<uint32_t, double> weights;
  for (const PlacementShard& shard : aInput.m_shards) {
    weights[shard.m_owner] += shard.m_weight;
  }
  return weights;
}

} // namespace

// Guards against backends that get more load than they can serve.
TEST_CASE("Shards are placed in proportion to capacity")
{
  PlacementInput input = MakeInput(4, 4096);
  input.m_backends[0].m_capacity = 36;
  ApplyPlansUntilStable(input);
  const auto weights = WeightsByBackend(input);
  REQUIRE(weights.at(1) == Approx(2048).margin(2));
  REQUIRE(weights.at(4) == Approx(683).margin(2));
}

// Guards against neighbouring shards that are all lost with one zone.
TEST_CASE("Neighbouring shards go to different zones")
{
  PlacementInput input = MakeInput(8, 64);
  ApplyPlansUntilStable(input);
  for (size_t i = 1; i < 64; i++) {
    REQUIRE((input.m_shards[i].m_owner - 1) / 2 !=
            (input.m_shards[i - 1].m_owner - 1) / 2);
  }
}

// Guards against moves beyond those that the change requires.
TEST_CASE("Join, leave and capacity change move at most 5 % more than needed")
{
  PlacementInput input = MakeInput(8, 4096);
  ApplyPlansUntilStable(input);
  input.m_rebalance = true;
  PlacementBackend joined = input.m_backends[0];
  joined.m_number = 9;
  input.m_backends.push_back(joined);
  CHECK(ApplyPlansUntilStable(input) <= 4096 / 9.0 * 1.05);

  input.m_backends[3].m_leaving = true;
  input.m_backends[3].m_acceptsShards = false;
  const double left = WeightsByBackend(input).at(4);
  CHECK(static_cast<double>(ApplyPlansUntilStable(input)) <= left * 1.05);
  CHECK_FALSE(WeightsByBackend(input).contains(4));

  // One of eight backends doubles its capacity, so its share of all shards
  // grows from 1/8 to 2/9.
  input.m_backends[0].m_capacity *= 2;
  CHECK(ApplyPlansUntilStable(input) <= 4096 * (2 / 9.0 - 1 / 8.0) * 1.05);
}

// Guards against a new backend that stays empty because no other backend
// exceeds its target by a whole shard.
TEST_CASE("A new backend among many reaches its target")
{
  PlacementInput input = MakeInput(93, 4096);
  ApplyPlansUntilStable(input);
  input.m_rebalance = true;
  input.m_backends.push_back(input.m_backends[0]);
  input.m_backends.back().m_number = 94;
  const size_t moved = ApplyPlansUntilStable(input);
  REQUIRE(WeightsByBackend(input).at(94) == 43);
  REQUIRE(moved <= 43 * 1.05);
}

// Guards against a plan that moves so much at once that it overloads the
// service.
TEST_CASE("A plan keeps to its limits for assignments, moves and cold backends")
{
  PlacementInput input = MakeInput(4, 4096);
  input.m_maxAssignments = 256;
  REQUIRE(PlanPlacement(input).m_assignments.size() == 256);
  input.m_backends.resize(2);
  input.m_backends[1].m_cold = true;
  input.m_maxAssignments = 4096;
  size_t cold = 0;
  for (const ShardPlacement& placed : PlanPlacement(input).m_assignments) {
    cold += placed.m_backend == 2;
  }
  REQUIRE(cold <= 1025);
  for (PlacementShard& shard : input.m_shards) {
    shard.m_owner = 1;
  }
  input.m_backends[1].m_cold = false;
  input.m_rebalance = true;
  REQUIRE(PlanPlacement(input).m_moves.size() == 32);
  input.m_backends.clear();
  REQUIRE(PlanPlacement(input).m_moves.empty());
}

// Guards against hot shards that stay together on one backend.
TEST_CASE("Skewed shards are spread by weight")
{
  PlacementInput input = MakeInput(8, 4096);
  ApplyPlansUntilStable(input);
  for (size_t i = 0; i < 4096; i++) {
    input.m_shards[i].m_weight = i % 8 == 0 ? 4 : 0.5;
  }
  input.m_rebalance = true;
  REQUIRE(PlanPlacement(input).m_imbalance > 1.5);
  ApplyPlansUntilStable(input);
  REQUIRE(PlanPlacement(input).m_imbalance < 1.02);
}

} // namespace rattanloft::cluster
