#pragma once

#include <string_view>

// HTTP paths of the internal calls that coordinators receive from each other
// and from sidecars.
namespace rattanloft::fleet {

// Raft messages between coordinators.
constexpr std::string_view kRaftPath = "/raft";
// Reports of the sidecars to the leader.
constexpr std::string_view kSyncPath = "/sync";
// Requests of coordinators to become members of the group.
constexpr std::string_view kJoinPath = "/join";
// Calls of operators, forwarded to the leader with their body unchanged.
constexpr std::string_view kConfigurationPath = "/configuration";
// Orders of operators that start or end an evacuation, forwarded to the leader
// as a SetEvacuation message.
constexpr std::string_view kEvacuationPath = "/evacuation";

} // namespace rattanloft::fleet
