#include "rattanloft/storage/DataFolder.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fmt/format.h>

#include "FileIo.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Random.h"

namespace rattanloft::storage {

namespace {

constexpr const char* kIdFile = "replica-id";

std::string
FormatId(uint64_t aId)
{
  const std::string digits = fmt::format("{:016x}", aId);
  return fmt::format("{} {:016x}\n", digits, Hash64(digits));
}

// A folder that holds data but no id has lost the identity that the data
// belongs to.
bool
HoldsData(const std::string& aPath)
{
  for (const auto& item : std::filesystem::directory_iterator(aPath)) {
    const std::string name = item.path().filename();
    if (name.starts_with("log-") || name == "snapshot") {
      return true;
    }
  }
  return false;
}

} // namespace

StoreResult<std::unique_ptr<DataFolder>>
DataFolder::Make(std::string_view aPath)
{
  std::error_code error;
  const std::filesystem::path path = std::filesystem::absolute(aPath);
  if (std::filesystem::create_directories(path, error)) {
    if (auto synced = SyncFolder(path.parent_path()); !synced) {
      return tl::unexpected(synced.error());
    }
  }
  const std::string lockPath = path / "lock";
  ScopedFd lock(open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (lock.Get() < 0) {
    return tl::unexpected(SystemError("cannot open", lockPath));
  }
  if (flock(lock.Get(), LOCK_EX | LOCK_NB) != 0) {
    return tl::unexpected(StoreError{
      StoreErrorCode::kLocked,
      fmt::format("{} is in use by another process", path.native()) });
  }
  std::unique_ptr<DataFolder> folder(
    new DataFolder(path.native(), lock.Release()));
  if (auto loaded = folder->LoadOrCreateId(); !loaded) {
    return tl::unexpected(loaded.error());
  }
  return folder;
}

DataFolder::~DataFolder()
{
  close(m_lockFd);
}

StoreResult<void>
DataFolder::LoadOrCreateId()
{
  auto content = ReadWholeFile(m_path + "/" + kIdFile);
  if (!content) {
    return tl::unexpected(content.error());
  }
  if (content->has_value()) {
    m_replicaId = std::strtoull((*content)->c_str(), nullptr, 16);
    if (m_replicaId == 0 || FormatId(m_replicaId) != **content) {
      return tl::unexpected(
        StoreError{ StoreErrorCode::kCorrupt,
                    fmt::format("{}/{} is damaged", m_path, kIdFile) });
    }
    return {};
  }
  if (HoldsData(m_path)) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kCorrupt,
                  fmt::format("{} holds data but no {}", m_path, kIdFile) });
  }
  m_replicaId = RandomId();
  return ReplaceFile(m_path, kIdFile, FormatId(m_replicaId));
}

} // namespace rattanloft::storage
