#pragma once

namespace rattanloft {

// Logs the failed condition and ends the process.
[[noreturn]] void
AssertFailed(const char* aCondition, const char* aFile, int aLine);

} // namespace rattanloft

// States an invariant. Active in every build type. Not for error handling.
#define RATTANLOFT_ASSERT(condition)                                           \
  ((condition) ? static_cast<void>(0)                                          \
               : ::rattanloft::AssertFailed(#condition, __FILE__, __LINE__))
