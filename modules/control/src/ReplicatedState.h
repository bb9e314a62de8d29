#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "rattanloft/cluster/ClusterState.h"
#include "rattanloft/consensus/StateMachine.h"

namespace rattanloft::control {

// Connects the cluster state to the replicated log: applies committed commands,
// and takes and restores snapshots. Owned by the control thread.
class ReplicatedState final : public consensus::StateMachine
{
public:
  void Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override;

  const cluster::ClusterState& Cluster() const { return m_clusterState; }
  // Number of commands applied and snapshots restored by this process.
  uint64_t ChangeCount() const { return m_changeCount; }

private:
  cluster::ClusterState m_clusterState;
  uint64_t m_changeCount = 0;
};

} // namespace rattanloft::control
