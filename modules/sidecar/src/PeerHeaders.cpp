#include "PeerHeaders.h"

#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "LocalBackend.h"

namespace rattanloft::sidecar {

namespace {

namespace beast = boost::beast;
using beast::http::status;

// The sidecars learn of the end of an evacuation within about this time, and
// the next owner of a key gets it within about this time: after a heartbeat of
// the former one, which are 0.87 s apart.
constexpr Duration kZoneEvacuatedRetryDelay = Milliseconds(1000);

constexpr std::array kPeerFields = {
  kServiceField, kKindField,       kKeyedField,        kTargetMsField,
  kRankField,    kOutcomeField,    kReasonField,       kRetryAfterMsField,
  kLoadField,    kHandlingMsField, kArrivedField,      kResultKindField,
  kSentField,    kLateMsField,     kReserveBytesField, kReservationField
};

beast::string_view
ToBeastView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<int64_t>
ParseNumber(std::string_view aText)
{
  int64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size() ||
      aText.empty()) {
    return std::nullopt;
  }
  return number;
}

// Peers of the previous release state the kind only by the reason.
ResultKind
KindFromReason(std::string_view aReason)
{
  if (aReason == ServeVerdictName(ServeVerdict::kNotOwner)) {
    return ResultKind::kOwnerMoved;
  }
  return aReason == kOverloadedReason ? ResultKind::kOverloaded
                                      : ResultKind::kOther;
}

std::optional<ResultKind>
ParseResultKind(std::string_view aName)
{
  for (const ResultKind kind : { ResultKind::kOther,
                                 ResultKind::kOwnerMoved,
                                 ResultKind::kOverloaded,
                                 ResultKind::kQuarantined }) {
    if (aName == ResultKindName(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view
ResultKindName(ResultKind aKind)
{
  switch (aKind) {
    case ResultKind::kOther:
      return "other";
    case ResultKind::kOwnerMoved:
      return "owner-moved";
    case ResultKind::kOverloaded:
      return "overloaded";
    case ResultKind::kQuarantined:
      return "quarantined";
  }
  return "other";
}

std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kNotRun:
      return "not-run";
    case AttemptOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view
FieldValue(const beast::http::fields& aFields, std::string_view aName)
{
  const auto found = aFields.find(ToBeastView(aName));
  if (found == aFields.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

void
SetField(beast::http::fields& aFields,
         std::string_view aName,
         std::string_view aValue)
{
  aFields.set(ToBeastView(aName), ToBeastView(aValue));
}

std::optional<int64_t>
ParseNumberField(const beast::http::fields& aFields, std::string_view aName)
{
  if (aFields.count(ToBeastView(aName)) != 1) {
    return std::nullopt;
  }
  return ParseNumber(FieldValue(aFields, aName));
}

std::optional<double>
ParseDecimalField(const beast::http::fields& aFields, std::string_view aName)
{
  if (aFields.count(ToBeastView(aName)) != 1) {
    return std::nullopt;
  }
  const std::string_view text = FieldValue(aFields, aName);
  double number = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

void
RemovePeerFields(beast::http::fields& aFields)
{
  for (const std::string_view name : kPeerFields) {
    aFields.erase(ToBeastView(name));
  }
}

AttemptResult
MakeNotRunResult(std::string_view aReason,
                 Duration aRetryAfter,
                 bool aReachedBackend)
{
  AttemptResult result;
  result.m_outcome = AttemptOutcome::kNotRun;
  result.m_reason = aReason;
  result.m_retryAfter = aRetryAfter;
  result.m_reachedBackend = aReachedBackend;
  return result;
}

AttemptResult
MakeZoneEvacuatedResult(bool aKeyed)
{
  AttemptResult result =
    MakeNotRunResult(kZoneEvacuatedReason, kZoneEvacuatedRetryDelay);
  result.m_kind = aKeyed ? ResultKind::kOwnerMoved : ResultKind::kOther;
  return result;
}

std::vector<std::pair<std::string, std::string>>
MakePeerRefusalFields()
{
  // The memory of the peer is in use for about as long as requests run.
  constexpr Duration kRetryDelay = Milliseconds(200);
  return {
    { std::string(kOutcomeField),
      std::string(AttemptOutcomeName(AttemptOutcome::kNotRun)) },
    { std::string(kReasonField), "peer-refused" },
    { std::string(kResultKindField),
      std::string(ResultKindName(ResultKind::kOverloaded)) },
    { std::string(kRetryAfterMsField), std::to_string(kRetryDelay.m_ms) },
  };
}

http::Response
EncodeAttemptResult(AttemptResult aResult, const ReportedLoad& aLoad)
{
  http::Response response;
  if (aResult.m_outcome == AttemptOutcome::kAnswered) {
    response = std::move(aResult.m_response);
  } else {
    response.result(aResult.m_outcome == AttemptOutcome::kNotRun
                      ? status::service_unavailable
                      : status::bad_gateway);
    SetField(response, kReasonField, aResult.m_reason);
    SetField(response, kResultKindField, ResultKindName(aResult.m_kind));
    SetField(
      response, kRetryAfterMsField, std::to_string(aResult.m_retryAfter.m_ms));
    if (aResult.m_reachedBackend) {
      SetField(response, kArrivedField, "1");
    }
  }
  SetField(response, kOutcomeField, AttemptOutcomeName(aResult.m_outcome));
  SetField(response,
           kLoadField,
           fmt::format("{},{},{},{}",
                       aLoad.m_runningRequests,
                       aLoad.m_waitingRequests,
                       aLoad.m_slots,
                       aLoad.m_serviceTimeMs));
  return response;
}

AttemptResult
DecodeAttemptResult(http::Response aResponse)
{
  AttemptResult result;
  const std::string_view outcome = FieldValue(aResponse, kOutcomeField);
  if (outcome == AttemptOutcomeName(AttemptOutcome::kAnswered)) {
    result.m_outcome = AttemptOutcome::kAnswered;
    result.m_reachedBackend = true;
    RemovePeerFields(aResponse);
    result.m_response = std::move(aResponse);
    return result;
  }
  result.m_outcome = outcome == AttemptOutcomeName(AttemptOutcome::kNotRun)
                       ? AttemptOutcome::kNotRun
                       : AttemptOutcome::kUnknown;
  result.m_retryAfter =
    Milliseconds(ParseNumberField(aResponse, kRetryAfterMsField).value_or(0));
  result.m_reachedBackend = !FieldValue(aResponse, kArrivedField).empty();
  if (outcome.empty()) {
    result.m_reason = "peer-error";
    return result;
  }
  result.m_reason = FieldValue(aResponse, kReasonField);
  result.m_kind = ParseResultKind(FieldValue(aResponse, kResultKindField))
                    .value_or(KindFromReason(result.m_reason));
  return result;
}

ReportedLoad
DecodeReportedLoad(const http::Response& aResponse)
{
  std::array<uint32_t, 4> numbers{ 0, 0, 1, 0 };
  std::string_view text = FieldValue(aResponse, kLoadField);
  for (uint32_t& number : numbers) {
    const size_t comma = std::min(text.find(','), text.size());
    const auto parsed = ParseNumber(text.substr(0, comma));
    if (!parsed || *parsed < 0) {
      break;
    }
    number = static_cast<uint32_t>(*parsed);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return { numbers[0], numbers[1], numbers[2], numbers[3] };
}

} // namespace rattanloft::sidecar
