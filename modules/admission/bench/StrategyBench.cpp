#include "Simulation.h"

#include <cstdlib>

#include <fmt/core.h>

namespace rattanloft::admission {

namespace {

using MakeMix = std::vector<WorkKind> (*)(uint32_t, double);

struct Mix
{
  std::string_view m_name;
  uint32_t m_slots;
  MakeMix m_make;
  double m_longShare;
};

constexpr Mix kMixes[] = {
  { "hire", 12, CakeStandHire, 0.15 },
  { "label", 6, LabelAuthority, 0.40 },
};

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
               double(result.m_dueInTime) /
                 double(std::max<uint64_t>(1, result.m_due)),
               double(result.m_refused) / double(submitted),
               double(result.m_wasted) / double(submitted),
               result.Quantile(0.5),
               result.Quantile(0.99),
               double(result.m_refusedLate) / double(submitted));
  }
}

// A step from a fifth of the crest to the crest within 2 s.
double
Step(double aSecond, double aCrest)
{
  const double rise = std::clamp((aSecond - 10) / 2, 0.0, 1.0);
  return aCrest * (0.2 + 0.8 * rise);
}

void
RunCrest(const Mix& aMix, std::string_view aStrategy, double aCrest)
{
  const auto kinds = aMix.m_make(aMix.m_slots, aMix.m_longShare);
  Simulation run(aStrategy, aMix.m_slots, kinds, 7);
  run.Run(
    40, 10, [&](double aSecond) { return Step(aSecond, aCrest); }, aCrest);
  fmt::print("  {} crest {:.2f} {:8}: in time {} = {:.3f} of most possible, "
             "{:.3f} by kind\n",
             aMix.m_name,
             aCrest,
             aStrategy,
             run.InTime(),
             double(run.InTime()) / double(run.MostPossible()),
             double(run.InTime()) / double(run.MostPossibleByKind()));
  PrintKinds(run, kinds);
}

void
RunOverload(const Mix& aMix, std::string_view aStrategy)
{
  constexpr double kLoad = 2;
  const auto kinds = aMix.m_make(aMix.m_slots, aMix.m_longShare);
  Simulation run(aStrategy, aMix.m_slots, kinds, 11);
  run.Run(
    130, 10, [](double) { return kLoad; }, kLoad);
  fmt::print("  {} twice the capacity {:8}: {:.0f}/s in time = {:.3f} of most "
             "possible, {:.3f} by kind\n",
             aMix.m_name,
             aStrategy,
             double(run.InTime()) / 120,
             double(run.InTime()) / double(run.MostPossible()),
             double(run.InTime()) / double(run.MostPossibleByKind()));
  PrintKinds(run, kinds);
}

// The same arrivals of short work with and without long work.
void
RunBlocking(const Mix& aMix, std::string_view aStrategy, double aLoad)
{
  const auto kinds = aMix.m_make(aMix.m_slots, aMix.m_longShare);
  Simulation with(aStrategy, aMix.m_slots, kinds, 11);
  with.Run(
    610, 10, [&](double) { return aLoad; }, aLoad);
  const auto shortKinds = aMix.m_make(aMix.m_slots, 1e-9);
  Simulation without(aStrategy, aMix.m_slots, shortKinds, 11);
  without.Run(
    610, 10, [&](double) { return aLoad; }, aLoad);
  fmt::print("  {} load {:.2f} {:8}: p99 of short work {:.0f} ms with, {:.0f} "
             "ms without long work, ratio {:.2f};",
             aMix.m_name,
             aLoad,
             aStrategy,
             with.ShortQuantile(0.99),
             without.ShortQuantile(0.99),
             with.ShortQuantile(0.99) / without.ShortQuantile(0.99));
  for (size_t i = 0; i + 1 < kinds.size(); ++i) {
    fmt::print(" {} {:.2f}",
               kinds[i].m_limits.m_entry,
               with.Results()[i].Quantile(0.99) /
                 without.Results()[i].Quantile(0.99));
  }
  const KindResult& last = with.Results().back();
  fmt::print("; long work in time {:.3f} of {}, refused {:.3f}\n",
             double(last.m_dueInTime) / double(last.m_due),
             last.m_due,
             double(last.m_refused) / double(last.m_submitted));
}

} // namespace

} // namespace rattanloft::admission

int
main()
{
  using namespace rattanloft::admission;
  for (const Mix& mix : kMixes) {
    for (const double crest : { 1.0, 1.75, 3.0 }) {
      for (const auto* strategy : { "deadline", "fifo" }) {
        RunCrest(mix, strategy, crest);
      }
    }
    for (const auto* strategy : { "deadline", "fifo" }) {
      RunOverload(mix, strategy);
      for (const double load : { 0.3, 0.5, 0.7, 0.85 }) {
        RunBlocking(mix, strategy, load);
      }
    }
  }
  return 0;
}
