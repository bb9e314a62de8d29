#include "CatalogueJson.h"

#include <limits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace rattanloft::control {

namespace {

using nlohmann::json;
using ReadResult = tl::expected<void, FieldError>;

// By numeric value of wire::WorkClass and of wire::ChangeStatus.
constexpr const char* kWorkClassNames[] = { "interactive", "prompt", "bulk" };
constexpr const char* kChangeStatusNames[] = { "accepted",
                                               "revision_mismatch",
                                               "invalid",
                                               "catalogue_full" };

ReadResult
MakeFieldError(std::string aField, std::string aMessage)
{
  return tl::unexpected(FieldError{ std::move(aField), std::move(aMessage) });
}

ReadResult
ReadValue(const json& aValue, const std::string& aField, std::string& aOut)
{
  if (!aValue.is_string()) {
    return MakeFieldError(aField, "must be a string");
  }
  aOut = aValue.get<std::string>();
  return {};
}

ReadResult
ReadValue(const json& aValue, const std::string& aField, bool& aOut)
{
  if (!aValue.is_boolean()) {
    return MakeFieldError(aField, "must be true or false");
  }
  aOut = aValue.get<bool>();
  return {};
}

template<typename Number>
ReadResult
ReadNumber(const json& aValue, const std::string& aField, Number& aOut)
{
  if (!aValue.is_number_unsigned() ||
      aValue.get<uint64_t>() > std::numeric_limits<Number>::max()) {
    return MakeFieldError(aField,
                          fmt::format("must be a whole number from 0 to {}",
                                      std::numeric_limits<Number>::max()));
  }
  aOut = static_cast<Number>(aValue.get<uint64_t>());
  return {};
}

ReadResult
ReadValue(const json& aValue, const std::string& aField, uint32_t& aOut)
{
  return ReadNumber(aValue, aField, aOut);
}

ReadResult
ReadValue(const json& aValue, const std::string& aField, uint64_t& aOut)
{
  return ReadNumber(aValue, aField, aOut);
}

// Reads the JSON field m_name into a protobuf message. m_read also gets the
// path of the field, for error messages.
template<typename Message>
struct FieldReader
{
  const char* m_name;
  ReadResult (*m_read)(const json&, const std::string&, Message&);
};

// Reads all fields of a JSON object with the reader of the same name. aPath is
// the path of the object, for error messages.
template<typename Message, size_t N>
ReadResult
ReadObject(const json& aJson,
           const std::string& aPath,
           const FieldReader<Message> (&aReaders)[N],
           Message& aOut)
{
  if (!aJson.is_object()) {
    return MakeFieldError(aPath, "must be an object");
  }
  for (const auto& [name, value] : aJson.items()) {
    const std::string path = aPath.empty() ? name : aPath + "." + name;
    const FieldReader<Message>* found = nullptr;
    for (const FieldReader<Message>& field : aReaders) {
      found = name == field.m_name ? &field : found;
    }
    if (found == nullptr) {
      return MakeFieldError(path, "unknown field");
    }
    if (ReadResult result = found->m_read(value, path, aOut); !result) {
      return result;
    }
  }
  return {};
}

template<typename Message, typename Value, void (Message::*Setter)(Value)>
ReadResult
ReadScalar(const json& aValue, const std::string& aField, Message& aOut)
{
  Value value{};
  ReadResult result = ReadValue(aValue, aField, value);
  if (result) {
    (aOut.*Setter)(value);
  }
  return result;
}

template<std::string* (wire::CatalogueEntry::*Mutable)()>
ReadResult
ReadString(const json& aValue,
           const std::string& aField,
           wire::CatalogueEntry& aOut)
{
  return ReadValue(aValue, aField, *(aOut.*Mutable)());
}

ReadResult
ReadMethods(const json& aValue,
            const std::string& aField,
            wire::CatalogueEntry& aOut)
{
  if (!aValue.is_array()) {
    return MakeFieldError(aField, "must be a list of strings");
  }
  for (const json& item : aValue) {
    if (ReadResult result = ReadValue(item, aField, *aOut.add_methods());
        !result) {
      return result;
    }
  }
  return {};
}

ReadResult
ReadWorkClass(const json& aValue,
              const std::string& aField,
              wire::CatalogueEntry& aOut)
{
  for (size_t i = 0; i < std::size(kWorkClassNames); ++i) {
    if (aValue == kWorkClassNames[i]) {
      aOut.set_work_class(static_cast<wire::WorkClass>(i));
      return {};
    }
  }
  return MakeFieldError(aField, "must be interactive, prompt or bulk");
}

// Only checks the type. A document that was read from the API contains its
// revision; a change states the expected revision separately.
ReadResult
IgnoreRevision(const json& aValue,
               const std::string& aField,
               wire::CatalogueEntry& /*aOut*/)
{
  uint64_t ignored = 0;
  return ReadValue(aValue, aField, ignored);
}

using Hour = wire::HourDeadline;
constexpr FieldReader<Hour> kHourDeadlineFields[] = {
  { "from_hour", ReadScalar<Hour, uint32_t, &Hour::set_from_hour> },
  { "to_hour", ReadScalar<Hour, uint32_t, &Hour::set_to_hour> },
  { "deadline_ms", ReadScalar<Hour, uint32_t, &Hour::set_deadline_ms> },
};

ReadResult
ReadHourDeadlines(const json& aValue,
                  const std::string& aField,
                  wire::Limits& aOut)
{
  if (!aValue.is_array()) {
    return MakeFieldError(aField, "must be a list");
  }
  for (size_t i = 0; i < aValue.size(); ++i) {
    ReadResult result = ReadObject(aValue[i],
                                   fmt::format("{}[{}]", aField, i),
                                   kHourDeadlineFields,
                                   *aOut.add_hour_deadlines());
    if (!result) {
      return result;
    }
  }
  return {};
}

using wire::Limits;
constexpr FieldReader<Limits> kLimitFields[] = {
  { "deadline_ms", ReadScalar<Limits, uint32_t, &Limits::set_deadline_ms> },
  { "hour_deadlines", ReadHourDeadlines },
  { "max_in_flight", ReadScalar<Limits, uint32_t, &Limits::set_max_in_flight> },
  { "max_queue", ReadScalar<Limits, uint32_t, &Limits::set_max_queue> },
  { "max_body_bytes",
    ReadScalar<Limits, uint64_t, &Limits::set_max_body_bytes> },
  { "requests_per_second",
    ReadScalar<Limits, uint32_t, &Limits::set_requests_per_second> },
};

ReadResult
ReadLimits(const json& aValue,
           const std::string& aField,
           wire::CatalogueEntry& aOut)
{
  return ReadObject(aValue, aField, kLimitFields, *aOut.mutable_limits());
}

using Entry = wire::CatalogueEntry;
constexpr FieldReader<Entry> kEntryFields[] = {
  { "name", ReadString<&Entry::mutable_name> },
  { "owner", ReadString<&Entry::mutable_owner> },
  { "service", ReadString<&Entry::mutable_service> },
  { "methods", ReadMethods },
  { "class", ReadWorkClass },
  { "idempotent", ReadScalar<Entry, bool, &Entry::set_idempotent> },
  { "keyed", ReadScalar<Entry, bool, &Entry::set_keyed> },
  { "limits", ReadLimits },
  { "revision", IgnoreRevision },
};

json
LimitsToJson(const wire::Limits& aLimits)
{
  json hours = json::array();
  for (const wire::HourDeadline& hour : aLimits.hour_deadlines()) {
    hours.push_back({ { "from_hour", hour.from_hour() },
                      { "to_hour", hour.to_hour() },
                      { "deadline_ms", hour.deadline_ms() } });
  }
  return { { "deadline_ms", aLimits.deadline_ms() },
           { "hour_deadlines", std::move(hours) },
           { "max_in_flight", aLimits.max_in_flight() },
           { "max_queue", aLimits.max_queue() },
           { "max_body_bytes", aLimits.max_body_bytes() },
           { "requests_per_second", aLimits.requests_per_second() } };
}

// Returns the name of an enum value; "unknown" if there is none.
template<size_t N>
const char*
EnumName(const char* const (&aNames)[N], int aValue)
{
  return aValue >= 0 && static_cast<size_t>(aValue) < N ? aNames[aValue]
                                                        : "unknown";
}

} // namespace

tl::expected<wire::CatalogueEntry, FieldError>
EntryFromJson(const json& aJson)
{
  wire::CatalogueEntry entry;
  if (ReadResult result = ReadObject(aJson, "", kEntryFields, entry); !result) {
    return tl::unexpected(std::move(result.error()));
  }
  return entry;
}

tl::expected<wire::CatalogueEntry, FieldError>
EntryFromJson(std::string_view aText)
{
  const json document = json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return tl::unexpected(FieldError{ "", "the body is not valid JSON" });
  }
  return EntryFromJson(document);
}

json
EntryToJson(const wire::CatalogueEntry& aEntry)
{
  json methods = json::array();
  for (const std::string& method : aEntry.methods()) {
    methods.push_back(method);
  }
  return { { "name", aEntry.name() },
           { "owner", aEntry.owner() },
           { "service", aEntry.service() },
           { "methods", std::move(methods) },
           { "class", EnumName(kWorkClassNames, aEntry.work_class()) },
           { "idempotent", aEntry.idempotent() },
           { "keyed", aEntry.keyed() },
           { "limits", LimitsToJson(aEntry.limits()) },
           { "revision", aEntry.revision() } };
}

json
HistoryRecordToJson(const wire::HistoryRecord& aRecord)
{
  const wire::CatalogueChange& change = aRecord.change();
  json out = { { "index", aRecord.index() },
               { "change_id", change.change_id() },
               { "operator", change.operator_name() },
               { "unix_ms", change.proposed_at_unix_ms() },
               { "expected_revision", change.expected_revision() },
               { "result",
                 EnumName(kChangeStatusNames, aRecord.result().status()) },
               { "revision", aRecord.result().revision() } };
  if (!aRecord.result().message().empty()) {
    out["message"] = aRecord.result().message();
  }
  if (change.has_put()) {
    out["operation"] = "put";
    out["name"] = change.put().name();
  } else {
    out["operation"] = "remove";
    out["name"] = change.remove();
  }
  return out;
}

} // namespace rattanloft::control
