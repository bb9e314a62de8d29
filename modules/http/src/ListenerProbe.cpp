#include "rattanloft/http/ListenerProbe.h"

#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;

// A process that crashes closes its connections before its listener, so an
// earlier probe could still connect.
constexpr std::chrono::milliseconds kProbeDelay{ 20 };
constexpr Duration kProbeTimeout = Milliseconds(500);

} // namespace

ListenerProbe::ListenerProbe(asio::io_context& aContext,
                             std::function<void()> aOnRefused)
  : m_context(aContext)
  , m_onRefused(std::move(aOnRefused))
{
}

void
ListenerProbe::OnExchangeError(HttpErrorCode aError,
                               Client& aClient,
                               std::string aAddress,
                               std::string aTarget)
{
  if (aError == HttpErrorCode::kConnectFailed) {
    m_onRefused();
  } else if (aError == HttpErrorCode::kConnectionBroken &&
             !std::exchange(m_probing, true)) {
    asio::co_spawn(m_context,
                   Probe(aClient, std::move(aAddress), std::move(aTarget)),
                   asio::detached);
  }
}

asio::awaitable<void>
ListenerProbe::Probe(Client& aClient, std::string aAddress, std::string aTarget)
{
  asio::steady_timer delay(m_context, kProbeDelay);
  co_await delay.async_wait(asio::as_tuple(asio::use_awaitable));
  Request request;
  request.version(11);
  request.method(boost::beast::http::verb::get);
  request.target(aTarget);
  request.prepare_payload();
  const auto reply = co_await aClient.Exchange(
    std::move(aAddress), std::move(request), kProbeTimeout);
  m_probing = false;
  if (!reply && reply.error().m_code == HttpErrorCode::kConnectFailed) {
    m_onRefused();
  }
}

} // namespace rattanloft::http
