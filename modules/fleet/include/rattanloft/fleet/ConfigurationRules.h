#pragma once

#include <string>

#include <tl/expected.hpp>

#include "fleet.pb.h"

namespace rattanloft::fleet {

// Names the invalid field of a configuration and says why it is invalid.
struct ConfigurationError
{
  std::string m_field;
  std::string m_reason;
};

// Checks a configuration on its own, without regard to the one in force.
// Returns the first error. Pure.
tl::expected<void, ConfigurationError>
CheckConfiguration(const wire::Configuration& aConfiguration);

} // namespace rattanloft::fleet
