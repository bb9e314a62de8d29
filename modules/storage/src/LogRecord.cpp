#include "LogRecord.h"

#include <cstring>

#include "rattanloft/base/Hash.h"

namespace rattanloft::storage {

namespace {

// "LOF1", which marks the header of a record.
constexpr uint32_t kRecordMagic = 0x4c4f4631;

// The header of a record as stored; the body follows it.
struct RecordHeader
{
  uint64_t m_checksum;
  uint32_t m_magic;
  uint32_t m_bodyBytes;
  uint64_t m_syncedBytes;
  uint64_t m_type;
};
static_assert(sizeof(RecordHeader) == kRecordHeaderBytes);

uint64_t
ComputeChecksum(std::string_view aRecord,
                uint64_t aSegmentNumber,
                uint64_t aOffset)
{
  // Multiplying by a large odd constant spreads the segment numbers over all
  // bits of the seed.
  const uint64_t seed = aSegmentNumber * 0x9e3779b97f4a7c15ULL + aOffset;
  return Hash64(aRecord.substr(sizeof(uint64_t)), seed);
}

} // namespace

std::string
EncodeRecord(RecordType aType,
             std::string_view aBody,
             uint64_t aSegmentNumber,
             uint64_t aOffset,
             uint64_t aSyncedBytes)
{
  RecordHeader header{ 0,
                       kRecordMagic,
                       static_cast<uint32_t>(aBody.size()),
                       aSyncedBytes,
                       static_cast<uint64_t>(aType) };
  std::string record(sizeof(header) + aBody.size(), '\0');
  std::memcpy(record.data(), &header, sizeof(header));
  std::memcpy(record.data() + sizeof(header), aBody.data(), aBody.size());
  header.m_checksum = ComputeChecksum(record, aSegmentNumber, aOffset);
  std::memcpy(record.data(), &header, sizeof(header));
  return record;
}

uint64_t
ParseRecordSize(std::string_view aHeader)
{
  RecordHeader header{};
  if (aHeader.size() < sizeof(header)) {
    return 0;
  }
  std::memcpy(&header, aHeader.data(), sizeof(header));
  return header.m_magic == kRecordMagic ? sizeof(header) + header.m_bodyBytes
                                        : 0;
}

std::optional<LogRecord>
ParseRecord(std::string_view aBytes, uint64_t aSegmentNumber, uint64_t aOffset)
{
  const uint64_t size = ParseRecordSize(aBytes);
  if (size == 0 || size > aBytes.size()) {
    return std::nullopt;
  }
  RecordHeader header{};
  std::memcpy(&header, aBytes.data(), sizeof(header));
  const std::string_view record = aBytes.substr(0, size);
  if (ComputeChecksum(record, aSegmentNumber, aOffset) != header.m_checksum) {
    return std::nullopt;
  }
  return LogRecord{ static_cast<RecordType>(header.m_type),
                    header.m_syncedBytes,
                    record.substr(sizeof(header)),
                    size };
}

bool
WasSynced(std::string_view aSegmentContent,
          uint64_t aSegmentNumber,
          uint64_t aOffset)
{
  // The size of the damaged record cannot be trusted, so every later offset is
  // tried as the start of a record. The magic number rules out nearly all.
  for (uint64_t at = aOffset + 1; at < aSegmentContent.size(); ++at) {
    const auto record =
      ParseRecord(aSegmentContent.substr(at), aSegmentNumber, at);
    if (record && record->m_syncedBytes > aOffset) {
      return true;
    }
  }
  return false;
}

} // namespace rattanloft::storage
