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

constexpr const char* kReplicaIdFileName = "replica-id";

// The content of the replica id file: the id and a hash of it in hexadecimal.
std::string
FormatReplicaIdFile(uint64_t aReplicaId)
{
  const std::string digits = fmt::format("{:016x}", aReplicaId);
  return fmt::format("{} {:016x}\n", digits, Hash64(digits));
}

// Whether the folder holds a log or a snapshot. Without a replica id file, such
// data belongs to an identity that is lost.
bool
ContainsReplicaData(const std::string& aPath)
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
  if (auto loaded = folder->LoadOrCreateReplicaId(); !loaded) {
    return tl::unexpected(loaded.error());
  }
  return folder;
}

DataFolder::~DataFolder()
{
  close(m_lockFd);
}

StoreResult<void>
DataFolder::LoadOrCreateReplicaId()
{
  auto content = ReadWholeFile(m_path + "/" + kReplicaIdFileName);
  if (!content) {
    return tl::unexpected(content.error());
  }
  if (content->has_value()) {
    m_replicaId = std::strtoull((*content)->c_str(), nullptr, 16);
    if (m_replicaId == 0 || FormatReplicaIdFile(m_replicaId) != **content) {
      return tl::unexpected(StoreError{
        StoreErrorCode::kCorrupt,
        fmt::format("{}/{} is damaged", m_path, kReplicaIdFileName) });
    }
    return {};
  }
  if (ContainsReplicaData(m_path)) {
    return tl::unexpected(
      StoreError{ StoreErrorCode::kCorrupt,
                  fmt::format("{} holds a log or a snapshot but no {} file",
                              m_path,
                              kReplicaIdFileName) });
  }
  m_replicaId = RandomId();
  return ReplaceFile(
    m_path, kReplicaIdFileName, FormatReplicaIdFile(m_replicaId));
}

} // namespace rattanloft::storage
