#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rattanloft/base/Time.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::node {

// What a caller is told about the execution of its request.
enum class Outcome
{
  // The backend server has answered.
  kAnswered,
  // The request certainly did not run.
  kNotRun,
  // The request may have run.
  kUnknown,
};

std::string_view
OutcomeName(Outcome aOutcome);

std::optional<Outcome>
ParseOutcome(std::string_view aName);

// Why a request got no answer from its backend server. Converted to an HTTP
// response by MakeRefusalResponse.
struct Refusal
{
  // HTTP status of the response.
  unsigned m_status = 503;
  Outcome m_outcome = Outcome::kNotRun;
  // Stable identifier for programs, such as "queue_full".
  std::string m_reason;
  // When the caller may try again. Empty for errors that a repeated request
  // cannot avoid.
  std::optional<Duration> m_retryAfter;
};

// HTTP status 421 (Misdirected Request).
constexpr unsigned kStatusMisdirected = 421;

// Refusal by a node that does not own the shard. The request did not run.
Refusal
NotOwnerRefusal();

http::Response
MakeRefusalResponse(const Refusal& aRefusal);

// The outcome that a node has stated in its response, or nothing if it stated
// none.
std::optional<Outcome>
OutcomeOf(const http::Response& aResponse);

void
SetOutcome(http::Response& aResponse, Outcome aOutcome);

} // namespace rattanloft::node
