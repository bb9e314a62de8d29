#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "OperatorApi.h"
#include "rattanloft/control/GroupText.h"

namespace rattanloft::control {

// Serves the operator API over HTTP on the control thread.
class OperatorServer
{
public:
  // Starts to listen. The references must outlive the server. The error
  // describes why the listener could not be opened.
  static tl::expected<std::unique_ptr<OperatorServer>, std::string> Make(
    boost::asio::io_context& aContext,
    const HostPort& aAddress,
    OperatorApi& aApi);

  virtual ~OperatorServer() = default;
  virtual uint16_t Port() const = 0;
  // Lets running requests finish and then calls aDone.
  virtual void Stop(std::function<void()> aDone) = 0;
};

} // namespace rattanloft::control
