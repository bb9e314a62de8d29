#include "rattanloft/storage/FileSnapshotStore.h"

#include <cstring>

#include <fmt/format.h>

#include "FileIo.h"
#include "rattanloft/base/Hash.h"

namespace rattanloft::storage {

namespace {

constexpr const char* kSnapshotFileName = "snapshot";

// The snapshot file consists of this header, the serialized metadata and the
// data. The checksum covers everything after itself.
struct SnapshotFileHeader
{
  uint64_t m_checksum;
  uint64_t m_metaBytes;
};

} // namespace

StoreResult<void>
FileSnapshotStore::Save(const Snapshot& aSnapshot)
{
  const std::string serializedMeta = aSnapshot.m_meta.SerializeAsString();
  SnapshotFileHeader header{ 0, serializedMeta.size() };
  std::string content(sizeof(header), '\0');
  content += serializedMeta;
  content += aSnapshot.m_data;
  std::memcpy(content.data(), &header, sizeof(header));
  header.m_checksum =
    Hash64(std::string_view(content).substr(sizeof(header.m_checksum)));
  std::memcpy(content.data(), &header, sizeof(header));
  return ReplaceFile(m_folderPath, kSnapshotFileName, content);
}

StoreResult<std::optional<Snapshot>>
FileSnapshotStore::Load() const
{
  const std::string path = m_folderPath + "/" + kSnapshotFileName;
  auto content = ReadWholeFile(path);
  if (!content) {
    return tl::unexpected(content.error());
  }
  if (!content->has_value()) {
    return std::nullopt;
  }
  std::string_view bytes = **content;
  const StoreError damaged{ StoreErrorCode::kCorrupt,
                            fmt::format("{} is damaged", path) };
  SnapshotFileHeader header{};
  if (bytes.size() < sizeof(header)) {
    return tl::unexpected(damaged);
  }
  std::memcpy(&header, bytes.data(), sizeof(header));
  Snapshot result;
  if (Hash64(bytes.substr(sizeof(header.m_checksum))) != header.m_checksum ||
      header.m_metaBytes > bytes.size() - sizeof(header) ||
      !result.m_meta.ParseFromArray(bytes.data() + sizeof(header),
                                    static_cast<int>(header.m_metaBytes))) {
    return tl::unexpected(damaged);
  }
  result.m_data = bytes.substr(sizeof(header) + header.m_metaBytes);
  return std::optional<Snapshot>(std::move(result));
}

} // namespace rattanloft::storage
