#include "Outcome.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "Headers.h"

namespace rattanloft::node {

namespace {

// Indexed by Outcome. Values of the outcome header.
constexpr std::array<std::string_view, 3> kOutcomeNames = { "answered",
                                                            "not-run",
                                                            "unknown" };

} // namespace

std::string_view
OutcomeName(Outcome aOutcome)
{
  return kOutcomeNames[static_cast<size_t>(aOutcome)];
}

std::optional<Outcome>
ParseOutcome(std::string_view aName)
{
  const auto found =
    std::find(kOutcomeNames.begin(), kOutcomeNames.end(), aName);
  if (found == kOutcomeNames.end()) {
    return std::nullopt;
  }
  return static_cast<Outcome>(found - kOutcomeNames.begin());
}

Refusal
NotOwnerRefusal()
{
  return { kStatusMisdirected, Outcome::kNotRun, "not_owner", std::nullopt };
}

http::Response
MakeRefusalResponse(const Refusal& aRefusal)
{
  http::Response response;
  response.version(11);
  response.result(aRefusal.m_status);
  response.set("Content-Type", "application/json");
  response.set(header::kReason, aRefusal.m_reason);
  SetOutcome(response, aRefusal.m_outcome);
  if (aRefusal.m_retryAfter) {
    // Retry-After is given in whole seconds: rounded up, and at least one.
    const int64_t seconds =
      std::max<int64_t>(1, (aRefusal.m_retryAfter->m_ms + 999) / 1000);
    response.set("Retry-After", std::to_string(seconds));
  }
  response.body() = fmt::format(R"({{"outcome":"{}","reason":"{}"}})",
                                OutcomeName(aRefusal.m_outcome),
                                aRefusal.m_reason);
  response.prepare_payload();
  return response;
}

std::optional<Outcome>
OutcomeOf(const http::Response& aResponse)
{
  const auto found = aResponse.find(header::kOutcome);
  if (found == aResponse.end()) {
    return std::nullopt;
  }
  return ParseOutcome(found->value());
}

void
SetOutcome(http::Response& aResponse, Outcome aOutcome)
{
  aResponse.set(header::kOutcome, OutcomeName(aOutcome));
}

} // namespace rattanloft::node
