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
  // Name of the request mix: "adwoa" or "tidewater".
  std::string m_profile = "adwoa";
  // host:port of the caller listeners of nodes. Each attempt picks one at
  // random.
  std::vector<std::string> m_targetAddresses;
  // Arrival rate before the demand step.
  double m_requestsPerSecond = 100;
  // Time during which requests arrive.
  Duration m_duration = Seconds(10);
  // Start of the demand step, counted from the start of the run; negative for
  // none. The rate then rises linearly, over m_demandStepRamp, to
  // m_demandStepFactor times the initial rate.
  Duration m_demandStepStart = Milliseconds(-1);
  double m_demandStepFactor = 5;
  Duration m_demandStepRamp = Seconds(2);
  uint32_t m_keyCount = 10'000;
  // Exponent of the Zipf distribution of keys; 0 is uniform.
  double m_zipfExponent = 0.9;
  // Minimum size of the bodies of requests other than GET.
  uint32_t m_bodyBytes = 200;
  // Share of answered non-idempotent requests that are sent a second time, to
  // check that the stored answer is returned.
  double m_repeatShare = 0.1;
  // Further attempts for a request that was refused or whose outcome is
  // unknown.
  uint32_t m_maxRetries = 0;
  // Requests that may be outstanding at the same time; further arrivals are
  // counted but not sent.
  uint32_t m_maxOutstandingRequests = 5000;
  // File to which each invocation and return is appended as a line of JSON;
  // empty for none.
  std::string m_historyPath;
  // Seed of arrival times, request kinds, keys, targets and repeats.
  uint64_t m_seed = 1;
};

// One kind of request in the mix of a load profile.
struct RequestKind
{
  // Name of the catalogue entry.
  std::string_view m_name;
  std::string_view m_service;
  std::string_view m_method;
  bool m_idempotent;
  // Share of all arrivals; the shares of a profile add up to 1.
  double m_share;
  Duration m_deadline;
};

// The request kinds of a profile; empty if the profile is unknown.
std::span<const RequestKind>
ProfileRequestKinds(std::string_view aProfile);

// Counts and latencies of the requests of one kind.
struct RequestKindReport
{
  uint64_t m_arrivals = 0;
  uint64_t m_attempts = 0;
  // First attempts by the value of the outcome header, or by the kind of
  // transport error.
  std::map<std::string, uint64_t> m_outcomes;
  // First attempts by HTTP status; 0 counts those without a response.
  std::map<unsigned, uint64_t> m_statuses;
  // Responses that belong to another request.
  uint64_t m_digestMismatches = 0;
  // Repeats whose answer differs from that of the first attempt, which means
  // that the request was executed twice.
  uint64_t m_repeatMismatches = 0;
  uint64_t m_repeats = 0;
  // Latencies of answered first attempts.
  std::vector<float> m_latenciesMs;
};

struct LoadReport
{
  std::map<std::string, RequestKindReport> m_kinds;
  // Arrivals dropped because too many requests were outstanding.
  uint64_t m_unsentArrivals = 0;
  double m_durationSeconds = 0;

  // True if a response belonged to another request or a request was executed
  // twice.
  bool HasMismatch() const;
  // The report as a table for people or as one line of JSON. Both sort the
  // latencies.
  std::string FormatTable();
  std::string FormatJson();
};

// An open-loop load generator: sends requests to nodes at a given rate, whether
// or not earlier ones have been answered. Not thread-safe: all calls are made
// on the thread that runs the io_context.
class LoadGenerator
{
public:
  // Opens the history file. The error is a message for the user.
  static tl::expected<std::unique_ptr<LoadGenerator>, std::string> Make(
    boost::asio::io_context& aContext,
    LoadOptions aOptions);
  virtual ~LoadGenerator() = default;

  virtual boost::asio::awaitable<LoadReport> Run() = 0;
  // Stops new arrivals; Run() then completes once no request is outstanding.
  virtual void Stop() = 0;
};

} // namespace rattanloft::backend
