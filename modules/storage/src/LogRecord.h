#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::storage {

enum class RecordType : char
{
  // First record of a segment: first index, next index, hard state.
  kCheckpoint = 'C',
  kEntry = 'E',
  kTruncate = 'T',
  kCompact = 'P',
  kReset = 'R',
  kHardState = 'H',
};

// One record of a segment file, as parsed from its bytes.
struct LogRecord
{
  RecordType m_type;
  // How much of the segment was synced when this record was written. A bad
  // record below this offset is damage, above it possibly a torn write.
  uint64_t m_syncedBytes;
  std::string_view m_body;
  uint64_t m_recordBytes;
};

// The checksum covers the segment number and the offset, so a record copied
// from elsewhere does not pass.
std::string
EncodeRecord(RecordType aType,
             std::string_view aBody,
             uint64_t aSegmentNumber,
             uint64_t aOffset,
             uint64_t aSyncedBytes);

// Empty if there is no intact record at the start of aBytes.
std::optional<LogRecord>
ParseRecord(std::string_view aBytes, uint64_t aSegmentNumber, uint64_t aOffset);

// The bytes of the record whose header is at the start of aHeader, unchecked;
// 0 if that is no header.
uint64_t
ParseRecordSize(std::string_view aHeader);

// Whether an intact record after aOffset shows that aOffset had been synced.
bool
WasSynced(std::string_view aSegmentContent,
          uint64_t aSegmentNumber,
          uint64_t aOffset);

constexpr size_t kRecordHeaderBytes = 32;

} // namespace rattanloft::storage
