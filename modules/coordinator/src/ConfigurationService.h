#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "FleetControl.h"
#include "rattanloft/coordinator/OperatorProtocol.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::coordinator {

// Serves operators on every coordinator: calls are carried out on the leader or
// passed on to it once. Control thread only.
class ConfigurationService
{
public:
  // The arguments outlive the service.
  ConfigurationService(FleetControl& aFleetControl,
                       const OperatorProtocol& aProtocol,
                       http::Client& aClient)
    : m_fleetControl(aFleetControl)
    , m_protocol(aProtocol)
    , m_client(aClient)
  {
  }

  // From an operator; passed on if this coordinator does not lead.
  boost::asio::awaitable<http::Response> OnOperatorRequest(
    http::Request aRequest);
  // From another coordinator; never passed on again.
  boost::asio::awaitable<http::Response> OnRelayedRequest(
    http::Request aRequest);

private:
  boost::asio::awaitable<http::Response> Serve(OperatorCall aCall,
                                               std::string aBody);
  boost::asio::awaitable<http::Response> ReplaceConfiguration(
    std::string aBody);
  boost::asio::awaitable<http::Response> ReadConfiguration();
  boost::asio::awaitable<http::Response> RelayToLeader(OperatorCall aCall,
                                                       std::string aBody);

  FleetControl& m_fleetControl;
  const OperatorProtocol& m_protocol;
  http::Client& m_client;
};

} // namespace rattanloft::coordinator
