#include "ReplicatedState.h"

#include "rattanloft/base/Assert.h"

namespace rattanloft::control {

void
ReplicatedState::Apply(uint64_t aIndex, std::string_view aCommand)
{
  wire::Command command;
  // The checksums of the log have verified the bytes, so this cannot fail. A
  // replica must not skip a command: its state would differ from that of the
  // others from then on.
  RATTANLOFT_ASSERT(
    command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size())));
  m_clusterState.Apply(command, aIndex);
  ++m_changeCount;
}

std::string
ReplicatedState::TakeSnapshot() const
{
  return m_clusterState.Snapshot().SerializeAsString();
}

tl::expected<void, std::string>
ReplicatedState::RestoreSnapshot(std::string_view aSnapshot)
{
  wire::ClusterSnapshot snapshot;
  if (!snapshot.ParseFromArray(aSnapshot.data(),
                               static_cast<int>(aSnapshot.size()))) {
    return tl::unexpected(std::string("the snapshot cannot be parsed"));
  }
  ++m_changeCount;
  return m_clusterState.Restore(snapshot);
}

} // namespace rattanloft::control
