#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rattanloft/storage/ScopedFd.h"
#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// Returns a kIo error with the text of errno. aAction is a phrase such as
// "cannot read".
StoreError
SystemError(std::string_view aAction, std::string_view aPath);

// Writes all of aBytes. aPath is used in the error text only, as in ReadAt().
StoreResult<void>
WriteAt(int aFd,
        std::string_view aBytes,
        uint64_t aOffset,
        std::string_view aPath);

// Reads up to aSize bytes. Returns fewer only at the end of the file.
StoreResult<std::string>
ReadAt(int aFd, uint64_t aOffset, size_t aSize, std::string_view aPath);

// Empty if the file does not exist.
StoreResult<std::optional<std::string>>
ReadWholeFile(const std::string& aPath);

// Makes the creation, renaming and deletion of files in the folder durable.
StoreResult<void>
SyncFolder(const std::string& aFolderPath);

// Replaces the content of a file atomically and durably: writes a temporary
// file, syncs it, renames it and syncs the folder.
StoreResult<void>
ReplaceFile(const std::string& aFolderPath,
            const std::string& aFileName,
            std::string_view aContent);

} // namespace rattanloft::storage
