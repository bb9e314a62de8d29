#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "EndpointSelector.h"
#include "rattanloft/http/Types.h"

// Header fields between sidecars, and the encoding of attempt results in them.
// The fields are removed from the requests of callers and from the responses of
// backend servers.
namespace rattanloft::sidecar {

// Name of the service that is to run the request.
constexpr std::string_view kServiceField = "Rattanloft-Service";
// Name of the route.
constexpr std::string_view kKindField = "Rattanloft-Kind";
// "1" if the request has a key, otherwise "0".
constexpr std::string_view kKeyedField = "Rattanloft-Keyed";
// Milliseconds until a response is worth less to the caller.
constexpr std::string_view kTargetMsField = "Rattanloft-Target-Ms";
// Position in the queue of the backend server; lower ranks start first.
constexpr std::string_view kRankField = "Rattanloft-Rank";
// TransitStamp of the request. Peers of the previous release do not send it.
constexpr std::string_view kSentField = "Rattanloft-Sent";
// Name of the AttemptOutcome.
constexpr std::string_view kOutcomeField = "Rattanloft-Outcome";
constexpr std::string_view kReasonField = "Rattanloft-Reason";
// Name of the ResultKind. Peers of the previous release do not send it.
constexpr std::string_view kResultKindField = "Rattanloft-Result-Kind";
constexpr std::string_view kRetryAfterMsField = "Rattanloft-Retry-After-Ms";
// Running requests, waiting requests, slots and mean service time in
// milliseconds, separated by commas.
constexpr std::string_view kLoadField = "Rattanloft-Load";
// Time from the arrival of the request to its answer at the peer, in
// milliseconds. The rest of the exchange is the round trip. Peers of the
// previous release do not send it.
constexpr std::string_view kHandlingMsField = "Rattanloft-Handling-Ms";
// How much longer than usual the request was on its way to the peer, in
// milliseconds, if it was.
constexpr std::string_view kLateMsField = "Rattanloft-Late-Ms";
// In a call that asks whether a large body may be sent: its bytes. In the
// response, and then in the request with the body: the id of the reservation.
// Peers of the previous release answer without an id.
constexpr std::string_view kReserveBytesField = "Rattanloft-Reserve-Bytes";
constexpr std::string_view kReservationField = "Rattanloft-Reservation";
// Present if the request reached the backend server, which refused it or gave
// no usable response.
constexpr std::string_view kArrivedField = "Rattanloft-Arrived";

// Reason of a refusal because no slot of the backend server is free in time.
constexpr std::string_view kOverloadedReason = "overloaded";

// Reason of a refusal because too many large bodies wait for the link of the
// instance.
constexpr std::string_view kLinkFullReason = "link-full";

// Reason of a refusal because the deadline passed while the request was on its
// way between two sidecars.
constexpr std::string_view kLateReason = "late-arrival";

// Reason of a refusal because the zone of the backend server is under
// evacuation.
constexpr std::string_view kZoneEvacuatedReason = "zone-evacuated";

// Reason of a refusal because the sidecar stops before the request would end.
constexpr std::string_view kStoppingReason = "stopping";

enum class AttemptOutcome
{
  // The backend server answered the request.
  kAnswered,
  // The request was certainly not run.
  kNotRun,
  // The request may have run.
  kUnknown,
};

std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome);

// What a result without an answer means for the next attempt.
enum class ResultKind
{
  kOther,
  // The backend server does not own the key any more, or not yet.
  kOwnerMoved,
  // No slot of the backend server is free in time.
  kOverloaded,
  // No backend server runs the request, because it crashes them.
  kQuarantined,
};

std::string_view
ResultKindName(ResultKind aKind);

// Result of one attempt to run a request on a backend server.
struct AttemptResult
{
  AttemptOutcome m_outcome = AttemptOutcome::kUnknown;
  // Set for kAnswered.
  http::Response m_response;
  // Why there is no answer, for logs and callers; empty for kAnswered.
  std::string m_reason;
  ResultKind m_kind = ResultKind::kOther;
  Duration m_retryAfter;
  // The request reached a backend server.
  bool m_reachedBackend = false;
};

// The request was certainly not run.
AttemptResult
MakeNotRunResult(std::string_view aReason,
                 Duration aRetryAfter,
                 bool aReachedBackend = false);

// The request was not run because the zone of the backend server is under
// evacuation. A request with a key waits for the next owner, any other one goes
// on to another instance.
AttemptResult
MakeZoneEvacuatedResult(bool aKeyed);

// Header fields of the responses with which a listener refuses a request of a
// peer before it is served. They state that it has not run.
std::vector<std::pair<std::string, std::string>>
MakePeerRefusalFields();

// Converts between the result of an attempt and the response that a sidecar
// sends to its peer. A response without an outcome field decodes as kUnknown.
// The kind of a response without a kind field follows from the reason.
http::Response
EncodeAttemptResult(AttemptResult aResult, const ReportedLoad& aLoad);
AttemptResult
DecodeAttemptResult(http::Response aResponse);
// Fields that are missing or invalid get the defaults of ReportedLoad.
ReportedLoad
DecodeReportedLoad(const http::Response& aResponse);

// Removes all of the fields above.
void
RemovePeerFields(boost::beast::http::fields& aFields);

// Returns an empty string if the field is missing.
std::string_view
FieldValue(const boost::beast::http::fields& aFields, std::string_view aName);
void
SetField(boost::beast::http::fields& aFields,
         std::string_view aName,
         std::string_view aValue);
// Returns nullopt unless the field is present exactly once and is an integer.
std::optional<int64_t>
ParseNumberField(const boost::beast::http::fields& aFields,
                 std::string_view aName);
// Returns nullopt unless the field is present exactly once and is a finite
// number that is not negative.
std::optional<double>
ParseDecimalField(const boost::beast::http::fields& aFields,
                  std::string_view aName);

} // namespace rattanloft::sidecar
