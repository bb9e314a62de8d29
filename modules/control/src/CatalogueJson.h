#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "cluster.pb.h"

namespace rattanloft::control {

// Describes why a JSON document is not a catalogue entry.
struct FieldError
{
  // Path of the field such as "limits.deadline_ms"; empty for the document as a
  // whole.
  std::string m_field;
  std::string m_message;
};

// Reads a catalogue entry. Unknown fields, wrong types and numbers out of range
// are errors. A missing field has its zero value. Whether the values make sense
// is checked by the cluster state when the change is applied.
tl::expected<wire::CatalogueEntry, FieldError>
EntryFromJson(const nlohmann::json& aJson);
tl::expected<wire::CatalogueEntry, FieldError>
EntryFromJson(std::string_view aText);

// Writes a catalogue entry, including its revision.
nlohmann::json
EntryToJson(const wire::CatalogueEntry& aEntry);

// Writes one change of the catalogue: the operator, the operation and its
// result, without the content of the entry.
nlohmann::json
HistoryRecordToJson(const wire::HistoryRecord& aRecord);

} // namespace rattanloft::control
