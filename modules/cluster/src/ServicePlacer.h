#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ClusterStateImpl.h"
#include "control.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/cluster/Placement.h"

namespace rattanloft::cluster {

// What the coordinator knows of one backend of a service.
struct BackendView
{
  // Never null.
  const wire::Backend* m_backend = nullptr;
  // The node was heard recently and its lease may be renewed.
  bool m_reachable = false;
  // False if the shards of the backend are to be moved away.
  bool m_healthy = true;
  // The backend started recently.
  bool m_cold = false;
  wire::NodeLoad m_load;
};

// Places the shards of one service on the leader. Smooths the reported loads,
// delays rebalancing until an imbalance has lasted, gives hot keys a shard of
// their own, and waits until its commands are applied. Does no I/O and reads no
// clock. Owned by the Coordinator.
class ServicePlacer
{
public:
  explicit ServicePlacer(std::string aService);

  // Returns the commands to propose. To be called every 100 ms. aBackends has
  // all backends of the service that are not gone.
  std::vector<wire::Command> Tick(const ServiceTable& aTable,
                                  const std::vector<BackendView>& aBackends,
                                  TimePoint aNow);

private:
  // Speed of a backend relative to the mean of the service.
  struct Speed
  {
    double m_smoothed = 1;
    // Follows m_smoothed in large steps, since each change moves shards.
    double m_applied = 1;
  };
  // Load of a key that has or may get a shard of its own.
  struct KeyState
  {
    // Requests per second.
    double m_smoothedRate = 0;
    // A node named the key in its last load report.
    bool m_reported = false;
    // Since when the key has been hot, or cooled if it has its own shard.
    TimePoint m_conditionSince;
  };

  // True until the last proposed commands have been applied or the wait for
  // them has timed out.
  bool IsWaitingForApply(const ServiceTable& aTable, TimePoint aNow);
  // aShard is changed by the command that is waited for.
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
  // Requests per second, smoothed, indexed by shard number.
  std::vector<double> m_shardRates;
  // By backend number.
  std::map<uint32_t, Speed> m_speeds;
  // By key.
  std::map<std::string, KeyState> m_keys;
  // Mean of the smoothed requests per second of the reachable backends.
  double m_meanBackendRate = 0;
  TimePoint m_nextLoadUpdateAt;

  size_t m_reachableCount = 0;
  TimePoint m_firstBackendAt;
  TimePoint m_lastJoinAt;

  // Since when each backend has been outside the tolerance, by number.
  std::map<uint32_t, TimePoint> m_outsideSince;
  bool m_rebalancing = false;

  // The last proposed batch counts as applied when one of its shards changes.
  bool m_waitingForApply = false;
  ShardNumber m_awaitedShard = 0;
  // State of that shard when the batch was proposed.
  ShardState m_awaitedShardBefore;
  TimePoint m_waitEndsAt;
};

} // namespace rattanloft::cluster
