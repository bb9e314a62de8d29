#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rattanloft/storage/DataFolder.h"
#include "rattanloft/storage/LogStore.h"
#include "rattanloft/storage/ScopedFd.h"

namespace rattanloft::storage {

enum class RecordType : char;
struct LogRecord;

struct FileLogOptions
{
  // Sync() starts a new segment once the current one has reached this size.
  uint64_t m_segmentBytes = 8 * 1024 * 1024;
  // Syncs a file; returns 0 on success. Null selects fdatasync(). Tests replace
  // it to simulate a failing disk.
  int (*m_syncFile)(int aFd) = nullptr;
};

// Keeps the log as a sequence of segment files of checksummed records. Each
// segment starts with the hard state and the first index, so older segments can
// be deleted. Entries stay on disk and only their locations are held in memory.
// Each read verifies the checksum of the record again.
class FileLogStore final : public LogStore
{
public:
  // Opens the log in aFolder or creates it. Fails with kCorrupt if synced data
  // is damaged or missing. A damaged tail of the last segment that was never
  // synced is truncated.
  static StoreResult<std::unique_ptr<FileLogStore>> Make(
    const DataFolder& aFolder,
    const FileLogOptions& aOptions = {});

  FileLogStore(const FileLogStore&) = delete;
  FileLogStore& operator=(const FileLogStore&) = delete;

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
  StoreResult<void> Recover() override;

  // For tests that simulate a crash: how many bytes of the last segment are
  // synced, and its path.
  uint64_t SyncedBytes() const { return m_syncedBytes; }
  std::string LastSegmentPath() const
  {
    return SegmentPath(CurrentSegmentNumber());
  }

private:
  struct Segment
  {
    ScopedFd m_fd;
    // The highest index of an entry in the segment, 0 if it has none.
    uint64_t m_lastIndex = 0;
  };
  // Where the record of an entry starts.
  struct EntryLocation
  {
    uint64_t m_segmentNumber;
    uint64_t m_offset;
  };

  FileLogStore(std::string aFolderPath, const FileLogOptions& aOptions)
    : m_folderPath(std::move(aFolderPath))
    , m_options(aOptions)
  {
  }
  FileLogStore& operator=(FileLogStore&&) = default;

  std::string SegmentPath(uint64_t aSegmentNumber) const;
  // Reads all segments and starts the first one if there is none.
  StoreResult<void> LoadSegments();
  // Opens the segment files without reading them.
  StoreResult<void> OpenSegments();
  StoreResult<void> LoadSegment(uint64_t aSegmentNumber, bool aIsLastSegment);
  // Truncates the last segment at aOffset, or removes it if aOffset is 0. Fails
  // if a part after aOffset had been synced.
  StoreResult<void> TruncateUnsyncedTail(uint64_t aSegmentNumber,
                                         std::string_view aContent,
                                         uint64_t aOffset);
  // These apply a record that was read at the start. They return false if it
  // contradicts the records before it.
  bool ReplayRecord(uint64_t aSegmentNumber,
                    uint64_t aOffset,
                    const LogRecord& aRecord);
  bool ReplayCheckpoint(uint64_t aSegmentNumber, std::string_view aBody);
  bool ReplayEntry(uint64_t aSegmentNumber,
                   uint64_t aOffset,
                   std::string_view aBody);
  void DropEntriesFrom(uint64_t aIndex);
  void DropEntriesBefore(uint64_t aIndex);
  // Creates the next segment with its checkpoint and makes it durable.
  StoreResult<void> StartSegment();
  StoreResult<void> WriteRecord(RecordType aType, std::string_view aBody);
  // Writes the buffered records to the current segment, without a sync.
  StoreResult<void> WriteBuffer();
  StoreResult<void> CheckWritable() const;
  StoreResult<wire::LogEntry> ReadEntry(const EntryLocation& aLocation) const;
  // Makes every further write fail until Recover(). Returns aError.
  StoreError RefuseFurtherWrites(StoreError aError);
  // Adds a record to the write buffer and returns its offset.
  uint64_t BufferRecord(RecordType aType, std::string_view aBody);
  // Deletes the segments that hold only entries before the first index.
  void DeleteOldSegments();
  Segment& CurrentSegment() { return m_segments.rbegin()->second; }
  uint64_t CurrentSegmentNumber() const { return m_segments.rbegin()->first; }

  std::string m_folderPath;
  FileLogOptions m_options;
  // By segment number.
  std::map<uint64_t, Segment> m_segments;
  uint64_t m_firstIndex = 1;
  // Element i belongs to entry m_firstIndex + i.
  std::deque<EntryLocation> m_entryLocations;
  wire::HardState m_hardState;
  // While segments are loaded, the first index that the log must hold according
  // to the checkpoint, compaction and reset records.
  uint64_t m_requiredFirstIndex = 1;
  // Number for the next segment if there is none yet.
  uint64_t m_initialSegmentNumber = 1;
  // Records that are not yet written to the file.
  std::string m_writeBuffer;
  // Bytes of the last segment that are written, and that are also synced.
  uint64_t m_writtenBytes = 0;
  uint64_t m_syncedBytes = 0;
  bool m_hasUnsyncedWrites = false;
  // The error that ended writes, empty while writes are accepted.
  std::optional<std::string> m_writeFailure;
};

} // namespace rattanloft::storage
