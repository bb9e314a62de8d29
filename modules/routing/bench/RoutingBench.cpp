#include <chrono>
#include <cstdlib>
#include <malloc.h>
#include <random>

#include <fmt/core.h>

#include "Builders.h"
#include "rattanloft/routing/Balancer.h"

namespace rattanloft::routing {

namespace {

constexpr int kServices = 6;
constexpr uint32_t kDefaultBackends = 560;
constexpr uint32_t kHotKeys = 47;

double
Seconds()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string
ServiceName(int aIndex)
{
  return fmt::format("service{}", aIndex);
}

wire::RouteUpdate
MakeFullUpdate(uint32_t aBackends)
{
  wire::RouteUpdate update;
  update.set_full(true);
  update.set_revision(1);
  for (uint32_t i = 1; i <= aBackends; ++i) {
    *update.add_backends() = MakeBackend(
      i, ServiceName(int(i) % kServices), fmt::format("z{}", i % 6));
  }
  for (int s = 0; s < kServices; ++s) {
    wire::ServiceRoutes* routes = update.add_services();
    routes->set_service(ServiceName(s));
    for (uint32_t i = 0; i < kHashedShards + kHotKeys; ++i) {
      AddRoute(*routes, i, 1 + i % aBackends, 100'000 + i);
    }
    for (uint32_t i = 0; i < kHotKeys; ++i) {
      wire::HotKey* key = update.add_hot_keys();
      key->set_service(ServiceName(s));
      key->set_key(fmt::format("hot-key-{}", i));
      key->set_shard(kHashedShards + i);
    }
  }
  return update;
}

void
MeasureLookups(const RouteTable& aTable)
{
  constexpr int kRounds = 5'000'000;
  std::vector<std::string> keys;
  for (int i = 0; i < 1024; ++i) {
    keys.push_back(fmt::format("stand-{:08}", i * 7919));
  }
  uint64_t sum = 0;
  const double begun = Seconds();
  for (int i = 0; i < kRounds; ++i) {
    const auto shard = aTable.ShardOf("service3", keys[i % 1024]);
    sum += aTable.Find("service3", shard)->m_owner;
  }
  const double looked = Seconds();
  std::mt19937_64 random(1);
  Balancer balancer("z1");
  balancer.Update(aTable, TimePoint{ 1000 });
  const double chooseBegun = Seconds();
  for (int i = 0; i < kRounds / 5; ++i) {
    const TimePoint now{ 1000 + i / 100 };
    const uint32_t backend =
      balancer.ChooseBackend(aTable, "service3", {}, random(), now);
    balancer.OnAttemptStarted(backend, now);
    balancer.OnAttemptFinished(backend, AttemptResult::kAnswered, now);
    sum += backend;
  }
  const double chosen = Seconds();
  fmt::print("ns: key to owner {:.0f}, choice of a backend with start and "
             "finish {:.0f} (checksum {})\n",
             (looked - begun) * 1e9 / kRounds,
             (chosen - chooseBegun) * 5e9 / kRounds,
             sum);
}

void
MeasureTable(uint32_t aBackends)
{
  const wire::RouteUpdate full = MakeFullUpdate(aBackends);
  const size_t empty = HeapBytes();
  const double begun = Seconds();
  auto table = RouteTable::MakeEmpty()->WithUpdate(full);
  const double built = Seconds();
  const size_t one = HeapBytes();
  fmt::print(
    "{} services, {} backends: {} B, of which backends {} B; built in "
    "{:.0f} us; full update of {} B\n",
    kServices,
    aBackends,
    one - empty,
    [&] {
      const size_t before = HeapBytes();
      const RouteTable::BackendMap copy = table->Backends();
      return HeapBytes() - before;
    }(),
    (built - begun) * 1e6,
    full.ByteSizeLong());
  wire::RouteUpdate delta = MakeDelta(2, 7, 9, 200'000);
  delta.mutable_services(0)->set_service("service3");
  const double deltaBegun = Seconds();
  const auto next = table->WithUpdate(delta);
  const double applied = Seconds();
  fmt::print("delta of one shard: {:.0f} us, {} B more while both are held\n",
             (applied - deltaBegun) * 1e6,
             HeapBytes() - one);
  MeasureLookups(*next);
}

} // namespace

} // namespace rattanloft::routing

// RoutingBench [BACKENDS]
int
main(int aCount, char** aArgs)
{
  const int backends = aCount > 1 ? std::atoi(aArgs[1])
                                  : int(rattanloft::routing::kDefaultBackends);
  if (backends < 1) {
    return 2;
  }
  rattanloft::routing::MeasureTable(uint32_t(backends));
  return 0;
}
