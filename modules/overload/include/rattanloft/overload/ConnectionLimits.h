#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace rattanloft::overload {

// A group of connections with a limit of its own: those of a listener, or the
// outgoing ones of a client.
struct ConnectionPart
{
  std::string m_name;
  // Limit if there are descriptors enough for all parts.
  size_t m_wanted = 0;
};

// Divides the file descriptors of a process among its listeners and its
// outgoing connections, so that none of them can take those of another.
class ConnectionLimits
{
public:
  // Descriptors for everything else: files, timers, listening sockets and
  // connections that are being accepted or closed.
  static constexpr size_t kReservedDescriptors = 200;
  // A part with fewer cannot work: a listener accepts a connection before it
  // closes another.
  static constexpr size_t kMinPart = 8;

  // Each part gets what it wants if that fits, and otherwise its proportion of
  // what there is, but at least kMinPart. The error says what is missing.
  static tl::expected<ConnectionLimits, std::string> Make(
    size_t aMaxDescriptors,
    const std::vector<ConnectionPart>& aParts);

  // 0 for an unknown part.
  size_t Limit(std::string_view aName) const;

private:
  std::map<std::string, size_t, std::less<>> m_limits;
};

} // namespace rattanloft::overload
