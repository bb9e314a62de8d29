#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::tool {

struct ControlResponse
{
  int m_status = 0;
  nlohmann::json m_body;
};

// Blocking requests to control instances: tries the addresses in turn, follows
// 421 to the leader, and repeats after a lost answer or a 503 until the time is
// over. A repeat is safe, since changes carry a change id.
class ControlClient
{
public:
  ControlClient(std::vector<std::string> aAddresses, Duration aTimeout);

  // The last answer, or why there was none.
  tl::expected<ControlResponse, std::string> Send(
    std::string_view aMethod,
    const std::string& aTarget,
    const std::string& aBody = "");
  // One attempt at one address.
  static tl::expected<ControlResponse, std::string> SendTo(
    const std::string& aAddress,
    std::string_view aMethod,
    const std::string& aTarget,
    const std::string& aBody,
    Duration aTimeout);

  const std::vector<std::string>& Addresses() const { return m_addresses; }

private:
  std::vector<std::string> m_addresses;
  Duration m_totalTimeout;
  // Where the last request was answered; tried first.
  std::string m_lastRespondingAddress;
};

// From --control and --timeout_ms; the error is a line for the user.
tl::expected<ControlClient, std::string>
MakeControlClient();

std::string
PercentEncode(std::string_view aText);

// One line to standard error that starts with the sub-command.
int
FailWith(std::string_view aCommand, int aStatus, std::string_view aMessage);

// The message of an answer that is not a success.
std::string
ErrorText(const ControlResponse& aAnswer);

} // namespace rattanloft::tool
