#include "CatalogueJson.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace rattanloft::control {

namespace {

constexpr std::string_view kEntryJson =
  R"({"name":"browse","owner":"web","service":"stand","methods":["GET","HEAD"],
      "class":"bulk","idempotent":true,"keyed":true,
      "limits":{"deadline_ms":2000,
                "hour_deadlines":[{"from_hour":22,"to_hour":4,
                                   "deadline_ms":9000}],
                "max_in_flight":3,"max_queue":100,
                "max_body_bytes":5000000000,"requests_per_second":7}})";

// Returns the error of a document that must be refused.
FieldError
GetParseError(std::string_view aText)
{
  const auto entry = EntryFromJson(aText);
  REQUIRE_FALSE(entry);
  return entry.error();
}

} // namespace

// Guards against a field that is lost or changes its name when an entry is read
// or written.
TEST_CASE("An entry is unchanged after conversion to JSON and back")
{
  const auto entry = EntryFromJson(kEntryJson);
  REQUIRE(entry);
  CHECK(entry->work_class() == wire::WORK_CLASS_BULK);
  CHECK(entry->limits().max_body_bytes() == 5'000'000'000);
  CHECK(entry->limits().hour_deadlines(0).from_hour() == 22);
  const auto document = EntryToJson(*entry);
  const auto reparsed = EntryFromJson(document);
  REQUIRE(reparsed);
  CHECK(reparsed->SerializeAsString() == entry->SerializeAsString());
  CHECK(document["class"] == "bulk");
}

// Guards against a limit with a misspelled name that is silently ignored, so
// that the service runs without the limit.
TEST_CASE("An invalid entry is refused with the name of the invalid field")
{
  CHECK(GetParseError("{").m_message == "the body is not valid JSON");
  CHECK(GetParseError("[]").m_message == "must be an object");
  CHECK(GetParseError(R"({"nmae":"a"})").m_field == "nmae");
  CHECK(GetParseError(R"({"name":5})").m_field == "name");
  CHECK(GetParseError(R"({"methods":"GET"})").m_field == "methods");
  CHECK(GetParseError(R"({"methods":[1]})").m_field == "methods");
  CHECK(GetParseError(R"({"class":"fast"})").m_field == "class");
  CHECK(GetParseError(R"({"class":1})").m_field == "class");
  CHECK(GetParseError(R"({"keyed":"yes"})").m_field == "keyed");
  CHECK(GetParseError(R"({"limits":[]})").m_field == "limits");
  CHECK(GetParseError(R"({"limits":{"deadline":1}})").m_field ==
        "limits.deadline");
  const char* tooLarge = R"({"limits":{"max_queue":4294967296}})";
  CHECK(GetParseError(tooLarge).m_field == "limits.max_queue");
  CHECK(GetParseError(R"({"limits":{"max_queue":-1}})").m_field ==
        "limits.max_queue");
  CHECK(GetParseError(R"({"limits":{"max_queue":1.5}})").m_field ==
        "limits.max_queue");
  CHECK(
    GetParseError(R"({"limits":{"hour_deadlines":[{"hour":1}]}})").m_field ==
    "limits.hour_deadlines[0].hour");
}

} // namespace rattanloft::control
