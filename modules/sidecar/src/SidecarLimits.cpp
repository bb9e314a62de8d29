#include "SidecarLimits.h"

#include <algorithm>

#include <fmt/format.h>

namespace rattanloft::sidecar {

tl::expected<SidecarLimits, SidecarError>
SidecarLimits::Make(const SidecarOptions& aOptions, const Clock& aClock)
{
  const size_t largest = overload::MemoryBudget::MaxChargeBytes(
    aOptions.m_memoryBudgetBytes, overload::ChargeKind::kLargeBody);
  if (largest < kMaxBodyBytes) {
    return tl::unexpected(SidecarError{ fmt::format(
      "a memory budget of {} bytes has no room for a body of {} bytes",
      aOptions.m_memoryBudgetBytes,
      kMaxBodyBytes) });
  }
  // Together below the 3,896 connections of 4,096 open files. Callers and peers
  // keep the limit of earlier releases, 1,000 and 64 that are being refused.
  // The platform checks readiness, and the backend server reports, on a few
  // connections each.
  auto connections =
    overload::ConnectionLimits::Make(aOptions.m_maxOpenFiles,
                                     { { "callers", 1064 },
                                       { "peers", 1064 },
                                       { "ready", 128 },
                                       { "announce", 128 },
                                       { "metrics", 64 },
                                       { "peer-client", 512 },
                                       { "backend-client", 512 },
                                       { "control-client", 64 },
                                       { "grant-client", 100 },
                                       { "release-client", 100 } });
  if (!connections) {
    return tl::unexpected(SidecarError{ connections.error() });
  }
  return SidecarLimits(std::make_shared<overload::MemoryBudget>(
                         aOptions.m_memoryBudgetBytes, aClock),
                       std::move(*connections));
}

void
SidecarLimits::Apply(std::string_view aName,
                     http::ServerOptions& aOptions) const
{
  const size_t limit = m_connections.Limit(aName);
  aOptions.m_memoryBudget = m_budget;
  aOptions.m_maxRejectedConnections =
    std::min(aOptions.m_maxRejectedConnections, limit / 4);
  aOptions.m_maxConnections = limit - aOptions.m_maxRejectedConnections;
}

void
SidecarLimits::Apply(std::string_view aName,
                     http::ClientOptions& aOptions) const
{
  const size_t limit = m_connections.Limit(aName);
  aOptions.m_memoryBudget = m_budget;
  aOptions.m_maxTotalConnections = limit;
  aOptions.m_maxConnectionsPerPeer =
    std::min(aOptions.m_maxConnectionsPerPeer, limit);
}

} // namespace rattanloft::sidecar
