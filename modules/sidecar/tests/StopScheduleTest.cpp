#include "StopSchedule.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

constexpr TimePoint kSignal{ 10'000 };

} // namespace

// Guards against a process that is killed while it still waits, or that ends
// while it still gives answers.
TEST_CASE("A stop ends within its grace time, and its waits before it")
{
  const Duration grace =
    GENERATE(Seconds(1), Seconds(2), Seconds(3), Seconds(6), Seconds(10));
  const StopSchedule schedule = StopSchedule::Make(kSignal, grace);
  CHECK(schedule.ListenersStopAt() >= kSignal);
  CHECK(schedule.ListenersStopAt() + StopSchedule::kListenerStopTime <=
        schedule.WaitsEndAt());
  CHECK(schedule.WaitsEndAt() < schedule.ProcessEndsAt());
  CHECK(schedule.ProcessEndsAt() < kSignal + grace);
}

// Guards against requests that are refused while their callers do not know of
// the stop yet.
TEST_CASE("Each request of clients that connected in time is served")
{
  const StopSchedule schedule = StopSchedule::Make(kSignal, Seconds(6));
  for (const Duration after : { Milliseconds(0), Milliseconds(2900) }) {
    CHECK(schedule.MayServe(kSignal + after, kSignal + Seconds(60)));
  }
}

// Guards against requests that run while the process ends, and against refusals
// of requests that have enough time.
TEST_CASE("A late request is served only if its deadline passes before the end")
{
  const StopSchedule schedule = StopSchedule::Make(kSignal, Seconds(6));
  const TimePoint late = kSignal + Seconds(3);
  CHECK(schedule.MayServe(late, late + Seconds(1)));
  CHECK_FALSE(schedule.MayServe(late, schedule.WaitsEndAt()));
  CHECK_FALSE(schedule.MayServe(late, late + Seconds(3)));
}

// Guards against requests that are passed on once nothing waits for them.
TEST_CASE("Nothing is served after the waits have ended")
{
  const Duration grace =
    GENERATE(Seconds(1), Seconds(2), Seconds(3), Seconds(6));
  const StopSchedule schedule = StopSchedule::Make(kSignal, grace);
  const TimePoint last = schedule.WaitsEndAt();
  CHECK_FALSE(schedule.MayServe(last, last));
  CHECK_FALSE(schedule.MayServe(last, last + Seconds(1)));
}

// Guards against callers that come back to a process which still stops, or are
// not told when to come back.
TEST_CASE("A refusal reports the time until the process has ended")
{
  const StopSchedule schedule = StopSchedule::Make(kSignal, Seconds(6));
  const TimePoint end = schedule.ProcessEndsAt();
  CHECK(schedule.RetryDelay(end - Seconds(2)) == Seconds(2));
  CHECK(schedule.RetryDelay(end + Seconds(1)) > Duration{});
}

} // namespace rattanloft::sidecar
