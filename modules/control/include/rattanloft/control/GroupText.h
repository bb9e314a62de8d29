#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "raft.pb.h"

namespace rattanloft::control {

// Replica ids are written as 16 hexadecimal digits everywhere, since many JSON
// readers round large numbers.
std::string
FormatReplicaId(uint64_t aId);
// Returns an empty value unless the text has exactly 16 hexadecimal digits and
// is not 0.
std::optional<uint64_t>
ParseReplicaId(std::string_view aText);

// A network address. m_host is an IP address without brackets.
struct HostPort
{
  std::string m_host;
  uint16_t m_port = 0;
};
// Parses host:port. The host must be an IPv4 address, or an IPv6 address in
// brackets.
std::optional<HostPort>
ParseHostPort(std::string_view aText);

// Parses a comma-separated list of group members, each of the form
// id=grpc_address/http_address/zone. An empty text is an empty group. The error
// names the invalid member.
tl::expected<wire::GroupConfig, std::string>
ParseGroup(std::string_view aText);

} // namespace rattanloft::control
