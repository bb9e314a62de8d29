#include "ReservedPorts.h"

#include <catch2/catch.hpp>

namespace rattanloft::tool {

namespace {

using boost::asio::ip::tcp;

bool
CanBind(const tcp::endpoint& aEndpoint, bool aReuseAddress)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, tcp::v4());
  acceptor.set_option(tcp::acceptor::reuse_address(aReuseAddress));
  boost::system::error_code error;
  acceptor.bind(aEndpoint, error);
  if (!error) {
    acceptor.listen(1, error);
  }
  return !error;
}

} // namespace

// Guards against a child process that finds its port taken when it starts.
TEST_CASE("Only listeners that share their address get a reserved port")
{
  const ReservedPorts reserved(3);
  for (const uint16_t port : reserved.Ports()) {
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    CHECK_FALSE(CanBind(endpoint, false));
    CHECK(CanBind(endpoint, true));
    CHECK(CanBind(endpoint, true));
    CHECK_FALSE(CanBind(endpoint, false));
  }
}

} // namespace rattanloft::tool
