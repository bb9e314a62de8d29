#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// Closes a file descriptor at the end of its scope.
class ScopedFd
{
public:
  explicit ScopedFd(int aFd)
    : m_fd(aFd)
  {
  }
  ScopedFd(const ScopedFd&) = delete;
  ScopedFd& operator=(const ScopedFd&) = delete;
  ~ScopedFd();

  int Get() const { return m_fd; }
  int Release();

private:
  int m_fd;
};

// A kIo error with the text of errno.
StoreError
SystemError(std::string_view aAction, std::string_view aPath);

StoreResult<void>
WriteAt(int aFd,
        std::string_view aBytes,
        uint64_t aOffset,
        std::string_view aPath);

// Fewer bytes than asked for mean the end of the file.
StoreResult<std::string>
ReadAt(int aFd, uint64_t aOffset, size_t aSize, std::string_view aPath);

// Empty if there is no such file.
StoreResult<std::optional<std::string>>
ReadWholeFile(const std::string& aPath);

// Makes created, renamed and deleted names in the folder durable.
StoreResult<void>
SyncFolder(const std::string& aFolderPath);

// Writes a temporary file, syncs it, renames it and syncs the folder.
StoreResult<void>
ReplaceFile(const std::string& aFolderPath,
            const std::string& aFileName,
            std::string_view aContent);

} // namespace rattanloft::storage
