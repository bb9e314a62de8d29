#include "CatalogueStore.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace rattanloft::cluster {

namespace {

// Names of entries, owners, services and operators, and change ids.
constexpr size_t kMaxNameBytes = 64;
constexpr uint32_t kMaxDeadlineMs = 10 * 60 * 1000;
constexpr uint64_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr uint32_t kMaxQueuedRequests = 100000;
constexpr uint32_t kMaxInFlightRequests = 10000;
constexpr uint32_t kMaxRequestsPerSecond = 10000000;
constexpr int kMaxMethodsPerEntry = 16;
constexpr size_t kMaxMethodBytes = 16;
constexpr int kMaxHourDeadlines = 24;

std::string
CheckName(std::string_view aField, std::string_view aValue)
{
  if (aValue.empty() || aValue.size() > kMaxNameBytes) {
    return fmt::format(
      "{}: must have 1 to {} characters", aField, kMaxNameBytes);
  }
  const bool valid = std::all_of(aValue.begin(), aValue.end(), [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') ||
           aChar == '.' || aChar == '_' || aChar == '-';
  });
  return valid ? ""
               : fmt::format("{}: only a-z, 0-9, '.', '_' and '-'", aField);
}

std::string
CheckMethods(const wire::CatalogueEntry& aEntry)
{
  if (aEntry.methods().empty() || aEntry.methods_size() > kMaxMethodsPerEntry) {
    return fmt::format("methods: 1 to {} are required", kMaxMethodsPerEntry);
  }
  std::set<std::string_view> seen;
  for (const std::string& method : aEntry.methods()) {
    const bool valid =
      !method.empty() && method.size() <= kMaxMethodBytes &&
      std::all_of(method.begin(), method.end(), [](char aChar) {
        return (aChar >= 'A' && aChar <= 'Z') || aChar == '-';
      });
    if (!valid) {
      return "methods: only upper-case letters and '-', at most 16 characters";
    }
    if (!seen.insert(method).second) {
      return fmt::format("methods: {} is listed twice", method);
    }
  }
  return "";
}

std::string
CheckDeadline(std::string_view aField, uint32_t aDeadlineMs)
{
  if (aDeadlineMs == 0 || aDeadlineMs > kMaxDeadlineMs) {
    return fmt::format("{}: must be 1 to {}", aField, kMaxDeadlineMs);
  }
  return "";
}

std::string
CheckHourDeadlines(const wire::Limits& aLimits)
{
  if (aLimits.hour_deadlines_size() > kMaxHourDeadlines) {
    return fmt::format("limits.hour_deadlines: at most {}", kMaxHourDeadlines);
  }
  for (int i = 0; i < aLimits.hour_deadlines_size(); i++) {
    const wire::HourDeadline& hour = aLimits.hour_deadlines(i);
    const std::string field = fmt::format("limits.hour_deadlines[{}]", i);
    if (hour.from_hour() > 23) {
      return field + ".from_hour: must be 0 to 23";
    }
    if (hour.to_hour() > 24 || hour.to_hour() == hour.from_hour()) {
      return field + ".to_hour: must be 0 to 24 and differ from from_hour";
    }
    std::string error =
      CheckDeadline(field + ".deadline_ms", hour.deadline_ms());
    if (!error.empty()) {
      return error;
    }
  }
  return "";
}

std::string
CheckMaximum(std::string_view aField, uint64_t aValue, uint64_t aMax)
{
  return aValue <= aMax ? ""
                        : fmt::format("{}: must be at most {}", aField, aMax);
}

std::string
CheckLimits(const wire::Limits& aLimits)
{
  for (std::string error :
       { CheckDeadline("limits.deadline_ms", aLimits.deadline_ms()),
         CheckHourDeadlines(aLimits),
         CheckMaximum("limits.max_in_flight",
                      aLimits.max_in_flight(),
                      kMaxInFlightRequests),
         CheckMaximum(
           "limits.max_queue", aLimits.max_queue(), kMaxQueuedRequests),
         CheckMaximum(
           "limits.max_body_bytes", aLimits.max_body_bytes(), kMaxBodyBytes),
         CheckMaximum("limits.requests_per_second",
                      aLimits.requests_per_second(),
                      kMaxRequestsPerSecond) }) {
    if (!error.empty()) {
      return error;
    }
  }
  return "";
}

std::string
EntryNameOf(const wire::CatalogueChange& aChange)
{
  return aChange.has_put() ? aChange.put().name() : aChange.remove();
}

wire::ChangeResult
InvalidResult(std::string aMessage)
{
  wire::ChangeResult result;
  result.set_status(wire::CHANGE_STATUS_INVALID);
  result.set_message(std::move(aMessage));
  return result;
}

// The parts of an invalid change that the history keeps. An invalid change may
// contain fields of any length, so only parts of bounded size are kept.
wire::CatalogueChange
TruncatedChange(const wire::CatalogueChange& aChange)
{
  wire::CatalogueChange kept;
  kept.set_change_id(aChange.change_id());
  kept.set_expected_revision(aChange.expected_revision());
  kept.set_operator_name(aChange.operator_name().substr(0, kMaxNameBytes));
  kept.set_proposed_at_unix_ms(aChange.proposed_at_unix_ms());
  if (aChange.has_put()) {
    kept.mutable_put()->set_name(aChange.put().name().substr(0, kMaxNameBytes));
  } else {
    kept.set_remove(aChange.remove().substr(0, kMaxNameBytes));
  }
  return kept;
}

} // namespace

std::string
ValidateEntry(const wire::CatalogueEntry& aEntry)
{
  for (std::string error : { CheckName("name", aEntry.name()),
                             CheckName("owner", aEntry.owner()),
                             CheckName("service", aEntry.service()),
                             CheckMethods(aEntry),
                             CheckLimits(aEntry.limits()) }) {
    if (!error.empty()) {
      return error;
    }
  }
  if (!wire::WorkClass_IsValid(aEntry.work_class())) {
    return "work_class: unknown";
  }
  return "";
}

wire::ChangeResult
CatalogueStore::Apply(const wire::CatalogueChange& aChange,
                      uint64_t aIndex,
                      bool aHasShardRoom)
{
  const std::string& id = aChange.change_id();
  if (id.empty() || id.size() > kMaxNameBytes) {
    return InvalidResult("change_id: must have 1 to 64 bytes");
  }
  if (const wire::HistoryRecord* first = FindChange(id)) {
    return first->result();
  }
  wire::ChangeResult result = EvaluateChange(aChange, aHasShardRoom);
  if (result.status() == wire::CHANGE_STATUS_ACCEPTED) {
    result.set_revision(aIndex);
    if (aChange.has_put()) {
      wire::CatalogueEntry entry = aChange.put();
      entry.set_revision(aIndex);
      m_entries[entry.name()] = std::move(entry);
    } else {
      m_entries.erase(aChange.remove());
    }
    NoteEntryChange(EntryNameOf(aChange), aIndex);
  }
  RecordChange(aChange, result, aIndex);
  return result;
}

wire::ChangeResult
CatalogueStore::EvaluateChange(const wire::CatalogueChange& aChange,
                               bool aHasShardRoom) const
{
  if (aChange.operator_name().size() > kMaxNameBytes) {
    return InvalidResult("operator_name: must have at most 64 bytes");
  }
  if (aChange.operation_case() == wire::CatalogueChange::OPERATION_NOT_SET) {
    return InvalidResult("operation: put or remove is required");
  }
  const std::string name = EntryNameOf(aChange);
  std::string error =
    aChange.has_put() ? ValidateEntry(aChange.put()) : CheckName("name", name);
  if (!error.empty()) {
    return InvalidResult(std::move(error));
  }
  const auto found = m_entries.find(name);
  const uint64_t current =
    found == m_entries.end() ? 0 : found->second.revision();
  wire::ChangeResult result;
  result.set_revision(current);
  if (current != aChange.expected_revision() ||
      (current == 0 && !aChange.has_put())) {
    result.set_status(wire::CHANGE_STATUS_REVISION_MISMATCH);
    return result;
  }
  if (!aChange.has_put()) {
    return result;
  }
  error = ValidateAgainstService(aChange.put());
  if (!error.empty()) {
    return InvalidResult(std::move(error));
  }
  const bool sharded = aChange.put().keyed() || !aChange.put().idempotent();
  if (sharded && !aHasShardRoom) {
    return InvalidResult("service: too many services with shards");
  }
  if (current == 0 && m_entries.size() >= kMaxCatalogueEntries) {
    result.set_status(wire::CHANGE_STATUS_CATALOGUE_FULL);
  }
  return result;
}

std::string
CatalogueStore::ValidateAgainstService(const wire::CatalogueEntry& aEntry) const
{
  for (const auto& [name, other] : m_entries) {
    if (other.service() != aEntry.service() || name == aEntry.name()) {
      continue;
    }
    if (other.keyed() != aEntry.keyed()) {
      return fmt::format("keyed: differs from entry {} of the service", name);
    }
    for (const std::string& method : aEntry.methods()) {
      const auto& taken = other.methods();
      if (std::find(taken.begin(), taken.end(), method) != taken.end()) {
        return fmt::format("methods: {} belongs to entry {}", method, name);
      }
    }
  }
  return "";
}

void
CatalogueStore::RecordChange(const wire::CatalogueChange& aChange,
                             const wire::ChangeResult& aResult,
                             uint64_t aIndex)
{
  wire::HistoryRecord record;
  record.set_index(aIndex);
  *record.mutable_result() = aResult;
  *record.mutable_change() = aResult.status() == wire::CHANGE_STATUS_INVALID
                               ? TruncatedChange(aChange)
                               : aChange;
  m_indexByChangeId[aChange.change_id()] = aIndex;
  m_history.push_back(std::move(record));
  if (m_history.size() > kMaxHistoryRecords) {
    m_indexByChangeId.erase(m_history.front().change().change_id());
    m_history.pop_front();
  }
}

void
CatalogueStore::NoteEntryChange(const std::string& aName, uint64_t aIndex)
{
  m_revision = aIndex;
  m_changes.push_back({ aIndex, aName });
  if (m_changes.size() > kMaxCatalogueChanges) {
    m_oldestDeltaRevision = m_changes.front().m_revision;
    m_changes.pop_front();
  }
}

wire::CatalogueUpdate
CatalogueStore::UpdateSince(uint64_t aRevision) const
{
  wire::CatalogueUpdate update;
  update.set_revision(m_revision);
  if (aRevision == 0 || aRevision < m_oldestDeltaRevision ||
      aRevision > m_revision) {
    update.set_full(true);
    for (const auto& [name, entry] : m_entries) {
      *update.add_entries() = entry;
    }
    return update;
  }
  std::set<std::string_view> names;
  for (auto it = m_changes.rbegin();
       it != m_changes.rend() && it->m_revision > aRevision;
       ++it) {
    names.insert(it->m_name);
  }
  for (const std::string_view name : names) {
    const auto found = m_entries.find(std::string(name));
    if (found == m_entries.end()) {
      update.add_removed(std::string(name));
    } else {
      *update.add_entries() = found->second;
    }
  }
  return update;
}

const wire::HistoryRecord*
CatalogueStore::FindChange(std::string_view aChangeId) const
{
  const auto found = m_indexByChangeId.find(std::string(aChangeId));
  if (found == m_indexByChangeId.end()) {
    return nullptr;
  }
  const auto record =
    std::lower_bound(m_history.begin(),
                     m_history.end(),
                     found->second,
                     [](const wire::HistoryRecord& aRecord, uint64_t aIndex) {
                       return aRecord.index() < aIndex;
                     });
  return &*record;
}

std::vector<wire::HistoryRecord>
CatalogueStore::History(size_t aMax) const
{
  const size_t count = std::min(aMax, m_history.size());
  return { m_history.rbegin(), m_history.rbegin() + static_cast<long>(count) };
}

bool
CatalogueStore::NeedsShards(std::string_view aService) const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [&](const auto& aItem) {
      const wire::CatalogueEntry& entry = aItem.second;
      return entry.service() == aService &&
             (entry.keyed() || !entry.idempotent());
    });
}

void
CatalogueStore::SaveTo(wire::ClusterSnapshot& aSnapshot) const
{
  aSnapshot.set_catalogue_revision(m_revision);
  for (const auto& [name, entry] : m_entries) {
    *aSnapshot.add_entries() = entry;
  }
  for (const wire::HistoryRecord& record : m_history) {
    *aSnapshot.add_history() = record;
  }
}

void
CatalogueStore::LoadFrom(const wire::ClusterSnapshot& aSnapshot)
{
  *this = CatalogueStore();
  m_revision = aSnapshot.catalogue_revision();
  m_oldestDeltaRevision = m_revision;
  for (const wire::CatalogueEntry& entry : aSnapshot.entries()) {
    m_entries[entry.name()] = entry;
  }
  for (const wire::HistoryRecord& record : aSnapshot.history()) {
    m_history.push_back(record);
    m_indexByChangeId[record.change().change_id()] = record.index();
  }
}

} // namespace rattanloft::cluster
