#include "FlagParser.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <optional>

#include <fmt/format.h>
#include <gflags/gflags.h>

namespace rattanloft::tool {

namespace {

using Flag = gflags::CommandLineFlagInfo;
using ParseResult = tl::expected<void, std::string>;

constexpr int kMaxFlagFileNesting = 4;

bool
InScope(const FlagScope& aScope, const Flag& aFlag)
{
  const std::string_view file = aFlag.filename;
  const auto slash = file.rfind('/');
  const auto baseName =
    slash == std::string_view::npos ? file : file.substr(slash + 1);
  if (baseName == aScope.m_sourceFile) {
    return true;
  }
  return baseName == "Flags.cpp" &&
         std::ranges::find(aScope.m_sharedFlags, aFlag.name) !=
           aScope.m_sharedFlags.end();
}

std::vector<Flag>
FlagsInScope(const FlagScope& aScope)
{
  std::vector<Flag> all;
  gflags::GetAllFlags(&all);
  std::erase_if(all,
                [&](const Flag& aFlag) { return !InScope(aScope, aFlag); });
  std::ranges::sort(all, {}, &Flag::name);
  return all;
}

std::string
EnvironmentVariableName(const std::string& aFlag)
{
  std::string name = "RATTANLOFT_";
  for (const char letter : aFlag) {
    name += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  return name;
}

class Parser
{
public:
  explicit Parser(const FlagScope& aScope)
    : m_flags(FlagsInScope(aScope))
  {
  }

  ParseResult SetFromEnvironment()
  {
    for (const Flag& flag : m_flags) {
      const std::string variable = EnvironmentVariableName(flag.name);
      const char* value = std::getenv(variable.c_str());
      if (value == nullptr) {
        continue;
      }
      if (ParseResult result = SetFlag(flag, value, variable); !result) {
        return result;
      }
    }
    return {};
  }

  ParseResult Parse(std::span<char*> aArgs, ParsedArgs& aOut)
  {
    for (size_t i = 0; i < aArgs.size(); ++i) {
      const std::string_view arg = aArgs[i];
      if (arg == "--") {
        aOut.m_positional.insert(
          aOut.m_positional.end(), aArgs.begin() + i + 1, aArgs.end());
        return {};
      }
      if (arg.size() < 2 || arg[0] != '-') {
        aOut.m_positional.push_back(aArgs[i]);
        continue;
      }
      if (arg == "--help" || arg == "-h" || arg == "-help") {
        aOut.m_help = true;
        return {};
      }
      const char* next = i + 1 < aArgs.size() ? aArgs[i + 1] : nullptr;
      auto usedNext = SetArgument(arg, next, 0);
      if (!usedNext) {
        return tl::unexpected(std::move(usedNext.error()));
      }
      i += *usedNext ? 1 : 0;
    }
    return {};
  }

private:
  // Sets the flag that aArg names. Returns true if aNext, the argument after it
  // or null, was used as the value. aDepth counts the flag files around aArg.
  tl::expected<bool, std::string> SetArgument(std::string_view aArg,
                                              const char* aNext,
                                              int aDepth)
  {
    const auto body = aArg.substr(aArg.starts_with("--") ? 2 : 1);
    const auto equals = body.find('=');
    const std::string name(body.substr(0, equals));
    std::optional<std::string> value;
    if (equals != std::string_view::npos) {
      value = body.substr(equals + 1);
    }
    const Flag* flag = FindFlag(name);
    if (flag == nullptr && !value && name.starts_with("no")) {
      flag = FindFlag(name.substr(2));
      flag = flag != nullptr && flag->type == "bool" ? flag : nullptr;
      value = flag != nullptr ? std::optional<std::string>("false") : value;
    }
    if (flag == nullptr && name != "flagfile") {
      return tl::unexpected(fmt::format("unknown flag --{}", name));
    }
    bool usedNext = false;
    if (!value && flag != nullptr && flag->type == "bool") {
      value = "true";
    }
    if (!value) {
      if (aNext == nullptr) {
        return tl::unexpected(fmt::format("flag --{} needs a value", name));
      }
      value = aNext;
      usedNext = true;
    }
    const ParseResult result = flag != nullptr
                                 ? SetFlag(*flag, *value, "--" + name)
                                 : ReadFlagFile(*value, aDepth);
    if (!result) {
      return tl::unexpected(result.error());
    }
    return usedNext;
  }

  ParseResult ReadFlagFile(const std::string& aPath, int aDepth)
  {
    if (aDepth >= kMaxFlagFileNesting) {
      return tl::unexpected(
        fmt::format("--flagfile {}: flag files are nested too deeply", aPath));
    }
    std::ifstream file(aPath);
    if (!file) {
      return tl::unexpected(fmt::format("--flagfile {}: cannot read", aPath));
    }
    std::string line;
    while (std::getline(file, line)) {
      const auto begin = line.find_first_not_of(" \t\r");
      if (begin == std::string::npos || line[begin] == '#') {
        continue;
      }
      const auto end = line.find_last_not_of(" \t\r");
      const std::string text = line.substr(begin, end - begin + 1);
      if (text[0] != '-') {
        return tl::unexpected(
          fmt::format("--flagfile {}: not a flag: {}", aPath, text));
      }
      if (auto set = SetArgument(text, nullptr, aDepth + 1); !set) {
        return tl::unexpected(
          fmt::format("--flagfile {}: {}", aPath, set.error()));
      }
    }
    return {};
  }

  const Flag* FindFlag(std::string_view aName) const
  {
    const auto found = std::ranges::find(m_flags, aName, &Flag::name);
    return found == m_flags.end() ? nullptr : &*found;
  }

  static ParseResult SetFlag(const Flag& aFlag,
                             const std::string& aValue,
                             std::string_view aSource)
  {
    if (gflags::SetCommandLineOption(aFlag.name.c_str(), aValue.c_str())
          .empty()) {
      return tl::unexpected(fmt::format(
        "bad value '{}' for {}: {} expected", aValue, aSource, aFlag.type));
    }
    return {};
  }

  std::vector<Flag> m_flags;
};

} // namespace

tl::expected<ParsedArgs, std::string>
ParseFlags(const FlagScope& aScope, std::span<char*> aArgs)
{
  Parser parser(aScope);
  ParsedArgs out;
  ParseResult result = parser.SetFromEnvironment();
  if (result) {
    result = parser.Parse(aArgs, out);
  }
  if (!result) {
    return tl::unexpected(std::move(result.error()));
  }
  return out;
}

std::string
DescribeFlags(const FlagScope& aScope)
{
  std::string text;
  for (const Flag& flag : FlagsInScope(aScope)) {
    text += fmt::format("  --{} ({}, default \"{}\")\n      {}\n",
                        flag.name,
                        flag.type,
                        flag.default_value,
                        flag.description);
  }
  text +=
    "  --flagfile (string)\n      reads flags from a file, one per line\n";
  return text;
}

} // namespace rattanloft::tool
