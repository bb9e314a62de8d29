#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>

#include "RequestClassifier.h"
#include "TrafficContext.h"
#include "rattanloft/routing/Balancer.h"

namespace rattanloft::node {

// The node and backend server to which an attempt is sent.
struct Target
{
  uint32_t m_backendNumber = 0;
  std::string m_nodeId;
  std::string m_peerAddress;
  // Epoch of the shard, 0 for a request without a shard.
  uint64_t m_epoch = 0;
  // True for the backend server beside this node.
  bool m_isLocal = false;
};

// Selects the backend server for an attempt: the owner of the shard, or a
// lightly loaded one for a request without a shard. Owned by the traffic
// thread.
class TargetPicker
{
public:
  explicit TargetPicker(TrafficContext& aContext);

  // Returns nothing if the shard has no owner or no backend server is left.
  // aExcludedBackends are not chosen for requests without a shard.
  std::optional<Target> Pick(const ClassifiedRequest& aRequest,
                             std::span<const uint32_t> aExcludedBackends);

  // Reports an attempt to the load balancer as in flight for the lifetime of
  // the object. Without a result the attempt counts as cancelled.
  class AttemptScope
  {
  public:
    AttemptScope(TargetPicker& aPicker, const Target& aTarget);
    ~AttemptScope();
    void SetResult(const http::Response& aResponse);
    AttemptScope(const AttemptScope&) = delete;
    AttemptScope& operator=(const AttemptScope&) = delete;

  private:
    TargetPicker& m_picker;
    uint32_t m_backendNumber;
    routing::AttemptResult m_result = routing::AttemptResult::kCancelled;
  };

private:
  std::optional<Target> MakeTarget(const routing::RoutingView& aView,
                                   uint32_t aBackendNumber,
                                   uint64_t aEpoch) const;

  TrafficContext& m_context;
  routing::Balancer m_balancer;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::node
