#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/consensus/StateMachine.h"

namespace rattanloft::fleet {

// Keys are numbers from 0 to kLastKey.
constexpr uint32_t kLastKey = 65535;

// Result of a change of the configuration.
enum class ChangeOutcome
{
  kAccepted,
  // The same change was accepted before.
  kRepeated,
  // The change is based on another version than the one in force.
  kBaseMismatch,
  // The new version is not above the one in force.
  kVersionTooLow,
};

// Zones that may be under evacuation at the same time. Bounds the size of each
// reply to a sidecar.
constexpr size_t kMaxEvacuatedZones = 64;

// Result of an order that starts or ends the evacuation of a zone.
enum class EvacuationOutcome
{
  kChanged,
  // The state is already as ordered.
  kInForce,
  // kMaxEvacuatedZones other zones are under evacuation.
  kTooManyZones,
};

// Departures that are recorded at the same time, of all instances and of one.
// The first bounds the size of each snapshot. The second is also what a sidecar
// keeps: the lifetimes at one instance that end while their late heartbeats may
// arrive. With it, stray calls at one instance leave room for others.
constexpr size_t kMaxDepartures = 4096;
constexpr size_t kMaxDeparturesPerInstance = 16;

// Result of a departure that is to be recorded.
enum class DepartureOutcome
{
  kChanged,
  // The same phase or a later one is recorded.
  kRecorded,
  // kMaxDepartures or kMaxDeparturesPerInstance others are recorded.
  kTooManyDepartures,
};

// The replicated state machine of a fleet: the configuration in force, the
// versions accepted so far, the holder of each key range, the zones under
// evacuation, and the departures of backend servers. Driven by the replicated
// log; used on the control thread only.
class FleetState final : public consensus::StateMachine
{
public:
  void Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) override;

  // Returns the outcome that the change would have if it were applied now.
  ChangeOutcome EvaluateChange(const wire::ReplaceConfiguration& aChange) const;
  // Returns the outcome of the change applied at this log index; empty if it is
  // not among the latest changes that this process has applied.
  std::optional<ChangeOutcome> OutcomeAt(uint64_t aIndex) const;

  bool HasConfiguration() const
  {
    return m_currentChange.configuration().version() != 0;
  }
  // The change that put the current configuration in force.
  const wire::ReplaceConfiguration& CurrentChange() const
  {
    return m_currentChange;
  }
  // Holders of all keys, by service name. A service that has never been
  // assigned a range is absent.
  const std::map<std::string, wire::ServiceRanges>& RangesByService() const
  {
    return m_rangesByService;
  }
  // Log index of the last command that changed the ranges; 0 if there is none.
  uint64_t RangesIndex() const { return m_rangesIndex; }
  // Zones whose backend servers must get no requests, in ascending order.
  const std::set<std::string>& EvacuatedZones() const
  {
    return m_evacuatedZones;
  }
  // Returns the outcome that the order would have if it were applied now.
  EvacuationOutcome EvaluateEvacuation(const wire::SetEvacuation& aOrder) const;
  // Phases of the lifetimes that have begun to leave, by formatted HolderName.
  const std::map<std::string, wire::BackendPhase>& Departures() const
  {
    return m_departures;
  }
  // Returns the outcome that recording the departure would have now.
  DepartureOutcome EvaluateDeparture(const wire::Departure& aDeparture) const;
  // Number of commands applied and snapshots restored by this process.
  uint64_t ChangeCount() const { return m_changeCount; }

private:
  void ApplyConfiguration(uint64_t aIndex,
                          const wire::ReplaceConfiguration& aChange);
  void ApplyRanges(uint64_t aIndex, const wire::AssignRanges& aCommand);
  void ApplyEvacuation(const wire::SetEvacuation& aOrder);
  void ApplyDepartures(const wire::ChangeDepartures& aCommand);
  bool HasRoomForDeparture(const std::string& aHolder) const;

  wire::ReplaceConfiguration m_currentChange;
  // Oldest first; the length is bounded.
  std::vector<wire::AcceptedVersion> m_acceptedVersions;
  std::map<std::string, wire::ServiceRanges> m_rangesByService;
  uint64_t m_rangesIndex = 0;
  std::set<std::string> m_evacuatedZones;
  std::map<std::string, wire::BackendPhase> m_departures;
  uint64_t m_changeCount = 0;
  std::map<uint64_t, ChangeOutcome> m_outcomesByIndex;
};

// Keys from m_first to m_last, both inclusive.
struct KeySpan
{
  uint32_t m_first = 0;
  uint32_t m_last = 0;
};

// Whether two ranges of keys, whose ends are inclusive, have a key in common.
constexpr bool
KeysOverlap(uint32_t aFirst,
            uint32_t aLast,
            uint32_t aOtherFirst,
            uint32_t aOtherLast)
{
  return aFirst <= aOtherLast && aOtherFirst <= aLast;
}

// Returns the parts of the ranges that lie in none of the spans. The spans may
// overlap and need no order.
std::vector<wire::OwnedRange>
SubtractSpans(const wire::ServiceRanges& aRanges, std::vector<KeySpan> aSpans);

// Replaces the part of aRanges that aRange covers by aRange, and merges
// neighbouring ranges with the same holder, fence and handover token. aRanges
// covers all keys without gaps, before and after the call.
void
AssignRange(wire::ServiceRanges& aRanges, const wire::OwnedRange& aRange);

} // namespace rattanloft::fleet
