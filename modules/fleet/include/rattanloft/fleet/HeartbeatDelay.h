#pragma once

#include "rattanloft/base/Time.h"

namespace rattanloft::fleet {

// A heartbeat of a backend server that was sent earlier than this does not
// arrive any more. Longer than any grant of key ranges is in force.
constexpr Duration kMaxHeartbeatDelay = Seconds(10);

} // namespace rattanloft::fleet
