#include "rattanloft/fleet/FleetState.h"

#include <algorithm>

#include "rattanloft/base/Assert.h"

namespace rattanloft::fleet {

namespace {

using RangeList = google::protobuf::RepeatedPtrField<wire::OwnedRange>;

// Operators resend a change within seconds, and a busy day has hundreds of
// changes.
constexpr size_t kMaxAcceptedVersions = 4096;
// The outcome of a change is read right after it was applied.
constexpr size_t kMaxOutcomes = 256;

// Appends the range, or extends the last range if they differ only in their
// keys. Ignores an empty range.
void
AppendMerged(wire::ServiceRanges& aRanges, const wire::OwnedRange& aRange)
{
  if (aRange.first() > aRange.last()) {
    return;
  }
  if (!aRanges.ranges().empty()) {
    wire::OwnedRange& previous = *aRanges.mutable_ranges()->rbegin();
    if (previous.holder() == aRange.holder() &&
        previous.fence() == aRange.fence() &&
        previous.handover() == aRange.handover()) {
      previous.set_last(aRange.last());
      return;
    }
  }
  *aRanges.add_ranges() = aRange;
}

// Returns a copy of the range that is limited to the keys from aFirst to aLast.
wire::OwnedRange
ClipRange(const wire::OwnedRange& aRange, uint32_t aFirst, uint32_t aLast)
{
  wire::OwnedRange part = aRange;
  part.set_first(aFirst);
  part.set_last(aLast);
  return part;
}

// Replaces the ranges at the indices from aFirst to aLast - 1. Copies no other
// range, since a large fleet has many and they change one by one.
void
ReplaceRanges(RangeList& aRanges, int aFirst, int aLast, RangeList& aNewRanges)
{
  aRanges.DeleteSubrange(aFirst, aLast - aFirst);
  const int oldCount = aRanges.size();
  for (wire::OwnedRange& range : aNewRanges) {
    *aRanges.Add() = std::move(range);
  }
  std::rotate(aRanges.pointer_begin() + aFirst,
              aRanges.pointer_begin() + oldCount,
              aRanges.pointer_end());
}

} // namespace

void
AssignRange(wire::ServiceRanges& aRanges, const wire::OwnedRange& aRange)
{
  auto& ranges = *aRanges.mutable_ranges();
  const auto begin = std::ranges::lower_bound(
    ranges, aRange.first(), {}, &wire::OwnedRange::last);
  if (begin == ranges.end()) {
    return;
  }
  const auto end = std::ranges::upper_bound(
    begin, ranges.end(), aRange.last(), {}, &wire::OwnedRange::first);
  // The neighbours are replaced as well because they may be merged.
  const int first =
    std::max(0, static_cast<int>(std::distance(ranges.begin(), begin)) - 1);
  const int last = std::min(
    ranges.size(), static_cast<int>(std::distance(ranges.begin(), end)) + 1);
  wire::ServiceRanges merged;
  for (int index = first; index < last; ++index) {
    const wire::OwnedRange& range = ranges[index];
    if (range.first() < aRange.first()) {
      AppendMerged(merged,
                   ClipRange(range,
                             range.first(),
                             std::min(range.last(), aRange.first() - 1)));
    }
  }
  AppendMerged(merged, aRange);
  for (int index = first; index < last; ++index) {
    const wire::OwnedRange& range = ranges[index];
    if (range.last() > aRange.last()) {
      AppendMerged(merged,
                   ClipRange(range,
                             std::max(range.first(), aRange.last() + 1),
                             range.last()));
    }
  }
  ReplaceRanges(ranges, first, last, *merged.mutable_ranges());
}

std::vector<wire::OwnedRange>
SubtractSpans(const wire::ServiceRanges& aRanges, std::vector<KeySpan> aSpans)
{
  std::ranges::sort(aSpans, {}, &KeySpan::m_first);
  std::vector<wire::OwnedRange> remaining;
  auto span = aSpans.cbegin();
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    uint32_t first = range.first();
    while (span != aSpans.cend() && span->m_first <= range.last()) {
      if (span->m_first > first) {
        remaining.push_back(ClipRange(range, first, span->m_first - 1));
      }
      first = std::max(first, span->m_last + 1);
      if (span->m_last > range.last()) {
        // The span may also cover keys of the next range.
        break;
      }
      ++span;
    }
    if (first <= range.last()) {
      remaining.push_back(ClipRange(range, first, range.last()));
    }
  }
  return remaining;
}

void
FleetState::Apply(uint64_t aIndex, std::string_view aCommand)
{
  wire::FleetCommand command;
  // The checksums of the log have verified the bytes. A replica that skipped a
  // command would differ from the others from then on.
  RATTANLOFT_ASSERT(
    command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size())));
  ++m_changeCount;
  switch (command.command_case()) {
    case wire::FleetCommand::kReplaceConfiguration:
      ApplyConfiguration(aIndex, command.replace_configuration());
      return;
    case wire::FleetCommand::kAssignRanges:
      ApplyRanges(aIndex, command.assign_ranges());
      return;
    case wire::FleetCommand::kSetEvacuation:
      ApplyEvacuation(command.set_evacuation());
      return;
    case wire::FleetCommand::kChangeDepartures:
      ApplyDepartures(command.change_departures());
      return;
    case wire::FleetCommand::COMMAND_NOT_SET:
      return;
  }
}

ChangeOutcome
FleetState::EvaluateChange(const wire::ReplaceConfiguration& aChange) const
{
  const uint64_t version = aChange.configuration().version();
  const bool repeated = std::ranges::any_of(
    m_acceptedVersions, [&](const wire::AcceptedVersion& aAccepted) {
      return aAccepted.version() == version &&
             aAccepted.digest() == aChange.digest();
    });
  if (repeated) {
    return ChangeOutcome::kRepeated;
  }
  const uint64_t current = m_currentChange.configuration().version();
  if (aChange.base_version() != current) {
    return ChangeOutcome::kBaseMismatch;
  }
  return version > current ? ChangeOutcome::kAccepted
                           : ChangeOutcome::kVersionTooLow;
}

std::optional<ChangeOutcome>
FleetState::OutcomeAt(uint64_t aIndex) const
{
  const auto found = m_outcomesByIndex.find(aIndex);
  if (found == m_outcomesByIndex.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
FleetState::ApplyConfiguration(uint64_t aIndex,
                               const wire::ReplaceConfiguration& aChange)
{
  const ChangeOutcome outcome = EvaluateChange(aChange);
  m_outcomesByIndex[aIndex] = outcome;
  if (m_outcomesByIndex.size() > kMaxOutcomes) {
    m_outcomesByIndex.erase(m_outcomesByIndex.begin());
  }
  if (outcome != ChangeOutcome::kAccepted) {
    return;
  }
  m_currentChange = aChange;
  wire::AcceptedVersion accepted;
  accepted.set_version(aChange.configuration().version());
  accepted.set_digest(aChange.digest());
  m_acceptedVersions.push_back(accepted);
  if (m_acceptedVersions.size() > kMaxAcceptedVersions) {
    m_acceptedVersions.erase(m_acceptedVersions.begin());
  }
}

void
FleetState::ApplyRanges(uint64_t aIndex, const wire::AssignRanges& aCommand)
{
  wire::ServiceRanges& ranges = m_rangesByService[aCommand.service()];
  if (ranges.ranges().empty()) {
    ranges.set_service(aCommand.service());
    ranges.add_ranges()->set_last(kLastKey);
  }
  for (const wire::RangeAssignment& assignment : aCommand.ranges()) {
    wire::OwnedRange range;
    range.set_first(assignment.first());
    range.set_last(std::min(assignment.last(), kLastKey));
    range.set_holder(assignment.holder());
    range.set_fence(aIndex);
    range.set_handover(assignment.handover());
    if (range.first() <= range.last()) {
      AssignRange(ranges, range);
    }
  }
  m_rangesIndex = aIndex;
}

EvacuationOutcome
FleetState::EvaluateEvacuation(const wire::SetEvacuation& aOrder) const
{
  if (m_evacuatedZones.contains(aOrder.zone()) == aOrder.active()) {
    return EvacuationOutcome::kInForce;
  }
  return aOrder.active() && m_evacuatedZones.size() >= kMaxEvacuatedZones
           ? EvacuationOutcome::kTooManyZones
           : EvacuationOutcome::kChanged;
}

void
FleetState::ApplyEvacuation(const wire::SetEvacuation& aOrder)
{
  if (EvaluateEvacuation(aOrder) != EvacuationOutcome::kChanged) {
    return;
  }
  if (aOrder.active()) {
    m_evacuatedZones.insert(aOrder.zone());
  } else {
    m_evacuatedZones.erase(aOrder.zone());
  }
}

bool
FleetState::HasRoomForDeparture(const std::string& aHolder) const
{
  if (m_departures.size() >= kMaxDepartures) {
    return false;
  }
  // The names of one instance are neighbours, since they begin with its name
  // and a slash.
  const std::string instance = aHolder.substr(0, aHolder.find('/') + 1);
  size_t count = 0;
  for (auto item = m_departures.lower_bound(instance);
       item != m_departures.end() && item->first.starts_with(instance);
       ++item) {
    ++count;
  }
  return count < kMaxDeparturesPerInstance;
}

DepartureOutcome
FleetState::EvaluateDeparture(const wire::Departure& aDeparture) const
{
  const auto found = m_departures.find(aDeparture.holder());
  if (found != m_departures.end()) {
    return found->second >= aDeparture.phase() ? DepartureOutcome::kRecorded
                                               : DepartureOutcome::kChanged;
  }
  return HasRoomForDeparture(aDeparture.holder())
           ? DepartureOutcome::kChanged
           : DepartureOutcome::kTooManyDepartures;
}

void
FleetState::ApplyDepartures(const wire::ChangeDepartures& aCommand)
{
  for (const std::string& holder : aCommand.dropped()) {
    m_departures.erase(holder);
  }
  for (const wire::Departure& departure : aCommand.recorded()) {
    if (EvaluateDeparture(departure) == DepartureOutcome::kChanged) {
      m_departures[departure.holder()] = departure.phase();
    }
  }
}

std::string
FleetState::TakeSnapshot() const
{
  wire::FleetSnapshot snapshot;
  *snapshot.mutable_current() = m_currentChange;
  for (const wire::AcceptedVersion& accepted : m_acceptedVersions) {
    *snapshot.add_accepted() = accepted;
  }
  for (const auto& [name, ranges] : m_rangesByService) {
    *snapshot.add_services() = ranges;
  }
  snapshot.set_ranges_index(m_rangesIndex);
  for (const std::string& zone : m_evacuatedZones) {
    snapshot.add_evacuated_zones(zone);
  }
  for (const auto& [holder, phase] : m_departures) {
    wire::Departure& departure = *snapshot.add_departures();
    departure.set_holder(holder);
    departure.set_phase(phase);
  }
  return snapshot.SerializeAsString();
}

tl::expected<void, std::string>
FleetState::RestoreSnapshot(std::string_view aSnapshot)
{
  wire::FleetSnapshot snapshot;
  if (!snapshot.ParseFromArray(aSnapshot.data(),
                               static_cast<int>(aSnapshot.size()))) {
    return tl::unexpected(std::string("the fleet snapshot cannot be parsed"));
  }
  m_currentChange = snapshot.current();
  m_acceptedVersions.assign(snapshot.accepted().begin(),
                            snapshot.accepted().end());
  m_rangesByService.clear();
  for (const wire::ServiceRanges& ranges : snapshot.services()) {
    m_rangesByService[ranges.service()] = ranges;
  }
  m_rangesIndex = snapshot.ranges_index();
  m_evacuatedZones = { snapshot.evacuated_zones().begin(),
                       snapshot.evacuated_zones().end() };
  m_departures.clear();
  for (const wire::Departure& departure : snapshot.departures()) {
    m_departures[departure.holder()] = departure.phase();
  }
  m_outcomesByIndex.clear();
  ++m_changeCount;
  return {};
}

} // namespace rattanloft::fleet
