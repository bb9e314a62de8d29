#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "fleet.pb.h"
#include "rattanloft/fleet/ConfigurationRules.h"

namespace rattanloft::coordinator {

// The calls of operators that a coordinator distinguishes.
enum class OperatorCall
{
  kReplaceConfiguration,
  kReadConfiguration,
  kStartEvacuation,
  kEndEvacuation,
  // Not a known call.
  kOther,
};

// Translates the HTTP calls of operators, as a platform defines them.
// Implemented by the adapter of the platform; stateless.
class OperatorProtocol
{
public:
  virtual ~OperatorProtocol() = default;

  // aTarget is the HTTP request target, with the query string.
  virtual OperatorCall Classify(std::string_view aMethod,
                                std::string_view aTarget) const = 0;
  // Decodes a complete configuration and the version on which it is based. Does
  // not set the document and the digest of the change. Checks the types of the
  // fields, but not whether the configuration makes sense.
  virtual tl::expected<wire::ReplaceConfiguration, fleet::ConfigurationError>
  ParseChange(std::string_view aBody) const = 0;
  // Decodes the zone that a call of kind kStartEvacuation or kEndEvacuation
  // names. Checks the encoding, but not the name.
  virtual tl::expected<std::string, fleet::ConfigurationError>
  ParseEvacuatedZone(std::string_view aTarget) const = 0;
};

} // namespace rattanloft::coordinator
