#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::backend {

struct LoadOptions
{
  // adwoa or tidewater.
  std::string m_profile = "adwoa";
  // Caller listeners of nodes, host:port. Each request takes a random one.
  std::vector<std::string> m_targetAddresses;
  double m_requestsPerSecond = 100;
  Duration m_duration = Seconds(10);
  // Time of the demand step; negative for none.
  Duration m_demandStepStart = Milliseconds(-1);
  double m_demandStepFactor = 5;
  Duration m_demandStepRamp = Seconds(2);
  uint32_t m_keyCount = 10'000;
  // Exponent of the Zipf distribution of keys; 0 is uniform.
  double m_zipfExponent = 0.9;
  uint32_t m_bodyBytes = 200;
  // Share of answered non-idempotent requests that are sent again.
  double m_repeatShare = 0.1;
  // Further attempts after refused or unknown outcomes.
  uint32_t m_maxRetries = 0;
  // Requests at once; further arrivals are counted and not sent.
  uint32_t m_maxOutstandingRequests = 5000;
  // File for invocations and returns as JSON lines; empty for none.
  std::string m_historyPath;
  uint64_t m_seed = 1;
};

// One kind of request of a profile.
struct RequestKind
{
  std::string_view m_name;
  std::string_view m_service;
  std::string_view m_method;
  bool m_idempotent;
  // Share of all arrivals; those of a profile add up to 1.
  double m_share;
  Duration m_deadline;
};

// Empty if the profile is unknown.
std::span<const RequestKind>
ProfileRequestKinds(std::string_view aProfile);

struct RequestKindReport
{
  uint64_t m_arrivals = 0;
  uint64_t m_attempts = 0;
  // By outcome header, or by the kind of transport error.
  std::map<std::string, uint64_t> m_outcomes;
  std::map<unsigned, uint64_t> m_statuses;
  uint64_t m_digestMismatches = 0;
  // A repeat that was answered otherwise than the first attempt, so it ran.
  uint64_t m_repeatMismatches = 0;
  uint64_t m_repeats = 0;
  // Of answered first attempts, in milliseconds.
  std::vector<float> m_latenciesMs;
};

struct LoadReport
{
  std::map<std::string, RequestKindReport> m_kinds;
  uint64_t m_unsentArrivals = 0;
  double m_durationSeconds = 0;

  bool HasMismatch() const;
  // A table for people and one line of JSON. Sort the latencies.
  std::string FormatTable();
  std::string FormatJson();
};

// Sends requests to nodes at given rates, whether or not earlier ones have been
// answered. Single thread.
class LoadGenerator
{
public:
  static tl::expected<std::unique_ptr<LoadGenerator>, std::string> Make(
    boost::asio::io_context& aContext,
    LoadOptions aOptions);
  virtual ~LoadGenerator() = default;

  virtual boost::asio::awaitable<LoadReport> Run() = 0;
  // Ends the arrivals early; Run() then completes when all are answered.
  virtual void Stop() = 0;
};

} // namespace rattanloft::backend
