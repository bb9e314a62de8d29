#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ClusterData.h"
#include "control.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/cluster/Placement.h"

namespace rattanloft::cluster {

// What the coordinator knows of one backend of the service.
struct BackendView
{
  const wire::Backend* m_backend = nullptr;
  // Heard recently and may hold a lease.
  bool m_reachable = false;
  // False if its shards are to be moved away.
  bool m_healthy = true;
  bool m_cold = false;
  wire::NodeLoad m_load;
};

// Placement of one service on the leader: load figures, hysteresis, hot keys,
// and commands that wait to be applied. Pure; owned by Coordinator.
class ServicePlacer
{
public:
  explicit ServicePlacer(std::string aService);

  // To be called every 100 ms. aBackends has all that are not gone.
  std::vector<wire::Command> Tick(const ServiceTable& aTable,
                                  const std::vector<BackendView>& aBackends,
                                  TimePoint aNow);

private:
  struct Speed
  {
    double m_smoothed = 1;
    double m_applied = 1;
  };
  struct KeyState
  {
    double m_smoothedRate = 0;
    bool m_reported = false;
    TimePoint m_conditionSince;
  };

  bool IsWaitingForApply(const ServiceTable& aTable, TimePoint aNow);
  void StartWaitingForApply(const ServiceTable& aTable,
                            ShardNumber aShard,
                            TimePoint aNow);
  void TrackJoins(const std::vector<BackendView>& aBackends, TimePoint aNow);
  void UpdateLoads(const ServiceTable& aTable,
                   const std::vector<BackendView>& aBackends);
  void UpdateShardRates(const ServiceTable& aTable,
                        const std::vector<BackendView>& aBackends);
  void UpdateSpeeds(const std::vector<BackendView>& aBackends);
  void UpdateKeyRates(const std::vector<BackendView>& aBackends);
  PlacementInput MakeInput(const ServiceTable& aTable,
                           const std::vector<BackendView>& aBackends,
                           TimePoint aNow) const;
  void AddShards(PlacementInput& aInput,
                 const ServiceTable& aTable,
                 bool aFirstPlacement) const;
  void UpdateRebalancing(const PlacementPlan& aPlan,
                         bool aNoMovesInFlight,
                         TimePoint aNow);
  std::vector<wire::Command> MakeCommands(const PlacementPlan& aPlan,
                                          const ServiceTable& aTable,
                                          TimePoint aNow);
  void PlaceHotKeys(const ServiceTable& aTable,
                    TimePoint aNow,
                    std::vector<wire::Command>& aCommands);
  void RemoveHotKeys(const ServiceTable& aTable,
                     TimePoint aNow,
                     std::vector<wire::Command>& aCommands);

  std::string m_service;
  // Requests per second, smoothed, indexed by shard.
  std::vector<double> m_shardRates;
  std::map<uint32_t, Speed> m_speeds;
  std::map<std::string, KeyState> m_keys;
  double m_meanBackendRate = 0;
  TimePoint m_nextLoadUpdateAt;

  size_t m_reachableCount = 0;
  TimePoint m_firstBackendAt;
  TimePoint m_lastJoinAt;

  // Backends outside the tolerance, and since when.
  std::map<uint32_t, TimePoint> m_outsideSince;
  bool m_rebalancing = false;

  // A shard of the last batch, to see when it has been applied.
  bool m_waitingForApply = false;
  ShardNumber m_awaitedShard = 0;
  ShardState m_awaitedShardBefore;
  TimePoint m_waitEndsAt;
};

} // namespace rattanloft::cluster
