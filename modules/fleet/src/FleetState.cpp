#include "rattanloft/fleet/FleetState.h"

#include <algorithm>

#include "rattanloft/base/Assert.h"

namespace rattanloft::fleet {

namespace {

// An operator sends a change again within seconds; a busy day has hundreds of
// changes.
constexpr size_t kKeptVersions = 4096;
// Outcomes are read right after a change was applied.
constexpr size_t kKeptOutcomes = 256;

void
Append(wire::ServiceRanges& aRanges, const wire::OwnedRange& aRange)
{
  if (aRange.first() > aRange.last()) {
    return;
  }
  if (!aRanges.ranges().empty()) {
    wire::OwnedRange& before = *aRanges.mutable_ranges()->rbegin();
    if (before.holder() == aRange.holder() &&
        before.fence() == aRange.fence() &&
        before.handover() == aRange.handover()) {
      before.set_last(aRange.last());
      return;
    }
  }
  *aRanges.add_ranges() = aRange;
}

wire::OwnedRange
Cut(const wire::OwnedRange& aRange, uint32_t aFirst, uint32_t aLast)
{
  wire::OwnedRange part = aRange;
  part.set_first(aFirst);
  part.set_last(aLast);
  return part;
}

} // namespace

void
AssignRange(wire::ServiceRanges& aRanges, const wire::OwnedRange& aRange)
{
  wire::ServiceRanges result;
  result.set_service(aRanges.service());
  bool placed = false;
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    if (range.first() < aRange.first()) {
      Append(
        result,
        Cut(range, range.first(), std::min(range.last(), aRange.first() - 1)));
    }
    if (!placed && range.last() >= aRange.first()) {
      Append(result, aRange);
      placed = true;
    }
    if (range.last() > aRange.last()) {
      Append(
        result,
        Cut(range, std::max(range.first(), aRange.last() + 1), range.last()));
    }
  }
  aRanges = std::move(result);
}

std::vector<wire::OwnedRange>
SubtractSpans(const wire::ServiceRanges& aRanges, std::vector<KeySpan> aSpans)
{
  std::ranges::sort(aSpans, {}, &KeySpan::m_first);
  std::vector<wire::OwnedRange> left;
  auto span = aSpans.cbegin();
  for (const wire::OwnedRange& range : aRanges.ranges()) {
    uint32_t first = range.first();
    while (span != aSpans.cend() && span->m_first <= range.last()) {
      if (span->m_first > first) {
        left.push_back(Cut(range, first, span->m_first - 1));
      }
      first = std::max(first, span->m_last + 1);
      if (span->m_last > range.last()) {
        // The span reaches into the next range.
        break;
      }
      ++span;
    }
    if (first <= range.last()) {
      left.push_back(Cut(range, first, range.last()));
    }
  }
  return left;
}

void
FleetState::Apply(uint64_t aIndex, std::string_view aCommand)
{
  wire::FleetCommand command;
  // The log's checksums have verified the bytes, and a replica that skipped a
  // command would differ from the others from then on.
  RATTANLOFT_ASSERT(
    command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size())));
  ++m_changes;
  switch (command.command_case()) {
    case wire::FleetCommand::kReplaceConfiguration:
      ApplyConfiguration(aIndex, command.replace_configuration());
      return;
    case wire::FleetCommand::kAssignRanges:
      ApplyRanges(aIndex, command.assign_ranges());
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
    m_accepted, [&](const wire::AcceptedVersion& aAccepted) {
      return aAccepted.version() == version &&
             aAccepted.digest() == aChange.digest();
    });
  if (repeated) {
    return ChangeOutcome::kRepeated;
  }
  const uint64_t current = m_current.configuration().version();
  if (aChange.base_version() != current) {
    return ChangeOutcome::kBaseMismatch;
  }
  return version > current ? ChangeOutcome::kAccepted
                           : ChangeOutcome::kVersionTooLow;
}

std::optional<ChangeOutcome>
FleetState::OutcomeAt(uint64_t aIndex) const
{
  const auto found = m_outcomes.find(aIndex);
  if (found == m_outcomes.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
FleetState::ApplyConfiguration(uint64_t aIndex,
                               const wire::ReplaceConfiguration& aChange)
{
  const ChangeOutcome outcome = EvaluateChange(aChange);
  m_outcomes[aIndex] = outcome;
  if (m_outcomes.size() > kKeptOutcomes) {
    m_outcomes.erase(m_outcomes.begin());
  }
  if (outcome != ChangeOutcome::kAccepted) {
    return;
  }
  m_current = aChange;
  wire::AcceptedVersion accepted;
  accepted.set_version(aChange.configuration().version());
  accepted.set_digest(aChange.digest());
  m_accepted.push_back(accepted);
  if (m_accepted.size() > kKeptVersions) {
    m_accepted.erase(m_accepted.begin());
  }
}

void
FleetState::ApplyRanges(uint64_t aIndex, const wire::AssignRanges& aCommand)
{
  wire::ServiceRanges& ranges = m_services[aCommand.service()];
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

std::string
FleetState::TakeSnapshot() const
{
  wire::FleetSnapshot snapshot;
  *snapshot.mutable_current() = m_current;
  for (const wire::AcceptedVersion& accepted : m_accepted) {
    *snapshot.add_accepted() = accepted;
  }
  for (const auto& [name, ranges] : m_services) {
    *snapshot.add_services() = ranges;
  }
  snapshot.set_ranges_index(m_rangesIndex);
  return snapshot.SerializeAsString();
}

tl::expected<void, std::string>
FleetState::RestoreSnapshot(std::string_view aSnapshot)
{
  wire::FleetSnapshot snapshot;
  if (!snapshot.ParseFromArray(aSnapshot.data(),
                               static_cast<int>(aSnapshot.size()))) {
    return tl::unexpected(std::string("the snapshot cannot be parsed"));
  }
  m_current = snapshot.current();
  m_accepted.assign(snapshot.accepted().begin(), snapshot.accepted().end());
  m_services.clear();
  for (const wire::ServiceRanges& ranges : snapshot.services()) {
    m_services[ranges.service()] = ranges;
  }
  m_rangesIndex = snapshot.ranges_index();
  m_outcomes.clear();
  ++m_changes;
  return {};
}

} // namespace rattanloft::fleet
