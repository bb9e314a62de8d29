#pragma once

namespace rattanloft {

// Logs the failed condition and aborts the process. Called by
// RATTANLOFT_ASSERT.
[[noreturn]] void
AssertFailed(const char* aCondition, const char* aFile, int aLine);

} // namespace rattanloft

// Aborts the process if the invariant `condition` does not hold. Enabled in all
// build types. Errors that can occur in a correct program must be returned
// instead.
#define RATTANLOFT_ASSERT(condition)                                           \
  ((condition) ? static_cast<void>(0)                                          \
               : ::rattanloft::AssertFailed(#condition, __FILE__, __LINE__))
