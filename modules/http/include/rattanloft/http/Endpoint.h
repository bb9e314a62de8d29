#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace rattanloft::http {

// Parses address:port, where the address is an IP address. An IPv6 address may
// be in brackets. Returns nothing if the text is malformed or the port is 0.
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

} // namespace rattanloft::http
