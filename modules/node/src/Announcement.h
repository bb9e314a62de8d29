#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "cluster.pb.h"

namespace rattanloft::node {

// What a backend server says about itself; see docs/backend-protocol.md.
struct Announcement
{
  // Node id, zone and peer address are left empty.
  wire::Backend m_backend;
  // host:port for requests.
  std::string m_address;
  uint32_t m_connections = 100;
  bool m_draining = false;
};

// An error names the offending field.
tl::expected<Announcement, std::string>
ParseAnnouncement(std::string_view aJson);

} // namespace rattanloft::node
