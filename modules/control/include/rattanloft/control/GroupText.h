#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "raft.pb.h"

namespace rattanloft::control {

// Replica ids are written as 16 hexadecimal digits everywhere, since JSON
// readers round larger numbers.
std::string
FormatReplicaId(uint64_t aId);
std::optional<uint64_t>
ParseReplicaId(std::string_view aText);

struct HostPort
{
  std::string m_host;
  uint16_t m_port = 0;
};
// The host must be an IPv4 address, or an IPv6 address in brackets.
std::optional<HostPort>
ParseHostPort(std::string_view aText);

// id=grpc_address/http_address/zone,... The error names the faulty item.
tl::expected<wire::GroupConfig, std::string>
ParseGroup(std::string_view aText);

} // namespace rattanloft::control
