#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "fleet.pb.h"
#include "rattanloft/fleet/ConfigurationRules.h"

namespace rattanloft::coordinator {

enum class OperatorCall
{
  kReplaceConfiguration,
  kReadConfiguration,
  kOther,
};

// The calls of operators as one platform speaks them. Implemented by an
// adapter; stateless.
class OperatorProtocol
{
public:
  virtual ~OperatorProtocol() = default;

  virtual OperatorCall Classify(std::string_view aMethod,
                                std::string_view aTarget) const = 0;
  // Decodes a complete configuration and the version that it builds on. The
  // document and the digest are left out. Checks types, not meaning.
  virtual tl::expected<wire::ReplaceConfiguration, fleet::ConfigurationError>
  ParseChange(std::string_view aBody) const = 0;
};

} // namespace rattanloft::coordinator
