#pragma once

#include <string_view>

#include <tl/expected.hpp>

#include "rattanloft/fleet/ConfigurationRules.h"

namespace rattanloft::fleet {

// Zone names are sent to every sidecar.
constexpr size_t kMaxZoneNameBytes = 128;

// Checks the name of a zone to evacuate: not empty, not too long, valid UTF-8
// without control characters and slashes. Pure.
tl::expected<void, ConfigurationError>
CheckZoneName(std::string_view aZone);

} // namespace rattanloft::fleet
