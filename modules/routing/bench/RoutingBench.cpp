#include <chrono>
#include <cstdlib>
#include <malloc.h>
#include <random>

#include <fmt/core.h>

#include "Builders.h"
#include "rattanloft/routing/Balancer.h"

namespace rattanloft::routing {

namespace {

constexpr int kServiceCount = 6;
constexpr uint32_t kDefaultBackendCount = 560;
constexpr uint32_t kHotKeysPerService = 47;

double
NowInSeconds()
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
MakeFullUpdate(uint32_t aBackendCount)
{
  wire::RouteUpdate update;
  update.set_full(true);
  update.set_revision(1);
  for (uint32_t i = 1; i <= aBackendCount; ++i) {
    *update.add_backends() = MakeBackend(
      i, ServiceName(int(i) % kServiceCount), fmt::format("z{}", i % 6));
  }
  for (int s = 0; s < kServiceCount; ++s) {
    wire::ServiceRoutes* routes = update.add_services();
    routes->set_service(ServiceName(s));
    for (uint32_t i = 0; i < kHashedShards + kHotKeysPerService; ++i) {
      AddRoute(*routes, i, 1 + i % aBackendCount, 100'000 + i);
    }
    for (uint32_t i = 0; i < kHotKeysPerService; ++i) {
      wire::HotKey* key = update.add_hot_keys();
      key->set_service(ServiceName(s));
      key->set_key(fmt::format("hot-key-{}", i));
      key->set_shard(kHashedShards + i);
    }
  }
  return update;
}

// Measures the lookup of a key's owner and the choice of a backend.
void
MeasureLookups(const RouteTable& aTable)
{
  constexpr int kLookupCount = 5'000'000;
  std::vector<std::string> keys;
  for (int i = 0; i < 1024; ++i) {
    keys.push_back(fmt::format("stand-{:08}", i * 7919));
  }
  uint64_t sum = 0;
  const double startedAt = NowInSeconds();
  for (int i = 0; i < kLookupCount; ++i) {
    const auto shard = aTable.ShardOf("service3", keys[i % 1024]);
    sum += aTable.Find("service3", shard)->m_owner;
  }
  const double lookupsEnded = NowInSeconds();
  std::mt19937_64 random(1);
  Balancer balancer("z1");
  balancer.UpdateBackends(aTable, TimePoint{ 1000 });
  const double choicesStarted = NowInSeconds();
  for (int i = 0; i < kLookupCount / 5; ++i) {
    const TimePoint now{ 1000 + i / 100 };
    const uint32_t backend =
      balancer.ChooseBackend(aTable, "service3", {}, random(), now);
    balancer.OnAttemptStarted(backend, now);
    balancer.OnAttemptFinished(backend, AttemptResult::kAnswered, now);
    sum += backend;
  }
  const double choicesEnded = NowInSeconds();
  fmt::print("ns: key to owner {:.0f}, choice of a backend with start and "
             "finish {:.0f} (checksum {})\n",
             (lookupsEnded - startedAt) * 1e9 / kLookupCount,
             (choicesEnded - choicesStarted) * 5e9 / kLookupCount,
             sum);
}

// Measures the memory and build time of a table, and one delta applied to it.
void
MeasureTable(uint32_t aBackendCount)
{
  const wire::RouteUpdate full = MakeFullUpdate(aBackendCount);
  const size_t heapBefore = HeapBytes();
  const double startedAt = NowInSeconds();
  auto table = RouteTable::MakeEmpty()->WithUpdate(full);
  const double builtAt = NowInSeconds();
  const size_t heapWithTable = HeapBytes();
  fmt::print(
    "{} services, {} backends: {} B, of which backends {} B; built in "
    "{:.0f} us; full update of {} B\n",
    kServiceCount,
    aBackendCount,
    heapWithTable - heapBefore,
    [&] {
      const size_t before = HeapBytes();
      const RouteTable::BackendMap copy = table->Backends();
      return HeapBytes() - before;
    }(),
    (builtAt - startedAt) * 1e6,
    full.ByteSizeLong());
  wire::RouteUpdate delta = MakeDelta(2, 7, 9, 200'000);
  delta.mutable_services(0)->set_service("service3");
  const double deltaStartedAt = NowInSeconds();
  const auto next = table->WithUpdate(delta);
  const double appliedAt = NowInSeconds();
  fmt::print("delta of one shard: {:.0f} us, {} B more while both are held\n",
             (appliedAt - deltaStartedAt) * 1e6,
             HeapBytes() - heapWithTable);
  MeasureLookups(*next);
}

} // namespace

} // namespace rattanloft::routing

// Usage: RoutingBench [BACKENDS]
int
main(int aCount, char** aArgs)
{
  const int backends = aCount > 1
                         ? std::atoi(aArgs[1])
                         : int(rattanloft::routing::kDefaultBackendCount);
  if (backends < 1) {
    return 2;
  }
  rattanloft::routing::MeasureTable(uint32_t(backends));
  return 0;
}
