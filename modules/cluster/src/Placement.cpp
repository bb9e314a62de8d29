#include "rattanloft/cluster/Placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <unordered_map>

namespace rattanloft::cluster {

namespace {

// A moved shard may exceed the excess of the donor and the shortfall of the
// receiver by this factor, since whole shards cannot meet a target exactly.
constexpr double kMaxOvershootFactor = 1.5;
// A rebalancing ends when the fill ratios of all backends are this close to 1.
// Perfect balance would follow the noise of the load reports.
constexpr double kBalancedTolerance = 0.02;
// Fill ratios that differ by less count as equal.
constexpr double kFillEpsilon = 1e-9;

// Makes one plan.
class Planner
{
public:
  explicit Planner(const PlacementInput& aInput)
    : m_input(aInput)
  {
  }

  PlacementPlan MakePlan()
  {
    AddBackends();
    SetWeightsAndTargets();
    RecordImbalance();
    AssignUnowned();
    MoveOffLeavingBackends();
    if (m_input.m_rebalance) {
      Rebalance();
    }
    return std::move(m_plan);
  }

private:
  // A backend with the load that it has after the moves in flight and this
  // plan.
  struct BackendLoad
  {
    const PlacementBackend* m_backend = nullptr;
    // The backend's part of the total weight, in proportion to its capacity.
    double m_targetWeight = 0;
    // Sum of the weights of its shards.
    double m_weight = 0;
    // Its shards before this plan.
    size_t m_shardCount = 0;
    // Number of shards that it may still take in this plan.
    size_t m_remainingRoom = 0;
    // Its shards that are not being moved.
    std::vector<ShardNumber> m_movableShards;

    double FillRatio() const
    {
      return m_targetWeight > 0 ? m_weight / m_targetWeight : 1e9;
    }
    double ExcessWeight() const { return m_weight - m_targetWeight; }
  };

  // Adds the backends in an order that alternates between the zones, so that
  // equally filled backends take turns over the zones.
  void AddBackends()
  {
    std::map<std::string, std::vector<const PlacementBackend*>> zones;
    for (const PlacementBackend& backend : m_input.m_backends) {
      zones[backend.m_zone].push_back(&backend);
    }
    for (size_t turn = 0; m_loads.size() < m_input.m_backends.size(); turn++) {
      for (const auto& [zone, backends] : zones) {
        if (turn < backends.size()) {
          m_loadIndexes[backends[turn]->m_number] = m_loads.size();
          m_loads.emplace_back().m_backend = backends[turn];
        }
      }
    }
  }

  void SetWeightsAndTargets()
  {
    double total = 0;
    for (ShardNumber shard = 0; shard < m_input.m_shards.size(); shard++) {
      const PlacementShard& state = m_input.m_shards[shard];
      if (!state.m_inUse) {
        continue;
      }
      total += state.m_weight;
      if (BackendLoad* load = FindLoad(FutureOwner(state))) {
        load->m_weight += state.m_weight;
        load->m_shardCount++;
        if (!state.m_moveTarget) {
          load->m_movableShards.push_back(shard);
        }
      }
    }
    double capacity = 0;
    for (const BackendLoad& load : m_loads) {
      capacity += load.m_backend->m_leaving ? 0 : load.m_backend->m_capacity;
    }
    for (BackendLoad& load : m_loads) {
      if (!load.m_backend->m_leaving && capacity > 0) {
        load.m_targetWeight = total * load.m_backend->m_capacity / capacity;
      }
      load.m_remainingRoom =
        load.m_backend->m_cold
          ? static_cast<size_t>(load.m_targetWeight / 2) + 1
          : m_input.m_shards.size();
    }
  }

  void RecordImbalance()
  {
    for (const BackendLoad& load : m_loads) {
      if (load.m_targetWeight <= 0) {
        continue;
      }
      m_plan.m_imbalance = std::max(m_plan.m_imbalance, load.FillRatio());
      if (std::abs(load.FillRatio() - 1) > kPlacementTolerance) {
        m_plan.m_outsideTolerance.push_back(load.m_backend->m_number);
      }
      m_plan.m_hasEmptyBackend |=
        load.m_shardCount == 0 && load.m_backend->m_acceptsShards;
    }
  }

  // The owner of the shard once the moves in flight have ended.
  uint32_t FutureOwner(const PlacementShard& aShard) const
  {
    const BackendLoad* target = FindLoad(aShard.m_moveTarget);
    return target && target->m_backend->m_acceptsShards ? aShard.m_moveTarget
                                                        : aShard.m_owner;
  }

  BackendLoad* FindLoad(uint32_t aBackend)
  {
    const auto found = m_loadIndexes.find(aBackend);
    return found == m_loadIndexes.end() ? nullptr : &m_loads[found->second];
  }
  const BackendLoad* FindLoad(uint32_t aBackend) const
  {
    return const_cast<Planner*>(this)->FindLoad(aBackend);
  }

  // Fill ratio and index in m_loads of the backends that may take shards,
  // lowest ratio first. The queue is valid as long as only GiveToEmptiest
  // changes the weights of these backends.
  using QueueEntry = std::pair<double, size_t>;
  using ReceiverQueue =
    std::priority_queue<QueueEntry, std::vector<QueueEntry>, std::greater<>>;
  ReceiverQueue MakeReceiverQueue() const
  {
    ReceiverQueue queue;
    for (size_t i = 0; i < m_loads.size(); i++) {
      if (m_loads[i].m_backend->m_acceptsShards &&
          !m_loads[i].m_backend->m_leaving && m_loads[i].m_targetWeight > 0) {
        queue.emplace(m_loads[i].FillRatio(), i);
      }
    }
    return queue;
  }

  // Adds the weight to the receiver with the lowest fill ratio and returns the
  // receiver, or null if none has room.
  BackendLoad* GiveToEmptiest(ReceiverQueue& aQueue, double aWeight)
  {
    while (!aQueue.empty()) {
      const size_t index = aQueue.top().second;
      aQueue.pop();
      BackendLoad& load = m_loads[index];
      if (load.m_remainingRoom == 0) {
        continue;
      }
      load.m_remainingRoom--;
      load.m_weight += aWeight;
      aQueue.emplace(load.FillRatio(), index);
      return &load;
    }
    return nullptr;
  }

  void AssignUnowned()
  {
    std::vector<ShardNumber> unowned;
    for (ShardNumber shard = 0; shard < m_input.m_shards.size(); shard++) {
      const PlacementShard& state = m_input.m_shards[shard];
      if (state.m_inUse && !state.m_owner && state.m_assignable) {
        unowned.push_back(shard);
      }
    }
    SortHeaviestFirst(unowned);
    ReceiverQueue queue = MakeReceiverQueue();
    for (const ShardNumber shard : unowned) {
      if (m_plan.m_assignments.size() >= m_input.m_maxAssignments) {
        return;
      }
      const BackendLoad* load =
        GiveToEmptiest(queue, m_input.m_shards[shard].m_weight);
      if (!load) {
        return;
      }
      m_plan.m_assignments.push_back({ shard, load->m_backend->m_number });
    }
  }

  // Also gives a new target to moves whose target is gone or leaving. Such
  // moves are already in flight and do not count towards the limit.
  void MoveOffLeavingBackends()
  {
    ReceiverQueue queue = MakeReceiverQueue();
    const size_t limit = m_input.m_maxMoves + m_input.m_maxExtraLeavingMoves;
    size_t added = 0;
    for (ShardNumber shard = 0; shard < m_input.m_shards.size(); shard++) {
      const PlacementShard& state = m_input.m_shards[shard];
      const BackendLoad* owner = FindLoad(state.m_owner);
      const BackendLoad* target = FindLoad(state.m_moveTarget);
      const bool moving = state.m_moveTarget != 0;
      const bool targetLost =
        moving && (!target || target->m_backend->m_leaving);
      const bool leaving = owner && owner->m_backend->m_leaving && !moving;
      if (!state.m_inUse || !owner || (!leaving && !targetLost) ||
          (!moving && added >= limit)) {
        continue;
      }
      const BackendLoad* load = GiveToEmptiest(queue, state.m_weight);
      if (!load || load == owner) {
        continue;
      }
      added += !moving;
      m_plan.m_moves.push_back({ shard, load->m_backend->m_number });
    }
    m_balancingMovesLeft =
      m_input.m_maxMoves - std::min(m_input.m_maxMoves, added);
  }

  void Rebalance()
  {
    for (BackendLoad& load : m_loads) {
      SortHeaviestFirst(load.m_movableShards);
    }
    std::vector<bool> exhausted(m_loads.size(), false);
    ReceiverQueue queue = MakeReceiverQueue();
    while (m_balancingMovesLeft > 0 && !queue.empty()) {
      const size_t to = queue.top().second;
      if (m_loads[to].m_remainingRoom == 0 || m_loads[to].ExcessWeight() >= 0) {
        queue.pop();
        continue;
      }
      const int from = FindFullestDonor(exhausted);
      if (from < 0) {
        return;
      }
      BackendLoad& donor = m_loads[static_cast<size_t>(from)];
      if (donor.FillRatio() < 1 + kBalancedTolerance &&
          m_loads[to].FillRatio() > 1 - kBalancedTolerance) {
        return;
      }
      const auto picked = PickShard(donor, m_loads[to]);
      if (picked == donor.m_movableShards.end()) {
        exhausted[static_cast<size_t>(from)] = true;
        continue;
      }
      const ShardNumber shard = *picked;
      donor.m_movableShards.erase(picked);
      donor.m_weight -= m_input.m_shards[shard].m_weight;
      BackendLoad* receiver =
        GiveToEmptiest(queue, m_input.m_shards[shard].m_weight);
      m_plan.m_moves.push_back({ shard, receiver->m_backend->m_number });
      m_plan.m_hasBalancingMoves = true;
      m_balancingMovesLeft--;
    }
  }

  // The heaviest shard that fits, or else the lightest one if the receiver then
  // still has no higher fill ratio than the donor. The latter lets a new
  // backend reach its target when each of many donors exceeds its own target by
  // less than a shard.
  std::vector<ShardNumber>::iterator PickShard(
    BackendLoad& aDonor,
    const BackendLoad& aReceiver) const
  {
    std::vector<ShardNumber>& shards = aDonor.m_movableShards;
    const double limit =
      kMaxOvershootFactor *
      std::min(aDonor.ExcessWeight(), -aReceiver.ExcessWeight());
    const auto fits =
      std::find_if(shards.begin(), shards.end(), [&](ShardNumber aShard) {
        return m_input.m_shards[aShard].m_weight <= limit;
      });
    if (fits != shards.end() || shards.empty()) {
      return fits;
    }
    const double weight = m_input.m_shards[shards.back()].m_weight;
    const bool useful =
      (aReceiver.m_weight + weight) / aReceiver.m_targetWeight <=
      (aDonor.m_weight - weight) / aDonor.m_targetWeight + kFillEpsilon;
    return useful ? std::prev(shards.end()) : shards.end();
  }

  // Index in m_loads, or -1 if no backend is above its target.
  int FindFullestDonor(const std::vector<bool>& aExhausted) const
  {
    int best = -1;
    for (size_t i = 0; i < m_loads.size(); i++) {
      if (aExhausted[i] || m_loads[i].m_backend->m_leaving ||
          m_loads[i].ExcessWeight() <= 0) {
        continue;
      }
      if (best < 0 || m_loads[i].FillRatio() >
                        m_loads[static_cast<size_t>(best)].FillRatio()) {
        best = static_cast<int>(i);
      }
    }
    return best;
  }

  void SortHeaviestFirst(std::vector<ShardNumber>& aShards) const
  {
    std::stable_sort(aShards.begin(),
                     aShards.end(),
                     [this](ShardNumber aLeft, ShardNumber aRight) {
                       return m_input.m_shards[aLeft].m_weight >
                              m_input.m_shards[aRight].m_weight;
                     });
  }

  const PlacementInput& m_input;
  PlacementPlan m_plan;
  std::vector<BackendLoad> m_loads;
  std::unordered_map<uint32_t, size_t> m_loadIndexes;
  size_t m_balancingMovesLeft = 0;
};

} // namespace

PlacementPlan
PlanPlacement(const PlacementInput& aInput)
{
  return Planner(aInput).MakePlan();
}

} // namespace rattanloft::cluster
