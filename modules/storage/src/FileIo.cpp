#include "FileIo.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fmt/format.h>

namespace rattanloft::storage {

StoreError
SystemError(std::string_view aAction, std::string_view aPath)
{
  const int error = errno;
  return { StoreErrorCode::kIo,
           fmt::format("{} {}: {}", aAction, aPath, strerror(error)) };
}

StoreResult<void>
WriteAt(int aFd,
        std::string_view aBytes,
        uint64_t aOffset,
        std::string_view aPath)
{
  while (!aBytes.empty()) {
    const ssize_t written =
      pwrite(aFd, aBytes.data(), aBytes.size(), static_cast<off_t>(aOffset));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return tl::unexpected(SystemError("cannot write", aPath));
    }
    aBytes.remove_prefix(static_cast<size_t>(written));
    aOffset += static_cast<uint64_t>(written);
  }
  return {};
}

StoreResult<std::string>
ReadAt(int aFd, uint64_t aOffset, size_t aSize, std::string_view aPath)
{
  std::string result(aSize, '\0');
  size_t done = 0;
  while (done < aSize) {
    const ssize_t got = pread(aFd,
                              result.data() + done,
                              aSize - done,
                              static_cast<off_t>(aOffset + done));
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      return tl::unexpected(SystemError("cannot read", aPath));
    }
    if (got == 0) {
      break;
    }
    done += static_cast<size_t>(got);
  }
  result.resize(done);
  return result;
}

StoreResult<std::optional<std::string>>
ReadWholeFile(const std::string& aPath)
{
  const ScopedFd file(open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.Get() < 0 && errno == ENOENT) {
    return std::nullopt;
  }
  struct stat info
  {};
  if (file.Get() < 0 || fstat(file.Get(), &info) != 0) {
    return tl::unexpected(SystemError("cannot open", aPath));
  }
  auto content =
    ReadAt(file.Get(), 0, static_cast<size_t>(info.st_size), aPath);
  if (!content) {
    return tl::unexpected(content.error());
  }
  return std::optional<std::string>(std::move(*content));
}

StoreResult<void>
SyncFolder(const std::string& aFolderPath)
{
  const ScopedFd folder(
    open(aFolderPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.Get() < 0 || fsync(folder.Get()) != 0) {
    return tl::unexpected(SystemError("cannot sync folder", aFolderPath));
  }
  return {};
}

StoreResult<void>
ReplaceFile(const std::string& aFolderPath,
            const std::string& aFileName,
            std::string_view aContent)
{
  const std::string path = aFolderPath + "/" + aFileName;
  const std::string temporary = path + ".tmp";
  const ScopedFd file(
    open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  if (file.Get() < 0) {
    return tl::unexpected(SystemError("cannot create", temporary));
  }
  if (auto written = WriteAt(file.Get(), aContent, 0, temporary); !written) {
    unlink(temporary.c_str());
    return written;
  }
  if (fsync(file.Get()) != 0) {
    return tl::unexpected(SystemError("cannot sync", temporary));
  }
  if (rename(temporary.c_str(), path.c_str()) != 0) {
    return tl::unexpected(SystemError("cannot rename", temporary));
  }
  return SyncFolder(aFolderPath);
}

} // namespace rattanloft::storage
