#include "rattanloft/fleet/FleetState.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace rattanloft::fleet {

namespace {

wire::ReplaceConfiguration
MakeChange(uint64_t aBase, uint64_t aVersion, uint64_t aDigest = 0)
{
  wire::ReplaceConfiguration change;
  change.set_base_version(aBase);
  change.mutable_configuration()->set_version(aVersion);
  change.set_digest(aDigest == 0 ? aVersion : aDigest);
  return change;
}

void
Apply(FleetState& aState,
      uint64_t aIndex,
      const wire::ReplaceConfiguration& aChange)
{
  wire::FleetCommand command;
  *command.mutable_replace_configuration() = aChange;
  aState.Apply(aIndex, command.SerializeAsString());
}

void
AssignKeys(FleetState& aState,
           uint64_t aIndex,
           uint32_t aFirst,
           uint32_t aLast,
           const std::string& aHolder)
{
  wire::FleetCommand command;
  command.mutable_assign_ranges()->set_service("s");
  wire::RangeAssignment& range = *command.mutable_assign_ranges()->add_ranges();
  range.set_first(aFirst);
  range.set_last(aLast);
  range.set_holder(aHolder);
  aState.Apply(aIndex, command.SerializeAsString());
}

// Returns the holder and the fence of a key, found by a search that shares no
// code with FleetState.
std::pair<std::string, uint64_t>
OwnerOf(const FleetState& aState, uint32_t aKey)
{
  for (const wire::OwnedRange& range :
       aState.RangesByService().at("s").ranges()) {
    if (range.first() <= aKey && aKey <= range.last()) {
      return { range.holder(), range.fence() };
    }
  }
  return {};
}

} // namespace

// Guards against two operators who change the same version and both succeed, so
// that the first change is lost.
TEST_CASE("of two changes based on the same version only one is accepted")
{
  FleetState state;
  Apply(state, 1, MakeChange(0, 2));
  Apply(state, 2, MakeChange(2, 5));
  Apply(state, 3, MakeChange(2, 6));
  CHECK(state.OutcomeAt(2) == ChangeOutcome::kAccepted);
  CHECK(state.OutcomeAt(3) == ChangeOutcome::kBaseMismatch);
  CHECK(state.CurrentChange().configuration().version() == 5);
}

// Guards against an accepted change that is refused when the operator resends
// it because the confirmation was lost.
TEST_CASE("an accepted change is confirmed again, even after a later change")
{
  FleetState state;
  Apply(state, 1, MakeChange(0, 2));
  Apply(state, 2, MakeChange(2, 5));
  CHECK(state.EvaluateChange(MakeChange(0, 2)) == ChangeOutcome::kRepeated);
  CHECK(state.EvaluateChange(MakeChange(2, 5)) == ChangeOutcome::kRepeated);
  // A change with the same version but other content is another change.
  CHECK(state.EvaluateChange(MakeChange(2, 5, 77)) ==
        ChangeOutcome::kBaseMismatch);
  CHECK(state.EvaluateChange(MakeChange(5, 5, 77)) ==
        ChangeOutcome::kVersionTooLow);
  CHECK(state.EvaluateChange(MakeChange(5, 4, 77)) ==
        ChangeOutcome::kVersionTooLow);
}

// Guards against state that a replica lacks after it was restored from a
// snapshot.
TEST_CASE("a snapshot carries configuration, accepted versions and ranges")
{
  FleetState state;
  Apply(state, 1, MakeChange(0, 2));
  AssignKeys(state, 2, 0, 99, "a");
  FleetState copy;
  REQUIRE(copy.RestoreSnapshot(state.TakeSnapshot()));
  CHECK(copy.CurrentChange().configuration().version() == 2);
  CHECK(copy.EvaluateChange(MakeChange(0, 2)) == ChangeOutcome::kRepeated);
  CHECK(copy.RangesIndex() == 2);
  CHECK(OwnerOf(copy, 99) == std::pair<std::string, uint64_t>("a", 2));
  CHECK(OwnerOf(copy, 100).first.empty());
  CHECK_FALSE(copy.RestoreSnapshot("\x01nonsense"));
}

// Guards against gaps, overlaps and lost fences when ranges are split and
// merged.
TEST_CASE("random assignments agree with a table that lists every key")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  std::mt19937 random(seed);
  FleetState state;
  std::vector<std::pair<std::string, uint64_t>> table(kLastKey + 1);
  for (uint64_t index = 1; index <= 200; ++index) {
    uint32_t first = random() % (kLastKey + 1);
    uint32_t last = random() % (kLastKey + 1);
    if (random() % 8 == 0) {
      first = 0;
    }
    if (random() % 8 == 0) {
      last = kLastKey;
    }
    if (first > last) {
      std::swap(first, last);
    }
    const std::string holder(1, static_cast<char>('a' + random() % 5));
    AssignKeys(state, index, first, last, holder);
    for (uint32_t key = first; key <= last; ++key) {
      table[key] = { holder, index };
    }
    const auto& ranges = state.RangesByService().at("s").ranges();
    uint32_t next = 0;
    for (const wire::OwnedRange& range : ranges) {
      REQUIRE(range.first() == next);
      REQUIRE(range.first() <= range.last());
      REQUIRE(table[range.first()] ==
              std::pair(range.holder(), uint64_t{ range.fence() }));
      REQUIRE(table[range.last()] ==
              std::pair(range.holder(), uint64_t{ range.fence() }));
      next = range.last() + 1;
    }
    REQUIRE(next == kLastKey + 1);
  }
}

// Guards against neighbours with the same owner that are not merged.
TEST_CASE("assigned ranges are merged with neighbours of the same owner")
{
  constexpr uint32_t kKeys = 64;
  std::mt19937 random(11);
  wire::ServiceRanges ranges;
  ranges.add_ranges()->set_last(kKeys - 1);
  std::vector<std::string> table(kKeys);
  for (int round = 0; round < 2000; ++round) {
    wire::OwnedRange range;
    range.set_first(random() % kKeys);
    range.set_last(
      std::min<uint32_t>(kKeys - 1, range.first() + random() % 12));
    range.set_holder(std::string(1, static_cast<char>('a' + random() % 3)));
    AssignRange(ranges, range);
    std::fill(table.begin() + range.first(),
              table.begin() + range.last() + 1,
              range.holder());
    uint32_t next = 0;
    for (const wire::OwnedRange& known : ranges.ranges()) {
      REQUIRE(known.first() == next);
      REQUIRE(known.last() < kKeys);
      REQUIRE((next == 0 || table[next - 1] != table[next]));
      for (; next <= known.last(); ++next) {
        REQUIRE(table[next] == known.holder());
      }
    }
    REQUIRE(next == kKeys);
  }
}

// Guards against a thread that is blocked while many ranges change.
TEST_CASE("assigning a range copies no other range")
{
  constexpr uint32_t kRangeCount = 100;
  constexpr uint32_t kKeysPerRange = 10;
  wire::ServiceRanges ranges;
  ranges.add_ranges()->set_last(kRangeCount * kKeysPerRange - 1);
  const auto assign = [&](uint32_t aIndex, uint64_t aFence) {
    wire::OwnedRange range;
    range.set_first(aIndex * kKeysPerRange);
    range.set_last(range.first() + kKeysPerRange - 1);
    range.set_holder("holder-" + std::to_string(aIndex));
    range.set_fence(aFence);
    AssignRange(ranges, range);
  };
  for (uint32_t index = 0; index < kRangeCount; ++index) {
    assign(index, 1);
  }
  REQUIRE(ranges.ranges_size() == kRangeCount);
  const wire::OwnedRange* const first = &ranges.ranges(0);
  const wire::OwnedRange* const last = &ranges.ranges(kRangeCount - 1);
  assign(kRangeCount / 2, 2);
  CHECK(&ranges.ranges(0) == first);
  CHECK(&ranges.ranges(kRangeCount - 1) == last);
}

// Guards against keys that a holder is told to keep while they are transferred
// to another.
TEST_CASE("subtracted spans agree with a table that lists every key")
{
  constexpr uint32_t kKeys = 64;
  std::mt19937 random(7);
  const auto draw = [&](uint32_t aCount) {
    return std::uniform_int_distribution<uint32_t>(0, aCount - 1)(random);
  };
  for (int round = 0; round < 2000; ++round) {
    wire::ServiceRanges ranges;
    for (uint32_t first = 0; first < kKeys;) {
      wire::OwnedRange& range = *ranges.add_ranges();
      range.set_first(first);
      first = std::min(kKeys, first + 1 + draw(20));
      range.set_last(first - 1);
    }
    std::vector<KeySpan> spans;
    std::vector<bool> kept(kKeys, true);
    for (uint32_t i = draw(6); i > 0; --i) {
      const uint32_t first = draw(kKeys);
      const uint32_t last = std::min(kKeys - 1, first + draw(25));
      spans.push_back({ first, last });
      std::fill(kept.begin() + first, kept.begin() + last + 1, false);
    }
    std::vector<bool> seen(kKeys, false);
    for (const wire::OwnedRange& range : SubtractSpans(ranges, spans)) {
      REQUIRE(range.first() <= range.last());
      for (uint32_t key = range.first(); key <= range.last(); ++key) {
        REQUIRE_FALSE(seen[key]);
        seen[key] = true;
      }
    }
    REQUIRE(seen == kept);
  }
}

// Guards against an evacuation that is lost with a snapshot, replicas that
// differ in the order of the zones, and a set that grows without bound.
TEST_CASE("evacuations are idempotent, bounded and part of the snapshot")
{
  FleetState state;
  uint64_t index = 0;
  const auto setEvacuation = [&](const std::string& aZone, bool aActive) {
    wire::FleetCommand command;
    command.mutable_set_evacuation()->set_zone(aZone);
    command.mutable_set_evacuation()->set_active(aActive);
    const EvacuationOutcome outcome =
      state.EvaluateEvacuation(command.set_evacuation());
    state.Apply(++index, command.SerializeAsString());
    return outcome;
  };
  CHECK(setEvacuation("b", false) == EvacuationOutcome::kInForce);
  CHECK(setEvacuation("b", true) == EvacuationOutcome::kChanged);
  CHECK(setEvacuation("a", true) == EvacuationOutcome::kChanged);
  CHECK(setEvacuation("b", true) == EvacuationOutcome::kInForce);
  CHECK(state.EvacuatedZones() == std::set<std::string>{ "a", "b" });
  FleetState copy;
  REQUIRE(copy.RestoreSnapshot(state.TakeSnapshot()));
  CHECK(copy.EvacuatedZones() == state.EvacuatedZones());
  CHECK(copy.TakeSnapshot() == state.TakeSnapshot());
  REQUIRE(copy.RestoreSnapshot(FleetState().TakeSnapshot()));
  CHECK(copy.EvacuatedZones().empty());

  for (size_t i = 0; state.EvacuatedZones().size() < kMaxEvacuatedZones; ++i) {
    setEvacuation("c" + std::to_string(i), true);
  }
  CHECK(setEvacuation("d", true) == EvacuationOutcome::kTooManyZones);
  CHECK(state.EvacuatedZones().size() == kMaxEvacuatedZones);
  CHECK(setEvacuation("a", true) == EvacuationOutcome::kInForce);
  CHECK(setEvacuation("a", false) == EvacuationOutcome::kChanged);
  CHECK(setEvacuation("d", true) == EvacuationOutcome::kChanged);
}

// Guards against a departure that is lost with a snapshot or taken back, and
// against one instance that leaves no room for the departures at others.
TEST_CASE("departures are final, bounded and part of the snapshot")
{
  FleetState state;
  uint64_t index = 0;
  const auto record = [&](const std::string& aHolder,
                          wire::BackendPhase aPhase) {
    wire::FleetCommand command;
    wire::Departure& departure =
      *command.mutable_change_departures()->add_recorded();
    departure.set_holder(aHolder);
    departure.set_phase(aPhase);
    const DepartureOutcome outcome = state.EvaluateDeparture(departure);
    state.Apply(++index, command.SerializeAsString());
    return outcome;
  };
  using Outcome = DepartureOutcome;
  constexpr auto kDraining = wire::BACKEND_PHASE_DRAINING;
  constexpr auto kGone = wire::BACKEND_PHASE_GONE;
  CHECK(record("n1/a@1", kDraining) == Outcome::kChanged);
  CHECK(record("n1/a@1", kGone) == Outcome::kChanged);
  CHECK(record("n1/a@1", kDraining) == Outcome::kRecorded);
  CHECK(state.Departures().at("n1/a@1") == kGone);
  FleetState copy;
  REQUIRE(copy.RestoreSnapshot(state.TakeSnapshot()));
  CHECK(copy.Departures() == state.Departures());
  CHECK(copy.TakeSnapshot() == state.TakeSnapshot());
  REQUIRE(copy.RestoreSnapshot(FleetState().TakeSnapshot()));
  CHECK(copy.Departures().empty());

  for (size_t i = 1; i < kMaxDeparturesPerInstance; ++i) {
    CHECK(record(fmt::format("n1/b@{}", i), kGone) == Outcome::kChanged);
  }
  CHECK(record("n1/c@1", kGone) == Outcome::kTooManyDepartures);
  CHECK(record("n10/c@1", kGone) == Outcome::kChanged);
  for (size_t i = 0; state.Departures().size() < kMaxDepartures; ++i) {
    record(fmt::format("m{}/b@1", i), kGone);
  }
  CHECK(record("n2/c@1", kGone) == Outcome::kTooManyDepartures);
  CHECK(record("n10/c@1", kGone) == Outcome::kRecorded);
  CHECK(state.Departures().size() == kMaxDepartures);

  wire::FleetCommand command;
  command.mutable_change_departures()->add_dropped("n1/a@1");
  state.Apply(++index, command.SerializeAsString());
  CHECK(record("n2/c@1", kGone) == Outcome::kChanged);
}

} // namespace rattanloft::fleet
