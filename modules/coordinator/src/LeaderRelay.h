#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "FleetControl.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::coordinator {

// Relays the calls of operators from a coordinator that does not lead to the
// leader. Used on the control thread only.
class LeaderRelay
{
public:
  // All arguments must outlive the relay.
  LeaderRelay(const FleetControl& aFleetControl, http::Client& aClient)
    : m_fleetControl(aFleetControl)
    , m_client(aClient)
  {
  }

  // Sends an internal call to the leader and returns its response, or the
  // response of MakeUnavailableResponse() if there is none in time.
  boost::asio::awaitable<http::Response> Relay(std::string aPath,
                                               std::string aBody);

private:
  const FleetControl& m_fleetControl;
  http::Client& m_client;
};

} // namespace rattanloft::coordinator
