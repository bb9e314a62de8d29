#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rattanloft/base/Time.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::node {

// The three things that a caller can be told.
enum class Outcome
{
  kAnswered,
  kNotRun,
  kUnknown,
};

std::string_view
OutcomeName(Outcome aOutcome);

std::optional<Outcome>
ParseOutcome(std::string_view aName);

// Why a request got no answer from its backend server.
struct Refusal
{
  unsigned m_status = 503;
  Outcome m_outcome = Outcome::kNotRun;
  // Stable word for programs, such as "queue_full".
  std::string m_reason;
  // When to come back; none for errors that a repeat does not cure.
  std::optional<Duration> m_retryAfter;
};

constexpr unsigned kStatusMisdirected = 421;

// The owner's node does not hold the shard; nothing ran.
Refusal
NotOwnerRefusal();

http::Response
MakeRefusalResponse(const Refusal& aRefusal);

// The outcome that a node has stated in its answer, or none if it stated none.
std::optional<Outcome>
OutcomeOf(const http::Response& aResponse);

void
SetOutcome(http::Response& aResponse, Outcome aOutcome);

} // namespace rattanloft::node
