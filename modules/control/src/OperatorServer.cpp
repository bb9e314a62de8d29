#include "OperatorServer.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rattanloft/http/Server.h"

namespace rattanloft::control {

namespace {

namespace asio = boost::asio;
using boost::beast::http::field;

// Longer than a leader without a quorum takes to step down, which completes all
// pending requests.
constexpr std::chrono::milliseconds kResponseTimeout{ 5000 };
constexpr size_t kMaxConnections = 200;

// The response to one request: the one from the API, or an error if it does not
// arrive within kResponseTimeout. A later response is ignored.
class PendingResponse
{
public:
  explicit PendingResponse(asio::io_context& aContext)
    : m_timer(aContext, kResponseTimeout)
  {
  }

  void Set(ApiResponse aResponse)
  {
    if (!m_response) {
      m_response = std::move(aResponse);
      m_timer.cancel();
    }
  }

  asio::awaitable<ApiResponse> Wait()
  {
    if (!m_response) {
      boost::system::error_code ignored;
      co_await m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!m_response) {
      m_response =
        MakeErrorResponse(kStatusUnavailable,
                          "unknown",
                          "no answer within 5 s; a change may still be "
                          "made; send it again with the same change id");
    }
    co_return std::move(*m_response);
  }

private:
  asio::steady_timer m_timer;
  std::optional<ApiResponse> m_response;
};

http::Response
ToHttpResponse(const http::Request& aRequest, ApiResponse aResponse)
{
  http::Response response;
  response.version(aRequest.version());
  response.result(static_cast<unsigned>(aResponse.m_status));
  response.set(field::content_type, aResponse.m_contentType);
  response.body() = std::move(aResponse.m_body);
  response.keep_alive(aRequest.keep_alive());
  response.prepare_payload();
  return response;
}

class OperatorServerImpl final : public OperatorServer
{
public:
  OperatorServerImpl(asio::io_context& aContext, OperatorApi& aApi)
    : m_context(aContext)
    , m_operatorApi(aApi)
  {
  }

  tl::expected<void, std::string> Listen(const HostPort& aAddress)
  {
    http::ServerOptions options;
    options.m_address = aAddress.m_host;
    options.m_port = aAddress.m_port;
    options.m_maxConnections = kMaxConnections;
    auto server = http::Server::Make(
      m_context,
      options,
      [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
        return Serve(std::move(aRequest));
      });
    if (!server) {
      return tl::unexpected(std::move(server.error().m_message));
    }
    m_server = std::move(*server);
    return {};
  }

  uint16_t Port() const override { return m_server->Port(); }

  void Stop(std::function<void()> aDone) override
  {
    asio::co_spawn(
      m_context, m_server->Stop(), [aDone](std::exception_ptr) { aDone(); });
  }

private:
  asio::awaitable<http::Response> Serve(http::Request aRequest)
  {
    ApiRequest request;
    request.m_method = std::string(aRequest.method_string());
    if (!ParseRequestTarget(std::string(aRequest.target()), request)) {
      co_return ToHttpResponse(
        aRequest, MakeInvalidFieldResponse("", "malformed target"));
    }
    request.m_body = aRequest.body().View();
    auto pending = std::make_shared<PendingResponse>(m_context);
    m_operatorApi.Handle(request, [pending](ApiResponse aResponse) {
      pending->Set(std::move(aResponse));
    });
    ApiResponse response = co_await pending->Wait();
    co_return ToHttpResponse(aRequest, std::move(response));
  }

  asio::io_context& m_context;
  OperatorApi& m_operatorApi;
  std::unique_ptr<http::Server> m_server;
};

} // namespace

tl::expected<std::unique_ptr<OperatorServer>, std::string>
OperatorServer::Make(asio::io_context& aContext,
                     const HostPort& aAddress,
                     OperatorApi& aApi)
{
  auto server = std::make_unique<OperatorServerImpl>(aContext, aApi);
  if (auto listening = server->Listen(aAddress); !listening) {
    return tl::unexpected(std::move(listening.error()));
  }
  return server;
}

} // namespace rattanloft::control
