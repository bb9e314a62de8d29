#include "ReservedPorts.h"

#include <utility>

#include "rattanloft/base/Random.h"

namespace rattanloft::tool {

namespace {

using boost::asio::ip::tcp;

// Below the range from which the kernel chooses ports that are not named.
constexpr uint16_t kFirstPort = 12000;
constexpr uint16_t kLastPort = 31999;

} // namespace

ReservedPorts::ReservedPorts(size_t aCount)
{
  constexpr uint64_t kPortCount = kLastPort - kFirstPort + 1;
  while (m_ports.size() < aCount) {
    const auto port =
      static_cast<uint16_t>(kFirstPort + RandomId() % kPortCount);
    tcp::acceptor reservation(m_context, tcp::v4());
    boost::system::error_code error;
    // Without SO_REUSEADDR this fails if any other socket is bound to the port.
    reservation.bind(tcp::endpoint(tcp::v4(), port), error);
    if (error) {
      continue;
    }
    reservation.set_option(tcp::acceptor::reuse_address(true));
    m_reservations.push_back(std::move(reservation));
    m_ports.push_back(port);
  }
}

} // namespace rattanloft::tool
