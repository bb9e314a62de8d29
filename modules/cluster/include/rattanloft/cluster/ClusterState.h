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

// What a committed command did. The field that matches the command is set.
struct CommandResult
{
  wire::ChangeResult m_change;
  // Number of the registered backend.
  uint32_t m_backend = 0;
};

// The replicated state: catalogue, backends, ownership. Deterministic: the same
// commands at the same indexes give the same state on every replica. Owned by
// the control thread.
class ClusterState
{
public:
  ClusterState();
  ~ClusterState();

  CommandResult Apply(const wire::Command& aCommand, uint64_t aIndex);

  wire::ClusterSnapshot Snapshot() const;
  tl::expected<void, std::string> Restore(const wire::ClusterSnapshot&);

  uint64_t AppliedIndex() const;
  uint64_t CatalogueRevision() const;
  uint64_t RouteRevision() const;

  // Updates from a known revision; full when the known one is 0, newer than
  // this state's, or older than the change buffer.
  wire::CatalogueUpdate CatalogueSince(uint64_t aRevision) const;
  wire::RouteUpdate RoutesSince(uint64_t aRevision) const;

  const std::map<std::string, wire::CatalogueEntry>& CatalogueEntries() const;
  const std::map<uint32_t, wire::Backend>& Backends() const;
  // The result of an earlier change with this id, or null.
  const wire::HistoryRecord* FindChange(std::string_view aChangeId) const;
  // Newest first.
  std::vector<wire::HistoryRecord> History(size_t aMax) const;
  // Full tables of all services that have shards.
  std::vector<wire::ServiceRoutes> Routes() const;

  // For the coordinator. Implementation detail of the module.
  class Data;
  const Data& InternalData() const { return *m_data; }

private:
  std::unique_ptr<Data> m_data;
};

} // namespace rattanloft::cluster
