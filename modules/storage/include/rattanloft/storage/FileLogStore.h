#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rattanloft/storage/DataFolder.h"
#include "rattanloft/storage/LogStore.h"

namespace rattanloft::storage {

enum class RecordType : char;
struct LogRecord;

struct FileLogOptions
{
  // A new segment is started by the first Sync() beyond this size.
  uint64_t m_segmentBytes = 8 * 1024 * 1024;
  // Replaced in tests to simulate a failing disk.
  int (*m_syncFile)(int aFd) = nullptr;
};

// The log as a sequence of segment files of checksummed records. Each segment
// starts with the hard state and the first index, so older segments can be
// deleted. Entries stay on disk; memory holds their locations. A read checks
// the record again.
class FileLogStore final : public LogStore
{
public:
  // Fails with kCorrupt if synced data is damaged. Data that was never synced
  // is cut off at the end of the last segment.
  static StoreResult<std::unique_ptr<FileLogStore>> Make(
    const DataFolder& aFolder,
    const FileLogOptions& aOptions = {});

  FileLogStore(const FileLogStore&) = delete;
  FileLogStore& operator=(const FileLogStore&) = delete;
  ~FileLogStore() override;

  uint64_t FirstIndex() const override { return m_firstIndex; }
  uint64_t LastIndex() const override
  {
    return m_firstIndex + m_entryLocations.size() - 1;
  }
  wire::HardState GetHardState() const override { return m_hardState; }
  StoreResult<std::vector<wire::LogEntry>> Read(
    uint64_t aFirstIndex,
    uint64_t aLastIndex) const override;
  StoreResult<void> Append(std::span<const wire::LogEntry> aEntries) override;
  StoreResult<void> TruncateSuffix(uint64_t aFromIndex) override;
  StoreResult<void> CompactPrefix(uint64_t aNewFirstIndex) override;
  StoreResult<void> Reset(uint64_t aNextIndex) override;
  StoreResult<void> SetHardState(const wire::HardState& aHardState) override;
  StoreResult<void> Sync() override;

  // For tests that simulate a crash.
  uint64_t SyncedBytes() const { return m_syncedBytes; }
  std::string LastSegmentPath() const
  {
    return SegmentPath(CurrentSegmentNumber());
  }

private:
  struct Segment
  {
    int m_fd = -1;
    // The highest entry in it, 0 for none.
    uint64_t m_lastIndex = 0;
  };
  struct EntryLocation
  {
    uint64_t m_segmentNumber;
    uint64_t m_offset;
  };

  FileLogStore(std::string aFolder, const FileLogOptions& aOptions)
    : m_folderPath(std::move(aFolder))
    , m_options(aOptions)
  {
  }

  std::string SegmentPath(uint64_t aSegmentNumber) const;
  StoreResult<void> LoadSegments();
  StoreResult<void> OpenSegments();
  StoreResult<void> LoadSegment(uint64_t aSegmentNumber, bool aIsLast);
  StoreResult<void> CutUnsyncedTail(uint64_t aSegmentNumber,
                                    std::string_view aContent,
                                    uint64_t aOffset);
  // These return false if the record contradicts the ones before it.
  bool ReplayRecord(uint64_t aSegmentNumber,
                    uint64_t aOffset,
                    const LogRecord& aRecord);
  bool ReplayCheckpoint(uint64_t aSegmentNumber, std::string_view aBody);
  bool ReplayEntry(uint64_t aSegmentNumber,
                   uint64_t aOffset,
                   std::string_view aBody);
  void DropEntriesFrom(uint64_t aIndex);
  void DropEntriesBefore(uint64_t aIndex);
  StoreResult<void> StartSegment();
  StoreResult<void> WriteRecord(RecordType aType, std::string_view aBody);
  StoreResult<void> WriteBuffer();
  StoreResult<void> CheckWritable() const;
  StoreResult<wire::LogEntry> ReadEntry(const EntryLocation& aLocation) const;
  StoreError RefuseFurtherWrites(StoreError aError);
  // Adds a record to the write buffer and returns its offset.
  uint64_t BufferRecord(RecordType aType, std::string_view aBody);
  void DeleteOldSegments();
  Segment& CurrentSegment() { return m_segments.rbegin()->second; }
  uint64_t CurrentSegmentNumber() const { return m_segments.rbegin()->first; }

  std::string m_folderPath;
  FileLogOptions m_options;
  std::map<uint64_t, Segment> m_segments;
  uint64_t m_firstIndex = 1;
  std::deque<EntryLocation> m_entryLocations;
  wire::HardState m_hardState;
  // The first index according to the records, while segments are loaded.
  uint64_t m_requiredFirstIndex = 1;
  // Number of the first segment when there is none.
  uint64_t m_initialSegmentNumber = 1;
  // Records not yet passed to the file system.
  std::string m_writeBuffer;
  // End of the last segment with and without the part that is not synced.
  uint64_t m_writtenBytes = 0;
  uint64_t m_syncedBytes = 0;
  bool m_hasUnsyncedWrites = false;
  std::optional<std::string> m_writeFailure;
};

} // namespace rattanloft::storage
