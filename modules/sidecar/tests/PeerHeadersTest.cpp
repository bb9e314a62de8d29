#include "PeerHeaders.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

http::Response
EncodeRefusal(std::string_view aReason, ResultKind aKind)
{
  AttemptResult result;
  result.m_outcome = AttemptOutcome::kNotRun;
  result.m_reason = aReason;
  result.m_kind = aKind;
  return EncodeAttemptResult(std::move(result), {});
}

// Returns the response that a peer of the previous release sends.
http::Response
EncodeRefusalWithoutKind(std::string_view aReason)
{
  http::Response response = EncodeRefusal(aReason, ResultKind::kOther);
  response.erase("Rattanloft-Result-Kind");
  return response;
}

} // namespace

// Guards against a peer that takes a move or an overload for a lost owner.
TEST_CASE("the kind of a result reaches the peer beside the reason")
{
  for (const ResultKind kind : { ResultKind::kOther,
                                 ResultKind::kOwnerMoved,
                                 ResultKind::kOverloaded,
                                 ResultKind::kQuarantined }) {
    http::Response response = EncodeRefusal("any-reason", kind);
    CHECK(response["Rattanloft-Reason"] == "any-reason");
    const AttemptResult result = DecodeAttemptResult(std::move(response));
    CHECK(result.m_kind == kind);
    CHECK(result.m_reason == "any-reason");
    CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  }
}

// Guards against refusals of older peers that lose their meaning.
TEST_CASE("the kind of a result follows from the reason if a peer sends none")
{
  const auto decodeKind = [](std::string_view aReason) {
    return DecodeAttemptResult(EncodeRefusalWithoutKind(aReason)).m_kind;
  };
  CHECK(decodeKind("not-owner") == ResultKind::kOwnerMoved);
  CHECK(decodeKind("overloaded") == ResultKind::kOverloaded);
  CHECK(decodeKind("unreachable") == ResultKind::kOther);
  CHECK(decodeKind("backend-full") == ResultKind::kOther);
  http::Response laterPeer = EncodeRefusalWithoutKind("overloaded");
  laterPeer.set("Rattanloft-Result-Kind", "unheard-of");
  const AttemptResult result = DecodeAttemptResult(std::move(laterPeer));
  CHECK(result.m_kind == ResultKind::kOverloaded);
}

// Guards against a response that no sidecar sent but that counts as a refusal.
TEST_CASE("a response without an outcome has no kind")
{
  http::Response response =
    EncodeRefusal("overloaded", ResultKind::kOverloaded);
  response.erase("Rattanloft-Outcome");
  const AttemptResult result = DecodeAttemptResult(std::move(response));
  CHECK(result.m_outcome == AttemptOutcome::kUnknown);
  CHECK(result.m_kind == ResultKind::kOther);
  CHECK(result.m_reason == "peer-error");
}

// Guards against callers and backend servers that forge such fields.
TEST_CASE("all fields between sidecars are removed")
{
  http::Response response;
  for (const char* const name : { "Rattanloft-Service",
                                  "Rattanloft-Kind",
                                  "Rattanloft-Keyed",
                                  "Rattanloft-Target-Ms",
                                  "Rattanloft-Rank",
                                  "Rattanloft-Outcome",
                                  "Rattanloft-Reason",
                                  "Rattanloft-Result-Kind",
                                  "Rattanloft-Retry-After-Ms",
                                  "Rattanloft-Load",
                                  "Rattanloft-Arrived" }) {
    response.set(name, "x");
  }
  RemovePeerFields(response);
  CHECK(response.begin() == response.end());
}

// Guards against a request limit that is misread.
TEST_CASE("only a single decimal number is read as one")
{
  boost::beast::http::fields fields;
  CHECK_FALSE(ParseDecimalField(fields, "Limit"));
  const std::pair<const char*, std::optional<double>> cases[] = {
    { "22.5", 22.5 },        { "10", 10.0 },         { "0", 0.0 },
    { "-1", std::nullopt },  { "", std::nullopt },   { "5/s", std::nullopt },
    { "nan", std::nullopt }, { "inf", std::nullopt }
  };
  for (const auto& [text, number] : cases) {
    CAPTURE(text);
    fields.set("Limit", text);
    CHECK(ParseDecimalField(fields, "Limit") == number);
  }
  fields.set("Limit", "5");
  fields.insert("Limit", "6");
  CHECK_FALSE(ParseDecimalField(fields, "Limit"));
}

} // namespace rattanloft::sidecar
