#include "Simulation.h"

#include <cstdlib>

#include <fmt/core.h>

namespace rattanloft::admission {

namespace {

using MakeWorkMix = std::vector<WorkKind> (*)(uint32_t, double);

struct WorkMix
{
  std::string_view m_name;
  uint32_t m_slots;
  MakeWorkMix m_makeKinds;
  double m_longWorkShare;
};

constexpr WorkMix kWorkMixes[] = {
  { "hire", 12, CakeStandHireMix, 0.15 },
  { "label", 6, LabelAuthorityMix, 0.40 },
};

uint64_t sSeed = 7;

void
PrintKinds(Simulation& aRun, const std::vector<WorkKind>& aKinds)
{
  for (size_t i = 0; i < aKinds.size(); ++i) {
    KindResult& result = aRun.Results()[i];
    const auto submitted = std::max<uint64_t>(1, result.m_submitted);
    fmt::print("    {:9} n={:6} in time {:.3f} refused {:.3f} cut off {:.4f} "
               "p50 {:.0f} p99 {:.0f} ms, refused late {:.3f}\n",
               aKinds[i].m_limits.m_entry,
               result.m_submitted,
               double(result.m_dueAnsweredInTime) /
                 double(std::max<uint64_t>(1, result.m_dueBeforeEnd)),
               double(result.m_refused) / double(submitted),
               double(result.m_cutOff) / double(submitted),
               result.LatencyQuantileMs(0.5),
               result.LatencyQuantileMs(0.99),
               double(result.m_refusedLate) / double(submitted));
  }
}

// Demand that rises from a fifth of the crest to the crest within 2 s.
double
StepRateFactor(double aSecond, double aCrest)
{
  const double rise = std::clamp((aSecond - 10) / 2, 0.0, 1.0);
  return aCrest * (0.2 + 0.8 * rise);
}

void
RunDemandCrest(const WorkMix& aWorkMix,
               std::string_view aStrategy,
               double aCrest)
{
  const auto kinds =
    aWorkMix.m_makeKinds(aWorkMix.m_slots, aWorkMix.m_longWorkShare);
  Simulation run(aStrategy, aWorkMix.m_slots, kinds, sSeed);
  run.Run(
    40,
    10,
    [&](double aSecond) { return StepRateFactor(aSecond, aCrest); },
    aCrest);
  fmt::print("  {} crest {:.2f} {:8}: in time {} = {:.3f} of most possible, "
             "{:.3f} by kind\n",
             aWorkMix.m_name,
             aCrest,
             aStrategy,
             run.AnsweredInTime(),
             double(run.AnsweredInTime()) / double(run.MaxJobsInAnyOrder()),
             double(run.AnsweredInTime()) / double(run.MaxJobsInKindOrder()));
  PrintKinds(run, kinds);
}

void
RunOverload(const WorkMix& aWorkMix, std::string_view aStrategy)
{
  constexpr double kLoad = 2;
  const auto kinds =
    aWorkMix.m_makeKinds(aWorkMix.m_slots, aWorkMix.m_longWorkShare);
  Simulation run(aStrategy, aWorkMix.m_slots, kinds, sSeed);
  run.Run(
    130, 10, [](double) { return kLoad; }, kLoad);
  fmt::print("  {} twice the capacity {:8}: {:.0f}/s in time = {:.3f} of most "
             "possible, {:.3f} by kind\n",
             aWorkMix.m_name,
             aStrategy,
             double(run.AnsweredInTime()) / 120,
             double(run.AnsweredInTime()) / double(run.MaxJobsInAnyOrder()),
             double(run.AnsweredInTime()) / double(run.MaxJobsInKindOrder()));
  PrintKinds(run, kinds);
}

// Compares the latency of the same arrivals of short work with and without long
// work.
void
RunHeadOfLineBlocking(const WorkMix& aWorkMix,
                      std::string_view aStrategy,
                      double aLoad)
{
  const auto kinds =
    aWorkMix.m_makeKinds(aWorkMix.m_slots, aWorkMix.m_longWorkShare);
  Simulation with(aStrategy, aWorkMix.m_slots, kinds, sSeed);
  with.Run(
    610, 10, [&](double) { return aLoad; }, aLoad);
  const auto shortKinds = aWorkMix.m_makeKinds(aWorkMix.m_slots, 1e-9);
  Simulation without(aStrategy, aWorkMix.m_slots, shortKinds, sSeed);
  without.Run(
    610, 10, [&](double) { return aLoad; }, aLoad);
  fmt::print("  {} load {:.2f} {:8}: p99 of short work {:.0f} ms with, {:.0f} "
             "ms without long work, ratio {:.2f};",
             aWorkMix.m_name,
             aLoad,
             aStrategy,
             with.ShortWorkLatencyQuantileMs(0.99),
             without.ShortWorkLatencyQuantileMs(0.99),
             with.ShortWorkLatencyQuantileMs(0.99) /
               without.ShortWorkLatencyQuantileMs(0.99));
  for (size_t i = 0; i + 1 < kinds.size(); ++i) {
    fmt::print(" {} {:.2f}",
               kinds[i].m_limits.m_entry,
               with.Results()[i].LatencyQuantileMs(0.99) /
                 without.Results()[i].LatencyQuantileMs(0.99));
  }
  const KindResult& last = with.Results().back();
  fmt::print("; long work in time {:.3f} of {}, refused {:.3f}\n",
             double(last.m_dueAnsweredInTime) / double(last.m_dueBeforeEnd),
             last.m_dueBeforeEnd,
             double(last.m_refused) / double(last.m_submitted));
}

} // namespace

} // namespace rattanloft::admission

// Usage: StrategyBench [SEED]
int
main(int aCount, char** aArguments)
{
  using namespace rattanloft::admission;
  if (aCount > 1) {
    sSeed = std::strtoull(aArguments[1], nullptr, 10);
  }
  for (const WorkMix& mix : kWorkMixes) {
    for (const double crest : { 1.0, 1.75, 3.0 }) {
      for (const auto* strategy : { "deadline", "fifo" }) {
        RunDemandCrest(mix, strategy, crest);
      }
    }
    for (const auto* strategy : { "deadline", "fifo" }) {
      RunOverload(mix, strategy);
      for (const double load : { 0.3, 0.5, 0.7, 0.85 }) {
        RunHeadOfLineBlocking(mix, strategy, load);
      }
    }
  }
  return 0;
}
