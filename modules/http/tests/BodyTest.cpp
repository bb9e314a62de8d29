#include "rattanloft/http/Body.h"

#include <catch2/catch.hpp>

namespace rattanloft::http {

namespace {

constexpr size_t kLimitBytes = 8 * 1024 * 1024;

std::shared_ptr<overload::MemoryBudget>
MakeBudget()
{
  static const ManualClock sClock;
  return std::make_shared<overload::MemoryBudget>(kLimitBytes, sClock);
}

} // namespace

TEST_CASE("A body holds the text that is assigned to it")
{
  Body body;
  CHECK(body.empty());
  body = "text";
  CHECK(body == "text");
  body = std::string("other");
  CHECK(std::string(body.begin(), body.end()) == "other");
  REQUIRE(body.Append(" one", 4));
  CHECK(body == "other one");
  body = std::string_view();
  CHECK(body.size() == 0);
}

// Guards against a copy of the bytes for each attempt of a request, and against
// a charge that ends before the bytes or after them.
TEST_CASE("Copies share the bytes and their charge")
{
  const auto budget = MakeBudget();
  Body copy;
  {
    Body body;
    body.StartCharging(budget);
    REQUIRE(body.Reserve(1000));
    REQUIRE(body.Append("abc", 3));
    copy = body;
    CHECK(copy.data() == body.data());
    CHECK(budget->ChargedBytes() == 1000);
  }
  CHECK(copy == "abc");
  CHECK(budget->ChargedBytes() == 1000);
  copy.clear();
  CHECK(budget->ChargedBytes() == 0);
}

TEST_CASE("A body that does not fit into the budget stays as it is")
{
  const auto budget = MakeBudget();
  Body body;
  body.StartCharging(budget);
  const std::string block(64 * 1024, 'x');
  size_t appended = 0;
  while (body.Append(block.data(), block.size())) {
    appended += block.size();
    REQUIRE(body.ChargedBytes() >= appended);
  }
  CHECK(body.size() == appended);
  CHECK(appended >= kLimitBytes / 2);
  CHECK(budget->ChargedBytes() <= kLimitBytes);
  CHECK_FALSE(body.Reserve(kLimitBytes + 1));
  CHECK(body.View().find_first_not_of('x') == std::string_view::npos);
  body.Discard();
  CHECK(body.empty());
  CHECK(budget->ChargedBytes() == 0);
}

} // namespace rattanloft::http
