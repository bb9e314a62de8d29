#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "cluster.pb.h"

namespace rattanloft::control {

// Why a JSON document is not a catalogue entry.
struct FieldError
{
  // Path such as "limits.deadline_ms", empty for the document itself.
  std::string m_field;
  std::string m_message;
};

// Unknown fields, wrong types and numbers out of range are errors. A field that
// is left out has its zero value; the cluster state checks the content.
tl::expected<wire::CatalogueEntry, FieldError>
EntryFromJson(const nlohmann::json& aJson);
tl::expected<wire::CatalogueEntry, FieldError>
EntryFromJson(std::string_view aText);

// With the revision.
nlohmann::json
EntryToJson(const wire::CatalogueEntry& aEntry);

nlohmann::json
HistoryRecordToJson(const wire::HistoryRecord& aRecord);

} // namespace rattanloft::control
