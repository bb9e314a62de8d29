#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "fleet.pb.h"

namespace rattanloft::fleet {

// Returns what turns aBase into aNext.
wire::ConfigurationChanges
CompareConfigurations(const wire::Configuration& aBase,
                      const wire::Configuration& aNext);
// Returns the later configuration, with its routes in the order of their names.
// Returns nullopt if the changes build on another version, or if the result
// differs from what they were computed for.
std::optional<wire::Configuration>
ApplyConfigurationChanges(const wire::Configuration& aBase,
                          const wire::ConfigurationChanges& aChanges);

// The latest versions of the configuration that the leader has seen, so that
// sidecars which have one of them are sent only the changes since then. Does no
// I/O; used on the control thread only.
class ConfigurationHistory
{
public:
  // Records the version in force. Must be called before sidecars are sent it.
  void Observe(const wire::Configuration& aCurrent);
  // Returns what turns the given version into the one observed last. Returns
  // null if the given version is not known or changes by name cannot describe
  // the difference. Valid until the next Observe().
  const wire::ConfigurationChanges* FindChangesSince(uint64_t aVersion);

private:
  // Oldest first; the last one is in force.
  std::deque<wire::Configuration> m_versions;
  int m_routeCount = 0;
  // Changes since earlier versions, computed when they are first needed. Empty
  // where changes by name cannot describe the difference.
  std::map<uint64_t, std::optional<wire::ConfigurationChanges>> m_changesByBase;
};

} // namespace rattanloft::fleet
