#include "LeaderRelay.h"

#include "InternalCalls.h"
#include "OperatorResponses.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::coordinator {

namespace {

// Operators wait for a response for one second, so a relayed call must fail
// before that.
constexpr Duration kRelayTimeout = Milliseconds(900);

} // namespace

boost::asio::awaitable<http::Response>
LeaderRelay::Relay(std::string aPath, std::string aBody)
{
  const std::string leader = m_fleetControl.LeaderAddress();
  if (leader.empty()) {
    co_return MakeUnavailableResponse();
  }
  http::Request request = MakeInternalRequest(aPath, std::move(aBody));
  tl::expected<http::Response, http::HttpError> response =
    co_await m_client.Exchange(leader, std::move(request), kRelayTimeout);
  if (!response) {
    LogInfo("control",
            "event=relay-failed path={} leader={} reason=\"{}\"",
            aPath,
            leader,
            response.error().m_message);
    co_return MakeUnavailableResponse();
  }
  // A leader of a release that does not know the call cannot confirm it.
  if (response->result() == boost::beast::http::status::not_found) {
    LogWarning(
      "control", "event=relay-unknown path={} leader={}", aPath, leader);
    co_return MakeUnavailableResponse();
  }
  co_return std::move(*response);
}

} // namespace rattanloft::coordinator
