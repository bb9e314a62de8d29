// Measures the rate of accepted catalogue changes and the longest time without
// one when the leader is lost halfway. Starts three control instances on
// loopback. Usage: ChangeBench WRITERS SECONDS [kill|term]
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <string_view>
#include <thread>

#include <fmt/format.h>

#include "ControlProcesses.h"

namespace rattanloft::tool {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

struct SharedResults
{
  std::mutex m_lock;
  std::vector<Clock::time_point> m_acceptedAt;
  std::vector<double> m_latenciesMs;
  std::atomic<bool> m_stopping = false;
  std::atomic<uint64_t> m_failedCount = 0;
};

// Changes one catalogue entry over and over until the run ends.
void
WriteChanges(const std::vector<std::string>& aAddresses,
             int aWriter,
             SharedResults& aResults)
{
  ControlClient client(aAddresses, Seconds(15));
  const std::string entry = fmt::format("entry{}", aWriter);
  const json body = { { "owner", "bench" },
                      { "service", entry },
                      { "methods", { "GET" } },
                      { "class", "interactive" },
                      { "idempotent", true },
                      { "keyed", false },
                      { "limits",
                        { { "deadline_ms", 1000 },
                          { "max_queue", 100 },
                          { "max_body_bytes", 1000 } } } };
  uint64_t revision = 0;
  for (int i = 0; !aResults.m_stopping; ++i) {
    const auto begin = Clock::now();
    const auto answer =
      client.Send("PUT",
                  fmt::format("/v1/catalogue/{}?change_id=w{}-{}"
                              "&expected_revision={}",
                              entry,
                              aWriter,
                              i,
                              revision),
                  body.dump());
    if (!answer || answer->m_status != 200) {
      ++aResults.m_failedCount;
      continue;
    }
    revision = answer->m_body["revision"];
    const auto end = Clock::now();
    const std::lock_guard guard(aResults.m_lock);
    aResults.m_acceptedAt.push_back(end);
    aResults.m_latenciesMs.push_back(
      std::chrono::duration<double, std::milli>(end - begin).count());
  }
}

double
LongestGapMs(std::vector<Clock::time_point> aTimes)
{
  std::ranges::sort(aTimes);
  Clock::duration longest{};
  for (size_t i = 1; i < aTimes.size(); ++i) {
    longest = std::max(longest, aTimes[i] - aTimes[i - 1]);
  }
  return std::chrono::duration<double, std::milli>(longest).count();
}

int
RunBenchmark(int aWriters, int aSeconds, std::string_view aLossKind)
{
  ControlProcesses group(3);
  const auto leader = group.WaitForLeader();
  if (!leader) {
    fmt::print(stderr, "ChangeBench: no leader was elected within 10 s\n");
    return 1;
  }
  SharedResults results;
  std::vector<std::thread> writers;
  for (int i = 0; i < aWriters; ++i) {
    writers.emplace_back(
      [&, i] { WriteChanges(group.HttpAddresses(), i, results); });
  }
  const auto halfDuration = std::chrono::milliseconds(500 * aSeconds);
  std::this_thread::sleep_for(halfDuration);
  if (!aLossKind.empty()) {
    group.Stop(*leader, aLossKind == "kill" ? SIGKILL : SIGTERM);
  }
  std::this_thread::sleep_for(halfDuration);
  results.m_stopping = true;
  for (std::thread& writer : writers) {
    writer.join();
  }
  auto& latencies = results.m_latenciesMs;
  std::ranges::sort(latencies);
  const auto quantile = [&](double aShare) {
    return latencies.empty()
             ? 0
             : latencies[static_cast<size_t>(
                 static_cast<double>(latencies.size() - 1) * aShare)];
  };
  fmt::print("{} writers{}: {:.0f} changes/s, {} refused, p50 {:.1f} ms, p99 "
             "{:.1f} ms, longest gap {:.0f} ms\n",
             aWriters,
             aLossKind.empty() ? ""
                               : fmt::format(", leader lost by {}", aLossKind),
             static_cast<double>(latencies.size()) / aSeconds,
             results.m_failedCount.load(),
             quantile(0.5),
             quantile(0.99),
             LongestGapMs(results.m_acceptedAt));
  return 0;
}

} // namespace

} // namespace rattanloft::tool

int
main(int aCount, char** aArgs)
{
  const std::string_view loss = aCount > 3 ? aArgs[3] : "";
  if (aCount < 3 || (!loss.empty() && loss != "kill" && loss != "term")) {
    fmt::print(stderr, "usage: ChangeBench WRITERS SECONDS [kill|term]\n");
    return 2;
  }
  return rattanloft::tool::RunBenchmark(
    std::atoi(aArgs[1]), std::atoi(aArgs[2]), loss);
}
