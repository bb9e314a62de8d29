#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace rattanloft::tool {

// Which flags a sub-command accepts.
struct FlagScope
{
  // Base name of the source file that defines the sub-command's own flags.
  std::string_view m_sourceFile;
  // Names of flags of Flags.cpp.
  std::span<const std::string_view> m_sharedFlags;
};

struct ParsedArgs
{
  std::vector<char*> m_positional;
  bool m_help = false;
};

// Sets flags from RATTANLOFT_<FLAG> variables, then from the arguments, so that
// an argument wins. Accepts --name=value, --name value, --bool, --nobool and
// --flagfile=FILE; "--" ends the flags. The error is one line that names the
// flag. gflags' own parser is not used: it exits with status 1 and accepts the
// flags of every sub-command.
tl::expected<ParsedArgs, std::string>
ParseFlags(const FlagScope& aScope, std::span<char*> aArgs);

// The flags in the scope with their defaults, for --help.
std::string
DescribeFlags(const FlagScope& aScope);

} // namespace rattanloft::tool
