#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace rattanloft::tool {

// The flags that a sub-command accepts.
struct FlagScope
{
  // Base name of the source file that defines the sub-command's own flags.
  std::string_view m_sourceFile;
  // Names of the flags of Flags.cpp that the sub-command accepts too.
  std::span<const std::string_view> m_sharedFlags;
};

struct ParsedArgs
{
  std::vector<char*> m_positional;
  // --help or -h was given; arguments after it are not parsed.
  bool m_help = false;
};

// Sets flags from RATTANLOFT_<FLAG> environment variables and then from the
// arguments, so that an argument overrides a variable. Accepts --name=value,
// --name value, --bool, --nobool and --flagfile=FILE; "--" ends the flags. The
// error is one line that names the flag. The parser of gflags is not used,
// since it exits with status 1 on an error and accepts the flags of every
// sub-command.
tl::expected<ParsedArgs, std::string>
ParseFlags(const FlagScope& aScope, std::span<char*> aArgs);

// Lists the flags in the scope with their types and defaults, for --help.
std::string
DescribeFlags(const FlagScope& aScope);

} // namespace rattanloft::tool
