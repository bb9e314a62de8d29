#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cluster.pb.h"
#include "control.pb.h"

namespace rattanloft::cluster {

// The result of a committed command. Commands other than the two named here
// have none.
struct CommandResult
{
  // Set for a catalogue change.
  wire::ChangeResult m_change;
  // Set for RegisterBackend: the number of the backend, or 0 if the
  // registration was refused.
  uint32_t m_backend = 0;
};

// The replicated state of the cluster: the catalogue, the backends and the
// owners of all shards. Deterministic: the same commands at the same log
// indexes give the same state on every replica. Owned by the control thread.
class ClusterState
{
public:
  ClusterState();
  ~ClusterState();

  // aIndex is the log index of the command and must grow with each call. Parts
  // of a command that the state does not allow are skipped.
  CommandResult Apply(const wire::Command& aCommand, uint64_t aIndex);

  wire::ClusterSnapshot Snapshot() const;
  // On error the state is unchanged.
  tl::expected<void, std::string> Restore(const wire::ClusterSnapshot&);

  uint64_t AppliedIndex() const;
  uint64_t CatalogueRevision() const;
  uint64_t RouteRevision() const;

  // The changes after a revision that the receiver has. The update is full if
  // that revision is 0, newer than this state's, or older than the changes that
  // are still buffered.
  wire::CatalogueUpdate CatalogueSince(uint64_t aRevision) const;
  wire::RouteUpdate RoutesSince(uint64_t aRevision) const;

  const std::map<std::string, wire::CatalogueEntry>& CatalogueEntries() const;
  const std::map<uint32_t, wire::Backend>& Backends() const;
  // The result of an earlier change with this id, or null.
  const wire::HistoryRecord* FindChange(std::string_view aChangeId) const;
  // The last aMax catalogue changes, newest first.
  std::vector<wire::HistoryRecord> History(size_t aMax) const;
  // Full tables of all services that have shards.
  std::vector<wire::ServiceRoutes> Routes() const;

  // The stores behind this class, for the Coordinator and the benchmark of this
  // module only.
  class Impl;
  const Impl& InternalState() const { return *m_impl; }

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace rattanloft::cluster
