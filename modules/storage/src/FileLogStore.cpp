#include "rattanloft/storage/FileLogStore.h"

#include <algorithm>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

#include <fmt/format.h>

#include "FileIo.h"
#include "LogRecord.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::storage {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";

std::string
EncodeIndex(uint64_t aIndex)
{
  return std::string(reinterpret_cast<const char*>(&aIndex), sizeof(aIndex));
}

uint64_t
DecodeIndex(std::string_view aBody)
{
  uint64_t index = 0;
  if (aBody.size() >= sizeof(index)) {
    std::memcpy(&index, aBody.data(), sizeof(index));
  }
  return index;
}

bool
ParseHardState(wire::HardState& aHardState, std::string_view aBody)
{
  return aHardState.ParseFromArray(aBody.data(),
                                   static_cast<int>(aBody.size()));
}

StoreError
CorruptError(std::string aMessage)
{
  return { StoreErrorCode::kCorrupt, std::move(aMessage) };
}

} // namespace

StoreResult<std::unique_ptr<FileLogStore>>
FileLogStore::Make(const DataFolder& aFolder, const FileLogOptions& aOptions)
{
  std::unique_ptr<FileLogStore> store(
    new FileLogStore(aFolder.Path(), aOptions));
  if (store->m_options.m_syncFile == nullptr) {
    store->m_options.m_syncFile = fdatasync;
  }
  if (auto opened = store->LoadSegments(); !opened) {
    return tl::unexpected(opened.error());
  }
  return store;
}

std::string
FileLogStore::SegmentPath(uint64_t aSegmentNumber) const
{
  return fmt::format(
    "{}/{}{:016x}", m_folderPath, kSegmentPrefix, aSegmentNumber);
}

StoreResult<void>
FileLogStore::LoadSegments()
{
  if (auto opened = OpenSegments(); !opened) {
    return opened;
  }
  // A copy, because LoadSegment() may remove the last segment from m_segments.
  std::vector<uint64_t> numbers;
  for (const auto& [number, segment] : m_segments) {
    numbers.push_back(number);
  }
  for (const uint64_t number : numbers) {
    if (number != numbers.front() && !m_segments.count(number - 1)) {
      return tl::unexpected(CorruptError(
        fmt::format("segment {} is missing", SegmentPath(number - 1))));
    }
    if (auto loaded = LoadSegment(number, number == numbers.back()); !loaded) {
      return loaded;
    }
  }
  if (m_requiredFirstIndex != m_firstIndex) {
    return tl::unexpected(
      CorruptError(fmt::format("the log in {} lacks entries {} to {}",
                               m_folderPath,
                               m_requiredFirstIndex,
                               m_firstIndex - 1)));
  }
  // The records may have been read from the page cache without being on disk,
  // so they are synced before they count as durable.
  if (!m_segments.empty() && m_writtenBytes > 0) {
    m_hasUnsyncedWrites = true;
    return Sync();
  }
  return StartSegment();
}

StoreResult<void>
FileLogStore::OpenSegments()
{
  for (const auto& item : std::filesystem::directory_iterator(m_folderPath)) {
    const std::string name = item.path().filename();
    if (!name.starts_with(kSegmentPrefix)) {
      continue;
    }
    const uint64_t number =
      std::strtoull(name.c_str() + kSegmentPrefix.size(), nullptr, 16);
    const int file = open(item.path().c_str(), O_RDWR | O_CLOEXEC);
    if (file < 0) {
      return tl::unexpected(SystemError("cannot open", item.path().native()));
    }
    m_segments[number].m_fd = ScopedFd(file);
  }
  return {};
}

StoreResult<void>
FileLogStore::LoadSegment(uint64_t aSegmentNumber, bool aIsLastSegment)
{
  auto content = ReadWholeFile(SegmentPath(aSegmentNumber));
  if (!content) {
    return tl::unexpected(content.error());
  }
  const std::string bytes = content->value_or("");
  uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto record = ParseRecord(
      std::string_view(bytes).substr(offset), aSegmentNumber, offset);
    if (!record) {
      break;
    }
    if (!ReplayRecord(aSegmentNumber, offset, *record)) {
      return tl::unexpected(CorruptError(fmt::format(
        "{}: the record at byte {} does not fit the records before it",
        SegmentPath(aSegmentNumber),
        offset)));
    }
    offset += record->m_recordBytes;
  }
  m_writtenBytes = offset;
  m_syncedBytes = offset;
  if (aIsLastSegment && (offset < bytes.size() || offset == 0)) {
    return TruncateUnsyncedTail(aSegmentNumber, bytes, offset);
  }
  if (offset < bytes.size() || offset == 0) {
    return tl::unexpected(CorruptError(fmt::format(
      "{} is damaged at byte {}", SegmentPath(aSegmentNumber), offset)));
  }
  return {};
}

StoreResult<void>
FileLogStore::TruncateUnsyncedTail(uint64_t aSegmentNumber,
                                   std::string_view aContent,
                                   uint64_t aOffset)
{
  const std::string path = SegmentPath(aSegmentNumber);
  // Earlier segments are deleted only after a later one was synced, so the
  // oldest remaining segment must have been synced.
  const bool earlierSegmentsMissing =
    aOffset == 0 && aSegmentNumber == m_segments.begin()->first &&
    aSegmentNumber > 1;
  if (earlierSegmentsMissing || WasSynced(aContent, aSegmentNumber, aOffset)) {
    return tl::unexpected(CorruptError(fmt::format(
      "{} is damaged at byte {} in a part that was synced", path, aOffset)));
  }
  LogWarning("store",
             "truncating {} at byte {} of {}: the rest was never synced",
             path,
             aOffset,
             aContent.size());
  if (aOffset == 0) {
    // The process crashed while it created the segment. The segment number is
    // used again.
    m_segments.erase(aSegmentNumber);
    m_initialSegmentNumber = aSegmentNumber;
    return {};
  }
  if (ftruncate(m_segments[aSegmentNumber].m_fd.Get(),
                static_cast<off_t>(aOffset)) != 0) {
    return tl::unexpected(SystemError("cannot truncate", path));
  }
  return {};
}

bool
FileLogStore::ReplayRecord(uint64_t aSegmentNumber,
                           uint64_t aOffset,
                           const LogRecord& aRecord)
{
  const uint64_t index = DecodeIndex(aRecord.m_body);
  switch (aRecord.m_type) {
    case RecordType::kCheckpoint:
      return aOffset == 0 && ReplayCheckpoint(aSegmentNumber, aRecord.m_body);
    case RecordType::kEntry:
      return ReplayEntry(aSegmentNumber, aOffset, aRecord.m_body);
    case RecordType::kTruncate:
      // May reach below the first index of the segments that are left.
      if (index < m_firstIndex) {
        m_firstIndex = index;
        m_entryLocations.clear();
      }
      DropEntriesFrom(index);
      return true;
    case RecordType::kCompact:
      m_requiredFirstIndex = std::max(m_requiredFirstIndex, index);
      DropEntriesBefore(index);
      return true;
    case RecordType::kReset:
      m_entryLocations.clear();
      m_firstIndex = index;
      m_requiredFirstIndex = index;
      return true;
    case RecordType::kHardState:
      return ParseHardState(m_hardState, aRecord.m_body);
  }
  return false;
}

bool
FileLogStore::ReplayCheckpoint(uint64_t aSegmentNumber, std::string_view aBody)
{
  constexpr size_t kIndexPairBytes = 2 * sizeof(uint64_t);
  if (aBody.size() < kIndexPairBytes ||
      !ParseHardState(m_hardState, aBody.substr(kIndexPairBytes))) {
    return false;
  }
  const uint64_t nextIndex = DecodeIndex(aBody.substr(sizeof(uint64_t)));
  if (aSegmentNumber != m_segments.begin()->first) {
    return nextIndex == LastIndex() + 1;
  }
  m_requiredFirstIndex = DecodeIndex(aBody);
  m_firstIndex = nextIndex;
  return true;
}

bool
FileLogStore::ReplayEntry(uint64_t aSegmentNumber,
                          uint64_t aOffset,
                          std::string_view aBody)
{
  wire::LogEntry entry;
  if (!entry.ParseFromArray(aBody.data(), static_cast<int>(aBody.size())) ||
      entry.index() != LastIndex() + 1) {
    return false;
  }
  m_entryLocations.push_back({ aSegmentNumber, aOffset });
  Segment& segment = m_segments[aSegmentNumber];
  segment.m_lastIndex = std::max(segment.m_lastIndex, entry.index());
  return true;
}

void
FileLogStore::DropEntriesFrom(uint64_t aIndex)
{
  while (!m_entryLocations.empty() && LastIndex() >= aIndex) {
    m_entryLocations.pop_back();
  }
}

void
FileLogStore::DropEntriesBefore(uint64_t aIndex)
{
  while (!m_entryLocations.empty() && m_firstIndex < aIndex) {
    m_entryLocations.pop_front();
    ++m_firstIndex;
  }
}

StoreError
FileLogStore::RefuseFurtherWrites(StoreError aError)
{
  m_writeFailure = aError.m_message;
  return aError;
}

StoreResult<void>
FileLogStore::CheckWritable() const
{
  if (m_writeFailure) {
    return tl::unexpected(StoreError{
      StoreErrorCode::kIo,
      fmt::format("refused after an earlier failure: {}", *m_writeFailure) });
  }
  return {};
}

uint64_t
FileLogStore::BufferRecord(RecordType aType, std::string_view aBody)
{
  const uint64_t offset = m_writtenBytes + m_writeBuffer.size();
  m_writeBuffer +=
    EncodeRecord(aType, aBody, CurrentSegmentNumber(), offset, m_syncedBytes);
  return offset;
}

StoreResult<void>
FileLogStore::WriteBuffer()
{
  const std::string buffer = std::exchange(m_writeBuffer, {});
  auto written = WriteAt(CurrentSegment().m_fd.Get(),
                         buffer,
                         m_writtenBytes,
                         SegmentPath(CurrentSegmentNumber()));
  if (!written) {
    return tl::unexpected(RefuseFurtherWrites(written.error()));
  }
  m_writtenBytes += buffer.size();
  m_hasUnsyncedWrites = true;
  return {};
}

StoreResult<void>
FileLogStore::WriteRecord(RecordType aType, std::string_view aBody)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  BufferRecord(aType, aBody);
  return WriteBuffer();
}

StoreResult<std::vector<wire::LogEntry>>
FileLogStore::Read(uint64_t aFirstIndex, uint64_t aLastIndex) const
{
  std::vector<wire::LogEntry> result;
  if (aFirstIndex < FirstIndex() || aLastIndex > LastIndex()) {
    return tl::unexpected(StoreError{
      StoreErrorCode::kInvalidArgument,
      fmt::format("cannot read entries {} to {}: the log holds {} to {}",
                  aFirstIndex,
                  aLastIndex,
                  FirstIndex(),
                  LastIndex()) });
  }
  for (uint64_t index = aFirstIndex; index <= aLastIndex; ++index) {
    auto entry = ReadEntry(m_entryLocations[index - m_firstIndex]);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    result.push_back(std::move(*entry));
  }
  return result;
}

StoreResult<wire::LogEntry>
FileLogStore::ReadEntry(const EntryLocation& aLocation) const
{
  const std::string path = SegmentPath(aLocation.m_segmentNumber);
  const int file = m_segments.at(aLocation.m_segmentNumber).m_fd.Get();
  auto bytes = ReadAt(file, aLocation.m_offset, kRecordHeaderBytes, path);
  if (bytes) {
    bytes = ReadAt(file, aLocation.m_offset, ParseRecordSize(*bytes), path);
  }
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  const auto record =
    ParseRecord(*bytes, aLocation.m_segmentNumber, aLocation.m_offset);
  wire::LogEntry entry;
  if (!record ||
      !entry.ParseFromArray(record->m_body.data(),
                            static_cast<int>(record->m_body.size()))) {
    return tl::unexpected(CorruptError(
      fmt::format("{} is damaged at byte {}", path, aLocation.m_offset)));
  }
  return entry;
}

StoreResult<void>
FileLogStore::Append(std::span<const wire::LogEntry> aEntries)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  std::deque<EntryLocation> locations;
  for (const wire::LogEntry& entry : aEntries) {
    if (entry.index() != LastIndex() + 1 + locations.size()) {
      m_writeBuffer.clear();
      return tl::unexpected(StoreError{
        StoreErrorCode::kInvalidArgument,
        fmt::format("entry {} does not follow the log", entry.index()) });
    }
    locations.push_back(
      { CurrentSegmentNumber(),
        BufferRecord(RecordType::kEntry, entry.SerializeAsString()) });
  }
  if (auto written = WriteBuffer(); !written) {
    return written;
  }
  m_entryLocations.insert(
    m_entryLocations.end(), locations.begin(), locations.end());
  CurrentSegment().m_lastIndex =
    std::max(CurrentSegment().m_lastIndex, LastIndex());
  return {};
}

StoreResult<void>
FileLogStore::TruncateSuffix(uint64_t aFromIndex)
{
  if (aFromIndex > LastIndex()) {
    return CheckWritable();
  }
  aFromIndex = std::max(aFromIndex, m_firstIndex);
  if (auto written =
        WriteRecord(RecordType::kTruncate, EncodeIndex(aFromIndex));
      !written) {
    return written;
  }
  DropEntriesFrom(aFromIndex);
  return {};
}

StoreResult<void>
FileLogStore::CompactPrefix(uint64_t aNewFirstIndex)
{
  aNewFirstIndex = std::min(aNewFirstIndex, LastIndex() + 1);
  if (aNewFirstIndex <= m_firstIndex) {
    return CheckWritable();
  }
  if (auto written =
        WriteRecord(RecordType::kCompact, EncodeIndex(aNewFirstIndex));
      !written) {
    return written;
  }
  // Must precede the sync, which may start a new segment. The checkpoint of
  // that segment must hold the new first index, since the segment with the
  // record above may be deleted.
  DropEntriesBefore(aNewFirstIndex);
  if (auto synced = Sync(); !synced) {
    return synced;
  }
  DeleteOldSegments();
  return {};
}

StoreResult<void>
FileLogStore::Reset(uint64_t aNextIndex)
{
  if (auto written = WriteRecord(RecordType::kReset, EncodeIndex(aNextIndex));
      !written) {
    return written;
  }
  m_entryLocations.clear();
  m_firstIndex = aNextIndex;
  return {};
}

StoreResult<void>
FileLogStore::SetHardState(const wire::HardState& aHardState)
{
  auto written =
    WriteRecord(RecordType::kHardState, aHardState.SerializeAsString());
  if (written) {
    m_hardState = aHardState;
  }
  return written;
}

StoreResult<void>
FileLogStore::Sync()
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  if (!m_hasUnsyncedWrites) {
    return {};
  }
  // After a failed sync the kernel may have dropped the dirty pages, so the
  // success of a second attempt would not prove that the data is on disk.
  if (m_options.m_syncFile(CurrentSegment().m_fd.Get()) != 0) {
    return tl::unexpected(RefuseFurtherWrites(
      SystemError("cannot sync", SegmentPath(CurrentSegmentNumber()))));
  }
  m_hasUnsyncedWrites = false;
  m_syncedBytes = m_writtenBytes;
  if (m_syncedBytes >= m_options.m_segmentBytes) {
    return StartSegment();
  }
  return {};
}

StoreResult<void>
FileLogStore::Recover()
{
  if (!m_writeFailure) {
    return {};
  }
  // What was never synced has not been acknowledged. It is dropped, since after
  // a failed sync the page cache may hold data that is not on disk.
  const std::string path = SegmentPath(CurrentSegmentNumber());
  if (ftruncate(CurrentSegment().m_fd.Get(),
                static_cast<off_t>(m_syncedBytes)) != 0) {
    return tl::unexpected(SystemError("cannot truncate", path));
  }
  FileLogStore reopened(m_folderPath, m_options);
  auto result = reopened.LoadSegments();
  // Only a write and a sync prove that the disk takes bytes again.
  if (result) {
    result = reopened.SetHardState(reopened.GetHardState());
  }
  if (result) {
    result = reopened.Sync();
  }
  if (result) {
    *this = std::move(reopened);
  }
  return result;
}

StoreResult<void>
FileLogStore::StartSegment()
{
  const uint64_t number =
    m_segments.empty() ? m_initialSegmentNumber : CurrentSegmentNumber() + 1;
  const std::string path = SegmentPath(number);
  const int file =
    open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) {
    return tl::unexpected(
      RefuseFurtherWrites(SystemError("cannot create", path)));
  }
  const uint64_t nextIndex = LastIndex() + 1;
  m_segments[number].m_fd = ScopedFd(file);
  m_writtenBytes = 0;
  m_syncedBytes = 0;
  BufferRecord(RecordType::kCheckpoint,
               EncodeIndex(m_firstIndex) + EncodeIndex(nextIndex) +
                 m_hardState.SerializeAsString());
  if (auto written = WriteBuffer(); !written) {
    return written;
  }
  if (m_options.m_syncFile(file) != 0) {
    return tl::unexpected(
      RefuseFurtherWrites(SystemError("cannot sync", path)));
  }
  // The directory entry must be durable before any log entry in the file is
  // acknowledged.
  if (auto synced = SyncFolder(m_folderPath); !synced) {
    return tl::unexpected(RefuseFurtherWrites(synced.error()));
  }
  m_hasUnsyncedWrites = false;
  m_syncedBytes = m_writtenBytes;
  return {};
}

void
FileLogStore::DeleteOldSegments()
{
  while (m_segments.size() > 1) {
    const auto oldest = m_segments.begin();
    if (oldest->second.m_lastIndex >= m_firstIndex) {
      return;
    }
    const std::string path = SegmentPath(oldest->first);
    // Each deletion is synced on its own, so that a power loss leaves no gap
    // between segments.
    if (unlink(path.c_str()) != 0 || !SyncFolder(m_folderPath)) {
      LogWarning("store",
                 "cannot delete old segment {}, or cannot sync its deletion",
                 path);
    }
    m_segments.erase(oldest);
  }
}

} // namespace rattanloft::storage
