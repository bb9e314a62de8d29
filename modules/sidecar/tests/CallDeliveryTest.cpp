#include "CallDelivery.h"

#include <catch2/catch.hpp>

#include "GrantBounds.h"

namespace rattanloft::sidecar {

namespace {

const TimePoint kStart{ 100'000 };

wire::OwnedRange
MakeRange(uint32_t aFirst,
          uint32_t aLast,
          uint64_t aFence,
          const std::string& aHandover = {})
{
  wire::OwnedRange range;
  range.set_first(aFirst);
  range.set_last(aLast);
  range.set_fence(aFence);
  range.set_handover(aHandover);
  return range;
}

// A delivery whose lease and heartbeats are current.
class DeliveryFixture
{
public:
  void SetPlan(std::vector<wire::OwnedRange> aRanges)
  {
    m_delivery.SetPlan(aRanges);
  }
  std::vector<OutgoingRangeCall> TakeCalls()
  {
    return m_delivery.TakeCalls(
      { m_now + m_leaseLeft, m_now - m_heartbeatAge, true }, m_now);
  }
  // Takes the only call that is due.
  OutgoingRangeCall TakeCall(RangeCallKind aKind)
  {
    const std::vector<OutgoingRangeCall> calls = TakeCalls();
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().m_call.m_kind == aKind);
    return calls.front();
  }
  std::optional<wire::HandedOver> End(const OutgoingRangeCall& aCall,
                                      RangeCallOutcome aOutcome,
                                      const std::string& aToken = {})
  {
    return m_delivery.OnCallEnded(aCall.m_id, { aOutcome, aToken }, m_now);
  }
  void Grant()
  {
    for (const OutgoingRangeCall& call : TakeCalls()) {
      End(call, RangeCallOutcome::kDone);
    }
  }
  void Advance(int64_t aMs) { m_now = m_now + Milliseconds(aMs); }
  size_t CountPossibleHolds() const
  {
    wire::FleetSyncRequest report;
    m_delivery.FillReport(report, m_now);
    return static_cast<size_t>(report.possible_holds_size());
  }
  KeyState State(uint32_t aKey) const
  {
    return m_delivery.FindKeyState(aKey, m_now);
  }
  bool Holds(uint32_t aKey) const { return State(aKey) == KeyState::kHeld; }

  CallDelivery m_delivery;
  TimePoint m_now = kStart;
  Duration m_leaseLeft = Milliseconds(3000);
  Duration m_heartbeatAge;
};

} // namespace

TEST_CASE("A planned range is served once its grant is answered")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7, "token") });
  const OutgoingRangeCall call = fixture.TakeCall(RangeCallKind::kGrant);
  CHECK(call.m_call.m_first == 0);
  CHECK(call.m_call.m_last == 99);
  CHECK(call.m_call.m_fence == 7);
  CHECK(call.m_call.m_handover == "token");
  CHECK(fixture.State(50) == KeyState::kAwaitsGrant);
  CHECK(fixture.State(100) == KeyState::kNone);
  CHECK(fixture.CountPossibleHolds() == 1);
  CHECK(fixture.TakeCalls().empty());
  fixture.End(call, RangeCallOutcome::kDone);
  CHECK(fixture.Holds(50));
  CHECK_FALSE(fixture.Holds(100));
  fixture.Advance(1500);
  const OutgoingRangeCall renewal = fixture.TakeCall(RangeCallKind::kGrant);
  CHECK(renewal.m_call.m_fence == 7);
  CHECK(renewal.m_call.m_handover.empty());
}

// Guards against a grant that is in force after the lease, however late within
// its timeout it arrives, and on a clock that runs 2% slow.
TEST_CASE("A grant ends before the lease even if it arrives at its timeout")
{
  DeliveryFixture fixture;
  fixture.m_leaseLeft =
    Milliseconds(GENERATE(800, 1200, 2000, 2999, 3000, 5000));
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  const OutgoingRangeCall call = fixture.TakeCall(RangeCallKind::kGrant);
  const int64_t slowHoldMs = call.m_call.m_grantDuration.m_ms * 100 / 98 + 1;
  CHECK(call.m_timeout.m_ms + slowHoldMs < fixture.m_leaseLeft.m_ms);
  CHECK(call.m_call.m_grantDuration <= kMaxGrantDuration);
}

TEST_CASE("No grant is sent under a lease that is about to end")
{
  DeliveryFixture fixture;
  fixture.m_leaseLeft = Milliseconds(700);
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  CHECK(fixture.TakeCalls().empty());
}

// Guards against grants that reach the process that started after a crash.
TEST_CASE("Grants stop when heartbeats stop")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.m_heartbeatAge = Milliseconds(1001);
  CHECK(fixture.TakeCalls().empty());
}

// Guards against a late grant that restores a range after its release was
// answered: the range would have two owners.
TEST_CASE("A range with an unanswered grant is released once it cannot apply")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  fixture.Advance(1500);
  const OutgoingRangeCall renewal = fixture.TakeCall(RangeCallKind::kGrant);
  fixture.Advance(400);
  fixture.End(renewal, RangeCallOutcome::kUnknown);
  fixture.SetPlan({});
  CHECK(fixture.TakeCalls().empty());
  // The backend server still holds the range under the first grant.
  CHECK(fixture.Holds(50));
  const int64_t doubtMs = OnSlowClock(renewal.m_call.m_grantDuration).m_ms;
  fixture.Advance(doubtMs - 1);
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.CountPossibleHolds() == 1);
  fixture.Advance(1);
  CHECK(fixture.CountPossibleHolds() == 0);
}

// Guards against an answer to a newer grant that ends the doubt about an older
// one, which may take effect after the newer one and after a release.
TEST_CASE("A later answer does not end the doubt about an earlier grant")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  const OutgoingRangeCall lost = fixture.TakeCall(RangeCallKind::kGrant);
  fixture.Advance(400);
  fixture.End(lost, RangeCallOutcome::kUnknown);
  fixture.Advance(200);
  fixture.Grant();
  CHECK(fixture.Holds(50));
  fixture.SetPlan({});
  CHECK(fixture.TakeCalls().empty());
  CHECK(fixture.CountPossibleHolds() == 1);
}

TEST_CASE("A part that leaves the plan is released, and the rest renewed")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  fixture.SetPlan({ MakeRange(0, 39, 7), MakeRange(60, 99, 7) });
  const OutgoingRangeCall release = fixture.TakeCall(RangeCallKind::kRelease);
  CHECK(release.m_call.m_first == 40);
  CHECK(release.m_call.m_last == 59);
  CHECK(release.m_call.m_fence == 7);
  CHECK(fixture.Holds(39));
  CHECK(fixture.State(40) == KeyState::kAwaitsRelease);
  CHECK(fixture.Holds(60));
  const auto handedOver =
    fixture.End(release, RangeCallOutcome::kDone, "token");
  REQUIRE(handedOver);
  CHECK(handedOver->first() == 40);
  CHECK(handedOver->last() == 59);
  CHECK(handedOver->token() == "token");
  CHECK(fixture.CountPossibleHolds() == 2);
}

// Guards against a release that holds up the grants of other ranges, and
// against a range that is assigned while its release is under way.
TEST_CASE("A release that is under way delays only its own keys")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  fixture.SetPlan({});
  const OutgoingRangeCall release = fixture.TakeCall(RangeCallKind::kRelease);
  fixture.SetPlan({ MakeRange(0, 99, 9), MakeRange(200, 299, 9) });
  const OutgoingRangeCall grant = fixture.TakeCall(RangeCallKind::kGrant);
  CHECK(grant.m_call.m_first == 200);
  fixture.End(release, RangeCallOutcome::kDone);
  const OutgoingRangeCall next = fixture.TakeCall(RangeCallKind::kGrant);
  CHECK(next.m_call.m_first == 0);
  CHECK(next.m_call.m_fence == 9);
}

// Guards against a range that changes hands because the answer to its release
// was lost.
TEST_CASE("A range whose release is not answered counts as held to its end")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  fixture.SetPlan({});
  const OutgoingRangeCall release = fixture.TakeCall(RangeCallKind::kRelease);
  fixture.Advance(100);
  CHECK_FALSE(fixture.End(release, RangeCallOutcome::kUnknown, "token"));
  CHECK(fixture.CountPossibleHolds() == 1);
  fixture.Advance(3100);
  CHECK(fixture.CountPossibleHolds() == 0);
}

// Guards against repeating a grant whose fencing token is too low.
TEST_CASE("A refused range is reported and granted only with another fence")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.End(fixture.TakeCall(RangeCallKind::kGrant),
              RangeCallOutcome::kHigherFenceSeen);
  for (int i = 0; i < 50; ++i) {
    fixture.Advance(100);
    CHECK(fixture.TakeCalls().empty());
  }
  wire::FleetSyncRequest report;
  fixture.m_delivery.FillReport(report, fixture.m_now);
  REQUIRE(report.refused_ranges_size() == 1);
  CHECK(report.refused_ranges(0).fence() == 7);
  CHECK(report.possible_holds().empty());
  fixture.SetPlan({ MakeRange(0, 99, 12) });
  CHECK(fixture.TakeCall(RangeCallKind::kGrant).m_call.m_fence == 12);
}

// Guards against another lifetime that holds ranges whose grants were meant for
// the one before, after these ranges went to another instance.
TEST_CASE("Another lifetime releases what it may have got before it was known")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  fixture.Advance(1500);
  const OutgoingRangeCall renewal = fixture.TakeCall(RangeCallKind::kGrant);
  fixture.m_delivery.OnNewLifetime(fixture.m_now);
  CHECK_FALSE(fixture.Holds(50));
  CHECK(fixture.CountPossibleHolds() == 1);
  fixture.End(renewal, RangeCallOutcome::kDone);
  CHECK_FALSE(fixture.Holds(50));
  const OutgoingRangeCall release = fixture.TakeCall(RangeCallKind::kRelease);
  // A token of another lifetime is of no use.
  CHECK_FALSE(fixture.End(release, RangeCallOutcome::kDone, "token"));
  CHECK(fixture.CountPossibleHolds() == 0);
}

TEST_CASE("A release that the lifetime before may have answered is repeated")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  fixture.SetPlan({});
  const OutgoingRangeCall release = fixture.TakeCall(RangeCallKind::kRelease);
  fixture.Advance(1);
  fixture.m_delivery.OnNewLifetime(fixture.m_now);
  fixture.End(release, RangeCallOutcome::kDone);
  CHECK(fixture.CountPossibleHolds() == 1);
  fixture.Advance(200);
  fixture.End(fixture.TakeCall(RangeCallKind::kRelease),
              RangeCallOutcome::kDone);
  CHECK(fixture.CountPossibleHolds() == 0);
}

TEST_CASE("A range that the backend server does not hold is granted again")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7) });
  fixture.Grant();
  CHECK(fixture.TakeCalls().empty());
  fixture.m_delivery.OnNotHeld(50);
  CHECK_FALSE(fixture.Holds(50));
  fixture.Grant();
  CHECK(fixture.Holds(50));
}

// One call renews neighbouring ranges of one assignment.
TEST_CASE("Neighbouring ranges of one assignment are renewed together")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(0, 99, 7), MakeRange(100, 199, 7) });
  CHECK(fixture.TakeCalls().size() == 1);
}

TEST_CASE("The last key can be granted and released")
{
  DeliveryFixture fixture;
  fixture.SetPlan({ MakeRange(65500, 65535, 7) });
  fixture.Grant();
  CHECK(fixture.Holds(65535));
  fixture.SetPlan({ MakeRange(65500, 65534, 7) });
  CHECK(fixture.TakeCall(RangeCallKind::kRelease).m_call.m_last == 65535);
}

} // namespace rattanloft::sidecar
