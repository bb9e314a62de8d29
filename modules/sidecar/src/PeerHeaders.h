#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "EndpointSelector.h"
#include "rattanloft/http/Types.h"

// Header fields between sidecars. They are removed from everything that comes
// from callers and backend servers.
namespace rattanloft::sidecar {

constexpr std::string_view kServiceField = "Rattanloft-Service";
constexpr std::string_view kKindField = "Rattanloft-Kind";
constexpr std::string_view kKeyedField = "Rattanloft-Keyed";
// Milliseconds until the answer is worth less to the caller.
constexpr std::string_view kTargetMsField = "Rattanloft-Target-Ms";
constexpr std::string_view kRankField = "Rattanloft-Rank";
constexpr std::string_view kOutcomeField = "Rattanloft-Outcome";
constexpr std::string_view kReasonField = "Rattanloft-Reason";
constexpr std::string_view kRetryAfterMsField = "Rattanloft-Retry-After-Ms";
// running,waiting,slots,service time in ms
constexpr std::string_view kLoadField = "Rattanloft-Load";
// Set if the request reached the backend server, which refused it.
constexpr std::string_view kArrivedField = "Rattanloft-Arrived";

// Reason of a refusal for want of room at the backend server.
constexpr std::string_view kOverloadedReason = "overloaded";

enum class AttemptOutcome
{
  // The answer of the backend server.
  kAnswered,
  // Certainly not run.
  kNotRun,
  kUnknown,
};

std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome);

// What became of one attempt at one backend server.
struct AttemptResult
{
  AttemptOutcome m_outcome = AttemptOutcome::kUnknown;
  // For kAnswered.
  http::Response m_response;
  std::string m_reason;
  Duration m_retryAfter;
  // The request reached a backend server.
  bool m_reachedBackend = false;
};

// Builds the peer's answer from the result and reads it back.
http::Response
EncodeAttemptResult(AttemptResult aResult, const ReportedLoad& aLoad);
AttemptResult
DecodeAttemptResult(http::Response aResponse);
ReportedLoad
DecodeReportedLoad(const http::Response& aResponse);

void
RemovePeerFields(boost::beast::http::fields& aFields);

std::string_view
FieldValue(const boost::beast::http::fields& aFields, std::string_view aName);
void
SetField(boost::beast::http::fields& aFields,
         std::string_view aName,
         std::string_view aValue);
// Empty unless the field is given once and is a whole number.
std::optional<int64_t>
ParseNumberField(const boost::beast::http::fields& aFields,
                 std::string_view aName);

} // namespace rattanloft::sidecar
