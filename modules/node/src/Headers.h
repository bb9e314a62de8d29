#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>

// Names of the HTTP headers between nodes and to backend servers.
namespace rattanloft::node::header {

constexpr std::string_view kPrefix = "Rattanloft-";

constexpr std::string_view kOutcome = "Rattanloft-Outcome";
constexpr std::string_view kReason = "Rattanloft-Reason";
constexpr std::string_view kRequestId = "Rattanloft-Request-Id";
constexpr std::string_view kEntry = "Rattanloft-Entry";
constexpr std::string_view kKey = "Rattanloft-Key";
constexpr std::string_view kShard = "Rattanloft-Shard";
constexpr std::string_view kEpoch = "Rattanloft-Epoch";
constexpr std::string_view kExpires = "Rattanloft-Expires";
constexpr std::string_view kDeadlineMs = "Rattanloft-Deadline-Ms";
constexpr std::string_view kRefused = "Rattanloft-Refused";
constexpr std::string_view kShed = "Rattanloft-Shed";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";

// Removes the headers that belong to one connection.
void
RemoveHopByHopHeaders(boost::beast::http::fields& aFields);

} // namespace rattanloft::node::header
