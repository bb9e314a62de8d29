#pragma once

#include <string_view>

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
// Set by a backend server that has refused the token of the request, or has
// shed the request. It did not run in either case.
constexpr std::string_view kRefused = "Rattanloft-Refused";
constexpr std::string_view kShed = "Rattanloft-Shed";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";

// Removes the hop-by-hop headers, which concern one connection only.
void
RemoveHopByHopFields(boost::beast::http::fields& aFields);

} // namespace rattanloft::node::header
