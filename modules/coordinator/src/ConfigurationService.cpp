#include "ConfigurationService.h"

#include "Compression.h"
#include "OperatorResponses.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/InternalPaths.h"

namespace rattanloft::coordinator {

namespace {

namespace asio = boost::asio;
using boost::beast::http::status;

// Last path segment of a relayed read. A relayed change has an empty segment
// and a body instead.
constexpr std::string_view kReadPathSuffix = "read";
constexpr size_t kMaxDocumentBytes = 64 * 1024 * 1024;

std::string_view
ResultName(ConfigurationResult aResult)
{
  switch (aResult) {
    case ConfigurationResult::kConfirmed:
      return "confirmed";
    case ConfigurationResult::kUnavailable:
      return "unavailable";
    case ConfigurationResult::kBaseMismatch:
      return "base-mismatch";
    case ConfigurationResult::kInvalidVersion:
      return "invalid";
  }
  return "unknown";
}

} // namespace

asio::awaitable<http::Response>
ConfigurationService::OnOperatorRequest(OperatorCall aCall,
                                        http::Request aRequest)
{
  std::string body(aRequest.body().View());
  if (!m_fleetControl.IsLeading()) {
    std::string path(fleet::kConfigurationPath);
    path += '/';
    if (aCall == OperatorCall::kReadConfiguration) {
      path += kReadPathSuffix;
    }
    http::Response relayed =
      co_await m_relay.Relay(std::move(path), std::move(body));
    co_return relayed;
  }
  http::Response response = co_await Serve(aCall, std::move(body));
  co_return response;
}

asio::awaitable<http::Response>
ConfigurationService::OnRelayedRequest(http::Request aRequest)
{
  if (!m_fleetControl.IsLeading()) {
    co_return MakeUnavailableResponse();
  }
  const bool read = aRequest.target().ends_with(
    boost::beast::string_view(kReadPathSuffix.data(), kReadPathSuffix.size()));
  const OperatorCall call = read ? OperatorCall::kReadConfiguration
                                 : OperatorCall::kReplaceConfiguration;
  std::string body(aRequest.body().View());
  http::Response response = co_await Serve(call, std::move(body));
  co_return response;
}

asio::awaitable<http::Response>
ConfigurationService::Serve(OperatorCall aCall, std::string aBody)
{
  if (aCall == OperatorCall::kReadConfiguration) {
    http::Response response = co_await ReadConfiguration();
    co_return response;
  }
  http::Response response = co_await ReplaceConfiguration(std::move(aBody));
  co_return response;
}

asio::awaitable<http::Response>
ConfigurationService::ReplaceConfiguration(std::string aBody)
{
  auto change = m_protocol.ParseChange(aBody);
  if (change) {
    const auto checked = fleet::CheckConfiguration(change->configuration());
    if (!checked) {
      change = tl::unexpected(checked.error());
    }
  }
  if (!change) {
    LogInfo("config",
            "event=refused field=\"{}\" reason=\"{}\"",
            change.error().m_field,
            change.error().m_reason);
    co_return MakeErrorResponse(
      status::bad_request, change.error().m_field, change.error().m_reason);
  }
  change->set_digest(Hash64(aBody));
  change->set_document(Compress(aBody));
  const uint64_t version = change->configuration().version();
  const uint64_t base = change->base_version();
  const ConfigurationResult result =
    co_await m_fleetControl.ReplaceConfiguration(std::move(*change));
  LogInfo("config",
          "event=change version={} base={} outcome={} current={}",
          version,
          base,
          ResultName(result),
          m_fleetControl.CurrentChange().configuration().version());
  switch (result) {
    case ConfigurationResult::kConfirmed:
      co_return MakeJsonResponse(status::ok, "{}");
    case ConfigurationResult::kBaseMismatch:
      co_return MakeErrorResponse(status::precondition_failed,
                                  "base version",
                                  "another version is in force");
    case ConfigurationResult::kInvalidVersion:
      co_return MakeErrorResponse(
        status::bad_request, "version", "must be above the one in force");
    case ConfigurationResult::kUnavailable:
      break;
  }
  co_return MakeUnavailableResponse();
}

asio::awaitable<http::Response>
ConfigurationService::ReadConfiguration()
{
  const ConfigurationResult result = co_await m_fleetControl.ConfirmRead();
  if (result != ConfigurationResult::kConfirmed) {
    co_return MakeUnavailableResponse();
  }
  std::optional<std::string> document =
    Decompress(m_fleetControl.CurrentChange().document(), kMaxDocumentBytes);
  if (!document) {
    LogError("config",
             "event=read-failed "
             "reason=\"cannot decompress the configuration document\"");
    co_return MakeUnavailableResponse();
  }
  co_return MakeJsonResponse(status::ok, std::move(*document));
}

} // namespace rattanloft::coordinator
