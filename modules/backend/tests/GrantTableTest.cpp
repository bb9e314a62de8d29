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

// Guards against executing a request for a key that another backend server
// owns.
TEST_CASE("Requests are refused without a matching grant or after it expires")
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

// Guards against a delayed message that restores a revoked grant.
TEST_CASE("Lists with an old revision and extensions of them are refused")
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

// Guards against a request with an old epoch that runs because the epoch was
// granted again after a newer one.
TEST_CASE("An epoch below the highest granted epoch is refused")
{
  GrantTable table;
  ApplyText(table, R"({"revision":1,"expires_ms":1000,"grants":[[12,77]]})");
  ApplyText(table, R"({"revision":2,"expires_ms":1000,"grants":[[12,70]]})");
  CHECK(table.RefusalReason(12, 70, kLater, { 100 }) == "token");
}

// Guards against a delayed extension that shortens the validity of the grants.
TEST_CASE("An extension never moves the expiry of the grants back")
{
  GrantTable table;
  ApplyText(table, R"({"revision":1,"expires_ms":1000,"grants":[[12,77]]})");
  CHECK(ApplyText(table, R"({"revision":1,"expires_ms":2000})") ==
        ApplyResult::kAccepted);
  CHECK(ApplyText(table, R"({"revision":1,"expires_ms":1500})") ==
        ApplyResult::kAccepted);
  CHECK(table.RefusalReason(12, 77, kLater, { 1999 }).empty());
}

// Guards against grants that are applied in part, or that stop the process,
// because a field is missing, of another type or out of range.
TEST_CASE("Malformed grant messages are refused")
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
