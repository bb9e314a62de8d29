#include "rattanloft/overload/MemoryBudget.h"

#include <algorithm>
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include "rattanloft/overload/MemoryCharge.h"

namespace rattanloft::overload {

namespace {

// Connections that hold one charge each.
class FakeSource final : public ReclaimSource
{
public:
  struct Connection
  {
    MemoryCharge m_charge;
    Duration m_stalledFor;
  };

  void ListCandidates(std::vector<ReclaimCandidate>& aCandidates) override
  {
    for (auto& connection : m_connections) {
      aCandidates.push_back({ this,
                              &connection,
                              connection.m_charge.Bytes(),
                              connection.m_stalledFor });
    }
  }
  void Reclaim(const ReclaimCandidate& aCandidate) override
  {
    auto& connection = *static_cast<Connection*>(aCandidate.m_connection);
    REQUIRE(connection.m_stalledFor >= ReclaimPolicy::kMinRequestStall);
    connection.m_charge.Clear();
    ++m_reclaimCount;
  }

  std::vector<Connection> m_connections;
  int m_reclaimCount = 0;
};

struct Fixture
{
  ManualClock m_clock;
  std::shared_ptr<MemoryBudget> m_budget =
    std::make_shared<MemoryBudget>(8000, m_clock);
};

} // namespace

TEST_CASE("A charge gives its bytes back exactly once", "[overload]")
{
  Fixture fixture;
  MemoryBudget& budget = *fixture.m_budget;
  {
    MemoryCharge charge(fixture.m_budget);
    REQUIRE(charge.Resize(100, ChargeKind::kLargeBody));
    MemoryCharge moved = std::move(charge);
    CHECK(budget.ChargedBytes() == 100);
    REQUIRE(moved.Resize(40, ChargeKind::kLargeBody));
    CHECK(budget.ChargedBytes() == 40);
    MemoryCharge other(fixture.m_budget);
    REQUIRE(other.Resize(5, ChargeKind::kLargeBody));
    other = std::move(moved);
    CHECK(budget.ChargedBytes() == 40);
  }
  CHECK(budget.ChargedBytes() == 0);
}

// Guards against large bodies that displace everything else.
TEST_CASE("The reserve is kept for small bodies and control", "[overload]")
{
  Fixture fixture;
  MemoryCharge large(fixture.m_budget);
  MemoryCharge small(fixture.m_budget);
  MemoryCharge control(fixture.m_budget);
  CHECK_FALSE(large.Resize(7001, ChargeKind::kLargeBody));
  REQUIRE(large.Resize(7000, ChargeKind::kLargeBody));
  CHECK_FALSE(small.Resize(501, ChargeKind::kSmallBody));
  REQUIRE(small.Resize(500, ChargeKind::kSmallBody));
  CHECK_FALSE(control.Resize(501, ChargeKind::kControl));
  REQUIRE(control.Resize(500, ChargeKind::kControl));
  CHECK(fixture.m_budget->ChargedBytes() == 8000);
  CHECK(fixture.m_budget->RefusedCount() == 3);
}

TEST_CASE("The state of the budget has hysteresis", "[overload]")
{
  Fixture fixture;
  std::vector<MemoryState> states;
  fixture.m_budget->SetStateCallback(
    [&](MemoryState aState) { states.push_back(aState); });
  MemoryCharge charge(fixture.m_budget);
  for (const size_t bytes :
       { 4799, 4800, 3600, 4800, 6400, 5600, 5599, 3599 }) {
    REQUIRE(charge.Resize(bytes, ChargeKind::kControl));
  }
  CHECK(states == std::vector<MemoryState>{ MemoryState::kTight,
                                            MemoryState::kFull,
                                            MemoryState::kTight,
                                            MemoryState::kNormal });
}

TEST_CASE("Stalled connections make room for a charge", "[overload]")
{
  Fixture fixture;
  FakeSource source;
  fixture.m_budget->AddSource(source);
  for (const int64_t stalledMs : { 0, 600, 600 }) {
    source.m_connections.push_back(
      { MemoryCharge(fixture.m_budget), Milliseconds(stalledMs) });
    REQUIRE(source.m_connections.back().m_charge.Resize(
      2000, ChargeKind::kLargeBody));
  }
  MemoryCharge charge(fixture.m_budget);
  REQUIRE(charge.Resize(2000, ChargeKind::kLargeBody));
  CHECK(source.m_reclaimCount == 1);
  CHECK(source.m_connections[0].m_charge.Bytes() == 2000);
  CHECK_FALSE(charge.Resize(6000, ChargeKind::kLargeBody));
  CHECK(source.m_reclaimCount == 1);
  // A reclaim that did not help is not repeated at once.
  CHECK_FALSE(charge.Resize(4000, ChargeKind::kLargeBody));
  fixture.m_clock.Advance(Milliseconds(20));
  CHECK(charge.Resize(4000, ChargeKind::kLargeBody));
  CHECK(source.m_reclaimCount == 2);
  fixture.m_budget->RemoveSource(source);
}

// Compares the budget with the sum of its charges after each step, over random
// growth, release, moves and reclaims. Guards against bytes that are charged
// twice or never released, and against charges above the limit.
TEST_CASE("The budget equals the sum of its charges", "[overload][random]")
{
  constexpr int kSteps = 1'000'000;
  constexpr size_t kConnections = 40;
  for (const uint64_t seed : { 11, 12, 13 }) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto upTo = [&](size_t aMax) {
      return std::uniform_int_distribution<size_t>(0, aMax)(random);
    };
    Fixture fixture;
    FakeSource source;
    fixture.m_budget->AddSource(source);
    for (size_t i = 0; i < kConnections; ++i) {
      source.m_connections.push_back({ MemoryCharge(fixture.m_budget), {} });
    }
    size_t refused = 0;
    for (int step = 0; step < kSteps; ++step) {
      auto& connection = source.m_connections[upTo(kConnections - 1)];
      connection.m_stalledFor = Milliseconds(static_cast<int64_t>(upTo(600)));
      const auto kind = static_cast<ChargeKind>(upTo(2));
      const size_t before = connection.m_charge.Bytes();
      switch (upTo(5)) {
        case 0:
          connection.m_charge.Clear();
          break;
        case 1: {
          MemoryCharge moved = std::move(connection.m_charge);
          REQUIRE(connection.m_charge.Bytes() == 0);
          connection.m_charge = std::move(moved);
          break;
        }
        case 2:
          fixture.m_clock.Advance(Milliseconds(10));
          break;
        default:
          // A connection that grows makes progress, so it is not reclaimed
          // itself.
          connection.m_stalledFor = Duration{};
          if (!connection.m_charge.Resize(before + upTo(800), kind)) {
            ++refused;
            REQUIRE(connection.m_charge.Bytes() == before);
          }
      }
      size_t sum = 0;
      for (const auto& item : source.m_connections) {
        sum += item.m_charge.Bytes();
      }
      if (sum != fixture.m_budget->ChargedBytes() ||
          sum > fixture.m_budget->LimitBytes()) {
        FAIL("step " << step << " sum " << sum << " charged "
                     << fixture.m_budget->ChargedBytes());
      }
    }
    CHECK(refused > 0);
    CHECK(source.m_reclaimCount > 0);
    CHECK(fixture.m_budget->RefusedCount() == refused);
    fixture.m_budget->RemoveSource(source);
    source.m_connections.clear();
    CHECK(fixture.m_budget->ChargedBytes() == 0);
  }
}

} // namespace rattanloft::overload
