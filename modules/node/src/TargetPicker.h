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

// Where an attempt goes.
struct Target
{
  uint32_t m_backendNumber = 0;
  std::string m_nodeId;
  std::string m_peerAddress;
  // Of the shard, 0 without one.
  uint64_t m_epoch = 0;
  // The backend server beside this node.
  bool m_isLocal = false;
};

// Chooses the owner of a shard, or a lightly loaded backend server of a service
// without keys. Owned by the traffic thread.
class TargetPicker
{
public:
  explicit TargetPicker(TrafficContext& aContext);

  // None if the shard has no owner or no backend server is left.
  std::optional<Target> Pick(const ClassifiedRequest& aRequest,
                             std::span<const uint32_t> aExcludedBackends);

  // Counts an attempt as in flight for the lifetime of the object.
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
  std::optional<Target> MakeTarget(const routing::View& aView,
                                   uint32_t aBackendNumber,
                                   uint64_t aEpoch) const;

  TrafficContext& m_context;
  routing::Balancer m_balancer;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::node
