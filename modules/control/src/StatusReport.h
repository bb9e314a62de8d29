#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "ControlCore.h"

namespace rattanloft::control {

// The response to GET /v1/status: what this replica knows, without confirmation
// by a quorum.
nlohmann::json
StatusToJson(const ControlCore& aCore);

// The owners of the shards of one service; consecutive shards with the same
// owner are combined to a range. Null if the service has no shards.
nlohmann::json
RoutesToJson(const cluster::ClusterState& aState, const std::string& aService);

// The metrics of this replica in the Prometheus text format.
std::string
MetricsText(const ControlCore& aCore);

} // namespace rattanloft::control
