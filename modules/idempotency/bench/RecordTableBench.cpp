#include "rattanloft/idempotency/RecordTable.h"

#include <chrono>
#include <cstdlib>
#include <malloc.h>

#include <fmt/core.h>

namespace {

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

} // namespace

// Usage: RecordTableBench [RECORDS]
int
main(int aCount, char** aArgs)
{
  using namespace rattanloft;
  using namespace rattanloft::idempotency;
  const int recordCount = aCount > 1 ? std::atoi(aArgs[1]) : 100'000;
  // The default limit of the table.
  if (recordCount < 1 || recordCount > 100'000) {
    return 2;
  }
  const auto records = size_t(recordCount);
  constexpr size_t kBodyBytes = 200;
  std::vector<std::string> keys;
  for (size_t i = 0; i < records; ++i) {
    keys.push_back(fmt::format("0b6f1c3e-5a2d-4f7e-9d1b-{:012}", i));
  }
  RecordTable table({ .m_maxTotalAnswerBytes = 64 * 1024 * 1024 });
  const size_t heapBytesBefore = HeapBytes();
  const double startedAt = NowInSeconds();
  for (size_t i = 0; i < records; ++i) {
    table.Begin("orders", i % kHashedShards, keys[i], i, TimePoint{ 1000 });
    table.Complete("orders",
                   keys[i],
                   { 200, "application/json", std::string(kBodyBytes, 'x') },
                   TimePoint{ 1000 });
  }
  const double completedAt = NowInSeconds();
  const size_t usedBytes = HeapBytes() - heapBytesBefore;
  for (size_t i = 0; i < records; ++i) {
    table.Begin("orders", i % kHashedShards, keys[i], i, TimePoint{ 1000 });
  }
  const double repeatedAt = NowInSeconds();
  size_t exported = 0;
  for (ShardNumber shard = 0; shard < kHashedShards; ++shard) {
    exported += table.Export("orders", shard, TimePoint{ 1000 }).size();
  }
  const double exportedAt = NowInSeconds();
  size_t found = 0;
  for (size_t i = 0; i < records; ++i) {
    found += table.Find("orders", keys[i], TimePoint{ 1000 }) ? 1 : 0;
  }
  const double foundAt = NowInSeconds();
  table.Expire(TimePoint{ 10'000'000 });
  const double expiredAt = NowInSeconds();
  const double nsPerRecord = 1e9 / double(records);
  fmt::print("{} records, answers of {} B: {:.0f} B each\n",
             exported,
             kBodyBytes,
             double(usedBytes) / records);
  fmt::print("ns a record: begin and complete {:.0f}, repeat {:.0f}, "
             "export {:.0f}, find {:.0f}, expire {:.0f}\n",
             (completedAt - startedAt) * nsPerRecord,
             (repeatedAt - completedAt) * nsPerRecord,
             (exportedAt - repeatedAt) * nsPerRecord,
             (foundAt - exportedAt) * nsPerRecord,
             (expiredAt - foundAt) * nsPerRecord);
  return table.Size() == 0 && found == records ? 0 : 1;
}
