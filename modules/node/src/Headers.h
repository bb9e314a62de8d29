#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

#include <boost/beast/http/fields.hpp>

// Names of the HTTP headers that nodes exchange with each other and with
// backend servers.
namespace rattanloft::node::header {

// Prefix of the headers that only nodes and backend servers may set.
constexpr std::string_view kInternalPrefix = "Rattanloft-";

constexpr std::string_view kOutcome = "Rattanloft-Outcome";
constexpr std::string_view kReason = "Rattanloft-Reason";
constexpr std::string_view kRequestId = "Rattanloft-Request-Id";
constexpr std::string_view kEntry = "Rattanloft-Entry";
constexpr std::string_view kKey = "Rattanloft-Key";
constexpr std::string_view kShard = "Rattanloft-Shard";
constexpr std::string_view kEpoch = "Rattanloft-Epoch";
// End of the lease on the boot-time clock, in milliseconds.
constexpr std::string_view kExpires = "Rattanloft-Expires";
constexpr std::string_view kDeadlineMs = "Rattanloft-Deadline-Ms";
// TransitStamp of a forwarded request. Nodes of the previous release do not
// send it.
constexpr std::string_view kSent = "Rattanloft-Sent";
// How much longer than usual a request was on its way that is refused for it,
// in milliseconds.
constexpr std::string_view kLateMs = "Rattanloft-Late-Ms";
// Set by a backend server that has refused the token of the request, or has
// shed the request. It did not run in either case.
constexpr std::string_view kRefused = "Rattanloft-Refused";
constexpr std::string_view kShed = "Rattanloft-Shed";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";

// Removes the hop-by-hop headers, which concern one connection only.
void
RemoveHopByHopFields(boost::beast::http::fields& aFields);

// Returns nothing if the field is missing or not a whole number.
template<typename Number>
std::optional<Number>
ParseNumberField(const boost::beast::http::fields& aFields,
                 std::string_view aName)
{
  const auto found = aFields.find(aName);
  if (found == aFields.end()) {
    return std::nullopt;
  }
  const auto value = found->value();
  Number number{};
  const auto result =
    std::from_chars(value.data(), value.data() + value.size(), number);
  if (result.ec != std::errc() || result.ptr != value.data() + value.size()) {
    return std::nullopt;
  }
  return number;
}

} // namespace rattanloft::node::header
