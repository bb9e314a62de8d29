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

  uint64_t FirstIndex() const override { return m_first; }
  uint64_t LastIndex() const override { return m_first + m_places.size() - 1; }
  wire::HardState GetHardState() const override { return m_state; }
  StoreResult<std::vector<wire::LogEntry>> Read(uint64_t aFirst,
                                                uint64_t aLast) const override;
  StoreResult<void> Append(std::span<const wire::LogEntry> aEntries) override;
  StoreResult<void> TruncateSuffix(uint64_t aFrom) override;
  StoreResult<void> CompactPrefix(uint64_t aFirst) override;
  StoreResult<void> Reset(uint64_t aNext) override;
  StoreResult<void> SetHardState(const wire::HardState& aState) override;
  StoreResult<void> Sync() override;

  // For tests that simulate a crash.
  uint64_t SyncedBytes() const { return m_syncedBytes; }
  std::string LastSegmentPath() const { return SegmentPath(CurrentNumber()); }

private:
  struct Segment
  {
    int m_fd = -1;
    // The highest entry in it, 0 for none.
    uint64_t m_lastIndex = 0;
  };
  struct Place
  {
    uint64_t m_segment;
    uint64_t m_offset;
  };

  FileLogStore(std::string aFolder, const FileLogOptions& aOptions)
    : m_folder(std::move(aFolder))
    , m_options(aOptions)
  {
  }

  std::string SegmentPath(uint64_t aNumber) const;
  StoreResult<void> Open();
  StoreResult<void> OpenSegments();
  StoreResult<void> LoadSegment(uint64_t aNumber, bool aIsLast);
  StoreResult<void> CutTail(uint64_t aNumber,
                            std::string_view aContent,
                            uint64_t aOffset);
  // These return false if the record contradicts the ones before it.
  bool Replay(uint64_t aSegment, uint64_t aOffset, const LogRecord& aRecord);
  bool ReplayCheckpoint(uint64_t aSegment, std::string_view aBody);
  bool ReplayEntry(uint64_t aSegment, uint64_t aOffset, std::string_view aBody);
  void DropFrom(uint64_t aIndex);
  void DropBefore(uint64_t aIndex);
  StoreResult<void> StartSegment();
  StoreResult<void> WriteRecord(RecordType aType, std::string_view aBody);
  StoreResult<void> WriteBuffer();
  StoreResult<void> CheckWritable() const;
  StoreResult<wire::LogEntry> ReadEntry(const Place& aPlace) const;
  StoreError Fail(StoreError aError);
  // Adds a record to the write buffer and returns its offset.
  uint64_t AddRecord(RecordType aType, std::string_view aBody);
  void DeleteOldSegments();
  Segment& Current() { return m_segments.rbegin()->second; }
  uint64_t CurrentNumber() const { return m_segments.rbegin()->first; }

  std::string m_folder;
  FileLogOptions m_options;
  std::map<uint64_t, Segment> m_segments;
  uint64_t m_first = 1;
  std::deque<Place> m_places;
  wire::HardState m_state;
  // The first index according to the records, while segments are loaded.
  uint64_t m_required = 1;
  // Number of the first segment when there is none.
  uint64_t m_nextNumber = 1;
  // Records not yet passed to the file system.
  std::string m_buffer;
  // End of the last segment with and without the part that is not synced.
  uint64_t m_writtenBytes = 0;
  uint64_t m_syncedBytes = 0;
  bool m_dirty = false;
  std::optional<std::string> m_failure;
};

} // namespace rattanloft::storage
