// Exchanges between one client thread and one server thread over loopback.
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

struct Run
{
  Client& m_client;
  std::string m_peer;
  Clock::time_point m_end;
  std::vector<float> m_microseconds;
  int m_failures = 0;
};

asio::awaitable<void>
Call(Run& aRun)
{
  while (Clock::now() < aRun.m_end) {
    const Clock::time_point start = Clock::now();
    Request request;
    request.method(boost::beast::http::verb::post);
    request.target("/catalogue/stand-17/1");
    request.body().assign(200, 'x');
    const tl::expected<Response, HttpError> result =
      co_await aRun.m_client.Exchange(
        aRun.m_peer, std::move(request), Seconds(5), nullptr);
    aRun.m_failures += result ? 0 : 1;
    aRun.m_microseconds.push_back(
      std::chrono::duration<float, std::micro>(Clock::now() - start).count());
  }
}

void
Measure(uint16_t aPort, int aCallers, double aSeconds)
{
  asio::io_context context(1);
  const auto client = Client::Make(context, {});
  Run run{ *client,
           fmt::format("127.0.0.1:{}", aPort),
           Clock::now() +
             std::chrono::milliseconds(static_cast<int64_t>(aSeconds * 1000)),
           {},
           0 };
  int left = aCallers;
  for (int i = 0; i < aCallers; ++i) {
    asio::co_spawn(context, Call(run), [&](const std::exception_ptr&) {
      if (--left == 0) {
        context.stop();
      }
    });
  }
  const double cpuBefore = ThreadCpuSeconds();
  const Clock::time_point start = Clock::now();
  context.run();
  const double elapsed =
    std::chrono::duration<double>(Clock::now() - start).count();
  const double cpu = ThreadCpuSeconds() - cpuBefore;
  auto& times = run.m_microseconds;
  std::sort(times.begin(), times.end());
  const auto count = static_cast<double>(times.size());
  fmt::print(
    "{:3} concurrent: {:7.0f} exchanges/s, p50 {:6.0f} us, p99 {:6.0f} "
    "us, client CPU {:5.1f} us each, {} failures\n",
    aCallers,
    count / elapsed,
    times[times.size() / 2],
    times[times.size() * 99 / 100],
    cpu / count * 1e6,
    run.m_failures);
}

} // namespace

} // namespace rattanloft::http

int
main(int aCount, char** aArgs)
{
  using namespace rattanloft::http;
  const double seconds = aCount > 1 ? std::atof(aArgs[1]) : 2;
  boost::asio::io_context context(1);
  uint64_t handled = 0;
  auto server = Server::Make(context,
                             {},
                             [&](Request aRequest, std::shared_ptr<CancelToken>)
                               -> boost::asio::awaitable<Response> {
                               ++handled;
                               Response response;
                               response.body() = std::move(aRequest.body());
                               co_return response;
                             });
  if (!server) {
    return 1;
  }
  double serverCpu = 0;
  std::thread thread([&] {
    context.run();
    serverCpu = ThreadCpuSeconds();
  });
  for (const int callers : { 1, 16, 64 }) {
    Measure((*server)->Port(), callers, seconds);
  }
  context.stop();
  thread.join();
  fmt::print("server CPU {:.1f} us an exchange over all cases\n",
             serverCpu / static_cast<double>(handled) * 1e6);
  return 0;
}
