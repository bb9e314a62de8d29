#include "rattanloft/cluster/Placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <unordered_map>

namespace rattanloft::cluster {

namespace {

// A shard may exceed what is missing by this factor, since whole shards cannot
// meet a target exactly.
constexpr double kOvershoot = 1.5;
// A started rebalancing ends when all fills are this close to 1. Perfect
// balance would follow the noise of the load reports.
constexpr double kBalanced = 0.02;
// Fills closer than this count as equal.
constexpr double kEqual = 1e-9;

class Planner
{
public:
  explicit Planner(const PlacementInput& aInput)
    : m_input(aInput)
  {
  }

  PlacementPlan Run()
  {
    MakeSlots();
    AddWeights();
    Judge();
    AssignUnowned();
    MoveLeaving();
    if (m_input.m_rebalance) {
      Rebalance();
    }
    return std::move(m_plan);
  }

private:
  struct Slot
  {
    const PlacementBackend* m_backend = nullptr;
    double m_target = 0;
    double m_weight = 0;
    size_t m_count = 0;
    // Shards that it may still take in this plan.
    size_t m_room = 0;
    std::vector<ShardNumber> m_shards;

    double Fill() const { return m_target > 0 ? m_weight / m_target : 1e9; }
    double Excess() const { return m_weight - m_target; }
  };

  // Backends of different zones follow each other, so that equal ones take
  // turns over the zones.
  void MakeSlots()
  {
    std::map<std::string, std::vector<const PlacementBackend*>> zones;
    for (const PlacementBackend& backend : m_input.m_backends) {
      zones[backend.m_zone].push_back(&backend);
    }
    for (size_t turn = 0; m_slots.size() < m_input.m_backends.size(); turn++) {
      for (const auto& [zone, backends] : zones) {
        if (turn < backends.size()) {
          m_index[backends[turn]->m_number] = m_slots.size();
          m_slots.emplace_back().m_backend = backends[turn];
        }
      }
    }
  }

  void AddWeights()
  {
    double total = 0;
    for (ShardNumber shard = 0; shard < m_input.m_shards.size(); shard++) {
      const PlacementShard& state = m_input.m_shards[shard];
      if (!state.m_used) {
        continue;
      }
      total += state.m_weight;
      if (Slot* slot = SlotOf(FutureOwner(state))) {
        slot->m_weight += state.m_weight;
        slot->m_count++;
        if (!state.m_moveTarget) {
          slot->m_shards.push_back(shard);
        }
      }
    }
    double capacity = 0;
    for (const Slot& slot : m_slots) {
      capacity += slot.m_backend->m_leaving ? 0 : slot.m_backend->m_capacity;
    }
    for (Slot& slot : m_slots) {
      if (!slot.m_backend->m_leaving && capacity > 0) {
        slot.m_target = total * slot.m_backend->m_capacity / capacity;
      }
      slot.m_room = slot.m_backend->m_cold
                      ? static_cast<size_t>(slot.m_target / 2) + 1
                      : m_input.m_shards.size();
    }
  }

  void Judge()
  {
    for (const Slot& slot : m_slots) {
      if (slot.m_target <= 0) {
        continue;
      }
      m_plan.m_imbalance = std::max(m_plan.m_imbalance, slot.Fill());
      if (std::abs(slot.Fill() - 1) > kPlacementTolerance) {
        m_plan.m_outside.push_back(slot.m_backend->m_number);
      }
      m_plan.m_joined |= slot.m_count == 0 && slot.m_backend->m_receives;
    }
  }

  // Who has the shard once the moves in flight have ended.
  uint32_t FutureOwner(const PlacementShard& aShard) const
  {
    const Slot* target = SlotOf(aShard.m_moveTarget);
    return target && target->m_backend->m_receives ? aShard.m_moveTarget
                                                   : aShard.m_owner;
  }

  Slot* SlotOf(uint32_t aBackend)
  {
    const auto found = m_index.find(aBackend);
    return found == m_index.end() ? nullptr : &m_slots[found->second];
  }
  const Slot* SlotOf(uint32_t aBackend) const
  {
    return const_cast<Planner*>(this)->SlotOf(aBackend);
  }

  // Receivers by fill, lowest first; the queue is valid as long as only Give
  // changes weights.
  using Entry = std::pair<double, size_t>;
  using Queue = std::priority_queue<Entry, std::vector<Entry>, std::greater<>>;
  Queue Receivers() const
  {
    Queue queue;
    for (size_t i = 0; i < m_slots.size(); i++) {
      if (m_slots[i].m_backend->m_receives &&
          !m_slots[i].m_backend->m_leaving && m_slots[i].m_target > 0) {
        queue.emplace(m_slots[i].Fill(), i);
      }
    }
    return queue;
  }

  // The receiver with the lowest fill, or null if none has room.
  Slot* Give(Queue& aQueue, double aWeight)
  {
    while (!aQueue.empty()) {
      const size_t index = aQueue.top().second;
      aQueue.pop();
      Slot& slot = m_slots[index];
      if (slot.m_room == 0) {
        continue;
      }
      slot.m_room--;
      slot.m_weight += aWeight;
      aQueue.emplace(slot.Fill(), index);
      return &slot;
    }
    return nullptr;
  }

  void AssignUnowned()
  {
    std::vector<ShardNumber> unowned;
    for (ShardNumber shard = 0; shard < m_input.m_shards.size(); shard++) {
      const PlacementShard& state = m_input.m_shards[shard];
      if (state.m_used && !state.m_owner && state.m_assignable) {
        unowned.push_back(shard);
      }
    }
    SortHeaviestFirst(unowned);
    Queue queue = Receivers();
    for (const ShardNumber shard : unowned) {
      if (m_plan.m_assignments.size() >= m_input.m_maxAssignments) {
        return;
      }
      const Slot* slot = Give(queue, m_input.m_shards[shard].m_weight);
      if (!slot) {
        return;
      }
      m_plan.m_assignments.push_back({ shard, slot->m_backend->m_number });
    }
  }

  // Also gives a new target to moves whose target can take nothing any more.
  // Those are in flight already and do not count against the limit.
  void MoveLeaving()
  {
    Queue queue = Receivers();
    const size_t limit = m_input.m_maxMoves + m_input.m_extraLeavingMoves;
    size_t added = 0;
    for (ShardNumber shard = 0; shard < m_input.m_shards.size(); shard++) {
      const PlacementShard& state = m_input.m_shards[shard];
      const Slot* owner = SlotOf(state.m_owner);
      const Slot* target = SlotOf(state.m_moveTarget);
      const bool moving = state.m_moveTarget != 0;
      const bool targetLost =
        moving && (!target || target->m_backend->m_leaving);
      const bool leaving = owner && owner->m_backend->m_leaving && !moving;
      if (!state.m_used || !owner || (!leaving && !targetLost) ||
          (!moving && added >= limit)) {
        continue;
      }
      const Slot* slot = Give(queue, state.m_weight);
      if (!slot || slot == owner) {
        continue;
      }
      added += !moving;
      m_plan.m_moves.push_back({ shard, slot->m_backend->m_number });
    }
    m_movesLeft = m_input.m_maxMoves - std::min(m_input.m_maxMoves, added);
  }

  void Rebalance()
  {
    for (Slot& slot : m_slots) {
      SortHeaviestFirst(slot.m_shards);
    }
    std::vector<bool> exhausted(m_slots.size(), false);
    Queue queue = Receivers();
    while (m_movesLeft > 0 && !queue.empty()) {
      const size_t to = queue.top().second;
      if (m_slots[to].m_room == 0 || m_slots[to].Excess() >= 0) {
        queue.pop();
        continue;
      }
      const int from = FullestDonor(exhausted);
      if (from < 0) {
        return;
      }
      Slot& donor = m_slots[static_cast<size_t>(from)];
      if (donor.Fill() < 1 + kBalanced && m_slots[to].Fill() > 1 - kBalanced) {
        return;
      }
      const auto pick = PickShard(donor, m_slots[to]);
      if (pick == donor.m_shards.end()) {
        exhausted[static_cast<size_t>(from)] = true;
        continue;
      }
      const ShardNumber shard = *pick;
      donor.m_shards.erase(pick);
      donor.m_weight -= m_input.m_shards[shard].m_weight;
      Slot* receiver = Give(queue, m_input.m_shards[shard].m_weight);
      m_plan.m_moves.push_back({ shard, receiver->m_backend->m_number });
      m_plan.m_rebalances = true;
      m_movesLeft--;
    }
  }

  // The heaviest shard that fits, else the lightest one if the receiver stays
  // below the donor. The latter lets a new backend reach its target when each
  // of many donors is above its own by less than a shard.
  std::vector<ShardNumber>::iterator PickShard(Slot& aDonor,
                                               const Slot& aReceiver) const
  {
    std::vector<ShardNumber>& shards = aDonor.m_shards;
    const double limit =
      kOvershoot * std::min(aDonor.Excess(), -aReceiver.Excess());
    const auto fits =
      std::find_if(shards.begin(), shards.end(), [&](ShardNumber aShard) {
        return m_input.m_shards[aShard].m_weight <= limit;
      });
    if (fits != shards.end() || shards.empty()) {
      return fits;
    }
    const double weight = m_input.m_shards[shards.back()].m_weight;
    const bool useful = (aReceiver.m_weight + weight) / aReceiver.m_target <=
                        (aDonor.m_weight - weight) / aDonor.m_target + kEqual;
    return useful ? std::prev(shards.end()) : shards.end();
  }

  int FullestDonor(const std::vector<bool>& aExhausted) const
  {
    int best = -1;
    for (size_t i = 0; i < m_slots.size(); i++) {
      if (aExhausted[i] || m_slots[i].m_backend->m_leaving ||
          m_slots[i].Excess() <= 0) {
        continue;
      }
      if (best < 0 ||
          m_slots[i].Fill() > m_slots[static_cast<size_t>(best)].Fill()) {
        best = static_cast<int>(i);
      }
    }
    return best;
  }

  void SortHeaviestFirst(std::vector<ShardNumber>& aShards) const
  {
    std::stable_sort(
      aShards.begin(), aShards.end(), [this](ShardNumber aA, ShardNumber aB) {
        return m_input.m_shards[aA].m_weight > m_input.m_shards[aB].m_weight;
      });
  }

  const PlacementInput& m_input;
  PlacementPlan m_plan;
  std::vector<Slot> m_slots;
  std::unordered_map<uint32_t, size_t> m_index;
  size_t m_movesLeft = 0;
};

} // namespace

PlacementPlan
PlanPlacement(const PlacementInput& aInput)
{
  return Planner(aInput).Run();
}

} // namespace rattanloft::cluster
