#pragma once

#include <memory>

#include <tl/expected.hpp>

#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Server.h"
#include "rattanloft/overload/ConnectionLimits.h"
#include "rattanloft/overload/MemoryBudget.h"
#include "rattanloft/sidecar/Sidecar.h"

namespace rattanloft::sidecar {

// Largest body of a request that callers may send.
inline constexpr uint64_t kMaxBodyBytes = 64 * 1024 * 1024;

// The memory budget and the connection limits of a sidecar.
class SidecarLimits
{
public:
  // Fails if the budget has no room for one body of the largest size, or if
  // there are too few file descriptors. aClock must outlive the limits.
  static tl::expected<SidecarLimits, SidecarError> Make(
    const SidecarOptions& aOptions,
    const Clock& aClock);

  // Applies the budget and the connection limit of the listener or client of
  // this name.
  void Apply(std::string_view aName, http::ServerOptions& aOptions) const;
  void Apply(std::string_view aName, http::ClientOptions& aOptions) const;

  overload::MemoryBudget& Budget() const { return *m_budget; }

private:
  SidecarLimits(std::shared_ptr<overload::MemoryBudget> aBudget,
                overload::ConnectionLimits aConnections)
    : m_budget(std::move(aBudget))
    , m_connections(std::move(aConnections))
  {
  }

  std::shared_ptr<overload::MemoryBudget> m_budget;
  overload::ConnectionLimits m_connections;
};

} // namespace rattanloft::sidecar
