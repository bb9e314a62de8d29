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
ParseState(wire::HardState& aState, std::string_view aBody)
{
  return aState.ParseFromArray(aBody.data(), static_cast<int>(aBody.size()));
}

StoreError
Corrupt(std::string aMessage)
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
  if (auto opened = store->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return store;
}

FileLogStore::~FileLogStore()
{
  for (const auto& [number, segment] : m_segments) {
    close(segment.m_fd);
  }
}

std::string
FileLogStore::SegmentPath(uint64_t aNumber) const
{
  return fmt::format("{}/{}{:016x}", m_folder, kSegmentPrefix, aNumber);
}

StoreResult<void>
FileLogStore::Open()
{
  if (auto opened = OpenSegments(); !opened) {
    return opened;
  }
  // A copy, since an unused last segment is removed while it is loaded.
  std::vector<uint64_t> numbers;
  for (const auto& [number, segment] : m_segments) {
    numbers.push_back(number);
  }
  for (const uint64_t number : numbers) {
    if (number != numbers.front() && !m_segments.count(number - 1)) {
      return tl::unexpected(
        Corrupt(fmt::format("{} is missing", SegmentPath(number - 1))));
    }
    if (auto loaded = LoadSegment(number, number == numbers.back()); !loaded) {
      return loaded;
    }
  }
  if (m_required != m_first) {
    return tl::unexpected(Corrupt(fmt::format(
      "{} lacks entries {} to {}", m_folder, m_required, m_first - 1)));
  }
  // Records may have been read from the page cache; they count as durable only
  // from here on.
  if (!m_segments.empty() && m_writtenBytes > 0) {
    m_dirty = true;
    return Sync();
  }
  return StartSegment();
}

StoreResult<void>
FileLogStore::OpenSegments()
{
  for (const auto& item : std::filesystem::directory_iterator(m_folder)) {
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
    m_segments[number].m_fd = file;
  }
  return {};
}

StoreResult<void>
FileLogStore::LoadSegment(uint64_t aNumber, bool aIsLast)
{
  auto content = ReadWholeFile(SegmentPath(aNumber));
  if (!content) {
    return tl::unexpected(content.error());
  }
  const std::string bytes = content->value_or("");
  uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto record =
      ParseRecord(std::string_view(bytes).substr(offset), aNumber, offset);
    if (!record) {
      break;
    }
    if (!Replay(aNumber, offset, *record)) {
      return tl::unexpected(Corrupt(fmt::format(
        "{} contradicts itself at byte {}", SegmentPath(aNumber), offset)));
    }
    offset += record->m_size;
  }
  m_writtenBytes = offset;
  m_syncedBytes = offset;
  if (aIsLast && (offset < bytes.size() || offset == 0)) {
    return CutTail(aNumber, bytes, offset);
  }
  if (offset < bytes.size() || offset == 0) {
    return tl::unexpected(Corrupt(
      fmt::format("{} is damaged at byte {}", SegmentPath(aNumber), offset)));
  }
  return {};
}

StoreResult<void>
FileLogStore::CutTail(uint64_t aNumber,
                      std::string_view aContent,
                      uint64_t aOffset)
{
  const std::string path = SegmentPath(aNumber);
  // Earlier segments are deleted only after a later one was synced.
  const bool lostEarlier =
    aOffset == 0 && aNumber == m_segments.begin()->first && aNumber > 1;
  if (lostEarlier || WasSynced(aContent, aNumber, aOffset)) {
    return tl::unexpected(Corrupt(
      fmt::format("{} is damaged at byte {} before its end", path, aOffset)));
  }
  LogWarning("store",
             "{} cut off at byte {} of {}: the rest was never synced",
             path,
             aOffset,
             aContent.size());
  if (aOffset == 0) {
    // A crash while the segment was created. Its name is used again.
    close(m_segments[aNumber].m_fd);
    m_segments.erase(aNumber);
    m_nextNumber = aNumber;
    return {};
  }
  if (ftruncate(m_segments[aNumber].m_fd, static_cast<off_t>(aOffset)) != 0) {
    return tl::unexpected(SystemError("cannot truncate", path));
  }
  return {};
}

bool
FileLogStore::Replay(uint64_t aSegment,
                     uint64_t aOffset,
                     const LogRecord& aRecord)
{
  const uint64_t index = DecodeIndex(aRecord.m_body);
  switch (aRecord.m_type) {
    case RecordType::kCheckpoint:
      return aOffset == 0 && ReplayCheckpoint(aSegment, aRecord.m_body);
    case RecordType::kEntry:
      return ReplayEntry(aSegment, aOffset, aRecord.m_body);
    case RecordType::kTruncate:
      // May reach below the first segment that is left.
      if (index < m_first) {
        m_first = index;
        m_places.clear();
      }
      DropFrom(index);
      return true;
    case RecordType::kCompact:
      m_required = std::max(m_required, index);
      DropBefore(index);
      return true;
    case RecordType::kReset:
      m_places.clear();
      m_first = index;
      m_required = index;
      return true;
    case RecordType::kHardState:
      return ParseState(m_state, aRecord.m_body);
  }
  return false;
}

bool
FileLogStore::ReplayCheckpoint(uint64_t aSegment, std::string_view aBody)
{
  constexpr size_t kIndexes = 2 * sizeof(uint64_t);
  if (aBody.size() < kIndexes || !ParseState(m_state, aBody.substr(kIndexes))) {
    return false;
  }
  const uint64_t next = DecodeIndex(aBody.substr(sizeof(uint64_t)));
  if (aSegment != m_segments.begin()->first) {
    return next == LastIndex() + 1;
  }
  m_required = DecodeIndex(aBody);
  m_first = next;
  return true;
}

bool
FileLogStore::ReplayEntry(uint64_t aSegment,
                          uint64_t aOffset,
                          std::string_view aBody)
{
  wire::LogEntry entry;
  if (!entry.ParseFromArray(aBody.data(), static_cast<int>(aBody.size())) ||
      entry.index() != LastIndex() + 1) {
    return false;
  }
  m_places.push_back({ aSegment, aOffset });
  Segment& segment = m_segments[aSegment];
  segment.m_lastIndex = std::max(segment.m_lastIndex, entry.index());
  return true;
}

void
FileLogStore::DropFrom(uint64_t aIndex)
{
  while (!m_places.empty() && LastIndex() >= aIndex) {
    m_places.pop_back();
  }
}

void
FileLogStore::DropBefore(uint64_t aIndex)
{
  while (!m_places.empty() && m_first < aIndex) {
    m_places.pop_front();
    ++m_first;
  }
}

StoreError
FileLogStore::Fail(StoreError aError)
{
  m_failure = aError.m_message;
  LogError("store", "writes are refused from now on: {}", aError.m_message);
  return aError;
}

StoreResult<void>
FileLogStore::CheckWritable() const
{
  if (m_failure) {
    return tl::unexpected(StoreError{
      StoreErrorCode::kIo,
      fmt::format("refused after an earlier failure: {}", *m_failure) });
  }
  return {};
}

uint64_t
FileLogStore::AddRecord(RecordType aType, std::string_view aBody)
{
  const uint64_t offset = m_writtenBytes + m_buffer.size();
  m_buffer +=
    EncodeRecord(aType, aBody, CurrentNumber(), offset, m_syncedBytes);
  return offset;
}

StoreResult<void>
FileLogStore::WriteBuffer()
{
  const std::string buffer = std::exchange(m_buffer, {});
  auto written = WriteAt(
    Current().m_fd, buffer, m_writtenBytes, SegmentPath(CurrentNumber()));
  if (!written) {
    return tl::unexpected(Fail(written.error()));
  }
  m_writtenBytes += buffer.size();
  m_dirty = true;
  return {};
}

StoreResult<void>
FileLogStore::WriteRecord(RecordType aType, std::string_view aBody)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  AddRecord(aType, aBody);
  return WriteBuffer();
}

StoreResult<std::vector<wire::LogEntry>>
FileLogStore::Read(uint64_t aFirst, uint64_t aLast) const
{
  std::vector<wire::LogEntry> result;
  if (aFirst < FirstIndex() || aLast > LastIndex()) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kInvalidArgument,
                  fmt::format("read of entries {} to {} outside {} to {}",
                              aFirst,
                              aLast,
                              FirstIndex(),
                              LastIndex()) });
  }
  for (uint64_t index = aFirst; index <= aLast; ++index) {
    auto entry = ReadEntry(m_places[index - m_first]);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    result.push_back(std::move(*entry));
  }
  return result;
}

StoreResult<wire::LogEntry>
FileLogStore::ReadEntry(const Place& aPlace) const
{
  const std::string path = SegmentPath(aPlace.m_segment);
  const int file = m_segments.at(aPlace.m_segment).m_fd;
  auto bytes = ReadAt(file, aPlace.m_offset, kRecordHeaderBytes, path);
  if (bytes) {
    bytes = ReadAt(file, aPlace.m_offset, RecordSize(*bytes), path);
  }
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  const auto record = ParseRecord(*bytes, aPlace.m_segment, aPlace.m_offset);
  wire::LogEntry entry;
  if (!record ||
      !entry.ParseFromArray(record->m_body.data(),
                            static_cast<int>(record->m_body.size()))) {
    return tl::unexpected(
      Corrupt(fmt::format("{} is damaged at byte {}", path, aPlace.m_offset)));
  }
  return entry;
}

StoreResult<void>
FileLogStore::Append(std::span<const wire::LogEntry> aEntries)
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  std::deque<Place> places;
  for (const wire::LogEntry& entry : aEntries) {
    if (entry.index() != LastIndex() + 1 + places.size()) {
      m_buffer.clear();
      return tl::unexpected(StoreError{
        StoreErrorCode::kInvalidArgument,
        fmt::format("entry {} does not follow the log", entry.index()) });
    }
    places.push_back(
      { CurrentNumber(),
        AddRecord(RecordType::kEntry, entry.SerializeAsString()) });
  }
  if (auto written = WriteBuffer(); !written) {
    return written;
  }
  m_places.insert(m_places.end(), places.begin(), places.end());
  Current().m_lastIndex = std::max(Current().m_lastIndex, LastIndex());
  return {};
}

StoreResult<void>
FileLogStore::TruncateSuffix(uint64_t aFrom)
{
  if (aFrom > LastIndex()) {
    return CheckWritable();
  }
  aFrom = std::max(aFrom, m_first);
  if (auto done = WriteRecord(RecordType::kTruncate, EncodeIndex(aFrom));
      !done) {
    return done;
  }
  DropFrom(aFrom);
  return {};
}

StoreResult<void>
FileLogStore::CompactPrefix(uint64_t aFirst)
{
  aFirst = std::min(aFirst, LastIndex() + 1);
  if (aFirst <= m_first) {
    return CheckWritable();
  }
  if (auto done = WriteRecord(RecordType::kCompact, EncodeIndex(aFirst));
      !done) {
    return done;
  }
  // Before the sync, which may start a segment: its checkpoint must hold the
  // new first index, since the record above may be in a deleted segment.
  DropBefore(aFirst);
  if (auto synced = Sync(); !synced) {
    return synced;
  }
  DeleteOldSegments();
  return {};
}

StoreResult<void>
FileLogStore::Reset(uint64_t aNext)
{
  if (auto done = WriteRecord(RecordType::kReset, EncodeIndex(aNext)); !done) {
    return done;
  }
  m_places.clear();
  m_first = aNext;
  return {};
}

StoreResult<void>
FileLogStore::SetHardState(const wire::HardState& aState)
{
  auto done = WriteRecord(RecordType::kHardState, aState.SerializeAsString());
  if (done) {
    m_state = aState;
  }
  return done;
}

StoreResult<void>
FileLogStore::Sync()
{
  if (auto writable = CheckWritable(); !writable) {
    return writable;
  }
  if (!m_dirty) {
    return {};
  }
  // After a failed sync the kernel may have dropped the dirty pages, so a
  // second attempt that succeeds would prove nothing.
  if (m_options.m_syncFile(Current().m_fd) != 0) {
    return tl::unexpected(
      Fail(SystemError("cannot sync", SegmentPath(CurrentNumber()))));
  }
  m_dirty = false;
  m_syncedBytes = m_writtenBytes;
  if (m_syncedBytes >= m_options.m_segmentBytes) {
    return StartSegment();
  }
  return {};
}

StoreResult<void>
FileLogStore::StartSegment()
{
  const uint64_t number =
    m_segments.empty() ? m_nextNumber : CurrentNumber() + 1;
  const std::string path = SegmentPath(number);
  const int file =
    open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) {
    return tl::unexpected(Fail(SystemError("cannot create", path)));
  }
  const uint64_t next = LastIndex() + 1;
  m_segments[number].m_fd = file;
  m_writtenBytes = 0;
  m_syncedBytes = 0;
  AddRecord(RecordType::kCheckpoint,
            EncodeIndex(m_first) + EncodeIndex(next) +
              m_state.SerializeAsString());
  if (auto written = WriteBuffer(); !written) {
    return written;
  }
  if (m_options.m_syncFile(file) != 0) {
    return tl::unexpected(Fail(SystemError("cannot sync", path)));
  }
  // The name must be durable before any entry in the file is acknowledged.
  if (auto synced = SyncFolder(m_folder); !synced) {
    return tl::unexpected(Fail(synced.error()));
  }
  m_dirty = false;
  m_syncedBytes = m_writtenBytes;
  return {};
}

void
FileLogStore::DeleteOldSegments()
{
  while (m_segments.size() > 1) {
    const auto oldest = m_segments.begin();
    if (oldest->second.m_lastIndex >= m_first) {
      return;
    }
    close(oldest->second.m_fd);
    const std::string path = SegmentPath(oldest->first);
    // Synced one by one, so that a power loss leaves no gap between segments.
    if (unlink(path.c_str()) != 0 || !SyncFolder(m_folder)) {
      LogWarning("store", "cannot delete {}", path);
    }
    m_segments.erase(oldest);
  }
}

} // namespace rattanloft::storage
