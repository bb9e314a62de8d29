#include "BodyReservations.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

constexpr size_t kBodyBytes = 60'000;
constexpr TimePoint kStart{ 100'000 };

// Sends bodies one after another, each of which takes this time, until the
// window no longer changes much. Returns the window.
size_t
AdaptTo(BodyReservations& aReservations, Duration aTransferTime)
{
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    std::vector<BodyReservations::Id> ids;
    while (const auto id = aReservations.Request(kBodyBytes, now)) {
      ids.push_back(*id);
    }
    const std::vector<BodyReservations::Id> sent =
      aReservations.TakeGranted(now);
    now = now + aTransferTime;
    for (const auto id : sent) {
      aReservations.OnArrived(id, now);
    }
    for (const auto id : ids) {
      aReservations.Cancel(id);
    }
  }
  return aReservations.WindowBytes();
}

} // namespace

TEST_CASE("bodies are granted in order within the window, then wait, then are "
          "refused")
{
  BodyReservations reservations;
  std::vector<BodyReservations::Id> ids;
  while (const auto id = reservations.Request(kBodyBytes, kStart)) {
    ids.push_back(*id);
  }
  const size_t granted = reservations.TakeGranted(kStart).size();
  CHECK(reservations.GrantedBytes() == granted * kBodyBytes);
  CHECK(reservations.GrantedBytes() <= reservations.WindowBytes());
  CHECK(reservations.WaitingCount() == ids.size() - granted);
  REQUIRE(reservations.WaitingCount() > 0);
  CHECK(reservations.IsGranted(ids[granted - 1]));
  CHECK_FALSE(reservations.IsGranted(ids[granted]));
  reservations.OnArrived(ids[0], kStart + Milliseconds(50));
  CHECK(reservations.TakeGranted(kStart + Milliseconds(50)) ==
        std::vector{ ids[granted] });
}

// Guards against a link that stays reserved for senders that are gone.
TEST_CASE("reservations end when the sender leaves or the body does not come")
{
  BodyReservations reservations;
  const auto lost = reservations.Request(kBodyBytes, kStart);
  const auto left = reservations.Request(kBodyBytes, kStart);
  REQUIRE((lost && left));
  reservations.Cancel(*left);
  CHECK(reservations.GrantedBytes() == kBodyBytes);
  CHECK(reservations.TakeGranted(kStart + Seconds(3)).size() <= 2);
  CHECK(reservations.GrantedBytes() == 0);
  // An id of an earlier process, or one that has ended.
  reservations.OnArrived(*lost, kStart + Seconds(4));
  reservations.OnArrived(12345, kStart + Seconds(4));
  reservations.Cancel(12345);
  CHECK(reservations.GrantedBytes() == 0);
}

// Guards against a body larger than the window that is refused for ever.
TEST_CASE("one body is granted at any time")
{
  BodyReservations reservations;
  const size_t largeBytes = 4 * reservations.WindowBytes();
  const auto id = reservations.Request(largeBytes, kStart);
  REQUIRE(id);
  CHECK(reservations.IsGranted(*id));
  CHECK_FALSE(reservations.Request(largeBytes, kStart));
}

TEST_CASE("the window follows the time that bodies take")
{
  BodyReservations slow;
  CHECK(AdaptTo(slow, Milliseconds(500)) < kBodyBytes);
  BodyReservations fast;
  CHECK(AdaptTo(fast, Milliseconds(20)) > 20 * kBodyBytes);
}

} // namespace rattanloft::sidecar
