#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace rattanloft::http {

// address:port with an IP address, in brackets or not if it is IPv6. Empty if
// malformed or if the port is 0.
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

} // namespace rattanloft::http
