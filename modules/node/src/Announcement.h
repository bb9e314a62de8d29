#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cluster.pb.h"

namespace rattanloft::node {

// The announcement that a backend server sends to the node beside it; see
// docs/backend-protocol.md.
struct Announcement
{
  // Node id, zone and peer address are left empty for the node to fill in.
  wire::Backend m_backend;
  // Address for requests as host:port.
  std::string m_address;
  // Number of connections at a time that the backend server accepts.
  uint32_t m_connections = 100;
  // Whether the backend server drains by itself.
  bool m_draining = false;
};

// Parses the JSON body of an announcement. The error message names the
// offending field.
tl::expected<Announcement, std::string>
ParseAnnouncement(std::string_view aJson);

} // namespace rattanloft::node
