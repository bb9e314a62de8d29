#pragma once

#include <boost/asio/awaitable.hpp>

#include "FleetControl.h"
#include "LeaderRelay.h"
#include "rattanloft/coordinator/OperatorProtocol.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::coordinator {

// Serves the orders that start and end the evacuation of a zone on every
// coordinator. The leader carries them out; every other coordinator relays them
// to the leader, but a relayed order is not relayed again. Used on the control
// thread only.
class EvacuationService
{
public:
  // All arguments must outlive the service.
  EvacuationService(FleetControl& aFleetControl,
                    const OperatorProtocol& aProtocol,
                    LeaderRelay& aRelay)
    : m_fleetControl(aFleetControl)
    , m_protocol(aProtocol)
    , m_relay(aRelay)
  {
  }

  // Handles a call of kind kStartEvacuation or kEndEvacuation; relays it if
  // this coordinator is not the leader.
  boost::asio::awaitable<http::Response> OnOperatorRequest(
    OperatorCall aCall,
    http::Request aRequest);
  // Handles an order that another coordinator relayed.
  boost::asio::awaitable<http::Response> OnRelayedRequest(
    http::Request aRequest);

private:
  // Carries out an order on the leader.
  boost::asio::awaitable<http::Response> Serve(wire::SetEvacuation aOrder);

  FleetControl& m_fleetControl;
  const OperatorProtocol& m_protocol;
  LeaderRelay& m_relay;
};

} // namespace rattanloft::coordinator
