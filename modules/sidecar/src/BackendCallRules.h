#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

// The backend server that the settings of this sidecar name.
struct ConfiguredBackend
{
  std::string m_service;
  // IP address and port on which it accepts requests.
  std::string m_address;
};

// The one place that decides whether a decoded call may come from the backend
// server beside this sidecar. Every process on the instance can write to the
// listener, and what it writes reaches the leader and, through it, all other
// sidecars. Nothing of a call that is refused here may be used.

// Returns why the id cannot be that of a backend server. Ids become part of
// names in messages that hold text only, so that one odd byte would make all of
// a message unreadable.
tl::expected<void, std::string>
CheckBackendId(std::string_view aId);

// Returns why the heartbeat cannot come from the configured backend server.
tl::expected<void, std::string>
CheckHeartbeat(const Heartbeat& aHeartbeat, const ConfiguredBackend& aBackend);

} // namespace rattanloft::sidecar
