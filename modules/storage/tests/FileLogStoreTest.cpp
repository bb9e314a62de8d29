#include "rattanloft/storage/FileLogStore.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <sys/resource.h>

#include "StoreTestFolder.h"

namespace rattanloft::storage {

namespace {

const std::string kFirstSegment = "log-0000000000000001";
const std::string kSecondSegment = "log-0000000000000002";

std::vector<wire::LogEntry>
Entries(uint64_t aFirst, uint64_t aLast, uint64_t aTerm = 1)
{
  std::vector<wire::LogEntry> entries;
  for (uint64_t index = aFirst; index <= aLast; ++index) {
    wire::LogEntry& entry = entries.emplace_back();
    entry.set_index(index);
    entry.set_term(aTerm);
    entry.set_payload(fmt::format("command {}", index));
  }
  return entries;
}

// A folder and a store that can be closed and opened again.
struct Fixture
{
  StoreResult<void> Open(const FileLogOptions& aOptions = {})
  {
    Close();
    auto folder = DataFolder::Make(m_folder.Path());
    if (!folder) {
      return tl::unexpected(folder.error());
    }
    m_data = std::move(*folder);
    auto store = FileLogStore::Make(*m_data, aOptions);
    if (!store) {
      return tl::unexpected(store.error());
    }
    m_store = std::move(*store);
    return {};
  }
  void Close()
  {
    m_store.reset();
    m_data.reset();
  }
  // Appends and syncs one batch at a time.
  void Write(uint64_t aFirst, uint64_t aLast)
  {
    for (uint64_t index = aFirst; index <= aLast; ++index) {
      REQUIRE(m_store->Append(Entries(index, index)));
      REQUIRE(m_store->Sync());
    }
  }

  StoreTestFolder m_folder;
  std::unique_ptr<DataFolder> m_data;
  std::unique_ptr<FileLogStore> m_store;
};

int
FailSync(int)
{
  errno = EIO;
  return -1;
}

size_t sSyncsLeft = 0;

int
FailLater(int aFd)
{
  return sSyncsLeft-- > 0 ? fdatasync(aFd) : FailSync(aFd);
}

} // namespace

// Guards against losing entries, the hard state or the truncations between
// them at a restart.
TEST_CASE("A log is the same after it is opened again")
{
  Fixture fixture;
  REQUIRE(fixture.Open());
  fixture.Write(1, 9);
  REQUIRE(fixture.m_store->TruncateSuffix(6));
  REQUIRE(fixture.m_store->Append(Entries(6, 7, 3)));
  wire::HardState state;
  state.set_term(3);
  state.set_voted_for(42);
  REQUIRE(fixture.m_store->SetHardState(state));
  REQUIRE(fixture.m_store->Sync());
  REQUIRE(fixture.Open());
  REQUIRE(fixture.m_store->LastIndex() == 7);
  REQUIRE(fixture.m_store->GetHardState().voted_for() == 42);
  const auto entries = fixture.m_store->Read(5, 7);
  REQUIRE(entries);
  REQUIRE((*entries)[0].term() == 1);
  REQUIRE((*entries)[1].term() == 3);
  REQUIRE((*entries)[2].payload() == "command 7");
}

// Guards against a write cut short by a crash making the log unreadable.
TEST_CASE("A torn tail is cut off at any length")
{
  Fixture fixture;
  REQUIRE(fixture.Open());
  fixture.Write(1, 3);
  const size_t synced = fixture.m_folder.Load(kFirstSegment).size();
  REQUIRE(fixture.m_store->Append(Entries(4, 5)));
  fixture.Close();
  const std::string content = fixture.m_folder.Load(kFirstSegment);
  for (size_t size = synced; size < content.size(); ++size) {
    fixture.m_folder.Store(kFirstSegment, content.substr(0, size));
    REQUIRE(fixture.Open());
    REQUIRE(fixture.m_store->LastIndex() >= 3);
    REQUIRE(fixture.m_store->LastIndex() <= 4);
    fixture.Close();
  }
}

// Guards against a replica that refuses to start although a power loss only
// hit blocks of one unsynced batch, written out of order.
TEST_CASE("A hole in the last unsynced batch is a torn tail")
{
  Fixture fixture;
  REQUIRE(fixture.Open());
  fixture.Write(1, 3);
  const size_t synced = fixture.m_folder.Load(kFirstSegment).size();
  REQUIRE(fixture.m_store->Append(Entries(4, 6)));
  fixture.Close();
  fixture.m_folder.Damage(kFirstSegment, synced + 40);
  REQUIRE(fixture.Open());
  REQUIRE(fixture.m_store->LastIndex() == 3);
}

// Guards against silently dropping acknowledged entries behind a bad block.
TEST_CASE("Damage before the tail is an error at every byte")
{
  Fixture fixture;
  REQUIRE(fixture.Open());
  fixture.Write(1, 3);
  const size_t size = fixture.m_folder.Load(kFirstSegment).size();
  fixture.Write(4, 4);
  fixture.Close();
  const std::string intact = fixture.m_folder.Load(kFirstSegment);
  for (size_t at = 0; at < size; ++at) {
    fixture.m_folder.Damage(kFirstSegment, at);
    const auto opened = fixture.Open();
    REQUIRE_FALSE(opened);
    REQUIRE(opened.error().m_code == StoreErrorCode::kCorrupt);
    // Nothing was repaired behind the operator's back.
    fixture.Close();
    REQUIRE(fixture.m_folder.Load(kFirstSegment).size() == intact.size());
    fixture.m_folder.Store(kFirstSegment, intact);
  }
}

// Guards against accepting a log whose earlier segments were cut or removed.
TEST_CASE("A short or missing earlier segment is an error")
{
  Fixture fixture;
  REQUIRE(fixture.Open({ .m_segmentBytes = 200 }));
  fixture.Write(1, 12);
  fixture.Close();
  REQUIRE(std::filesystem::exists(fixture.m_folder.File(kSecondSegment)));
  const std::string second = fixture.m_folder.Load(kSecondSegment);
  fixture.m_folder.Store(kSecondSegment, second.substr(0, second.size() - 1));
  REQUIRE(fixture.Open().error().m_code == StoreErrorCode::kCorrupt);
  fixture.Close();
  std::filesystem::remove(fixture.m_folder.File(kSecondSegment));
  REQUIRE(fixture.Open().error().m_code == StoreErrorCode::kCorrupt);
}

// Guards against a disk that fills up with old segments, and against losing
// the hard state together with the segment that held it.
TEST_CASE("Compaction deletes old segments and keeps the rest")
{
  Fixture fixture;
  const FileLogOptions options{ .m_segmentBytes = 200 };
  REQUIRE(fixture.Open(options));
  wire::HardState state;
  state.set_term(9);
  REQUIRE(fixture.m_store->SetHardState(state));
  fixture.Write(1, 30);
  REQUIRE(fixture.m_store->CompactPrefix(21));
  REQUIRE_FALSE(std::filesystem::exists(fixture.m_folder.File(kFirstSegment)));
  REQUIRE(fixture.Open(options));
  REQUIRE(fixture.m_store->FirstIndex() == 21);
  REQUIRE(fixture.m_store->LastIndex() == 30);
  REQUIRE(fixture.m_store->GetHardState().term() == 9);
  REQUIRE(fixture.m_store->Read(21, 30)->size() == 10);
  REQUIRE(fixture.m_store->Reset(101));
  fixture.Write(101, 102);
  REQUIRE(fixture.Open(options));
  REQUIRE(fixture.m_store->FirstIndex() == 101);
  REQUIRE(fixture.m_store->LastIndex() == 102);
}

// Guards against returning success after a sync that failed, and against a
// second sync that succeeds because the kernel dropped the pages.
TEST_CASE("After a failed sync writes are refused and reads work")
{
  Fixture fixture;
  sSyncsLeft = 4;
  REQUIRE(fixture.Open({ .m_syncFile = FailLater }));
  fixture.Write(1, 3);
  REQUIRE(fixture.m_store->Append(Entries(4, 4)));
  REQUIRE_FALSE(fixture.m_store->Sync());
  sSyncsLeft = 100;
  REQUIRE_FALSE(fixture.m_store->Sync());
  REQUIRE_FALSE(fixture.m_store->Append(Entries(5, 5)));
  REQUIRE_FALSE(fixture.m_store->SetHardState({}));
  REQUIRE(fixture.m_store->Read(1, 3)->size() == 3);
}

// Guards against a full disk ending the process or losing synced entries. The
// file size limit makes write() fail like a full disk does.
TEST_CASE("On a full disk the store stays readable")
{
  Fixture fixture;
  REQUIRE(fixture.Open());
  fixture.Write(1, 3);
  const auto oldHandler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &old) == 0);
  const rlimit limit{ 600, old.rlim_max };
  REQUIRE(setrlimit(RLIMIT_FSIZE, &limit) == 0);
  const auto appended = fixture.m_store->Append(Entries(4, 40));
  const auto after = fixture.m_store->Append(Entries(4, 4));
  setrlimit(RLIMIT_FSIZE, &old);
  std::signal(SIGXFSZ, oldHandler);
  REQUIRE_FALSE(appended);
  REQUIRE(appended.error().m_code == StoreErrorCode::kIo);
  REQUIRE_FALSE(after);
  REQUIRE_FALSE(fixture.m_store->Append(Entries(4, 4)));
  REQUIRE(fixture.m_store->Read(1, 3)->size() == 3);
  REQUIRE(fixture.Open());
  REQUIRE(fixture.m_store->LastIndex() >= 3);
  fixture.Write(fixture.m_store->LastIndex() + 1, 50);
}

// Guards against a gap in the log, which would break log matching.
TEST_CASE("Entries that do not follow the log are refused")
{
  Fixture fixture;
  REQUIRE(fixture.Open());
  fixture.Write(1, 2);
  REQUIRE_FALSE(fixture.m_store->Append(Entries(4, 4)));
  fixture.Write(3, 3);
  REQUIRE(fixture.m_store->LastIndex() == 3);
}

} // namespace rattanloft::storage
