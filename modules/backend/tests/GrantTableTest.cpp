#include "GrantTable.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace rattanloft::backend {

namespace {

using ApplyResult = GrantTable::ApplyResult;

ApplyResult
ApplyText(GrantTable& aTable, const char* aText)
{
  return aTable.Apply(nlohmann::json::parse(aText));
}

constexpr TimePoint kLater{ 5000 };

} // namespace

// Guards against running a request for a key that another backend server owns.
TEST_CASE("Requests outside the grant are refused")
{
  GrantTable table;
  CHECK(table.RefusalReason(12, 77, kLater, { 100 }) == "token");
  CHECK(ApplyText(table,
                  R"({"revision":7,"expires_ms":1000,"grants":[[12,77]]})") ==
        ApplyResult::kAccepted);
  CHECK(table.RefusalReason(12, 77, kLater, { 999 }).empty());
  CHECK(table.RefusalReason(12, 76, kLater, { 999 }) == "token");
  CHECK(table.RefusalReason(12, 78, kLater, { 999 }) == "token");
  CHECK(table.RefusalReason(13, 77, kLater, { 999 }) == "token");
  CHECK(table.RefusalReason(12, 77, { 500 }, { 500 }) == "expired");
  CHECK(table.RefusalReason(12, 77, kLater, { 1000 }) == "expired");
}

// Guards against a delayed message that brings back a revoked grant.
TEST_CASE("Old lists and extensions of other lists are refused")
{
  GrantTable table;
  ApplyText(table, R"({"revision":7,"expires_ms":1000,"grants":[[12,77]]})");
  CHECK(ApplyText(table, R"({"revision":8,"expires_ms":1000,"grants":[]})") ==
        ApplyResult::kAccepted);
  CHECK(ApplyText(table,
                  R"({"revision":7,"expires_ms":9000,"grants":[[12,77]]})") ==
        ApplyResult::kConflict);
  CHECK(ApplyText(table, R"({"revision":7,"expires_ms":9000})") ==
        ApplyResult::kConflict);
  CHECK(table.RefusalReason(12, 77, kLater, { 100 }) == "token");
}

// Guards against an older epoch that is granted again after a newer one.
TEST_CASE("An epoch below the highest one is refused")
{
  GrantTable table;
  ApplyText(table, R"({"revision":1,"expires_ms":1000,"grants":[[12,77]]})");
  ApplyText(table, R"({"revision":2,"expires_ms":1000,"grants":[[12,70]]})");
  CHECK(table.RefusalReason(12, 70, kLater, { 100 }) == "token");
}

TEST_CASE("An extension moves the end forward only")
{
  GrantTable table;
  ApplyText(table, R"({"revision":1,"expires_ms":1000,"grants":[[12,77]]})");
  CHECK(ApplyText(table, R"({"revision":1,"expires_ms":2000})") ==
        ApplyResult::kAccepted);
  CHECK(ApplyText(table, R"({"revision":1,"expires_ms":1500})") ==
        ApplyResult::kAccepted);
  CHECK(table.RefusalReason(12, 77, kLater, { 1999 }).empty());
}

TEST_CASE("Malformed grants are refused")
{
  GrantTable table;
  for (const char* text : { "[]",
                            "{}",
                            R"({"revision":1})",
                            R"({"revision":-1,"expires_ms":1})",
                            R"({"revision":1,"expires_ms":1,"grants":7})",
                            R"({"revision":1,"expires_ms":1,"grants":[[1]]})",
                            R"({"revision":1,"expires_ms":1,
                                "grants":[[4352,1]]})" }) {
    INFO(text);
    CHECK(ApplyText(table, text) == ApplyResult::kMalformed);
  }
}

} // namespace rattanloft::backend
