#include "rattanloft/http/Endpoint.h"

#include <charconv>
#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace rattanloft::http {

namespace asio = boost::asio;
using asio::ip::tcp;

std::optional<tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port = aText.substr(colon + 1);
  uint16_t portNumber = 0;
  const auto [end, parseError] =
    std::from_chars(port.data(), port.data() + port.size(), portNumber);
  boost::system::error_code addressError;
  const auto address = asio::ip::make_address(std::string(host), addressError);
  if (addressError || parseError != std::errc{} ||
      end != port.data() + port.size() || portNumber == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(address, portNumber);
}

} // namespace rattanloft::http
