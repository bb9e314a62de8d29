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

// A response of the operator API of a control instance.
struct ControlResponse
{
  // HTTP status.
  int m_status = 0;
  // A discarded value, neither null nor an object, if the body is not valid
  // JSON.
  nlohmann::json m_body;
};

// Sends blocking requests to the control instances. Tries the addresses in
// turn, follows a 421 response to the leader, and retries after a lost response
// or a 503 until the timeout. Retries are safe, since every change has a change
// id.
class ControlClient
{
public:
  ControlClient(std::vector<std::string> aAddresses, Duration aTimeout);

  // Returns the last response, or an error that says why there was none.
  tl::expected<ControlResponse, std::string> Send(
    std::string_view aMethod,
    const std::string& aTarget,
    const std::string& aBody = "");
  // Makes one attempt at one address.
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
  // Address that answered the last request; the next request tries it first.
  std::string m_lastRespondingAddress;
};

// Creates a client from --control and --timeout_ms. The error is a message for
// the user.
tl::expected<ControlClient, std::string>
MakeControlClient();

std::string
PercentEncode(std::string_view aText);

// Prints aMessage to standard error, prefixed with the name of the sub-command.
// Returns aStatus.
int
FailWith(std::string_view aCommand, int aStatus, std::string_view aMessage);

// Formats the error that a response other than 200 contains.
std::string
ErrorText(const ControlResponse& aAnswer);

} // namespace rattanloft::tool
