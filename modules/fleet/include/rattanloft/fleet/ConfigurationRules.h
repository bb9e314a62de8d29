#pragma once

#include <string>

#include <tl/expected.hpp>

#include "fleet.pb.h"

namespace rattanloft::fleet {

// Names the field of a configuration that cannot be put in force, and why.
struct ConfigurationError
{
  std::string m_field;
  std::string m_reason;
};

// Checks what holds for a configuration on its own, without the one in force.
tl::expected<void, ConfigurationError>
CheckConfiguration(const wire::Configuration& aConfiguration);

} // namespace rattanloft::fleet
