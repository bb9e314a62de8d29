// Measures the throughput, latency and CPU time of HTTP exchanges over loopback
// between one client thread and one server thread.
// Usage: HttpBench [seconds per case]

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <fmt/format.h>

#include "rattanloft/http/Client.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::http {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

// State shared by the concurrent callers of one case.
struct BenchRun
{
  Client& m_client;
  std::string m_peer;
  Clock::time_point m_endTime;
  std::vector<float> m_latenciesMicroseconds;
  int m_failureCount = 0;
};

// Runs one exchange after the other until the end of the case.
asio::awaitable<void>
CallRepeatedly(BenchRun& aBenchRun)
{
  while (Clock::now() < aBenchRun.m_endTime) {
    const Clock::time_point start = Clock::now();
    Request request;
    request.method(boost::beast::http::verb::post);
    request.target("/catalogue/stand-17/1");
    request.body() = std::string(200, 'x');
    const tl::expected<Response, HttpError> result =
      co_await aBenchRun.m_client.Exchange(
        aBenchRun.m_peer, std::move(request), Seconds(5), nullptr);
    aBenchRun.m_failureCount += result ? 0 : 1;
    aBenchRun.m_latenciesMicroseconds.push_back(
      std::chrono::duration<float, std::micro>(Clock::now() - start).count());
  }
}

// Runs one case and prints its results.
void
MeasureCase(uint16_t aPort, int aCallerCount, double aDurationSeconds)
{
  asio::io_context context(1);
  const auto client = Client::Make(context, {});
  BenchRun benchRun{ *client,
                     fmt::format("127.0.0.1:{}", aPort),
                     Clock::now() +
                       std::chrono::milliseconds(
                         static_cast<int64_t>(aDurationSeconds * 1000)),
                     {},
                     0 };
  int runningCallers = aCallerCount;
  for (int i = 0; i < aCallerCount; ++i) {
    asio::co_spawn(
      context, CallRepeatedly(benchRun), [&](const std::exception_ptr&) {
        if (--runningCallers == 0) {
          context.stop();
        }
      });
  }
  const double cpuSecondsBefore = ThreadCpuSeconds();
  const Clock::time_point start = Clock::now();
  context.run();
  const double elapsedSeconds =
    std::chrono::duration<double>(Clock::now() - start).count();
  const double cpuSeconds = ThreadCpuSeconds() - cpuSecondsBefore;
  auto& latencies = benchRun.m_latenciesMicroseconds;
  std::sort(latencies.begin(), latencies.end());
  const auto count = static_cast<double>(latencies.size());
  fmt::print(
    "{:3} concurrent: {:7.0f} exchanges/s, p50 {:6.0f} us, p99 {:6.0f} "
    "us, client CPU {:5.1f} us each, {} failures\n",
    aCallerCount,
    count / elapsedSeconds,
    latencies[latencies.size() / 2],
    latencies[latencies.size() * 99 / 100],
    cpuSeconds / count * 1e6,
    benchRun.m_failureCount);
}

} // namespace

} // namespace rattanloft::http

int
main(int aArgCount, char** aArgs)
{
  using namespace rattanloft::http;
  const double secondsPerCase = aArgCount > 1 ? std::atof(aArgs[1]) : 2;
  boost::asio::io_context context(1);
  uint64_t handledCount = 0;
  auto server = Server::Make(context,
                             {},
                             [&](Request aRequest, std::shared_ptr<CancelToken>)
                               -> boost::asio::awaitable<Response> {
                               ++handledCount;
                               Response response;
                               response.body() = std::move(aRequest.body());
                               co_return response;
                             });
  if (!server) {
    return 1;
  }
  double serverCpuSeconds = 0;
  std::thread thread([&] {
    context.run();
    serverCpuSeconds = ThreadCpuSeconds();
  });
  for (const int callerCount : { 1, 16, 64 }) {
    MeasureCase((*server)->Port(), callerCount, secondsPerCase);
  }
  context.stop();
  thread.join();
  fmt::print("server CPU {:.1f} us an exchange over all cases\n",
             serverCpuSeconds / static_cast<double>(handledCount) * 1e6);
  return 0;
}
