#include <cstdlib>

#include <catch2/catch.hpp>

#include "Simulation.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::cluster {

namespace {

uint64_t
ReadIntegerEnvironmentVariable(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text ? std::strtoull(text, nullptr, 10) : aDefault;
}

void
RunSeed(uint64_t aSeed, int aSteps)
{
  Simulation simulation({ .m_seed = aSeed, .m_steps = aSteps, .m_nodes = 10 });
  simulation.Run();
  WARN("seed " << aSeed << ": longest gap " << simulation.m_longestGapMs
               << " ms");
}

} // namespace

// Guards against two owners of a shard, revisions that decrease, and shards
// that are not served again, under pauses, partitions, lost replies, restarts,
// drains, hanging backend servers and leader changes. RATTANLOFT_SEED and
// RATTANLOFT_STEPS select another run; RATTANLOFT_VERBOSE logs its events.
TEST_CASE("Each shard has one owner and is served under random faults")
{
  if (!std::getenv("RATTANLOFT_VERBOSE")) {
    SetLogLevel(LogLevel::kWarning);
  }
  const int steps =
    static_cast<int>(ReadIntegerEnvironmentVariable("RATTANLOFT_STEPS", 3000));
  if (std::getenv("RATTANLOFT_SEED")) {
    RunSeed(ReadIntegerEnvironmentVariable("RATTANLOFT_SEED", 1), steps);
    return;
  }
  for (const uint64_t seed : { 1, 2, 3 }) {
    RunSeed(seed, steps);
  }
}

} // namespace rattanloft::cluster
