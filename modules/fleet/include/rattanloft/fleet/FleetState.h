#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/consensus/StateMachine.h"

namespace rattanloft::fleet {

// Keys are numbers from 0 to this one.
constexpr uint32_t kLastKey = 65535;

enum class ChangeOutcome
{
  kAccepted,
  // The same change was accepted before.
  kRepeated,
  // The change builds on another version than the one in force.
  kBaseMismatch,
  // The version is not above the one in force.
  kVersionTooLow,
};

// The replicated state of a fleet: the configuration in force, the versions
// that were accepted, and which holder owns which key range. Driven by the
// replicated log and used on the control thread only.
class FleetState final : public consensus::StateMachine
{
public:
  void Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override;

  // What would become of the change if it were applied now.
  ChangeOutcome EvaluateChange(const wire::ReplaceConfiguration& aChange) const;
  // Result of the change applied at this index, for as long as it is among the
  // latest changes applied by this process.
  std::optional<ChangeOutcome> OutcomeAt(uint64_t aIndex) const;

  bool HasConfiguration() const
  {
    return m_currentChange.configuration().version() != 0;
  }
  const wire::ReplaceConfiguration& CurrentChange() const
  {
    return m_currentChange;
  }
  const std::map<std::string, wire::ServiceRanges>& RangesByService() const
  {
    return m_rangesByService;
  }
  // Index of the last command that changed the ranges; 0 for none.
  uint64_t RangesIndex() const { return m_rangesIndex; }
  // Commands applied and snapshots restored by this process.
  uint64_t ChangeCount() const { return m_changeCount; }

private:
  void ApplyConfiguration(uint64_t aIndex,
                          const wire::ReplaceConfiguration& aChange);
  void ApplyRanges(uint64_t aIndex, const wire::AssignRanges& aCommand);

  wire::ReplaceConfiguration m_currentChange;
  // Latest last, bounded.
  std::vector<wire::AcceptedVersion> m_acceptedVersions;
  std::map<std::string, wire::ServiceRanges> m_rangesByService;
  uint64_t m_rangesIndex = 0;
  uint64_t m_changeCount = 0;
  std::map<uint64_t, ChangeOutcome> m_outcomesByIndex;
};

struct KeySpan
{
  uint32_t m_first = 0;
  uint32_t m_last = 0;
};

// The ranges without the keys of the spans.
std::vector<wire::OwnedRange>
SubtractSpans(const wire::ServiceRanges& aRanges, std::vector<KeySpan> aSpans);

// Gives the part of aRanges from aFirst to aLast the new owner and merges
// neighbours that are alike. aRanges covers all keys before and after.
void
AssignRange(wire::ServiceRanges& aRanges, const wire::OwnedRange& aRange);

} // namespace rattanloft::fleet
