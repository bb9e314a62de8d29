#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

namespace rattanloft::coordinator {

struct LossyLinkOptions
{
  // Port on loopback that the link leads to.
  uint16_t m_targetPort = 0;
  // Chance of each segment to be lost, in both directions.
  double m_lossProbability = 0;
  uint32_t m_seed = 1;
};

// A TCP proxy on loopback that models a path with packet loss. It forwards
// segments of at most 1,448 bytes. A lost one arrives after a retransmission
// timeout of 200 ms, and the bytes behind it on the connection wait, as those
// of a sender whose congestion window has collapsed do. Retransmissions are not
// lost. All connections of the link end with it. For an io_context that one
// thread runs.
class LossyLink
{
public:
  // Starts to listen on a free port. Returns an error text on failure.
  static tl::expected<std::unique_ptr<LossyLink>, std::string> Make(
    boost::asio::io_context& aContext,
    LossyLinkOptions aOptions);

  virtual ~LossyLink() = default;

  // IP address and port that lead to the target.
  virtual std::string Address() const = 0;
  // Bytes that have arrived at the target.
  virtual uint64_t BytesToTarget() const = 0;
  // Segments that were lost, in both directions.
  virtual uint64_t LostSegments() const = 0;
};

} // namespace rattanloft::coordinator
