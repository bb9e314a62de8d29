#include "EvacuationService.h"

#include "OperatorResponses.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/EvacuationRules.h"
#include "rattanloft/fleet/InternalPaths.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;
using boost::beast::http::status;

std::string_view
ResultName(EvacuationResult aResult)
{
  switch (aResult) {
    case EvacuationResult::kConfirmed:
      return "confirmed";
    case EvacuationResult::kUnavailable:
      return "unavailable";
    case EvacuationResult::kTooManyZones:
      return "too-many-zones";
  }
  return "unknown";
}

// The name is not logged, since it may be anything.
http::Response
RefuseOrder(const fleet::ConfigurationError& aError)
{
  LogInfo("evacuation", "event=refused reason=\"{}\"", aError.m_reason);
  return MakeErrorResponse(
    status::bad_request, aError.m_field, aError.m_reason);
}

} // namespace

asio::awaitable<http::Response>
EvacuationService::OnOperatorRequest(OperatorCall aCall, http::Request aRequest)
{
  const std::string target(aRequest.target());
  const auto zone = m_protocol.ParseEvacuatedZone(target);
  if (!zone) {
    co_return RefuseOrder(zone.error());
  }
  if (const auto checked = fleet::CheckZoneName(*zone); !checked) {
    co_return RefuseOrder(checked.error());
  }
  wire::SetEvacuation order;
  order.set_zone(*zone);
  order.set_active(aCall == OperatorCall::kStartEvacuation);
  if (!m_fleetControl.IsLeading()) {
    http::Response relayed = co_await m_relay.Relay(
      std::string(fleet::kEvacuationPath), order.SerializeAsString());
    co_return relayed;
  }
  http::Response response = co_await Serve(std::move(order));
  co_return response;
}

asio::awaitable<http::Response>
EvacuationService::OnRelayedRequest(http::Request aRequest)
{
  if (!m_fleetControl.IsLeading()) {
    co_return MakeUnavailableResponse();
  }
  wire::SetEvacuation order;
  if (!order.ParseFromArray(aRequest.body().data(),
                            static_cast<int>(aRequest.body().size()))) {
    co_return RefuseOrder({ "body", "not a SetEvacuation message" });
  }
  if (const auto checked = fleet::CheckZoneName(order.zone()); !checked) {
    co_return RefuseOrder(checked.error());
  }
  http::Response response = co_await Serve(std::move(order));
  co_return response;
}

asio::awaitable<http::Response>
EvacuationService::Serve(wire::SetEvacuation aOrder)
{
  const std::string zone = aOrder.zone();
  const bool active = aOrder.active();
  const EvacuationResult result =
    co_await m_fleetControl.SetEvacuation(std::move(aOrder));
  LogInfo("evacuation",
          "event=order zone=\"{}\" active={} outcome={} evacuated_zones={}",
          zone,
          active,
          ResultName(result),
          m_fleetControl.CountEvacuatedZones());
  switch (result) {
    case EvacuationResult::kConfirmed:
      co_return MakeJsonResponse(status::ok, "{}");
    case EvacuationResult::kTooManyZones:
      co_return MakeErrorResponse(
        status::bad_request, "zone", "too many zones are under evacuation");
    case EvacuationResult::kUnavailable:
      break;
  }
  co_return MakeUnavailableResponse();
}

} // namespace rattanloft::coordinator
