#include "ControlClient.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

#include "Flags.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/control/GroupText.h"
#include "rattanloft/http/Client.h"

namespace rattanloft::tool {

namespace {

namespace asio = boost::asio;

// An instance answers within 5 s or says that it does not know.
constexpr Duration kAttemptTimeout = Seconds(6);
constexpr std::chrono::milliseconds kPause{ 100 };
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

std::string
LeaderAddress(const ControlAnswer& aAnswer)
{
  return aAnswer.m_status == kMisdirected
           ? aAnswer.m_body.value("leader_http_address", "")
           : "";
}

} // namespace

ControlClient::ControlClient(std::vector<std::string> aAddresses,
                             Duration aTimeout)
  : m_addresses(std::move(aAddresses))
  , m_timeout(aTimeout)
{
}

tl::expected<ControlAnswer, std::string>
ControlClient::Send(std::string_view aMethod,
                    const std::string& aTarget,
                    const std::string& aBody)
{
  const BootClock clock;
  const TimePoint end = clock.Now() + m_timeout;
  tl::expected<ControlAnswer, std::string> last =
    tl::unexpected(std::string("no control instance was tried"));
  std::string leader;
  for (size_t next = 0;;) {
    const bool follow = !leader.empty();
    const std::string address =
      follow ? leader : m_addresses[next++ % m_addresses.size()];
    const Duration left = end - clock.Now();
    if (left.m_ms <= 0) {
      return last;
    }
    auto answer =
      SendTo(address, aMethod, aTarget, aBody, std::min(left, kAttemptTimeout));
    leader = answer && !follow ? LeaderAddress(*answer) : "";
    if (answer && answer->m_status != kMisdirected &&
        answer->m_status != kUnavailable) {
      return answer;
    }
    last = std::move(answer);
    if (leader.empty()) {
      std::this_thread::sleep_for(kPause);
    }
  }
}

tl::expected<ControlAnswer, std::string>
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
  return ControlAnswer{ static_cast<int>((*result)->result_int()),
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
    return tl::unexpected(std::string("--control: an address is required"));
  }
  if (FLAGS_timeout_ms <= 0) {
    return tl::unexpected(std::string("--timeout_ms: must be above 0"));
  }
  return ControlClient(std::move(addresses), Milliseconds(FLAGS_timeout_ms));
}

std::string
PercentEncode(std::string_view aText)
{
  std::string out;
  for (const unsigned char letter : aText) {
    const bool plain = std::isalnum(letter) != 0 || letter == '-' ||
                       letter == '_' || letter == '.';
    out += plain ? std::string(1, static_cast<char>(letter))
                 : fmt::format("%{:02X}", letter);
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
ErrorText(const ControlAnswer& aAnswer)
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
