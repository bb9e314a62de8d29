#include "rattanloft/base/Assert.h"

#include <cstdlib>

#include "rattanloft/base/Log.h"

namespace rattanloft {

void
AssertFailed(const char* aCondition, const char* aFile, int aLine)
{
  LogError(
    "assert", "assertion '{}' failed at {}:{}", aCondition, aFile, aLine);
  std::abort();
}

} // namespace rattanloft
