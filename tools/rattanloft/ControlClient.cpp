#include "ControlClient.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

#include "Flags.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/control/GroupText.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::tool {

namespace {

namespace asio = boost::asio;

// Must be longer than 5 s, within which an instance either answers or reports
// that the outcome is unknown.
constexpr Duration kAttemptTimeout = Seconds(6);
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;

std::string
LeaderAddress(const ControlResponse& aAnswer)
{
  return aAnswer.m_status == kStatusMisdirected
           ? aAnswer.m_body.value("leader_http_address", "")
           : "";
}

} // namespace

ControlClient::ControlClient(std::vector<std::string> aAddresses,
                             Duration aTimeout)
  : m_addresses(std::move(aAddresses))
  , m_totalTimeout(aTimeout)
{
}

tl::expected<ControlResponse, std::string>
ControlClient::Send(std::string_view aMethod,
                    const std::string& aTarget,
                    const std::string& aBody)
{
  const BootClock clock;
  const TimePoint deadline = clock.Now() + m_totalTimeout;
  tl::expected<ControlResponse, std::string> last = tl::unexpected(
    std::string("the timeout expired before a control instance was tried"));
  std::string redirect = std::exchange(m_lastRespondingAddress, "");
  for (size_t tried = 0;;) {
    const bool followsRedirect = !redirect.empty();
    const std::string address =
      followsRedirect ? redirect : m_addresses[tried++ % m_addresses.size()];
    const Duration left = deadline - clock.Now();
    if (left.m_ms <= 0) {
      return last;
    }
    auto answer =
      SendTo(address, aMethod, aTarget, aBody, std::min(left, kAttemptTimeout));
    redirect = answer && !followsRedirect ? LeaderAddress(*answer) : "";
    if (answer && answer->m_status != kStatusMisdirected &&
        answer->m_status != kStatusUnavailable) {
      m_lastRespondingAddress = address;
      return answer;
    }
    last = std::move(answer);
    if (redirect.empty() && tried > 0 && tried % m_addresses.size() == 0) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

tl::expected<ControlResponse, std::string>
ControlClient::SendTo(const std::string& aAddress,
                      std::string_view aMethod,
                      const std::string& aTarget,
                      const std::string& aBody,
                      Duration aTimeout)
{
  asio::io_context context{ 1 };
  const auto client = http::Client::Make(context, {});
  http::Request request;
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(boost::beast::http::field::host, aAddress);
  request.body() = aBody;
  request.prepare_payload();
  std::optional<tl::expected<http::Response, http::HttpError>> result;
  asio::co_spawn(context,
                 client->Exchange(aAddress, std::move(request), aTimeout),
                 [&](std::exception_ptr,
                     tl::expected<http::Response, http::HttpError> aOut) {
                   result = std::move(aOut);
                   context.stop();
                 });
  context.run();
  if (!result || !*result) {
    return tl::unexpected(fmt::format(
      "{}: {}", aAddress, result ? result->error().m_message : "no answer"));
  }
  return ControlResponse{ static_cast<int>((*result)->result_int()),
                          nlohmann::json::parse(
                            (*result)->body(), nullptr, false) };
}

tl::expected<ControlClient, std::string>
MakeControlClient()
{
  std::vector<std::string> addresses;
  std::string_view rest = FLAGS_control;
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    const std::string_view item = rest.substr(0, comma);
    if (!control::ParseHostPort(item)) {
      return tl::unexpected(
        fmt::format("--control: '{}' is not an IP address and port", item));
    }
    addresses.emplace_back(item);
    rest = comma == std::string_view::npos ? std::string_view{}
                                           : rest.substr(comma + 1);
  }
  if (addresses.empty()) {
    return tl::unexpected(
      std::string("--control: at least one address is required"));
  }
  if (FLAGS_timeout_ms <= 0) {
    return tl::unexpected(std::string("--timeout_ms: must be greater than 0"));
  }
  return ControlClient(std::move(addresses), Milliseconds(FLAGS_timeout_ms));
}

std::string
PercentEncode(std::string_view aText)
{
  std::string out;
  for (const unsigned char byte : aText) {
    const bool isUnreserved =
      std::isalnum(byte) != 0 || byte == '-' || byte == '_' || byte == '.';
    out += isUnreserved ? std::string(1, static_cast<char>(byte))
                        : fmt::format("%{:02X}", byte);
  }
  return out;
}

int
FailWith(std::string_view aCommand, int aStatus, std::string_view aMessage)
{
  fmt::print(stderr, "rattanloft {}: {}\n", aCommand, aMessage);
  return aStatus;
}

std::string
ErrorText(const ControlResponse& aAnswer)
{
  if (!aAnswer.m_body.is_object()) {
    return fmt::format("status {}", aAnswer.m_status);
  }
  const std::string field = aAnswer.m_body.value("field", "");
  return fmt::format("{}{}{}{}",
                     aAnswer.m_body.value("error", "error"),
                     field.empty() ? "" : ": " + field,
                     ": ",
                     aAnswer.m_body.value("message", ""));
}

} // namespace rattanloft::tool
