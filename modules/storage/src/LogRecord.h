#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanloft::storage {

// The type of a record, with the content of its body. The values are stored in
// segment files. Indexes are stored as 8 bytes in the byte order of the
// machine.
enum class RecordType : char
{
  // The first record of a segment: the first index of the log, the index of the
  // next append, and the serialized hard state.
  kCheckpoint = 'C',
  // A serialized log entry.
  kEntry = 'E',
  // The index from which on entries were removed.
  kTruncate = 'T',
  // The index below which entries were removed.
  kCompact = 'P',
  // The index of the next append, after all entries were removed.
  kReset = 'R',
  // The serialized hard state.
  kHardState = 'H',
};

// One record of a segment file, as parsed from its bytes.
struct LogRecord
{
  RecordType m_type;
  // How many bytes of the segment were synced when this record was written. An
  // invalid record below this offset means that synced data was damaged. An
  // invalid record above it may be a torn write.
  uint64_t m_syncedBytes;
  std::string_view m_body;
  // Size of the whole record with its header.
  uint64_t m_recordBytes;
};

// Returns the bytes of a record at aOffset of a segment. The checksum covers
// the segment number and the offset, so a record found in another place is
// invalid.
std::string
EncodeRecord(RecordType aType,
             std::string_view aBody,
             uint64_t aSegmentNumber,
             uint64_t aOffset,
             uint64_t aSyncedBytes);

// Parses the record at the start of aBytes and verifies its checksum. Empty if
// there is no intact record. The body refers to aBytes.
std::optional<LogRecord>
ParseRecord(std::string_view aBytes, uint64_t aSegmentNumber, uint64_t aOffset);

// Returns the size in bytes of the record whose header is at the start of
// aHeader, without verifying the checksum. 0 if there is no header.
uint64_t
ParseRecordSize(std::string_view aHeader);

// Whether an intact record after aOffset states that the byte at aOffset had
// been synced before that record was written.
bool
WasSynced(std::string_view aSegmentContent,
          uint64_t aSegmentNumber,
          uint64_t aOffset);

constexpr size_t kRecordHeaderBytes = 32;

} // namespace rattanloft::storage
