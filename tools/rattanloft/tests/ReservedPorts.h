#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace rattanloft::tool {

// Reserves TCP ports on all loopback addresses for processes that are started
// later and listen with SO_REUSEADDR. They may stop and listen again.
// scripts/lib/ports.py is the same for tests in Python.
class ReservedPorts
{
public:
  explicit ReservedPorts(size_t aCount);

  std::span<const uint16_t> Ports() const { return m_ports; }

private:
  boost::asio::io_context m_context;
  // Bound, but not listening.
  std::vector<boost::asio::ip::tcp::acceptor> m_reservations;
  std::vector<uint16_t> m_ports;
};

} // namespace rattanloft::tool
