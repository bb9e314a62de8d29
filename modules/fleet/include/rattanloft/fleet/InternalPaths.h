#pragma once

#include <string_view>

// Paths of the calls between coordinators and from sidecars.
namespace rattanloft::fleet {

constexpr std::string_view kRaftPath = "/raft";
constexpr std::string_view kSyncPath = "/sync";
constexpr std::string_view kJoinPath = "/join";
// An operator's call passed on to the leader with its body unchanged.
constexpr std::string_view kConfigurationPath = "/configuration";

} // namespace rattanloft::fleet
