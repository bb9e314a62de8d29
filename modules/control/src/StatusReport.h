#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "ControlCore.h"

namespace rattanloft::control {

// The document of GET /v1/status: what this replica knows, without a quorum.
nlohmann::json
StatusToJson(const ControlCore& aCore);

// Owners per shard of one service as ranges; null if it has no shards.
nlohmann::json
RoutesToJson(const cluster::ClusterState& aState, const std::string& aService);

// Prometheus text form.
std::string
MetricsText(const ControlCore& aCore);

} // namespace rattanloft::control
