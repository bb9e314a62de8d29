#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "OperatorApi.h"
#include "rattanloft/control/GroupText.h"

namespace rattanloft::control {

// Serves the operators' interface over HTTP on the control thread.
class OperatorServer
{
public:
  static tl::expected<std::unique_ptr<OperatorServer>, std::string> Make(
    boost::asio::io_context& aContext,
    const HostPort& aAddress,
    OperatorApi& aApi);

  virtual ~OperatorServer() = default;
  virtual uint16_t Port() const = 0;
  // Lets running requests finish, then calls back.
  virtual void Stop(std::function<void()> aDone) = 0;
};

} // namespace rattanloft::control
