#include "FlagParser.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <catch2/catch.hpp>
#include <gflags/gflags.h>

DEFINE_int32(test_count, 1, "a number");
DEFINE_bool(test_switch, true, "a switch");
DEFINE_string(test_text, "", "a text");

namespace rattanloft::tool {

namespace {

constexpr std::array<std::string_view, 1> kShared = { "zone" };
constexpr FlagScope kScope = { "FlagParserTest.cpp", kShared };

tl::expected<ParsedArgs, std::string>
Parse(std::vector<std::string> aArgs)
{
  static std::vector<std::string> sArguments;
  sArguments = std::move(aArgs);
  std::vector<char*> pointers;
  for (std::string& arg : sArguments) {
    pointers.push_back(arg.data());
  }
  return ParseFlags(kScope, pointers);
}

} // namespace

// Guards against a mistyped flag that is ignored, and against an error message
// that does not name the flag.
TEST_CASE("The error for an unknown or invalid flag names the flag")
{
  CHECK(Parse({ "--nosuch=1" }).error() == "unknown flag --nosuch");
  CHECK(Parse({ "--timeout_ms=1" }).error() == "unknown flag --timeout_ms");
  CHECK(Parse({ "--test_text" }).error() == "flag --test_text needs a value");
  CHECK(Parse({ "--test_count=x" }).error() ==
        "bad value 'x' for --test_count: int32 expected");
  CHECK_FALSE(Parse({ "--flagfile=/nonexistent" }));
}

// Guards against an environment variable that overrides an argument.
TEST_CASE("Arguments override environment variables, which override defaults")
{
  setenv("RATTANLOFT_TEST_COUNT", "7", 1);
  REQUIRE(Parse({}));
  CHECK(FLAGS_test_count == 7);
  REQUIRE(Parse({ "--test_count", "8" }));
  CHECK(FLAGS_test_count == 8);
  setenv("RATTANLOFT_TEST_COUNT", "many", 1);
  CHECK(Parse({}).error() ==
        "bad value 'many' for RATTANLOFT_TEST_COUNT: int32 expected");
  unsetenv("RATTANLOFT_TEST_COUNT");
}

// Guards against a positional argument that is taken for a flag, or a flag that
// is lost, when both are mixed with a flag file.
TEST_CASE("Flags, flag files and positional arguments can be mixed")
{
  const std::string path = "/tmp/rattanloft-flags-" + std::to_string(getpid());
  std::ofstream(path) << "# comment\n\n--test_text=a b\n  --notest_switch\n";
  const auto parsed =
    Parse({ "apply", "--flagfile", path, "--zone=z1", "--", "--file" });
  std::remove(path.c_str());
  REQUIRE(parsed);
  CHECK(FLAGS_test_text == "a b");
  CHECK_FALSE(FLAGS_test_switch);
  REQUIRE(parsed->m_positional.size() == 2);
  CHECK(std::string_view(parsed->m_positional[1]) == "--file");
}

} // namespace rattanloft::tool
