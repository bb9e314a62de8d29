#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "rattanloft/backend/Load.h"

namespace rattanloft::backend {

namespace {

// aSorted must be in ascending order. Returns 0 if it is empty.
float
Quantile(const std::vector<float>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<size_t>(last * aShare + 0.5)];
}

uint64_t
OutcomeCount(const RequestKindReport& aKind, const std::string& aName)
{
  const auto found = aKind.m_outcomes.find(aName);
  return found == aKind.m_outcomes.end() ? 0 : found->second;
}

nlohmann::json
RequestKindJson(const RequestKindReport& aKind)
{
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [code, count] : aKind.m_statuses) {
    statuses[std::to_string(code)] = count;
  }
  const auto& latenciesMs = aKind.m_latenciesMs;
  return { { "arrivals", aKind.m_arrivals },
           { "attempts", aKind.m_attempts },
           { "outcomes", aKind.m_outcomes },
           { "statuses", statuses },
           { "repeats", aKind.m_repeats },
           { "repeat_mismatches", aKind.m_repeatMismatches },
           { "digest_mismatches", aKind.m_digestMismatches },
           { "latency_ms",
             { { "p50", Quantile(latenciesMs, 0.5) },
               { "p90", Quantile(latenciesMs, 0.9) },
               { "p99", Quantile(latenciesMs, 0.99) },
               { "p999", Quantile(latenciesMs, 0.999) },
               { "max", Quantile(latenciesMs, 1) } } } };
}

void
SortLatencies(std::map<std::string, RequestKindReport>& aKinds)
{
  for (auto& [name, kind] : aKinds) {
    std::sort(kind.m_latenciesMs.begin(), kind.m_latenciesMs.end());
  }
}

} // namespace

bool
LoadReport::HasMismatch() const
{
  return std::any_of(m_kinds.begin(), m_kinds.end(), [](const auto& aEntry) {
    return aEntry.second.m_digestMismatches > 0 ||
           aEntry.second.m_repeatMismatches > 0;
  });
}

std::string
LoadReport::FormatTable()
{
  SortLatencies(m_kinds);
  std::string text = fmt::format("{:20} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}\n",
                                 "kind",
                                 "arrivals",
                                 "answered",
                                 "not-run",
                                 "unknown",
                                 "p50 ms",
                                 "p99 ms");
  for (const auto& [name, kind] : m_kinds) {
    text += fmt::format("{:20} {:9} {:9} {:9} {:9} {:9.1f} {:9.1f}\n",
                        name,
                        kind.m_arrivals,
                        OutcomeCount(kind, "answered"),
                        OutcomeCount(kind, "not-run"),
                        OutcomeCount(kind, "unknown"),
                        Quantile(kind.m_latenciesMs, 0.5),
                        Quantile(kind.m_latenciesMs, 0.99));
  }
  text +=
    fmt::format("{:.1f} s, {} arrivals not sent because of --max_outstanding\n",
                m_durationSeconds,
                m_unsentArrivals);
  return text;
}

std::string
LoadReport::FormatJson()
{
  SortLatencies(m_kinds);
  nlohmann::json kinds = nlohmann::json::object();
  for (const auto& [name, kind] : m_kinds) {
    kinds[name] = RequestKindJson(kind);
  }
  const nlohmann::json report = { { "seconds", m_durationSeconds },
                                  { "not_sent", m_unsentArrivals },
                                  { "kinds", kinds } };
  return report.dump();
}

} // namespace rattanloft::backend
