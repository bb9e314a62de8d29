#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "FleetControl.h"
#include "LeaderRelay.h"
#include "rattanloft/coordinator/OperatorProtocol.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::coordinator {

// Serves the calls that read and replace the configuration on every
// coordinator. The leader carries them out; every other coordinator relays them
// to the leader, but a relayed call is not relayed again. Used on the control
// thread only.
class ConfigurationService
{
public:
  // All arguments must outlive the service.
  ConfigurationService(FleetControl& aFleetControl,
                       const OperatorProtocol& aProtocol,
                       LeaderRelay& aRelay)
    : m_fleetControl(aFleetControl)
    , m_protocol(aProtocol)
    , m_relay(aRelay)
  {
  }

  // Handles a call of an operator; relays it if this coordinator is not the
  // leader.
  boost::asio::awaitable<http::Response> OnOperatorRequest(
    OperatorCall aCall,
    http::Request aRequest);
  // Handles a call that another coordinator relayed.
  boost::asio::awaitable<http::Response> OnRelayedRequest(
    http::Request aRequest);

private:
  // Carries out a call on the leader.
  boost::asio::awaitable<http::Response> Serve(OperatorCall aCall,
                                               std::string aBody);
  boost::asio::awaitable<http::Response> ReplaceConfiguration(
    std::string aBody);
  boost::asio::awaitable<http::Response> ReadConfiguration();

  FleetControl& m_fleetControl;
  const OperatorProtocol& m_protocol;
  LeaderRelay& m_relay;
};

} // namespace rattanloft::coordinator
