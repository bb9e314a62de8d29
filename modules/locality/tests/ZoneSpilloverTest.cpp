#include "rattanloft/locality/ZoneSpillover.h"

#include <array>
#include <cmath>
#include <vector>

#include <catch2/catch.hpp>

namespace rattanloft::locality {

namespace {

constexpr SpilloverOptions kOptions{ 500, 312.5 };

// Four backend servers of 12 slots and 400 ms, with this many running and
// waiting requests for each slot and fresh reports for all slots.
ZoneState
MakeZone(const std::string& aName, double aRunning, double aWaiting = 0)
{
  constexpr double kSlots = 48;
  return {
    aName, kSlots, kSlots / 0.4, kSlots, kSlots * aRunning, kSlots * aWaiting,
    2,     30
  };
}

} // namespace

// Guards against different decisions on a second run, which would make faults
// impossible to reproduce.
TEST_CASE("the choice is the same for the same seed and input")
{
  std::array<std::string, 2> picks;
  for (std::string& sequence : picks) {
    ZoneSpillover spillover("a", kOptions, 7);
    const std::vector<ZoneState> zones = { MakeZone("a", 1, 1),
                                           MakeZone("b", 0.2) };
    for (int i = 0; i < 500; ++i) {
      spillover.Update(zones, TimePoint{ 40 * i });
      sequence += spillover.Pick(1000);
    }
  }
  CHECK(picks[0] == picks[1]);
  CHECK(picks[0].find('b') != std::string::npos);
}

// Guards against a price that has no effect, and against one that makes callers
// wait for ever.
TEST_CASE("a higher price of traffic keeps more requests in the own zone")
{
  const auto shareAt = [](double aCostMsPerMb) {
    ZoneSpillover spillover("a", { aCostMsPerMb, 312.5 }, 1);
    const std::vector<ZoneState> zones = { MakeZone("a", 1, 0.2),
                                           MakeZone("b", 0.2) };
    for (int i = 0; i < 100; ++i) {
      spillover.Update(zones, TimePoint{ 40 * i });
      spillover.Pick(4000);
      spillover.OnExchange(4000);
    }
    return spillover.Share();
  };
  CHECK(shareAt(0) > 0.3);
  CHECK(shareAt(1e6) == 0);
}

// Random states of the zones, in which zones appear, disappear, are evacuated
// (no slots), go silent and have values of any size.
TEST_CASE("shares stay within their bounds in any state of the zones")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    std::mt19937_64 random(seed);
    const auto below = [&](uint64_t aBound) { return random() % aBound; };
    ZoneSpillover spillover("a", kOptions, seed);
    std::vector<ZoneState> zones;
    TimePoint now;
    uint64_t violations = 0;
    for (int step = 0; step < 1'000'000; ++step) {
      if (below(8) == 0) {
        zones.clear();
        for (const char* const name : { "a", "b", "c", "d" }) {
          if (below(8) == 0) {
            continue;
          }
          ZoneState& zone = zones.emplace_back(
            MakeZone(name, 0.01 * below(101), 0.01 * below(300)));
          zone.m_senders = static_cast<uint32_t>(below(100));
          if (below(6) == 0) {
            zone.m_slots = 0;
            zone.m_capacityPerSecond = 0;
          } else if (below(6) == 0) {
            zone.m_reportedSlots = 0;
            zone.m_reportedRunning = 0;
            zone.m_reportedWaiting = 0;
          }
        }
      }
      now = now + Milliseconds(static_cast<int64_t>(below(100)));
      spillover.Update(zones, now);
      const size_t bytes = size_t{ 1 } << below(27);
      const std::string picked = below(10) == 0
                                   ? spillover.PickAfterRefusal(bytes)
                                   : spillover.Pick(bytes);
      spillover.OnOwnZoneResult(below(2) == 0);
      spillover.OnExchange(bytes);
      double sum = 0;
      for (const auto& [name, share] : spillover.ZoneShares()) {
        const auto zone = std::ranges::find(zones, name, &ZoneState::m_zone);
        const bool isUsable = zone != zones.end() && zone->m_slots > 0;
        violations += share < 0 || name == "a" || !isUsable ? 1 : 0;
        sum += share;
      }
      const auto target = std::ranges::find(zones, picked, &ZoneState::m_zone);
      const bool mayGetRequest =
        picked == "a" || (target != zones.end() && target->m_slots > 0);
      const double share = spillover.Share();
      // Also counts a share that is not a number.
      violations += mayGetRequest && share >= 0 && share <= 1 &&
                        std::abs(sum - share) < 1e-9
                      ? 0
                      : 1;
    }
    CHECK(violations == 0);
  }
}

} // namespace rattanloft::locality
