#include "rattanloft/base/TransitDelay.h"

#include <limits>

#include <catch2/catch.hpp>

namespace rattanloft {

namespace {

// The clock of the sender shows this much more than that of the receiver.
constexpr Duration kClockDifference = Seconds(777);

// Sends a message that takes aTransit at this time of the receiver.
Duration
EstimateOf(TransitDelay& aDelay, TimePoint aArrival, Duration aTransit)
{
  return aDelay.Estimate({ 7, aArrival - aTransit + kClockDifference },
                         aArrival);
}

} // namespace

// Guards against work for callers whose time has passed on the way.
TEST_CASE("a message that was on its way for long is found")
{
  TransitDelay delay;
  const TimePoint start{ 900'000 };
  CHECK(EstimateOf(delay, start, Milliseconds(5)) == Duration{});
  CHECK(EstimateOf(delay, start + Seconds(3), Milliseconds(50)) == Duration{});
  CHECK(EstimateOf(delay, start + Seconds(9), Milliseconds(2005)) ==
        Seconds(2) - TransitDelay::kTolerance);
}

// Guards against requests that are refused although they were not late.
TEST_CASE("the first message and a lasting delay are no delay")
{
  TransitDelay delay;
  const TimePoint start{ 900'000 };
  CHECK(EstimateOf(delay, start, Seconds(4)) == Duration{});
  CHECK(EstimateOf(delay, start + Seconds(1), Milliseconds(5)) == Duration{});
  Duration last;
  for (int second = 2; second <= 2 + 2 * TransitDelay::kWindow.m_ms / 1000;
       ++second) {
    last = EstimateOf(delay, start + Seconds(second), Seconds(4));
  }
  CHECK(last == Duration{});
}

// Guards against a sender whose requests are all refused after a clock has
// jumped.
TEST_CASE("a jump of a clock is not taken for a delay for long")
{
  TransitDelay delay;
  const TimePoint start{ 900'000 };
  const Duration jump = GENERATE(Seconds(-500), Seconds(5), Seconds(500));
  TimePoint now = start;
  for (int i = 0; i < 40; ++i) {
    now = now + Milliseconds(500);
    CHECK(EstimateOf(delay, now, Milliseconds(5)) == Duration{});
  }
  Duration last;
  for (int i = 0; i < 42; ++i) {
    now = now + Milliseconds(500);
    last = EstimateOf(delay, now, jump + Milliseconds(5));
  }
  CHECK(last == Duration{});
}

// Guards against requests that are refused for seconds after a machine was
// paused, whose clock has stood still.
TEST_CASE("a sender whose clock has stood still gets a new start")
{
  TransitDelay delay;
  TransitSender sender(7);
  TimePoint now{ 900'000 };
  CHECK(delay.Estimate(sender.Stamp(now), now) == Duration{});
  const Duration pause = Seconds(4);
  now = now + pause;
  const Duration roundTrip = Milliseconds(20);
  const Duration estimate = delay.Estimate(sender.Stamp(now - pause), now);
  CHECK(estimate > Seconds(3));
  CHECK(sender.OnEstimate(estimate, roundTrip));
  CHECK(delay.Estimate(sender.Stamp(now - pause), now) == Duration{});
}

// Guards against a link whose delay is never found as its senders start anew.
TEST_CASE("a delay that the round trip confirms changes nothing")
{
  TransitSender sender(7);
  CHECK_FALSE(sender.OnEstimate(Seconds(2), Milliseconds(2100)));
  CHECK(sender.Stamp({}).m_senderId == 7);
}

// Guards against a table that grows with each restart of a sender.
TEST_CASE("the number of senders is bounded and old ones make room")
{
  TransitDelay delay;
  TimePoint now{ 900'000 };
  for (uint64_t id = 1; id <= 2 * TransitDelay::kMaxSenders; ++id) {
    delay.Estimate({ id, now }, now);
  }
  const uint64_t newId = 99'999;
  const TimePoint late = now + Seconds(1);
  delay.Estimate({ newId, now }, now);
  CHECK(delay.Estimate({ newId, now }, late) == Duration{});
  now = now + TransitDelay::kWindow * 3;
  delay.Estimate({ newId, now }, now);
  CHECK(delay.Estimate({ newId, now }, now + Seconds(1)) > Duration{});
}

// Guards against stamps that a peer cannot read back, and against bad ones.
TEST_CASE("a stamp is read back, and another text is not a stamp")
{
  const TransitStamp stamp{ std::numeric_limits<uint64_t>::max(),
                            TimePoint{ 123'456'789 } };
  const auto parsed = ParseTransitStamp(FormatTransitStamp(stamp));
  REQUIRE(parsed);
  CHECK(parsed->m_senderId == stamp.m_senderId);
  CHECK(parsed->m_sentAt == stamp.m_sentAt);
  for (const char* text : { "",
                            "/",
                            "7",
                            "7/",
                            "/7",
                            "x/7",
                            "7/x",
                            "7/-5",
                            "7/5 ",
                            "7/99999999999999999999" }) {
    INFO(text);
    CHECK_FALSE(ParseTransitStamp(text));
  }
}

} // namespace rattanloft
