#include "ServicePlacer.h"

#include <algorithm>
#include <cmath>

#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

// The share of one backend among four. With batches of 256, four slow log syncs
// in a row delayed the reassignment after the loss of such a backend to 5.9 s.
constexpr size_t kMaxAssignmentsPerTick = 1024;
// Rebalancing starts after an imbalance has lasted this long, so that short
// swings of the load move no shards.
constexpr Duration kRebalanceDelay = Seconds(10);
constexpr Duration kLoadUpdateInterval = Seconds(1);
// Weights of a new report in the exponential moving averages, which are updated
// each second: time constants of 30 s for shards, 50 s for speeds and 10 s for
// keys. With 10 s for all, reports that swing by 50 % moved 27 % of all shards
// in 120 s.
constexpr double kShardRateSmoothing = 0.033;
constexpr double kSpeedSmoothing = 0.02;
constexpr double kKeyRateSmoothing = 0.1;
// A new relative speed is applied once it differs from the applied one by more
// than this share.
constexpr double kSpeedTolerance = 0.2;
// Requests per second of a backend. Below this rate, the load reports are too
// sparse to weight shards by load or to measure speeds.
constexpr double kMinBackendRate = 10;
// Part of a shard's weight that does not depend on its load, so that idle
// shards are spread too.
constexpr double kFixedShardWeight = 0.2;
// Reported requests per second count at most as this.
constexpr double kMaxReportedRate = 1e6;
constexpr uint32_t kMaxBackendSlots = 10000;
// Bounds of a backend's speed relative to the mean of the service.
constexpr double kMinRelativeSpeed = 0.5;
constexpr double kMaxRelativeSpeed = 2;
// The first placement waits until no backend has joined for the settle time,
// but no longer than the maximum after the first backend. This avoids moving
// most shards again when the backends start one after another.
constexpr Duration kJoinSettleTime = Seconds(1);
constexpr Duration kMaxJoinSettleTime = Seconds(3);
// A command that has not been applied after this time is proposed again.
constexpr Duration kProposalTimeout = Seconds(1);
// A key whose rate reaches the first share of the mean backend rate gets a
// shard of its own; it loses that shard again when its rate falls below the
// second share.
constexpr double kHotKeyShare = 0.05;
constexpr double kCooledKeyShare = 0.02;
// Requests per second; no key counts as hot below.
constexpr double kMinHotKeyRate = 5;
// How long a key must have been hot, or cooled, before it is placed or removed.
constexpr Duration kHotKeyDelay = Seconds(10);
constexpr Duration kCooledKeyDelay = Seconds(60);
constexpr size_t kMaxKeyCandidates = 1024;
constexpr size_t kMaxHotKeyChangesPerUpdate = 8;

// Nodes may report any figure, including NaN, and one absurd figure must not
// distort the weights of all shards.
double
ClampReportedRate(double aReported)
{
  return aReported > 0 ? std::min(aReported, kMaxReportedRate) : 0;
}

bool
IsFirstPlacement(const ServiceTable& aTable)
{
  return std::none_of(
    aTable.m_shards.begin(),
    aTable.m_shards.end(),
    [](const ShardState& aShard) { return aShard.m_epoch != 0; });
}

} // namespace

ServicePlacer::ServicePlacer(std::string aService)
  : m_service(std::move(aService))
{
}

std::vector<wire::Command>
ServicePlacer::Tick(const ServiceTable& aTable,
                    const std::vector<BackendView>& aBackends,
                    TimePoint aNow)
{
  TrackJoins(aBackends, aNow);
  const bool loadsDue = aNow >= m_nextLoadUpdateAt;
  if (loadsDue) {
    m_nextLoadUpdateAt = aNow + kLoadUpdateInterval;
    UpdateLoads(aTable, aBackends);
  }
  if (IsWaitingForApply(aTable, aNow)) {
    return {};
  }
  const PlacementPlan plan = PlanPlacement(MakeInput(aTable, aBackends, aNow));
  UpdateRebalancing(plan, aTable.m_movesInFlight == 0, aNow);
  std::vector<wire::Command> commands = MakeCommands(plan, aTable, aNow);
  if (loadsDue) {
    PlaceHotKeys(aTable, aNow, commands);
    RemoveHotKeys(aTable, aNow, commands);
  }
  return commands;
}

bool
ServicePlacer::IsWaitingForApply(const ServiceTable& aTable, TimePoint aNow)
{
  if (!m_waitingForApply) {
    return false;
  }
  const bool unchanged =
    m_awaitedShard < aTable.m_shards.size() &&
    aTable.m_shards[m_awaitedShard].m_epoch == m_awaitedShardBefore.m_epoch &&
    aTable.m_shards[m_awaitedShard].m_moveTarget ==
      m_awaitedShardBefore.m_moveTarget;
  m_waitingForApply = unchanged && aNow < m_waitEndsAt;
  return m_waitingForApply;
}

void
ServicePlacer::StartWaitingForApply(const ServiceTable& aTable,
                                    ShardNumber aShard,
                                    TimePoint aNow)
{
  m_waitingForApply = true;
  m_awaitedShard = aShard;
  m_awaitedShardBefore = aTable.m_shards[aShard];
  m_waitEndsAt = aNow + kProposalTimeout;
}

void
ServicePlacer::TrackJoins(const std::vector<BackendView>& aBackends,
                          TimePoint aNow)
{
  const auto reachable = static_cast<size_t>(
    std::count_if(aBackends.begin(), aBackends.end(), [](const auto& aView) {
      return aView.m_reachable;
    }));
  if (m_reachableCount == 0 && reachable > 0) {
    m_firstBackendAt = aNow;
  }
  if (reachable > m_reachableCount) {
    m_lastJoinAt = aNow;
  }
  m_reachableCount = reachable;
}

void
ServicePlacer::UpdateLoads(const ServiceTable& aTable,
                           const std::vector<BackendView>& aBackends)
{
  m_shardRates.resize(aTable.m_shards.size(), 0);
  UpdateShardRates(aTable, aBackends);
  UpdateSpeeds(aBackends);
  UpdateKeyRates(aBackends);
}

void
ServicePlacer::UpdateShardRates(const ServiceTable& aTable,
                                const std::vector<BackendView>& aBackends)
{
  std::map<uint32_t, std::vector<ShardNumber>> owned;
  for (ShardNumber shard = 0; shard < aTable.m_shards.size(); shard++) {
    owned[aTable.m_shards[shard].m_owner].push_back(shard);
  }
  double total = 0;
  size_t count = 0;
  for (const BackendView& view : aBackends) {
    if (!view.m_reachable) {
      continue;
    }
    std::map<ShardNumber, double> reported;
    double sum = 0;
    for (const wire::ShardLoad& load : view.m_load.shards()) {
      if (load.service() == m_service) {
        reported[load.shard()] = ClampReportedRate(load.requests_per_second());
        sum += ClampReportedRate(load.requests_per_second());
      }
    }
    const std::vector<ShardNumber>& shards = owned[view.m_backend->number()];
    const double rateOfOthers =
      std::max(0.0,
               ClampReportedRate(view.m_load.requests_per_second()) - sum) /
      static_cast<double>(std::max<size_t>(
        1, shards.size() - std::min(shards.size(), reported.size())));
    for (const ShardNumber shard : shards) {
      const auto found = reported.find(shard);
      const double rate =
        found == reported.end() ? rateOfOthers : found->second;
      m_shardRates[shard] += kShardRateSmoothing * (rate - m_shardRates[shard]);
      total += m_shardRates[shard];
    }
    count++;
  }
  m_meanBackendRate = count ? total / static_cast<double>(count) : 0;
}

// The speed of a backend is its requests per second for each request in flight,
// relative to the mean of the service. A backend that answers faster gets more
// shards.
void
ServicePlacer::UpdateSpeeds(const std::vector<BackendView>& aBackends)
{
  std::map<uint32_t, double> rawSpeeds;
  double sum = 0;
  for (const BackendView& view : aBackends) {
    const wire::NodeLoad& load = view.m_load;
    if (view.m_reachable && load.in_flight() > 0 &&
        load.requests_per_second() >= kMinBackendRate) {
      const double speed =
        ClampReportedRate(load.requests_per_second()) / load.in_flight();
      rawSpeeds[view.m_backend->number()] = speed;
      sum += speed;
    }
  }
  std::map<uint32_t, Speed> speeds;
  for (const BackendView& view : aBackends) {
    const uint32_t number = view.m_backend->number();
    Speed speed = m_speeds[number];
    const auto found = rawSpeeds.find(number);
    if (found != rawSpeeds.end()) {
      const double mean = sum / static_cast<double>(rawSpeeds.size());
      const double relative =
        std::clamp(found->second / mean, kMinRelativeSpeed, kMaxRelativeSpeed);
      speed.m_smoothed += kSpeedSmoothing * (relative - speed.m_smoothed);
    }
    // Small changes are not applied, since each would move shards.
    if (std::abs(speed.m_smoothed / speed.m_applied - 1) > kSpeedTolerance) {
      speed.m_applied = speed.m_smoothed;
    }
    speeds[number] = speed;
  }
  m_speeds = std::move(speeds);
}

void
ServicePlacer::UpdateKeyRates(const std::vector<BackendView>& aBackends)
{
  std::map<std::string_view, double> rates;
  for (const BackendView& view : aBackends) {
    for (const wire::KeyLoad& load : view.m_load.keys()) {
      if (view.m_reachable && load.service() == m_service) {
        rates[load.key()] += ClampReportedRate(load.requests_per_second());
      }
    }
  }
  for (auto& [key, state] : m_keys) {
    state.m_reported = false;
  }
  for (const auto& [key, rate] : rates) {
    const std::string name(key);
    if (!m_keys.contains(name) && m_keys.size() >= kMaxKeyCandidates) {
      continue;
    }
    KeyState& state = m_keys[name];
    state.m_reported = true;
    state.m_smoothedRate += kKeyRateSmoothing * (rate - state.m_smoothedRate);
  }
  for (auto& [key, state] : m_keys) {
    state.m_smoothedRate *= state.m_reported ? 1 : 1 - kKeyRateSmoothing;
  }
}

PlacementInput
ServicePlacer::MakeInput(const ServiceTable& aTable,
                         const std::vector<BackendView>& aBackends,
                         TimePoint aNow) const
{
  PlacementInput input;
  for (const BackendView& view : aBackends) {
    const wire::Backend& backend = *view.m_backend;
    PlacementBackend& added = input.m_backends.emplace_back();
    added.m_number = backend.number();
    added.m_zone = backend.zone();
    const auto speed = m_speeds.find(backend.number());
    added.m_capacity = std::clamp(backend.slots(), 1U, kMaxBackendSlots) *
                       (speed == m_speeds.end() ? 1 : speed->second.m_applied);
    added.m_leaving =
      backend.state() == wire::BACKEND_STATE_DRAINING || !view.m_healthy;
    added.m_acceptsShards = view.m_reachable && !added.m_leaving;
    added.m_cold = view.m_cold;
  }
  const bool first = IsFirstPlacement(aTable);
  const bool settled = aNow - m_lastJoinAt >= kJoinSettleTime ||
                       aNow - m_firstBackendAt >= kMaxJoinSettleTime;
  input.m_maxAssignments = kMaxAssignmentsPerTick;
  if (first) {
    input.m_maxAssignments = settled ? aTable.m_shards.size() : 0;
  }
  input.m_maxMoves =
    kMaxBalancingMoves - std::min(kMaxBalancingMoves, aTable.m_movesInFlight);
  input.m_maxExtraLeavingMoves =
    kMaxMovesPerService -
    std::min(kMaxMovesPerService, aTable.m_movesInFlight) - input.m_maxMoves;
  input.m_rebalance = m_rebalancing;
  AddShards(input, aTable, first);
  return input;
}

void
ServicePlacer::AddShards(PlacementInput& aInput,
                         const ServiceTable& aTable,
                         bool aFirstPlacement) const
{
  std::vector<uint32_t> alive;
  for (const PlacementBackend& backend : aInput.m_backends) {
    alive.push_back(backend.m_number);
  }
  std::sort(alive.begin(), alive.end());
  const auto isAlive = [&](uint32_t aOwner) {
    return std::binary_search(alive.begin(), alive.end(), aOwner);
  };
  std::vector<bool> hot(aTable.m_shards.size(), false);
  for (const auto& [key, shard] : aTable.m_hotKeys) {
    hot[shard] = true;
  }
  double total = 0;
  for (const double rate : m_shardRates) {
    total += rate;
  }
  const double mean = total / kHashedShards;
  const double minTotalRate =
    kMinBackendRate * static_cast<double>(alive.size() + 1);
  const double confidence =
    aFirstPlacement
      ? 0
      : (1 - kFixedShardWeight) * std::min(1.0, total / minTotalRate);
  for (ShardNumber shard = 0; shard < aTable.m_shards.size(); shard++) {
    const ShardState& state = aTable.m_shards[shard];
    PlacementShard& added = aInput.m_shards.emplace_back();
    added.m_owner = isAlive(state.m_owner) ? state.m_owner : 0;
    added.m_moveTarget = added.m_owner ? state.m_moveTarget : 0;
    added.m_inUse = shard < kHashedShards || hot[shard];
    const double rate = shard < m_shardRates.size() ? m_shardRates[shard] : 0;
    if (mean > 0) {
      added.m_weight = 1 + confidence * (rate / mean - 1);
    }
  }
}

void
ServicePlacer::UpdateRebalancing(const PlacementPlan& aPlan,
                                 bool aNoMovesInFlight,
                                 TimePoint aNow)
{
  // A rebalancing that has started goes on until no shard is left to move, so
  // that it does not stop just inside the tolerance.
  if (m_rebalancing && !aPlan.m_hasBalancingMoves && aNoMovesInFlight) {
    m_rebalancing = false;
    m_outsideSince.clear();
    return;
  }
  // The time is kept for each backend: among many, some are always outside the
  // tolerance.
  std::map<uint32_t, TimePoint> outsideSince;
  for (const uint32_t backend : aPlan.m_outsideTolerance) {
    const auto known = m_outsideSince.find(backend);
    outsideSince[backend] =
      known == m_outsideSince.end() ? aNow : known->second;
    m_rebalancing |= aNow - outsideSince[backend] >= kRebalanceDelay;
  }
  m_outsideSince = std::move(outsideSince);
  m_rebalancing |= aPlan.m_hasEmptyBackend;
}

std::vector<wire::Command>
ServicePlacer::MakeCommands(const PlacementPlan& aPlan,
                            const ServiceTable& aTable,
                            TimePoint aNow)
{
  std::vector<wire::Command> commands;
  const auto fill = [this](auto* aList,
                           const std::vector<ShardPlacement>& aPlaced) {
    for (const ShardPlacement& placed : aPlaced) {
      wire::ShardAssignment* item = aList->Add();
      item->set_service(m_service);
      item->set_shard(placed.m_shard);
      item->set_backend(placed.m_backend);
    }
  };
  if (!aPlan.m_assignments.empty()) {
    fill(commands.emplace_back().mutable_assign_shards()->mutable_assignments(),
         aPlan.m_assignments);
    StartWaitingForApply(aTable, aPlan.m_assignments.back().m_shard, aNow);
    LogInfo("place",
            "service {}: assigning {} unowned shards",
            m_service,
            aPlan.m_assignments.size());
  }
  if (!aPlan.m_moves.empty()) {
    fill(commands.emplace_back().mutable_begin_moves()->mutable_targets(),
         aPlan.m_moves);
    StartWaitingForApply(aTable, aPlan.m_moves.back().m_shard, aNow);
    LogInfo("place",
            "service {}: moving {} shards, imbalance {:.2f}",
            m_service,
            aPlan.m_moves.size(),
            aPlan.m_imbalance);
  }
  return commands;
}

void
ServicePlacer::PlaceHotKeys(const ServiceTable& aTable,
                            TimePoint aNow,
                            std::vector<wire::Command>& aCommands)
{
  const double hotThreshold =
    std::max(kMinHotKeyRate, kHotKeyShare * m_meanBackendRate);
  size_t room = std::min(
    kMaxHotKeyChangesPerUpdate,
    kMaxHotKeys - std::min<size_t>(kMaxHotKeys, aTable.m_hotKeys.size()));
  for (auto& [key, state] : m_keys) {
    if (aTable.m_hotKeys.contains(key)) {
      continue;
    }
    if (state.m_smoothedRate < hotThreshold) {
      state.m_conditionSince = aNow;
      continue;
    }
    if (room == 0 || aNow - state.m_conditionSince < kHotKeyDelay) {
      continue;
    }
    room--;
    wire::PlaceHotKey* place = aCommands.emplace_back().mutable_place_hot_key();
    place->set_service(m_service);
    place->set_key(key);
    LogInfo("place",
            "service {}: giving a hot key its own shard, {:.0f} requests/s",
            m_service,
            state.m_smoothedRate);
    state.m_conditionSince = aNow;
  }
  // Forgets keys with a low rate to make room for others.
  std::erase_if(m_keys, [&](const auto& aItem) {
    return aItem.second.m_smoothedRate < kMinHotKeyRate / 10 &&
           !aTable.m_hotKeys.contains(aItem.first);
  });
}

// Before the shard of a cooled key can be removed, it is moved back to the
// owner of the key's hashed shard.
void
ServicePlacer::RemoveHotKeys(const ServiceTable& aTable,
                             TimePoint aNow,
                             std::vector<wire::Command>& aCommands)
{
  const double coolThreshold =
    std::max(kMinHotKeyRate / 2, kCooledKeyShare * m_meanBackendRate);
  size_t changes = 0;
  for (const auto& [key, shard] : aTable.m_hotKeys) {
    if (!m_keys.contains(key)) {
      m_keys[key].m_conditionSince = aNow;
    }
    KeyState& state = m_keys[key];
    if (state.m_smoothedRate >= coolThreshold) {
      state.m_conditionSince = aNow;
    }
    const ShardState& own = aTable.m_shards[shard];
    const ShardState& hashed = aTable.m_shards[HashedShard(key)];
    if (aNow - state.m_conditionSince < kCooledKeyDelay || own.m_moveTarget ||
        hashed.m_moveTarget || changes >= kMaxHotKeyChangesPerUpdate) {
      continue;
    }
    changes++;
    if (own.m_owner == hashed.m_owner) {
      wire::RemoveHotKey* remove =
        aCommands.emplace_back().mutable_remove_hot_key();
      remove->set_service(m_service);
      remove->set_key(key);
      LogInfo("place",
              "service {}: removing the shard of a key that is no longer hot",
              m_service);
      continue;
    }
    wire::ShardAssignment* moveBack =
      aCommands.emplace_back().mutable_begin_moves()->add_targets();
    moveBack->set_service(m_service);
    moveBack->set_shard(shard);
    moveBack->set_backend(hashed.m_owner);
  }
}

} // namespace rattanloft::cluster
