#pragma once

#include <cstdint>

#include "rattanloft/http/Types.h"

namespace rattanloft::http {

// Hash of the method, target and body. It must stay the same in all releases,
// because it is stored with idempotency records.
uint64_t
ComputeFingerprint(const Request& aRequest);

// Hash of the host, method, target and body, for servers that serve several
// hosts.
uint64_t
ComputeHostFingerprint(const Request& aRequest);

} // namespace rattanloft::http
