#include "rattanloft/storage/FileLogStore.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <sys/resource.h>

#include "StoreTestFolder.h"
#include "rattanloft/storage/MemoryLogStore.h"

namespace rattanloft::storage {

namespace {

const std::string kFirstSegment = "log-0000000000000001";
const std::string kSecondSegment = "log-0000000000000002";

std::vector<wire::LogEntry>
MakeEntries(uint64_t aFirstIndex, uint64_t aLastIndex, uint64_t aTerm = 1)
{
  std::vector<wire::LogEntry> entries;
  for (uint64_t index = aFirstIndex; index <= aLastIndex; ++index) {
    wire::LogEntry& entry = entries.emplace_back();
    entry.set_index(index);
    entry.set_term(aTerm);
    entry.set_payload(fmt::format("command {}", index));
  }
  return entries;
}

// Replaces fdatasync(), which would take most of the time of a test on a busy
// disk. Without a power loss its effect cannot be observed.
int
SkipSync(int)
{
  return 0;
}

// A data folder with a log store that can be closed and opened again.
struct FileLogStoreFixture
{
  StoreResult<void> OpenStore(const FileLogOptions& aOptions = {
                                .m_syncFile = SkipSync })
  {
    CloseStore();
    auto folder = DataFolder::Make(m_folder.Path());
    if (!folder) {
      return tl::unexpected(folder.error());
    }
    m_dataFolder = std::move(*folder);
    auto store = FileLogStore::Make(*m_dataFolder, aOptions);
    if (!store) {
      return tl::unexpected(store.error());
    }
    m_store = std::move(*store);
    return {};
  }
  void CloseStore()
  {
    m_store.reset();
    m_dataFolder.reset();
  }
  // Appends and syncs the entries one by one.
  void AppendAndSync(uint64_t aFirstIndex, uint64_t aLastIndex)
  {
    for (uint64_t index = aFirstIndex; index <= aLastIndex; ++index) {
      REQUIRE(m_store->Append(MakeEntries(index, index)));
      REQUIRE(m_store->Sync());
    }
  }

  StoreTestFolder m_folder;
  std::unique_ptr<DataFolder> m_dataFolder;
  std::unique_ptr<FileLogStore> m_store;
};

int
FailSync(int)
{
  errno = EIO;
  return -1;
}

// Number of calls of FailAfterRemainingSyncs() that still succeed.
size_t sRemainingSyncs = 0;

int
FailAfterRemainingSyncs(int aFd)
{
  return sRemainingSyncs-- > 0 ? fdatasync(aFd) : FailSync(aFd);
}

int
FailRandomSyncs(int)
{
  static std::mt19937_64 sRandom(3);
  return sRandom() % 8 != 0 ? 0 : FailSync(0);
}

// Lets writes beyond a file size fail in its scope, as on a full disk.
class FileSizeLimit
{
public:
  explicit FileSizeLimit(rlim_t aMaxBytes)
    : m_oldHandler(std::signal(SIGXFSZ, SIG_IGN))
  {
    getrlimit(RLIMIT_FSIZE, &m_oldLimit);
    const rlimit limit{ aMaxBytes, m_oldLimit.rlim_max };
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;
  ~FileSizeLimit()
  {
    setrlimit(RLIMIT_FSIZE, &m_oldLimit);
    std::signal(SIGXFSZ, m_oldHandler);
  }

private:
  void (*m_oldHandler)(int);
  rlimit m_oldLimit{};
};

// Applies the same random change to the store and to the model.
void
ApplyRandomChange(LogStore& aStore, LogStore& aModel, std::mt19937_64& aRandom)
{
  const uint64_t first = aModel.FirstIndex();
  const uint64_t next = aModel.LastIndex() + 1;
  const uint64_t randomIndex = first + aRandom() % (next - first + 1);
  const auto entries = MakeEntries(next, next + aRandom() % 4, aRandom() % 9);
  wire::HardState state;
  state.set_term(aRandom() % 100);
  const uint64_t changeKind = aRandom() % 20;
  for (LogStore* store : { &aStore, &aModel }) {
    if (changeKind < 12) {
      REQUIRE(store->Append(entries));
    } else if (changeKind < 14) {
      REQUIRE(store->TruncateSuffix(randomIndex));
    } else if (changeKind < 16) {
      REQUIRE(store->CompactPrefix(randomIndex));
    } else if (changeKind < 17) {
      REQUIRE(store->Reset(next + 5));
    } else if (changeKind < 18) {
      REQUIRE(store->SetHardState(state));
    } else {
      REQUIRE(store->Sync());
    }
  }
}

// Simulates a crash of the store and of the model, and opens the store again.
// The last segment file loses its unsynced part, except for up to 31 bytes.
void
CrashAndReopen(FileLogStoreFixture& aFixture,
               const FileLogOptions& aOptions,
               MemoryLogStore& aModel,
               std::mt19937_64& aRandom)
{
  if (aRandom() % 2 == 0) {
    REQUIRE(aFixture.m_store->Sync());
    REQUIRE(aModel.Sync());
  }
  const uint64_t synced = aFixture.m_store->SyncedBytes();
  const std::string path = aFixture.m_store->LastSegmentPath();
  aFixture.CloseStore();
  // What is left of the unsynced part is shorter than a record, since the model
  // keeps nothing of it.
  std::filesystem::resize_file(
    path,
    std::min<uint64_t>(std::filesystem::file_size(path),
                       synced + aRandom() % 32));
  aModel.Crash();
  REQUIRE(aFixture.OpenStore(aOptions));
}

void
RequireEqualLogs(const LogStore& aStore, const LogStore& aModel)
{
  REQUIRE(aStore.FirstIndex() == aModel.FirstIndex());
  REQUIRE(aStore.LastIndex() == aModel.LastIndex());
  REQUIRE(aStore.GetHardState().term() == aModel.GetHardState().term());
  const auto storeEntries =
    aStore.Read(aModel.FirstIndex(), aModel.LastIndex());
  const auto modelEntries =
    aModel.Read(aModel.FirstIndex(), aModel.LastIndex());
  REQUIRE(storeEntries->size() == modelEntries->size());
  for (size_t i = 0; i < storeEntries->size(); ++i) {
    REQUIRE((*storeEntries)[i].SerializeAsString() ==
            (*modelEntries)[i].SerializeAsString());
  }
}

} // namespace

// Guards against the loss of entries, truncations or the hard state at a
// restart.
TEST_CASE("A log has the same content after it is opened again")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 9);
  REQUIRE(fixture.m_store->TruncateSuffix(6));
  REQUIRE(fixture.m_store->Append(MakeEntries(6, 7, 3)));
  wire::HardState state;
  state.set_term(3);
  state.set_voted_for(42);
  REQUIRE(fixture.m_store->SetHardState(state));
  REQUIRE(fixture.m_store->Sync());
  REQUIRE(fixture.OpenStore());
  REQUIRE(fixture.m_store->LastIndex() == 7);
  REQUIRE(fixture.m_store->GetHardState().voted_for() == 42);
  const auto entries = fixture.m_store->Read(5, 7);
  REQUIRE(entries);
  REQUIRE((*entries)[0].term() == 1);
  REQUIRE((*entries)[1].term() == 3);
  REQUIRE((*entries)[2].payload() == "command 7");
}

// Guards against a write that a crash cut short making the log unreadable.
TEST_CASE("An unsynced tail torn at any byte is truncated")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 3);
  const size_t synced = fixture.m_folder.ReadFile(kFirstSegment).size();
  REQUIRE(fixture.m_store->Append(MakeEntries(4, 5)));
  fixture.CloseStore();
  const std::string content = fixture.m_folder.ReadFile(kFirstSegment);
  for (size_t size = synced; size < content.size(); ++size) {
    fixture.m_folder.WriteFile(kFirstSegment, content.substr(0, size));
    REQUIRE(fixture.OpenStore());
    REQUIRE(fixture.m_store->LastIndex() >= 3);
    REQUIRE(fixture.m_store->LastIndex() <= 4);
    fixture.CloseStore();
  }
}

// Guards against a replica that refuses to start after a power loss that only
// damaged unsynced data. The disk may write the blocks of an unsynced batch out
// of order, so a damaged block can precede intact ones.
TEST_CASE("Damage inside the last unsynced batch is truncated")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 3);
  const size_t synced = fixture.m_folder.ReadFile(kFirstSegment).size();
  REQUIRE(fixture.m_store->Append(MakeEntries(4, 6)));
  fixture.CloseStore();
  fixture.m_folder.DamageByte(kFirstSegment, synced + 40);
  REQUIRE(fixture.OpenStore());
  REQUIRE(fixture.m_store->LastIndex() == 3);
}

// Guards against the silent loss of acknowledged entries after a damaged block.
TEST_CASE("Damage at any synced byte is an error")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 3);
  const size_t size = fixture.m_folder.ReadFile(kFirstSegment).size();
  fixture.AppendAndSync(4, 4);
  fixture.CloseStore();
  const std::string intact = fixture.m_folder.ReadFile(kFirstSegment);
  for (size_t damagedOffset = 0; damagedOffset < size; ++damagedOffset) {
    fixture.m_folder.DamageByte(kFirstSegment, damagedOffset);
    const auto opened = fixture.OpenStore();
    REQUIRE_FALSE(opened);
    REQUIRE(opened.error().m_code == StoreErrorCode::kCorrupt);
    // The damaged file was not truncated.
    fixture.CloseStore();
    REQUIRE(fixture.m_folder.ReadFile(kFirstSegment).size() == intact.size());
    fixture.m_folder.WriteFile(kFirstSegment, intact);
  }
}

// Guards against a log being accepted although an earlier segment is truncated
// or missing.
TEST_CASE("A truncated or missing earlier segment is an error")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore({ .m_segmentBytes = 200, .m_syncFile = SkipSync }));
  fixture.AppendAndSync(1, 12);
  fixture.CloseStore();
  REQUIRE(std::filesystem::exists(fixture.m_folder.FilePath(kSecondSegment)));
  const std::string second = fixture.m_folder.ReadFile(kSecondSegment);
  fixture.m_folder.WriteFile(kSecondSegment,
                             second.substr(0, second.size() - 1));
  REQUIRE(fixture.OpenStore().error().m_code == StoreErrorCode::kCorrupt);
  fixture.CloseStore();
  std::filesystem::remove(fixture.m_folder.FilePath(kSecondSegment));
  REQUIRE(fixture.OpenStore().error().m_code == StoreErrorCode::kCorrupt);
}

// Guards against a disk that fills up with old segments, and against the loss
// of the hard state with the segment that it was written to.
TEST_CASE(
  "Compaction deletes old segments but keeps later entries and the hard state")
{
  FileLogStoreFixture fixture;
  const FileLogOptions options{ .m_segmentBytes = 200, .m_syncFile = SkipSync };
  REQUIRE(fixture.OpenStore(options));
  wire::HardState state;
  state.set_term(9);
  REQUIRE(fixture.m_store->SetHardState(state));
  fixture.AppendAndSync(1, 30);
  REQUIRE(fixture.m_store->CompactPrefix(21));
  REQUIRE_FALSE(
    std::filesystem::exists(fixture.m_folder.FilePath(kFirstSegment)));
  REQUIRE(fixture.OpenStore(options));
  REQUIRE(fixture.m_store->FirstIndex() == 21);
  REQUIRE(fixture.m_store->LastIndex() == 30);
  REQUIRE(fixture.m_store->GetHardState().term() == 9);
  REQUIRE(fixture.m_store->Read(21, 30)->size() == 10);
  REQUIRE(fixture.m_store->Reset(101));
  fixture.AppendAndSync(101, 102);
  REQUIRE(fixture.OpenStore(options));
  REQUIRE(fixture.m_store->FirstIndex() == 101);
  REQUIRE(fixture.m_store->LastIndex() == 102);
}

// Guards against a second sync that reports success after a failed one because
// the kernel dropped the dirty pages.
TEST_CASE("After a failed sync writes are refused and reads work")
{
  FileLogStoreFixture fixture;
  sRemainingSyncs = 4;
  REQUIRE(fixture.OpenStore({ .m_syncFile = FailAfterRemainingSyncs }));
  fixture.AppendAndSync(1, 3);
  REQUIRE(fixture.m_store->Append(MakeEntries(4, 4)));
  REQUIRE_FALSE(fixture.m_store->Sync());
  sRemainingSyncs = 100;
  REQUIRE_FALSE(fixture.m_store->Sync());
  REQUIRE_FALSE(fixture.m_store->Append(MakeEntries(5, 5)));
  REQUIRE_FALSE(fixture.m_store->SetHardState({}));
  REQUIRE(fixture.m_store->Read(1, 3)->size() == 3);
}

// Guards against a full disk that ends the process or loses synced entries. The
// file size limit makes write() fail as on a full disk.
TEST_CASE("A log store stays readable when the disk is full")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 3);
  {
    const FileSizeLimit limit(600);
    const auto appended = fixture.m_store->Append(MakeEntries(4, 40));
    REQUIRE_FALSE(appended);
    REQUIRE(appended.error().m_code == StoreErrorCode::kIo);
    REQUIRE_FALSE(fixture.m_store->Append(MakeEntries(4, 4)));
  }
  REQUIRE_FALSE(fixture.m_store->Append(MakeEntries(4, 4)));
  REQUIRE(fixture.m_store->Read(1, 3)->size() == 3);
  REQUIRE(fixture.OpenStore());
  REQUIRE(fixture.m_store->LastIndex() >= 3);
  fixture.AppendAndSync(fixture.m_store->LastIndex() + 1, 50);
}

// Guards against a log store that refuses writes although the disk has room
// again, and against unsynced entries that a recovery keeps.
TEST_CASE("A log store accepts changes again once the disk has room")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 3);
  REQUIRE(fixture.m_store->Append(MakeEntries(4, 4)));
  {
    const FileSizeLimit limit(600);
    REQUIRE_FALSE(fixture.m_store->Append(MakeEntries(5, 40)));
    const FileSizeLimit fullDisk(1);
    REQUIRE_FALSE(fixture.m_store->Recover());
    REQUIRE_FALSE(fixture.m_store->Append(MakeEntries(5, 5)));
    REQUIRE(fixture.m_store->Read(1, 3)->size() == 3);
  }
  REQUIRE(fixture.m_store->Recover());
  REQUIRE(fixture.m_store->LastIndex() == 3);
  fixture.AppendAndSync(4, 9);
  REQUIRE(fixture.OpenStore());
  REQUIRE(fixture.m_store->LastIndex() == 9);
}

// Guards against a recovery that keeps what a failed sync may not have written,
// in the current segment and in one that was being started.
TEST_CASE("Recovery after random failed syncs keeps the durable content")
{
  std::mt19937_64 random(6);
  size_t recoveries = 0;
  for (int run = 0; run < 20; ++run) {
    FileLogStoreFixture fixture;
    const FileLogOptions options{ .m_segmentBytes = 100 + random() % 1'000,
                                  .m_syncFile = FailRandomSyncs };
    while (!fixture.OpenStore(options)) {
    }
    for (uint64_t index = 1; index < 100;) {
      REQUIRE(fixture.m_store->Append(MakeEntries(index, index)));
      if (fixture.m_store->Sync()) {
        ++index;
        continue;
      }
      while (!fixture.m_store->Recover()) {
      }
      ++recoveries;
      // The sync may have failed after the entry was durable.
      const uint64_t last = fixture.m_store->LastIndex();
      REQUIRE((last == index - 1 || last == index));
      const auto entries = fixture.m_store->Read(1, last);
      REQUIRE(entries->size() == last);
      REQUIRE((last == 0 ||
               entries->back().payload() == fmt::format("command {}", last)));
      index = last + 1;
    }
    const uint64_t last = fixture.m_store->LastIndex();
    REQUIRE(fixture.OpenStore());
    REQUIRE(fixture.m_store->LastIndex() == last);
  }
  REQUIRE(recoveries > 100);
}

// Guards against a gap in the log, which would violate the log matching
// property of Raft.
TEST_CASE("Appended entries that would leave a gap are refused")
{
  FileLogStoreFixture fixture;
  REQUIRE(fixture.OpenStore());
  fixture.AppendAndSync(1, 2);
  REQUIRE_FALSE(fixture.m_store->Append(MakeEntries(4, 4)));
  fixture.AppendAndSync(3, 3);
  REQUIRE(fixture.m_store->LastIndex() == 3);
}

// Guards against a sequence of changes, new segments, restarts and torn tails
// after which the file store differs from an in-memory model.
TEST_CASE("Synced content survives random changes and crashes")
{
  std::mt19937_64 random(5);
  for (int run = 0; run < 20; ++run) {
    FileLogStoreFixture fixture;
    const FileLogOptions options{ .m_segmentBytes = 100 + random() % 1'000,
                                  .m_syncFile = SkipSync };
    MemoryLogStore model;
    REQUIRE(fixture.OpenStore(options));
    for (int step = 0; step < 150; ++step) {
      ApplyRandomChange(*fixture.m_store, model, random);
      if (random() % 10 == 0) {
        CrashAndReopen(fixture, options, model, random);
        RequireEqualLogs(*fixture.m_store, model);
      }
    }
  }
}

} // namespace rattanloft::storage
